//! Guards against the refusal of requests that only shared crashed engines with the request that
//! crashed them, and against a crashing request that is excused by its companions.

use std::{collections::HashMap, time::Duration};

use crashes::{CrashedRuns, is_poison};
use proptest::prelude::*;
use types::{Digest, UpstreamName};

const LIMIT: usize = 2;
const POISON: Digest = Digest(0);

/// Crashes of engines: for each, how long each request had run on it.
type Crashes = Vec<Vec<(Digest, u64)>>;

fn crashed_runs(crashes: &Crashes) -> HashMap<Digest, CrashedRuns> {
    let mut runs: HashMap<Digest, CrashedRuns> = HashMap::new();
    for (number, crash) in crashes.iter().enumerate() {
        for (request, micros) in crash {
            let process = (UpstreamName::from("engine"), number as u64);
            let run_time = Some(Duration::from_micros(*micros));
            runs.entry(*request).or_default().add(process, run_time);
        }
    }
    runs
}

/// A crash that the poison request causes soon after it has started. Its companions had started
/// before.
fn crash_strategy() -> impl Strategy<Value = Vec<(Digest, u64)>> {
    let companions = prop::collection::btree_map(1..6_u128, 1..100_000_u64, 0..5);
    (companions, 0..2_000_u64).prop_map(|(companions, own)| {
        let others =
            companions.into_iter().map(|(request, before)| (Digest(request), own + before));
        others.chain([(POISON, own)]).collect()
    })
}

proptest! {
    #[test]
    fn the_cause_is_refused_at_the_limit_and_no_companion_is(
        crashes in prop::collection::vec(crash_strategy(), LIMIT),
    ) {
        let runs = crashed_runs(&crashes);
        prop_assert!(is_poison(&runs, POISON, LIMIT));
        for companion in runs.keys().filter(|request| **request != POISON) {
            prop_assert!(!is_poison(&runs, *companion, LIMIT));
        }
    }

    #[test]
    fn a_request_is_refused_from_twice_the_limit_whatever_its_companions_did(
        run_times in prop::collection::vec((0..1000_u64, 0..1000_u64), 2 * LIMIT),
    ) {
        let crashes: Crashes = run_times
            .into_iter()
            .map(|(own, other)| vec![(POISON, own), (Digest(1), other)])
            .collect();
        prop_assert!(is_poison(&crashed_runs(&crashes), POISON, LIMIT));
    }
}

#[test]
fn a_request_that_crashes_engines_late_is_refused_once_a_crash_has_no_other_explanation() {
    let poison = (POISON, 900);
    let companion = (Digest(1), 500);
    let shared = vec![poison, companion];
    let crashes = vec![shared.clone(), shared.clone()];
    assert!(!is_poison(&crashed_runs(&crashes), POISON, LIMIT));
    let crashes = vec![shared.clone(), shared, vec![poison]];
    assert!(is_poison(&crashed_runs(&crashes), POISON, LIMIT));
}

#[test]
fn copies_of_a_request_on_one_process_count_as_one_crash() {
    let crashes = vec![vec![(POISON, 5), (POISON, 9)]];
    assert!(!is_poison(&crashed_runs(&crashes), POISON, LIMIT));
}
