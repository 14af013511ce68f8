//! Costs of paths for explanations, next to the choice.

use crate::support::{LAYERS, engine, model, query, targets};
use pipelines::{PathCandidate, choose_path, costed_paths, reason_against};
use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};

proptest! {
    /// Guards against an explanation by other costs than those of the choice: each path that is
    /// chosen under latency targets is one that is said to be eligible.
    #[test]
    fn chosen_paths_are_eligible(
        engines in prop::collection::vec((1.0..40.0_f64, 0..200_u32, 0.0..1.0_f64), 1..6),
        with_targets: bool,
        seed: u64,
    ) {
        let candidates: Vec<PathCandidate> = engines
            .iter()
            .enumerate()
            .map(|(number, (factor, requests, fill))| PathCandidate {
                requests: *requests,
                kv_reserved: 1e7 * fill,
                ..engine(number, 0..LAYERS, *factor)
            })
            .collect();
        let model = model();
        let query = query(with_targets.then(|| targets(&model, 760.0)));
        let paths = costed_paths(&candidates, &query);
        let chosen = choose_path(&candidates, &query, &mut StdRng::seed_from_u64(seed));
        prop_assert_eq!(chosen.is_some(), !paths.is_empty());
        let Some(chosen) = chosen else { return Ok(()) };
        let explained = paths.iter().find(|path| path.path.stages == chosen.stages);
        prop_assert!(explained.is_some_and(|path| path.is_eligible(&paths)));
    }
}

/// Guards against an explanation that lists a cheap path which misses the targets before one that
/// meets them, and against one without the reason for that.
#[test]
fn paths_that_meet_the_targets_come_first() {
    let mut slow = engine(0, 0..LAYERS, 16.0);
    slow.requests = 150;
    let mut busy = engine(1, 0..LAYERS, 15.0);
    busy.requests = 10;
    busy.kv_reserved = busy.kv_capacity * 0.4;
    let model = model();
    let query = query(Some(targets(&model, 760.0)));
    let paths = costed_paths(&[slow.clone(), busy], &query);
    assert_eq!(paths[0].path.stages[0].engine.as_str(), "engine-1");
    assert!(paths[0].time > 0.0 && paths[0].path.times.is_some());
    let eligible: Vec<bool> = paths.iter().map(|path| path.is_eligible(&paths)).collect();
    assert_eq!(eligible, [true, false]);
    assert!(reason_against(&slow, &query).contains("late"));
}

/// Guards against crossings that an explanation counts as usual while the links are slow.
#[test]
fn slow_links_raise_the_explained_cost_of_crossings() {
    let mut second = engine(1, 40..LAYERS, 1.0);
    second.domain = "b".into();
    let candidates = [engine(0, 0..40, 1.0), second];
    let cost = |crossing_factor| {
        let query = pipelines::PathQuery { crossing_factor, ..query(None) };
        costed_paths(&candidates, &query)[0].crossing
    };
    assert!((cost(3.0) - 3.0 * cost(1.0)).abs() < 1e-9);
}
