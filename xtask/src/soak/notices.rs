//! Workers that say in their answers that they are leaving or ask for pauses, and the check of the
//! requests that reach them nevertheless.

use std::{collections::BTreeMap, ops::Range, rc::Rc, time::Duration};

use clock::Timestamp;
use rand::{Rng, SeedableRng, rngs::StdRng};
use standins::platform::{PlatformFault, Seen};

use super::{ENGINES, Fleet, WORKERS, callers::Tally};

/// Added to the seed of the other faults, whose sequence does not depend on these.
const SEED_OFFSET: u64 = 1 << 32;
/// Range of the pauses before each fault, in milliseconds.
const GAP_MS: Range<u64> = 600..1800;
/// Range of the times for which a worker refuses requests, in milliseconds.
const REFUSE_MS: Range<u64> = 500..1500;
/// Range of the pauses that a worker asks for, in milliseconds.
const PAUSE_MS: Range<u64> = 1500..4000;
/// Time after an answer that says that its worker is leaving within which its node may still send
/// the worker requests.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// Lets random workers leave or ask for pauses until `end`.
pub(super) async fn inject(fleet: Rc<Fleet>, seed: u64, end: Timestamp) {
    let mut rng = StdRng::seed_from_u64(seed + SEED_OFFSET);
    loop {
        fleet.clock.sleep(Duration::from_millis(rng.random_range(GAP_MS))).await;
        if fleet.clock.now() >= end {
            return;
        }
        let worker = rng.random_range(0..WORKERS);
        let fault = if rng.random_bool(0.5) {
            PlatformFault::Leave { worker }
        } else {
            // Few requests enter through any one engine, so replicas are chosen more often.
            let replica = rng.random_range(ENGINES..WORKERS);
            let worker = if rng.random_bool(0.7) { replica } else { worker };
            let millis = rng.random_range(REFUSE_MS);
            PlatformFault::Pause { worker, millis, pause_millis: rng.random_range(PAUSE_MS) }
        };
        fleet.inject_platform_fault(&fault).await;
    }
}

/// The requests that reached a leaving worker from a node, although they were sent to the node long
/// after it had passed on an answer which said so.
pub(super) fn late_requests(seen: &Seen, tallies: &[Tally]) -> Vec<String> {
    let sent: BTreeMap<_, _> = tallies.iter().flat_map(|tally| &tally.sent).collect();
    let mut passed_on = BTreeMap::new();
    for (key, at) in tallies.iter().flat_map(|tally| &tally.passed_on) {
        passed_on.entry(key).or_insert(at);
    }
    let mut late = Vec::new();
    for (id, worker) in &seen.leaving_arrivals {
        let Some((node, sent_at)) = sent.get(id) else { continue };
        let Some(known_at) = passed_on.get(&(node.clone(), worker.clone())) else { continue };
        let age = sent_at.since(**known_at);
        if age > DRAIN_LIMIT {
            late.push(format!("DRAIN: {id} reached {worker} from {node} after {age:?}"));
        }
    }
    late
}
