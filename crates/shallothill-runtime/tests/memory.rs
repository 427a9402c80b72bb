//! The account of the bytes that are held for clients.

use std::future;
use std::time::Duration;

use shallothill_runtime::memory::{HeldBytes, MemoryAccount, MemoryOptions};
use tokio::task::JoinSet;
use tokio::time;
use tokio_util::sync::CancellationToken;

const KB: usize = 1024;
const WAIT: Duration = Duration::from_secs(3);

fn account(total_bytes: usize) -> MemoryAccount {
    let account = MemoryAccount::new(MemoryOptions::new(total_bytes));
    tokio::spawn(account.clone().run(CancellationToken::new()));
    account
}

/// Guards against memory that stays reserved after its last copy is dropped, or is freed before.
#[tokio::test]
async fn bytes_are_reserved_until_their_last_copy_is_dropped() {
    let account = account(100 * KB);
    let mut held = HeldBytes::new(account.holder());
    assert!(held.append(&[7; 40 * KB], 40 * KB, WAIT).await);

    let bytes = held.into_bytes();
    let copy = bytes.slice(1..);
    drop(bytes);
    assert_eq!((copy.len(), account.used_bytes()), (40 * KB - 1, 40 * KB));

    drop(copy);
    assert_eq!(account.used_bytes(), 0);
}

/// Guards against the end of clients that make progress, or of older ones before newer ones.
#[tokio::test(start_paused = true)]
async fn the_newest_without_progress_is_ended_first() {
    let account = account(100 * KB);
    let mut all = Vec::new();
    for _ in 0..4 {
        let mut held = HeldBytes::new(account.holder());
        assert!(held.append(&[7; 25 * KB], 25 * KB, WAIT).await);
        all.push(held);
    }
    // The third one is not waited for, as while a request runs.
    let mut ends = JoinSet::new();
    for (n, held) in all.into_iter().enumerate() {
        ends.spawn(async move {
            if n == 2 {
                future::pending::<()>().await;
            }
            let received = held.receive(future::pending::<()>()).await;
            (n, received)
        });
    }
    time::sleep(Duration::from_secs(1)).await;

    let new = account.holder();
    let reserved = new.reserve_within(10 * KB, WAIT).await;

    assert!(reserved.is_some());
    assert_eq!(ends.join_next().await.unwrap().unwrap(), (3, None));
    assert!(time::timeout(WAIT, ends.join_next()).await.is_err());
    let counts = account.counts();
    assert_eq!((counts.evicted, counts.too_slow), (1, 0));
}

/// Guards against clients that stay connected for ever with a byte now and then, and against the end
/// of those that send the least that is demanded.
#[tokio::test(start_paused = true)]
async fn only_clients_below_the_least_progress_are_ended() {
    let account = account(100 * KB);
    let (steady, trickling) = (account.holder(), account.holder());
    steady.start_waiting();
    trickling.start_waiting();

    for _ in 0..60 {
        time::sleep(Duration::from_secs(1)).await;
        steady.record_progress(64);
        trickling.record_progress(1);
    }

    assert_eq!((steady.has_ended(), trickling.has_ended()), (false, true));
    assert_eq!(account.counts().too_slow, 1);
}

/// Guards against bodies that wait for each other's memory for ever.
#[tokio::test(start_paused = true)]
async fn bodies_that_all_wait_for_memory_give_way_to_the_oldest() {
    let account = account(64 * KB);
    let (mut a, mut b) = (
        HeldBytes::new(account.holder()),
        HeldBytes::new(account.holder()),
    );
    for held in [&mut a, &mut b] {
        assert!(held.append(&[7; 32 * KB], 64 * KB, WAIT).await);
    }

    let older = a.append(&[7; 32 * KB], 64 * KB, WAIT);
    let newer = async move {
        let enough = b.append(&[7; 32 * KB], 64 * KB, WAIT).await;
        drop(b);
        enough
    };

    assert_eq!(tokio::join!(older, newer), (true, false));
}
