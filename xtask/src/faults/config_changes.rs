//! Changes of the configuration: the time until all nodes use them, concurrent writes, lost
//! answers, outages of the key-value service and restarts of nodes.

use std::{cell::Cell, time::Duration};

use fleet::{CONFIG_KEY, WriteOutcome, edit};
use futures_util::join;
use keyvalue::{
    KeyValue,
    api::{Expected, PutReply},
};
use rand::Rng;
use settings::FleetConfig;
use standins::keyvalue::KeyValueFaults;

use crate::{
    faults::{
        Case, CaseReport, Context,
        completions::Position,
        drains::{check_load, leave_under_load},
        revisions::{IN_FORCE_LIMIT, Operator},
        testbed::{Setup, Testbed},
    },
    workload::DOMAINS,
};

/// Number of nodes. Three of them watch the configuration's key, the others receive changes from
/// their peers.
const NODES: usize = 5;
/// Number of rounds in which two operators write at the same time.
const RACES: u64 = 50;
/// Time after which a node knows the other nodes and, if it is one of the watchers, watches the
/// key.
const SETTLE_TIME: Duration = Duration::from_millis(2500);
/// Delay of the key-value service's answers, so that a stale read arrives after the newer revision
/// that a peer sends.
const STALE_MILLIS: u64 = 150;

/// The cases of this module.
pub(crate) fn cases() -> Vec<Case> {
    vec![
        Case::new("config/in-force", "R7", "none", in_force),
        Case::new("config/race", "R7", "F7", race),
        Case::new("config/answer-lost", "R7", "F5", answer_lost),
        Case::new("config/write-lost", "R7", "F5", write_lost),
        Case::new("config/all-writes-lost", "R7", "F5", all_writes_lost),
        Case::new("config/all-answers-lost", "R7", "F5", all_answers_lost),
        Case::new("config/stale-reads", "R7", "F5", stale_reads),
        Case::new("config/older-record", "R7", "F5", older_record),
        Case::new("config/restart-in-outage", "R7", "F3 F4", restart_in_outage),
        Case::new("config/join-in-outage", "R7", "F4", join_in_outage),
        Case::new("config/nodes-in-turn", "R7", "F3", nodes_in_turn),
        Case::new("config/engine-drained", "R5 R7", "planned stop", engine_drained),
    ]
}

/// Starts `NODES` nodes and waits until they know each other.
async fn start_nodes(context: &Context) -> Testbed {
    let setup = Setup { nodes: NODES, services: 0, ..Setup::default() };
    let testbed = Testbed::start(context, setup).await;
    testbed.cluster.clock.sleep(SETTLE_TIME).await;
    testbed
}

fn refusing() -> KeyValueFaults {
    KeyValueFaults { refuse: true, ..KeyValueFaults::default() }
}

async fn in_force(context: Context) -> CaseReport {
    let testbed = start_nodes(&context).await;
    let operator = testbed.operator("operator");
    let mut longest = Duration::ZERO;
    for round in 0..10 {
        let revision = testbed.change(&operator, |config| with_depth(config, 1000 + round)).await;
        longest = longest.max(testbed.wait_revision(revision).await);
    }
    testbed.set_note(format!("in force on {NODES} nodes after at most {} ms", longest.as_millis()));
    testbed.finish().await
}

/// Two operators write at the same time, based on the same revision. Exactly one of them succeeds.
async fn race(context: Context) -> CaseReport {
    let testbed = start_nodes(&context).await;
    let (first, second) = (testbed.operator("first"), testbed.operator("second"));
    let mut wins = [0, 0];
    let mut rng = context.rng();
    for round in 0..RACES {
        let read = first.read().await;
        let same = second.read().await;
        let depths = [1000 + 2 * round, 1001 + 2 * round];
        // Without these pauses the same operator would be first in every round.
        let pauses = [rng.random_range(0..4), rng.random_range(0..4)];
        let write = async |index: usize, operator: &Operator, read| {
            testbed.sleep(pauses[index]).await;
            operator.write(read, depths[index]).await.0
        };
        let (one, other) = join!(write(0, &first, &read), write(1, &second, &same));
        let next = read.config.revision + 1;
        let outcomes = match (one, other) {
            (won @ WriteOutcome::Accepted { .. }, lost) => Some((0, won, lost)),
            (lost, won @ WriteOutcome::Accepted { .. }) => Some((1, won, lost)),
            (one, other) => {
                testbed.add_problem(format!(
                    "neither operator's change was accepted in round {round}: {one:?}, {other:?}"
                ));
                None
            }
        };
        let Some((winner, won, lost)) = outcomes else { continue };
        wins[winner] += 1;
        check_race(&testbed, ["first", "second"][winner], depths[winner], next, &won, &lost);
    }
    let stored = testbed.stored_config().await.revision;
    testbed.check(stored == 1 + RACES, || format!("{RACES} changes made revision {stored}"));
    testbed.wait_revision(1 + RACES).await;
    testbed.set_note(format!("won {} and {} of {RACES} races", wins[0], wins[1]));
    testbed.finish().await
}

/// Checks that the winner made revision `next` and that the loser was told the winner's name,
/// revision and change.
fn check_race(
    testbed: &Testbed,
    winner: &str,
    depth: u64,
    next: u64,
    won: &WriteOutcome,
    lost: &WriteOutcome,
) {
    let accepted = matches!(won, WriteOutcome::Accepted { revision, .. } if *revision == next);
    testbed.check(accepted, || format!("the winner did not make revision {next}: {won:?}"));
    let told = matches!(lost, WriteOutcome::Conflict { revision, author, differences }
    if *revision == next
        && author == winner
        && differences.iter().any(|found| {
            found.key.contains("queue_depth")
                && found.after.as_deref() == Some(&depth.to_string())
        }));
    testbed.check(told, || format!("the loser was not told what changed: {lost:?}"));
}

async fn answer_lost(context: Context) -> CaseReport {
    write_with_faults(context, KeyValueFaults { lose_answers: 1, ..KeyValueFaults::default() })
        .await
}

async fn write_lost(context: Context) -> CaseReport {
    write_with_faults(context, KeyValueFaults { lose_writes: 1, ..KeyValueFaults::default() }).await
}

async fn all_writes_lost(context: Context) -> CaseReport {
    write_with_faults(context, KeyValueFaults { lose_writes: 1000, ..KeyValueFaults::default() })
        .await
}

async fn all_answers_lost(context: Context) -> CaseReport {
    write_with_faults(context, KeyValueFaults { lose_answers: 1000, ..KeyValueFaults::default() })
        .await
}

/// Two operators write while the key-value service loses writes or answers. A change reported as
/// accepted has to be in the history afterwards, and one reported as refused must not be.
async fn write_with_faults(context: Context, faults: KeyValueFaults) -> CaseReport {
    let testbed = start_nodes(&context).await;
    let (first, second) = (testbed.operator("first"), testbed.operator("second"));
    let mut rng = context.rng();
    let (mut accepted, mut unknown) = (0, 0);
    for round in 0..6 {
        let read = first.read().await;
        testbed.set_store_faults(faults.clone()).await;
        let pause = rng.random_range(0..20);
        let second_write = async {
            testbed.sleep(pause).await;
            second.write(&read, 3000 + round).await
        };
        let outcomes = join!(first.write(&read, 2000 + round), second_write);
        testbed.set_store_faults(KeyValueFaults::default()).await;
        let stored = testbed.stored_config().await;
        testbed.wait_revision(stored.revision).await;
        for (outcome, change) in [outcomes.0, outcomes.1] {
            let is_stored = stored.history.iter().any(|known| known.id == change);
            match outcome {
                WriteOutcome::Accepted { .. } => {
                    accepted += 1;
                    testbed.check(is_stored, || {
                        format!("{change} was accepted but is not in the history")
                    });
                }
                WriteOutcome::Unknown => unknown += 1,
                _ => testbed.check(!is_stored, || {
                    format!("{change} is in the history, but its outcome was {outcome:?}")
                }),
            }
        }
    }
    testbed.check(accepted + unknown > 0, || "every change was refused".into());
    testbed.set_note(format!("{accepted} accepted, {unknown} unknown"));
    testbed.finish().await
}

/// Reads return the configuration before the last change, while changes are made and nodes restart.
/// No node may return to an older revision.
async fn stale_reads(context: Context) -> CaseReport {
    let testbed = start_nodes(&context).await;
    let operator = testbed.operator("operator");
    let stop = Cell::new(false);
    let stale = KeyValueFaults {
        stale_reads: true,
        delay_millis: STALE_MILLIS,
        ..KeyValueFaults::default()
    };
    let changes = async {
        for round in 0..4 {
            let read = operator.read().await;
            testbed.set_store_faults(stale.clone()).await;
            let (outcome, _) = operator.write(&read, 1000 + round).await;
            let accepted = matches!(outcome, WriteOutcome::Accepted { .. });
            testbed.check(accepted, || format!("a change was not accepted: {outcome:?}"));
            testbed.wait_revision(read.config.revision + 1).await;
            let node = round as usize % NODES;
            testbed.cluster.restart_node(node, DOMAINS[node % DOMAINS.len()]);
            testbed.wait_revision(read.config.revision + 1).await;
            testbed.sleep(2 * STALE_MILLIS).await;
            testbed.set_store_faults(KeyValueFaults::default()).await;
        }
        stop.set(true);
    };
    join!(testbed.watch_revisions(&stop), changes);
    testbed.finish().await
}

/// The stored configuration is replaced by an older one, as if restored from a backup. The nodes
/// keep the newest revision.
async fn older_record(context: Context) -> CaseReport {
    let testbed = start_nodes(&context).await;
    let operator = testbed.operator("operator");
    let old = testbed.stored_config().await;
    let mut newest = 0;
    for round in 0..3 {
        newest = testbed.change(&operator, |config| with_depth(config, 1000 + round)).await;
    }
    testbed.wait_revision(newest).await;
    let stop = Cell::new(false);
    let replace = async {
        let store = testbed.cluster.store();
        let entry = store.get(CONFIG_KEY).await.ok().flatten();
        let expected = entry.map_or(Expected::Absent, |entry| Expected::Version(entry.version));
        let put = store.put(CONFIG_KEY, expected, old.to_toml(), None).await;
        let stored = matches!(put, Ok(PutReply::Stored(_)));
        testbed.check(stored, || format!("the older configuration was not written: {put:?}"));
        testbed.cluster.clock.sleep(IN_FORCE_LIMIT / 2).await;
        stop.set(true);
    };
    join!(testbed.watch_revisions(&stop), replace);
    testbed.wait_revision(newest).await;
    testbed.finish().await
}

async fn restart_in_outage(context: Context) -> CaseReport {
    let testbed = start_nodes(&context).await;
    let revision = testbed.change(&testbed.operator("operator"), |c| with_depth(c, 1000)).await;
    testbed.wait_revision(revision).await;
    testbed.set_store_faults(refusing()).await;
    let node = context.rng().random_range(0..NODES);
    let started = testbed.now();
    testbed.cluster.restart_node(node, DOMAINS[node % DOMAINS.len()]);
    testbed.wait_revision(revision).await;
    testbed.record_recovery(testbed.now().since(started));
    testbed.finish().await
}

async fn join_in_outage(context: Context) -> CaseReport {
    let mut testbed = start_nodes(&context).await;
    let revision = testbed.change(&testbed.operator("operator"), |c| with_depth(c, 1000)).await;
    testbed.wait_revision(revision).await;
    testbed.set_store_faults(refusing()).await;
    let started = testbed.now();
    testbed.cluster.add_node("node-late", DOMAINS[0]).await;
    testbed.wait_revision(revision).await;
    testbed.record_recovery(testbed.now().since(started));
    testbed.finish().await
}

/// Each node in turn is restarted while changes are made.
async fn nodes_in_turn(context: Context) -> CaseReport {
    let testbed = start_nodes(&context).await;
    let operator = testbed.operator("operator");
    let (stop, done) = (Cell::new(false), Cell::new(false));
    let newest = Cell::new(1);
    let changes = async {
        while !done.get() {
            let depth = 1000 + newest.get();
            newest.set(testbed.change(&operator, |config| with_depth(config, depth)).await);
            testbed.sleep(200).await;
        }
    };
    let restarts = async {
        for node in 0..NODES {
            testbed.cluster.restart_node(node, DOMAINS[node % DOMAINS.len()]);
            testbed.wait_revision(newest.get()).await;
            // Gives the node time to watch the key again, if it is one of the watchers.
            testbed.cluster.clock.sleep(SETTLE_TIME).await;
        }
        done.set(true);
    };
    let work = async {
        join!(changes, restarts);
        testbed.wait_revision(newest.get()).await;
        stop.set(true);
    };
    join!(testbed.watch_revisions(&stop), work);
    testbed.set_note(format!("{} changes during {NODES} restarts", newest.get() - 1));
    testbed.finish().await
}

/// An operator drains an engine by an exception in the configuration, under load through all nodes.
async fn engine_drained(context: Context) -> CaseReport {
    let setup = Setup { nodes: 3, services: 0, replicas: 2, ..Setup::default() };
    let testbed = Testbed::start(&context, setup).await;
    testbed.cluster.clock.sleep(SETTLE_TIME).await;
    let operator = testbed.operator("operator");
    let engine = testbed.engine(&Position::Middle.engine(0));
    let leave = async {
        let reason = "its fan is to be replaced";
        testbed.change(&operator, |config| edit::drain(config, &engine.name, reason)).await;
    };
    let load = leave_under_load(&testbed, engine, leave).await;
    check_load(&testbed, &load);
    testbed.finish().await
}

/// A copy of the configuration with another queue depth.
fn with_depth(config: &FleetConfig, depth: u64) -> FleetConfig {
    let mut changed = config.clone();
    changed.defaults.queue_depth = depth;
    changed
}
