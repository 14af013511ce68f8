//! Orders to engines while the node that gives them (the holder of the order lease) is paused or
//! killed, while the key-value service is down, and while the version of a model changes.

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
/// Spare engines, which start without a model.
const SPARES: u32 = 2;
/// Time within which a new holder of the lease has to replace a lost replica: the rest of the old
/// lease (9 s), the time until the next attempt to take it (3 s), the margin (1 s), the time until
/// the engine is suspected, and the time to load the layers.
const REPLACE_LIMIT: Duration = Duration::from_secs(25);
/// Time within which the effects of stale orders have to be repaired.
const REPAIR_LIMIT: Duration = Duration::from_secs(10);
/// Time within which all engines have to load a new version.
const VERSION_LIMIT: Duration = Duration::from_secs(50);
/// Time of an outage of the key-value service after which no lease is valid.
const LEASE_END: Duration = Duration::from_secs(10);
/// Rest of the outage after `LEASE_END`. No order may be given during it.
const OUTAGE_REST: Duration = Duration::from_secs(5);
/// Interval at which nodes and engines are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

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
    // The spare engines are added last. Otherwise the planner would use them in place of replicas
    // that it does not know yet.
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

/// Pauses the holder for longer than its lease. One replica is killed during the pause and another
/// just before its end, so that both the old and the new holder have a reason to give an order.
/// With `fencing`, no engine may obey the old holder.
async fn pause_holder(testbed: &Testbed, fencing: bool) {
    let (holder, lease) = testbed.order_holder().await;
    let others: Vec<usize> = (0..NODES).filter(|node| *node != holder).collect();
    let stop = Cell::new(false);
    let inject_faults = async {
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
            // Later orders must not have undone the repair.
            testbed.wait_replicas(&all, &[&first, &second], Duration::ZERO).await;
            repaired
        };
        let watch = async {
            while fencing && !done.get() {
                for (engine, token) in testbed.order_tokens().await {
                    let obeyed = token == lease.version && before.get(&engine) != Some(&token);
                    testbed.check(!obeyed, || format!("{engine} obeyed the old holder"));
                }
                testbed.cluster.clock.sleep(POLL_INTERVAL).await;
            }
        };
        let (repaired, ()) = join!(repair, watch);
        stop.set(true);
        (replaced, repaired)
    };
    let (load, (replaced, repaired)) = join!(testbed.load_through(&others, &stop), inject_faults);
    check_completions(testbed, &load);
    testbed.set_note(format!(
        "replaced after {} ms, repaired {} ms after the pause; {} completions",
        replaced.as_millis(),
        repaired.as_millis(),
        load.completions
    ));
}

/// No orders are given once the lease has expired. Completions are still served.
async fn store_down(context: Context) -> CaseReport {
    let testbed = start(&context, SPARES, &[]).await;
    let nodes: Vec<usize> = (0..NODES).collect();
    let stop = Cell::new(false);
    let lost = Position::Middle.engine(0);
    let inject_faults = async {
        let refuse = KeyValueFaults { refuse: true, ..KeyValueFaults::default() };
        testbed.set_store_faults(refuse).await;
        testbed.cluster.clock.sleep(LEASE_END).await;
        let mut before = testbed.order_tokens().await;
        testbed.engine(&lost).kill();
        testbed.cluster.clock.sleep(OUTAGE_REST).await;
        before.remove(&lost);
        let after = testbed.order_tokens().await;
        testbed.check(before == after, || {
            format!("orders were given without a lease: {before:?}, then {after:?}")
        });
        testbed.set_store_faults(KeyValueFaults::default()).await;
        testbed.record_recovery(testbed.wait_replicas(&nodes, &[&lost], REPLACE_LIMIT).await);
        stop.set(true);
    };
    let (load, ()) = join!(testbed.load_through(&nodes, &stop), inject_faults);
    check_completions(&testbed, &load);
    testbed.finish().await
}

async fn holder_killed(context: Context) -> CaseReport {
    let testbed = start(&context, SPARES, &[]).await;
    let (holder, _) = testbed.order_holder().await;
    let others: Vec<usize> = (0..NODES).filter(|node| *node != holder).collect();
    let stop = Cell::new(false);
    let lost = Position::Last.engine(0);
    let inject_faults = async {
        testbed.cluster.nodes[holder].kill();
        testbed.engine(&lost).kill();
        testbed.record_recovery(testbed.wait_replicas(&others, &[&lost], REPLACE_LIMIT).await);
        stop.set(true);
    };
    let (load, ()) = join!(testbed.load_through(&others, &stop), inject_faults);
    check_completions(&testbed, &load);
    testbed.finish().await
}

/// All engines load a new version while completions are served.
async fn version_change(context: Context) -> CaseReport {
    let testbed = start(&context, 0, &[]).await;
    let nodes: Vec<usize> = (0..NODES).collect();
    let operator = testbed.operator("operator");
    let stop = Cell::new(false);
    let change_version = async {
        let started = testbed.now();
        let change = testbed.change(&operator, |config| {
            let mut changed = config.clone();
            let models = changed.models.iter_mut().filter(|(name, _)| name.as_str() == MODEL);
            models.for_each(|(_, model)| model.version = "2".into());
            changed
        });
        change.await;
        while testbed.loaded(0, &[]).await.values().any(|loaded| !loaded.ends_with("version 2")) {
            if testbed.now().since(started) > VERSION_LIMIT {
                testbed.add_problem(format!(
                    "not all engines loaded the new version: {:?}",
                    testbed.loaded(0, &[]).await
                ));
                break;
            }
            testbed.cluster.clock.sleep(POLL_INTERVAL).await;
        }
        let time = testbed.now().since(started);
        testbed.sleep(1000).await;
        stop.set(true);
        time
    };
    let (load, time) = join!(testbed.load_through(&nodes, &stop), change_version);
    check_completions(&testbed, &load);
    let (completions, retried) = (load.completions, load.retried);
    testbed
        .set_note(format!("{} ms; {completions} completions, {retried} retried", time.as_millis()));
    testbed.finish().await
}

/// Checks that completions ran and that none failed.
fn check_completions(testbed: &Testbed, load: &CompletionTally) {
    testbed.check(load.completions > 0, || "no completion ran".into());
    testbed.check(load.wrong == 0, || {
        format!("{} of {} completions failed", load.wrong, load.completions)
    });
}

impl Testbed {
    /// Waits until a node holds the order lease. Returns the index of the node and the entry of the
    /// lease, whose version is the fencing token.
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
            assert!(self.now() < deadline, "no node holds the order lease");
            self.cluster.clock.sleep(POLL_INTERVAL).await;
        }
    }

    /// Fencing token of the last order that each running engine accepted.
    async fn order_tokens(&self) -> BTreeMap<String, u64> {
        let engines = self.cluster.engines.iter().filter(|engine| engine.exit_code().is_none());
        let tokens = engines.map(|engine| async {
            let client = HttpClient::new(self.cluster.clock.clone(), engine.addr());
            let load = client.get_json::<serde_json::Value>("/v1/load", CONTROL_TIMEOUTS).await;
            Some((engine.name.clone(), load.ok()?["order_token"].as_u64()?))
        });
        join_all(tokens).await.into_iter().flatten().collect()
    }

    /// The layers that each available engine has loaded according to a node, without the lost
    /// engines.
    async fn loaded(&self, node: usize, lost: &[&str]) -> BTreeMap<String, String> {
        let status = self.cluster.status(&self.cluster.nodes[node]).await;
        let engines = status.map(|status| status.engines).unwrap_or_default();
        let engines = engines.into_iter().filter(|engine| engine.available);
        let engines = engines.map(|engine| (engine.engine.to_string(), engine.loaded));
        engines.filter(|(name, _)| !lost.contains(&name.as_str())).collect()
    }

    /// Waits until the nodes report `REPLICAS` engines for each layer range, lost engines not
    /// counted. Returns the time it took.
    async fn wait_replicas(&self, nodes: &[usize], lost: &[&str], limit: Duration) -> Duration {
        let started = self.now();
        for &node in nodes {
            loop {
                let loaded = self.loaded(node, lost).await;
                if has_replicas(&loaded) {
                    break;
                }
                if self.now().since(started) > limit {
                    self.add_problem(format!(
                        "node-{node} does not report all replicas: {loaded:?}"
                    ));
                    break;
                }
                self.cluster.clock.sleep(POLL_INTERVAL).await;
            }
        }
        self.now().since(started)
    }

    /// Runs completions through each of the nodes until `stop` is set, one after the other per
    /// node.
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
                self.add_problem(format!("completion is not complete and correct: {outcome:?}"));
            }
            load.add(&outcome, correct);
        }
        load
    }
}

/// Whether `REPLICAS` engines have loaded version 1 of each layer range.
fn has_replicas(loaded: &BTreeMap<String, String>) -> bool {
    let layers = MODELS.iter().find(|(name, _)| *name == MODEL).map_or(0, |(_, layers)| *layers);
    let size = layers / RANGES;
    (0..RANGES).all(|range| {
        let wanted = format!("{MODEL} {}..{} version 1", range * size, (range + 1) * size);
        loaded.values().filter(|found| **found == wanted).count() >= REPLICAS as usize
    })
}
