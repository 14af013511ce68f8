//! Orders to engines while their giver is paused or killed, the key-value service is down or the
//! version of a model changes.

use std::{cell::Cell, collections::BTreeMap, time::Duration};

use fleet::ORDER_LEASE_KEY;
use futures_util::{future::join_all, join};
use keyvalue::{KeyValue, api::Entry};
use standins::keyvalue::KeyValueFaults;
use transport::HttpClient;

use crate::{
    cluster::{CONTROL_TIMEOUTS, EngineSpec},
    faults::{
        Case, CaseReport, Context,
        completions::{CompletionTally, MODEL, Position, completion, engine_specs},
        testbed::{Setup, Testbed},
    },
    workload::{DOMAINS, MODELS, RANGES},
};

const NODES: usize = 3;
/// Replicas of each layer range.
const REPLICAS: u32 = 2;
/// Engines without a model.
const SPARES: u32 = 2;
/// Time in which a lost replica is replaced by another holder of the lease: what is left of the
/// old lease (9 s), the next try for it (3 s), the margin (1 s), the suspicion and the load.
const REPLACE_LIMIT: Duration = Duration::from_secs(25);
/// Time in which stale orders are made good.
const REPAIR_LIMIT: Duration = Duration::from_secs(10);
/// Time in which all engines change to a new version.
const ROLL_LIMIT: Duration = Duration::from_secs(50);
/// Time of an outage of the key-value service after which no lease is valid.
const LEASE_END: Duration = Duration::from_secs(10);
/// Rest of the outage, in which no order may be given.
const OUTAGE_REST: Duration = Duration::from_secs(5);
/// Interval of the looks at nodes and engines.
const POLL: Duration = Duration::from_millis(20);

/// The cases of this module.
pub(crate) fn cases() -> Vec<Case> {
    vec![
        Case::new("orders/holder-paused", "R1 R2", "F6", holder_paused),
        Case::new("orders/holder-paused-no-fencing", "R1 R2", "F6", holder_paused_no_fencing),
        Case::new("orders/store-down", "R2", "F4", store_down),
        Case::new("orders/holder-killed", "R2", "F1", holder_killed),
        Case::new("orders/version-change", "R1 R2", "planned change", version_change),
    ]
}

/// Starts nodes, two engines for each layer range of one model, and spare engines.
async fn start(context: &Context, spares: u32, args: &[&str]) -> Testbed {
    let setup = Setup { nodes: NODES, services: 0, ..Setup::default() };
    let mut testbed = Testbed::start(context, setup).await;
    let operator = testbed.operator("operator");
    let revision = testbed.change(&operator, |config| {
        let mut changed = config.clone();
        changed.models.retain(|name, _| name.as_str() == MODEL);
        changed
    });
    let revision = revision.await;
    testbed.wait_revision(revision).await;
    // The spare engines come last: before, replicas that are not known yet would be replaced.
    let spare = |index: u32| EngineSpec {
        name: format!("spare-{index}"),
        domain: DOMAINS[index as usize % DOMAINS.len()].into(),
        args: Vec::new(),
    };
    for group in [engine_specs(REPLICAS), (0..spares).map(spare).collect()] {
        for mut spec in group {
            spec.args.extend(args.iter().map(|arg| (*arg).to_owned()));
            testbed.cluster.add_engine(&spec).await;
        }
        let ready = testbed.cluster.wait_ready(testbed.cluster.engines.len()).await;
        testbed.check(ready, || "the nodes do not know the engines".into());
    }
    testbed
}

async fn holder_paused(context: Context) -> CaseReport {
    let testbed = start(&context, SPARES, &[]).await;
    pause_holder(&testbed, true).await;
    testbed.finish().await
}

async fn holder_paused_no_fencing(context: Context) -> CaseReport {
    let testbed = start(&context, SPARES, &["--ignore-fencing"]).await;
    pause_holder(&testbed, false).await;
    testbed.finish().await
}

/// The holder is paused for longer than its lease. A replica is lost during the pause and another
/// one just before its end, so that the old and the new holder both see a reason for an order.
async fn pause_holder(testbed: &Testbed, fencing: bool) {
    let (holder, lease) = testbed.order_holder().await;
    let others: Vec<usize> = (0..NODES).filter(|node| *node != holder).collect();
    let stop = Cell::new(false);
    let disturb = async {
        testbed.cluster.nodes[holder].pause();
        let first = Position::Middle.engine(0);
        testbed.engine(&first).kill();
        let replaced = testbed.wait_replicas(&others, &[&first], REPLACE_LIMIT).await;
        testbed.record_recovery(replaced);
        let (_, next) = testbed.order_holder().await;
        testbed.check(next.version > lease.version, || "no other node holds the lease".into());
        let second = Position::First.engine(1);
        let before = testbed.order_tokens().await;
        testbed.engine(&second).kill();
        testbed.cluster.nodes[holder].resume();
        let all: Vec<usize> = (0..NODES).collect();
        let done = Cell::new(false);
        let repair = async {
            let repaired = testbed.wait_replicas(&all, &[&first, &second], REPAIR_LIMIT).await;
            testbed.cluster.clock.sleep(REPAIR_LIMIT.saturating_sub(repaired)).await;
            done.set(true);
            // Orders that came later must not have undone the repair.
            testbed.wait_replicas(&all, &[&first, &second], Duration::ZERO).await;
            repaired
        };
        let watch = async {
            while fencing && !done.get() {
                for (engine, token) in testbed.order_tokens().await {
                    let obeyed = token == lease.version && before.get(&engine) != Some(&token);
                    testbed.check(!obeyed, || format!("{engine} obeyed the old holder"));
                }
                testbed.cluster.clock.sleep(POLL).await;
            }
        };
        let (repaired, ()) = join!(repair, watch);
        stop.set(true);
        (replaced, repaired)
    };
    let (load, (replaced, repaired)) = join!(testbed.load_through(&others, &stop), disturb);
    check_completions(testbed, &load);
    testbed.set_note(format!(
        "replaced after {} ms, after the pause {} ms; {} completions",
        replaced.as_millis(),
        repaired.as_millis(),
        load.completions
    ));
}

/// No orders are given once the lease has ended; completions go on.
async fn store_down(context: Context) -> CaseReport {
    let testbed = start(&context, SPARES, &[]).await;
    let nodes: Vec<usize> = (0..NODES).collect();
    let stop = Cell::new(false);
    let lost = Position::Middle.engine(0);
    let disturb = async {
        let refuse = KeyValueFaults { refuse: true, ..KeyValueFaults::default() };
        testbed.set_store_faults(refuse).await;
        testbed.cluster.clock.sleep(LEASE_END).await;
        let mut before = testbed.order_tokens().await;
        testbed.engine(&lost).kill();
        testbed.cluster.clock.sleep(OUTAGE_REST).await;
        before.remove(&lost);
        let after = testbed.order_tokens().await;
        testbed.check(before == after, || format!("orders without a lease: {before:?}, {after:?}"));
        testbed.set_store_faults(KeyValueFaults::default()).await;
        testbed.record_recovery(testbed.wait_replicas(&nodes, &[&lost], REPLACE_LIMIT).await);
        stop.set(true);
    };
    let (load, ()) = join!(testbed.load_through(&nodes, &stop), disturb);
    check_completions(&testbed, &load);
    testbed.finish().await
}

async fn holder_killed(context: Context) -> CaseReport {
    let testbed = start(&context, SPARES, &[]).await;
    let (holder, _) = testbed.order_holder().await;
    let others: Vec<usize> = (0..NODES).filter(|node| *node != holder).collect();
    let stop = Cell::new(false);
    let lost = Position::Last.engine(0);
    let disturb = async {
        testbed.cluster.nodes[holder].kill();
        testbed.engine(&lost).kill();
        testbed.record_recovery(testbed.wait_replicas(&others, &[&lost], REPLACE_LIMIT).await);
        stop.set(true);
    };
    let (load, ()) = join!(testbed.load_through(&others, &stop), disturb);
    check_completions(&testbed, &load);
    testbed.finish().await
}

/// All engines change to a new version while completions go on.
async fn version_change(context: Context) -> CaseReport {
    let testbed = start(&context, 0, &[]).await;
    let nodes: Vec<usize> = (0..NODES).collect();
    let operator = testbed.operator("operator");
    let stop = Cell::new(false);
    let roll = async {
        let started = testbed.now();
        let change = testbed.change(&operator, |config| {
            let mut changed = config.clone();
            let models = changed.models.iter_mut().filter(|(name, _)| name.as_str() == MODEL);
            models.for_each(|(_, model)| model.version = "2".into());
            changed
        });
        change.await;
        while testbed.loaded(0, &[]).await.values().any(|loaded| !loaded.ends_with("version 2")) {
            if testbed.now().since(started) > ROLL_LIMIT {
                testbed.add_problem(format!("not all changed: {:?}", testbed.loaded(0, &[]).await));
                break;
            }
            testbed.cluster.clock.sleep(POLL).await;
        }
        let time = testbed.now().since(started);
        testbed.sleep(1000).await;
        stop.set(true);
        time
    };
    let (load, time) = join!(testbed.load_through(&nodes, &stop), roll);
    check_completions(&testbed, &load);
    let (completions, retried) = (load.completions, load.retried);
    testbed
        .set_note(format!("{} ms; {completions} completions, {retried} retried", time.as_millis()));
    testbed.finish().await
}

fn check_completions(testbed: &Testbed, load: &CompletionTally) {
    testbed.check(load.completions > 0, || "no completion ran".into());
    testbed.check(load.wrong == 0, || {
        format!("{} of {} completions failed", load.wrong, load.completions)
    });
}

impl Testbed {
    /// Waits for a holder of the lease for orders. Returns its node and the entry of the lease,
    /// whose version is the fencing token.
    async fn order_holder(&self) -> (usize, Entry) {
        let deadline = self.now() + REPLACE_LIMIT;
        loop {
            let entry = self.cluster.store().get(ORDER_LEASE_KEY).await.ok().flatten();
            let found = entry.and_then(|entry| {
                let nodes = &self.cluster.nodes;
                Some((nodes.iter().position(|node| node.name == entry.value)?, entry))
            });
            if let Some(found) = found {
                return found;
            }
            assert!(self.now() < deadline, "a node holds the lease for orders");
            self.cluster.clock.sleep(POLL).await;
        }
    }

    /// Fencing token of the last order that each running engine took.
    async fn order_tokens(&self) -> BTreeMap<String, u64> {
        let engines = self.cluster.engines.iter().filter(|engine| engine.exit_code().is_none());
        let tokens = engines.map(|engine| async {
            let client = HttpClient::new(self.cluster.clock.clone(), engine.addr());
            let load = client.get_json::<serde_json::Value>("/v1/load", CONTROL_TIMEOUTS).await;
            Some((engine.name.clone(), load.ok()?["order_token"].as_u64()?))
        });
        join_all(tokens).await.into_iter().flatten().collect()
    }

    /// What the available engines have loaded as a node knows it, without the lost ones.
    async fn loaded(&self, node: usize, lost: &[&str]) -> BTreeMap<String, String> {
        let status = self.cluster.status(&self.cluster.nodes[node]).await;
        let engines = status.map(|status| status.engines).unwrap_or_default();
        let engines = engines.into_iter().filter(|engine| engine.available);
        let engines = engines.map(|engine| (engine.engine.to_string(), engine.loaded));
        engines.filter(|(name, _)| !lost.contains(&name.as_str())).collect()
    }

    /// Waits until the nodes know all replicas of each layer range without the lost engines.
    /// Returns the time it took.
    async fn wait_replicas(&self, nodes: &[usize], lost: &[&str], limit: Duration) -> Duration {
        let started = self.now();
        for &node in nodes {
            loop {
                let loaded = self.loaded(node, lost).await;
                if has_replicas(&loaded) {
                    break;
                }
                if self.now().since(started) > limit {
                    self.add_problem(format!("node-{node} misses replicas: {loaded:?}"));
                    break;
                }
                self.cluster.clock.sleep(POLL).await;
            }
        }
        self.now().since(started)
    }

    /// Runs completions one after the other through each of the nodes until `stop`.
    async fn load_through(&self, nodes: &[usize], stop: &Cell<bool>) -> CompletionTally {
        let callers = nodes.iter().map(|&node| async move {
            let mut outcomes = Vec::new();
            while !stop.get() {
                let number = outcomes.len() as u32 + 1;
                outcomes.push(self.try_completion(node, &completion(number)).await);
            }
            outcomes
        });
        let mut load = CompletionTally::default();
        for (outcome, correct) in join_all(callers).await.into_iter().flatten() {
            if !correct && load.wrong < 2 {
                self.add_problem(format!("completion is not whole and correct: {outcome:?}"));
            }
            load.add(&outcome, correct);
        }
        load
    }
}

fn has_replicas(loaded: &BTreeMap<String, String>) -> bool {
    let layers = MODELS.iter().find(|(name, _)| *name == MODEL).map_or(0, |(_, layers)| *layers);
    let size = layers / RANGES;
    (0..RANGES).all(|range| {
        let wanted = format!("{MODEL} {}..{} version 1", range * size, (range + 1) * size);
        loaded.values().filter(|found| **found == wanted).count() >= REPLICAS as usize
    })
}
