//! Selection of free ports for child processes.

use std::collections::BTreeSet;
use std::fs;
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

/// Guards against a port that an outgoing connection takes before the process binds it, or while it is
/// down, and against one that two processes of a test get.
#[test]
fn free_ports_are_given_to_no_outgoing_connection() {
    let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let range = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap();
    let bounds = range.split_whitespace().map(|n| n.parse().unwrap());
    let bounds: Vec<u16> = bounds.collect();

    let free = ports::free(ip, 200).unwrap();

    let distinct: BTreeSet<u16> = free.iter().map(|a| a.port()).collect();
    assert_eq!(distinct.len(), 200);
    let outgoing = distinct.range(bounds[0]..=bounds[1]);
    assert_eq!(outgoing.count(), 0, "{distinct:?} and {bounds:?}");
}
