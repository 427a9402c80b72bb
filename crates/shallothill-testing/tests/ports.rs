//! Selection of free ports for child processes.

use std::net::{IpAddr, Ipv4Addr, TcpListener};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use shallothill_testing::{ports, process};

/// Guards against a port that cannot be bound although it was reported free, because a child
/// process that another test starts at that moment inherits the listener.
#[test]
fn free_ports_can_be_bound_while_children_start() {
    let ip = IpAddr::V4(Ipv4Addr::new(127, 9, 9, 9));
    let done = AtomicBool::new(false);

    let refused = thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    let child = process::spawn(&mut Command::new("true"));
                    child.unwrap().wait().unwrap();
                }
            });
        }
        let bind = |_: &u32| {
            let free = ports::free(ip, 3).unwrap();
            free.iter().any(|a| TcpListener::bind(a).is_err())
        };
        let refused = (0..2000).filter(bind).count();
        done.store(true, Ordering::Relaxed);
        refused
    });

    assert_eq!(refused, 0);
}
