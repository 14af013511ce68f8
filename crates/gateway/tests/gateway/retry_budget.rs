//! Guards against retries of all nodes together that exceed the budget which they share. A service got
//! more repeated requests than its budget allows after many nodes had restarted.

use std::time::Duration;

use crate::support::{Fixture, Step, run_for};

/// Time within which a change of the store is applied.
const APPLY_TIME: Duration = Duration::from_millis(800);
/// Requests that a test sends, each of which fails.
const REQUESTS: usize = 20;
/// Retries for the share of the requests alone: 0.8 of a fifth of them.
const RATIO_RETRIES: usize = 3;

/// Sends requests whose attempts all fail. Returns how often they were sent again.
async fn count_retries(fixture: &Fixture) -> usize {
    fixture.upstreams.calls.borrow_mut().clear();
    for _ in 0..REQUESTS {
        fixture.push_steps([Step::Refuse(503), Step::Refuse(503), Step::Refuse(503)]);
        assert!(fixture.send("/once/x").await.is_err());
        fixture.upstreams.steps.borrow_mut().clear();
        // Upstreams that refuse calls are avoided for a while.
        run_for(Duration::from_millis(5)).await;
    }
    let sent: Vec<String> = fixture.called_upstreams();
    sent.len().saturating_sub(REQUESTS)
}

/// The entries of all other nodes lapse together while the key-value service is away. Each node then
/// took the whole budget for its part.
#[compio::test]
async fn a_node_that_sees_the_entries_of_all_others_lapse_keeps_to_its_part() {
    let budget = "retry_extra = 40\nretry_window_s = 10\nfirst_start = true";
    let fixture = Fixture::ready_with_retry_budget(budget, 39).await;
    for number in 0..39 {
        fixture.write_node(number, None);
    }
    run_for(APPLY_TIME).await;
    let retries = count_retries(&fixture).await;
    assert!(retries <= RATIO_RETRIES + 1, "{retries} retries");
}

/// The same if the entries are missing from a list, after the history of the service was lost.
#[compio::test]
async fn a_node_that_misses_the_others_in_a_new_list_keeps_to_its_part() {
    let budget = "retry_extra = 40\nretry_window_s = 10\nfirst_start = true";
    let fixture = Fixture::ready_with_retry_budget(budget, 39).await;
    let is_node = |key: &String| key.starts_with("gypsumrack/nodes/other");
    fixture.store.items.borrow_mut().retain(|key, _| !is_node(key));
    fixture.store.history_gone.set(true);
    fixture.store.write("unknown", Some("1"));
    run_for(APPLY_TIME).await;
    let retries = count_retries(&fixture).await;
    assert!(retries <= RATIO_RETRIES + 1, "{retries} retries");
}

/// A node that restarts does not know what its predecessor used of the part in the same window.
#[compio::test]
async fn a_restarted_node_does_not_use_the_part_of_its_predecessor_again() {
    let budget = "retry_extra = 40\nretry_window_s = 10";
    let restarted = Fixture::ready_with_retry_budget(budget, 0).await;
    let retries = count_retries(&restarted).await;
    assert!(retries <= RATIO_RETRIES, "{retries} retries");
}

/// The same limit must end, so that a node gets its part once the window has passed.
#[compio::test]
async fn a_restarted_node_gets_its_part_after_a_window() {
    let budget = "retry_extra = 40\nretry_window_s = 0.5";
    let restarted = Fixture::ready_with_retry_budget(budget, 0).await;
    compio::time::sleep(Duration::from_millis(600)).await;
    let retries = count_retries(&restarted).await;
    assert!(retries > RATIO_RETRIES, "{retries} retries");
}

/// When the whole system starts for the first time, no predecessor has used a part.
#[compio::test]
async fn a_node_of_a_first_start_has_its_part_at_once() {
    let budget = "retry_extra = 40\nretry_window_s = 10\nfirst_start = true";
    let fixture = Fixture::ready_with_retry_budget(budget, 0).await;
    let retries = count_retries(&fixture).await;
    assert!(retries > RATIO_RETRIES, "{retries} retries");
}
