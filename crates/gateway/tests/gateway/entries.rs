//! The limit on the entry upstreams of a stream. Upstreams whose entry is removed may go on serving.

use std::{rc::Rc, time::Duration};

use crate::support::{Fixture, Step, body, event};

/// Change limit of the fixtures, so that a removed entry is known soon.
const CHANGE_LIMIT_MS: u64 = 100;
/// Time within which the gateway has read a change.
const READ_TIME: Duration = Duration::from_millis(150);
/// Time after which the second stream breaks: the change made meanwhile has then been read.
const BREAK_DELAY: Duration = Duration::from_millis(250);

/// Sends a stream whose first two attempts break, the second one after `change` has been made to
/// what is registered. `change` gets the name and the address of the first entry upstream. Returns
/// the body, and the number of different entry upstreams.
async fn break_twice(change: impl FnOnce(&Fixture, &str, &str)) -> (Option<String>, usize) {
    break_twice_after(Step::EventsThenBroken(vec![0]), change).await
}

/// The same with `first` as the first attempt.
async fn break_twice_after(
    first: Step,
    change: impl FnOnce(&Fixture, &str, &str),
) -> (Option<String>, usize) {
    let fixture = Fixture::with_change_limit(Rc::default(), CHANGE_LIMIT_MS).with_upstreams().await;
    fixture.store.write("upstreams/e5", Some("drafts 10.0.1.5:80 a up 0-5"));
    compio::time::sleep(READ_TIME).await;
    let late = Step::EventsThenLateBreak { numbers: vec![1], pause: BREAK_DELAY };
    fixture.push_steps([first, late, Step::Events(vec![2])]);
    let response = fixture.send("/drafts/x").await.expect("the stream begins");
    let reader = compio::runtime::spawn(body(response));
    compio::time::sleep(Duration::from_millis(50)).await;
    let first = fixture.called_upstreams()[0].clone();
    let addr = format!("10.0.1.{}:80", &first[1..]);
    change(&fixture, &first, &addr);
    let received = reader.await.expect("the reader does not panic");
    let mut entries = fixture.called_upstreams();
    entries.sort_unstable();
    entries.dedup();
    (received, entries.len())
}

fn whole_stream() -> Option<String> {
    Some((0..3).map(event).collect())
}

/// Guards against a stream that runs on a third upstream while the first one, whose entry is
/// removed, still serves it during its drain time.
#[compio::test]
async fn an_entry_upstream_whose_entry_is_removed_still_counts() {
    let removed = |fixture: &Fixture, name: &str, _: &str| {
        fixture.store.write(&entry(name), None);
    };
    let (received, entries) = break_twice(removed).await;
    assert_eq!((received, entries), (None, 2));
}

/// Guards against a stream that runs on a third upstream because its first one refuses connections,
/// as behind a cut or after its listener was closed, while it still serves its streams.
#[compio::test]
async fn an_entry_upstream_that_refuses_connections_still_counts() {
    let refuses = Step::EventsThenCrash { numbers: vec![0], pause: Duration::ZERO };
    assert_eq!(break_twice_after(refuses, |_, _, _| ()).await, (None, 2));
}

/// Guards against the same for an upstream that has also left the registry.
#[compio::test]
async fn a_removed_entry_upstream_that_refuses_connections_still_counts() {
    let drains = |fixture: &Fixture, name: &str, _: &str| {
        fixture.store.write(&entry(name), None);
        fixture.upstreams.stopped.borrow_mut().push(name.into());
    };
    assert_eq!(break_twice(drains).await, (None, 2));
}

/// Guards against a stream that is cut because its first upstream is only found to have ended while
/// the stream already waits for another one.
#[compio::test]
async fn an_entry_upstream_that_is_replaced_while_the_stream_waits_does_not_count() {
    let replaced_late = |fixture: &Fixture, name: &str, addr: &str| {
        fixture.store.write(&entry(name), None);
        write_later(fixture, "upstreams/e9", format!("drafts {addr} a up 0-5 2"));
    };
    assert_eq!(break_twice(replaced_late).await, (whole_stream(), 3));
}

/// Guards against a stream that is cut although another process runs at the address of its first
/// upstream.
#[compio::test]
async fn an_entry_upstream_whose_address_is_used_by_another_does_not_count() {
    let replaced = |fixture: &Fixture, name: &str, addr: &str| {
        fixture.store.write(&entry(name), None);
        fixture.store.write("upstreams/e9", Some(&format!("drafts {addr} a up 0-5 2")));
    };
    assert_eq!(break_twice(replaced).await, (whole_stream(), 3));
}

/// Guards against a stream that is cut although its first upstream has been restarted.
#[compio::test]
async fn an_entry_upstream_that_was_restarted_does_not_count() {
    let restarted = |fixture: &Fixture, name: &str, addr: &str| {
        fixture.store.write(&entry(name), Some(&format!("drafts {addr} a up 0-5 2")));
    };
    assert_eq!(break_twice(restarted).await, (whole_stream(), 3));
}

/// Guards against a stream that runs on a third upstream because a process at another address is
/// registered under the name of its first one, which still serves it.
#[compio::test]
async fn a_later_entry_at_another_address_does_not_end_an_entry_upstream() {
    let moved = |fixture: &Fixture, name: &str, _: &str| {
        fixture.store.write(&entry(name), Some("drafts 10.0.1.9:80 a up 0-5 2"));
    };
    let (received, entries) = break_twice(moved).await;
    assert_eq!((received, entries), (None, 2));
}

/// Guards against a stream that is cut because the address of an upstream is not looked at after its
/// name is registered at another address.
#[compio::test]
async fn an_entry_upstream_that_is_replaced_after_its_name_has_moved_does_not_count() {
    let moved = |fixture: &Fixture, name: &str, addr: &str| {
        fixture.store.write(&entry(name), Some("drafts 10.0.1.9:80 a up 0-5 2"));
        write_later(fixture, "upstreams/e9", format!("drafts {addr} a up 0-5 2"));
    };
    assert_eq!(break_twice(moved).await, (whole_stream(), 3));
}

/// Guards against an upstream that counts as ended because an older process was registered at its
/// address.
#[compio::test]
async fn an_older_entry_at_its_address_does_not_end_an_entry_upstream() {
    let stale = |fixture: &Fixture, name: &str, addr: &str| {
        fixture.store.write(&entry(name), None);
        fixture.store.write("upstreams/e9", Some(&format!("drafts {addr} a up 0-5 0")));
    };
    let (received, entries) = break_twice(stale).await;
    assert_eq!((received, entries), (None, 2));
}

/// Writes an entry while the stream that has broken twice waits for another upstream.
fn write_later(fixture: &Fixture, key: &'static str, value: String) {
    let store = fixture.store.clone();
    compio::runtime::spawn(async move {
        compio::time::sleep(BREAK_DELAY * 2).await;
        store.write(key, Some(&value));
    })
    .detach();
}

fn entry(name: &str) -> String {
    format!("upstreams/{name}")
}
