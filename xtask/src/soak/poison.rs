//! Requests that crash the workers that run them, workers whose answers have no end, and the check that
//! the nodes refuse such requests in time.

use std::{cell::RefCell, collections::BTreeSet, ops::Range, rc::Rc, time::Duration};

use clock::Timestamp;
use rand::{Rng, SeedableRng, rngs::StdRng};
use standins::platform::{PlatformFault, Seen, poison_call, poison_prompt, quiet_prompt};
use transport::{HttpClient, Timeouts};

use super::{ENGINES, Fleet, WORKERS};

/// Added to the seed of the other faults, whose sequence does not depend on these.
const SEED_OFFSET: u64 = 2 << 32;
/// Timeouts of the connections for these requests.
const TIMEOUTS: Timeouts = Timeouts::from_millis(500, 4000);
/// Range of the pauses between two of these requests, in milliseconds.
const GAP_MS: Range<u64> = 200..600;
/// Range of the times for which the answers of a worker have no end, in milliseconds.
const ENDLESS_MS: Range<u64> = 300..1200;
/// Range of the events that an engine sends before it crashes.
const EVENTS: Range<u32> = 0..12;
/// Most places before the poison part of a prompt.
const MAX_PLACE: usize = 60;
/// Time for which a node must have run undisturbed to be bound by the limits.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Crashes by prompts with one part, and by one call, after which they are limited.
const PROMPT_LIMIT: usize = 5;
const CALL_LIMIT: usize = 3;
/// Requests that may reach workers later than [`CONTACT_TIME`] after these crashes.
const ALLOWED: usize = 3;

/// Prompts of the quiet caller. Half of their answers have to begin.
const QUIET_PROMPTS: usize = 20;

/// Attempts that were sent to a node which had run undisturbed.
pub(super) type BoundAttempts = Rc<RefCell<BTreeSet<String>>>;

/// Sends such requests to random nodes until `end`. All prompts of a seed crash their engines after the
/// same number of events.
pub(super) async fn inject(fleet: Rc<Fleet>, seed: u64, end: Timestamp, bound: BoundAttempts) {
    let mut rng = StdRng::seed_from_u64(seed + SEED_OFFSET);
    let (place, events) = (rng.random_range(0..=MAX_PLACE), rng.random_range(EVENTS));
    let now = fleet.clock.now();
    let mut names: Vec<(String, Timestamp)> =
        fleet.nodes.iter().map(|node| (node.name(), now)).collect();
    for count in 0.. {
        fleet.clock.sleep(Duration::from_millis(rng.random_range(GAP_MS))).await;
        let now = fleet.clock.now();
        if now >= end {
            return;
        }
        for (known, node) in names.iter_mut().zip(&fleet.nodes) {
            if known.0 != node.name() {
                *known = (node.name(), now);
            }
        }
        let number = rng.random_range(0..fleet.nodes.len());
        let id = format!("s{seed}-poison-{count}");
        let (name, since) = &names[number];
        if now.since(*since) > CONTACT_TIME {
            bound.borrow_mut().insert(id.clone());
        }
        let request = match rng.random_range(0..6) {
            0..2 => poison_call(&id, name),
            2..5 => poison_prompt(&id, name, place, events),
            _ => {
                let worker = rng.random_range(ENGINES..WORKERS);
                let millis = rng.random_range(ENDLESS_MS);
                fleet.inject_platform_fault(&PlatformFault::Endless { worker, millis }).await;
                continue;
            }
        };
        let client = HttpClient::new(fleet.clock.clone(), fleet.nodes[number].callers);
        compio::runtime::spawn(async move {
            // Any outcome is allowed: the request is refused, or its workers crash.
            if let Ok(mut response) = client.send(request, TIMEOUTS).await {
                while let Ok(Some(_)) = response.chunk(TIMEOUTS.progress).await {}
            }
        })
        .detach();
    }
}

/// Sends the sound prompts of a caller that was quiet while the poison prompts came, to the nodes in
/// turn. Returns what is wrong if too few of their answers begin.
pub(super) async fn check_quiet_caller(fleet: &Fleet, seed: u64) -> Option<String> {
    let mut begun = 0;
    for count in 0..QUIET_PROMPTS {
        let node = &fleet.nodes[count % fleet.nodes.len()];
        let request = quiet_prompt(&format!("s{seed}-quiet-{count}"), &node.name());
        let client = HttpClient::new(fleet.clock.clone(), node.callers);
        if let Ok(mut response) = client.send(request, TIMEOUTS).await
            && response.status().is_success()
        {
            begun += usize::from(matches!(response.chunk(TIMEOUTS.progress).await, Ok(Some(_))));
        }
    }
    println!("    quiet caller: {begun} of {QUIET_PROMPTS} begin");
    (begun * 2 < QUIET_PROMPTS)
        .then(|| format!("LOST: {begun} of {QUIET_PROMPTS} prompts of a quiet caller begin"))
}

/// The poison requests that reached workers although their nodes had to refuse them.
pub(super) fn late_requests(seen: &Seen, bound: &BTreeSet<String>) -> Vec<String> {
    let kinds = [
        ("prompts with a part that crashes engines", &seen.poison_prompts, PROMPT_LIMIT),
        ("copies of a poison call", &seen.poison_calls, CALL_LIMIT),
    ];
    kinds
        .into_iter()
        .filter_map(|(kind, arrivals, limit)| {
            let (_, limit_ms) = arrivals.get(limit - 1)?;
            let from = limit_ms + CONTACT_TIME.as_millis() as u64;
            let late: BTreeSet<&String> = arrivals
                .iter()
                .filter(|(id, at)| *at > from && bound.contains(id))
                .map(|(id, _)| id)
                .collect();
            let count = late.len();
            (count > ALLOWED).then(|| {
                format!(
                    "BUDGET: {count} {kind} reached workers too late, after {limit_ms} ms: {late:?}"
                )
            })
        })
        .collect()
}
