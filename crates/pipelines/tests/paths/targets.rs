//! Paths that meet the latency targets of a route.

use crate::support::{LAYERS, engine, model, query, targets};
use catalog::LatencyModel;
use pipelines::{EngineTimes, EngineWork, Path, PathCandidate, PathTimes, choose_path};
use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};
use types::check_coverage;

fn choose(candidates: &[PathCandidate], seed: u64) -> Option<Path> {
    let model = model();
    choose_path(candidates, &query(Some(targets(&model, 760.0))), &mut StdRng::seed_from_u64(seed))
}

/// Names of the engines of a path.
fn names(path: &Path) -> Vec<&str> {
    path.stages.iter().map(|stage| stage.engine.as_str()).collect()
}

/// Guards against predictions that differ from the times that the configuration describes.
#[test]
fn times_follow_the_described_model() {
    let model = model();
    let work = EngineWork {
        step_factor: 10.0,
        read_factor: 4.0,
        requests: 19.0,
        context: 10_000.0,
        unread: 0.0,
    };
    let times = EngineTimes::predict(&model, &work, 0.0);
    // 5 steps of 10 * (0.85 + 20 * 0.02 + 10 * 0.005) ms.
    assert!((times.decode_ms - 65.0).abs() < 1e-9, "{times:?}");
    assert_eq!((times.event_ms, times.queue_ms, times.read_ms), (times.decode_ms, 0.0, 0.0));
    let halves = PathTimes::default().then(&model, &times, 0.5, 0.0, false);
    let whole = halves.then(&model, &times, 0.5, 0.0, true);
    assert!((whole.event_ms - 65.0 - 5.0 * 0.75).abs() < 1e-9, "{whole:?}");
    let reading = EngineTimes::predict(&model, &EngineWork { unread: 4096.0, ..work }, 1000.0);
    // One chunk of 2,048 tokens at 4 / 200 ms each.
    assert!((reading.event_ms - reading.decode_ms - 40.96).abs() < 1e-9, "{reading:?}");
    assert!(reading.queue_ms > 4096.0 * 0.02);
}

/// Guards against streams that are all late because a cheap but slow engine runs too many requests,
/// while others are free: the cost covers memory only, of which slow engines may have much.
#[test]
fn an_engine_takes_no_request_that_makes_its_events_late() {
    let mut slow = engine(0, 0..LAYERS, 16.0);
    slow.requests = 150;
    let mut busy = engine(1, 0..LAYERS, 15.0);
    busy.requests = 10;
    busy.kv_reserved = busy.kv_capacity * 0.4;
    for seed in 0..50 {
        let path = choose(&[slow.clone(), busy.clone()], seed).unwrap();
        assert_eq!(names(&path), ["engine-1"], "seed {seed}");
    }
}

/// Guards against prompts that leave a busy engine for a path over a link between failure domains
/// that takes as long for each prompt as a whole event: the streams that cross then wait behind them.
#[test]
fn a_path_over_narrow_links_is_the_last_resort() {
    let mut near = engine(0, 0..LAYERS, 16.0);
    near.requests = 20;
    let mut halves = [engine(1, 0..LAYERS / 2, 2.0), engine(2, LAYERS / 2..LAYERS, 2.0)];
    halves[1].domain = "other".into();
    let candidates: Vec<PathCandidate> = halves.into_iter().chain([near]).collect();
    let crosses = |transfer_ms, seed| {
        let model = LatencyModel { transfer_ms, ..model() };
        let query = query(Some(targets(&model, 760.0)));
        let path = choose_path(&candidates, &query, &mut StdRng::seed_from_u64(seed));
        path.unwrap().crossings > 0
    };
    assert!((0..50).all(|seed| crosses(0.0, seed)), "the fast engines are cheaper");
    assert!(!(0..50).any(|seed| crosses(0.12, seed)), "a prompt takes 91 ms on the link");
}

/// Guards against a request that takes a cheaper path that is late although a faster one is only
/// close to its targets.
#[test]
fn without_a_path_with_a_margin_one_that_meets_the_targets_is_chosen() {
    let slow = engine(0, 0..LAYERS, 35.0);
    let mut fast = engine(1, 0..LAYERS, 30.0);
    (fast.kv_reserved, fast.read_factor) = (fast.kv_capacity * 0.6, 1.0);
    for seed in 0..50 {
        let path = choose(&[slow.clone(), fast.clone()], seed).unwrap();
        assert_eq!(names(&path), ["engine-1"], "seed {seed}");
    }
}

/// Guards against a request that finds no path, or that makes others late, because it is late on
/// every path: it takes the same one as without targets.
#[test]
fn a_request_that_is_late_on_every_path_takes_the_cheapest() {
    let mut cheap = engine(0, 0..LAYERS, 2.0);
    cheap.requests = 3000;
    let mut fast = engine(1, 0..LAYERS, 16.0);
    fast.requests = 250;
    for seed in 0..50 {
        let path = choose(&[cheap.clone(), fast.clone()], seed).unwrap();
        assert_eq!((names(&path), path.times), (vec!["engine-0"], None), "seed {seed}");
    }
}

/// Guards against a slow engine that is never used: a path may contain one if the rest of the path
/// is fast enough.
#[test]
fn a_slow_engine_is_used_in_a_path_that_meets_the_targets() {
    let candidates = [engine(0, 0..40, 1.4), engine(1, 40..LAYERS, 16.0)];
    let path = choose(&candidates, 1).unwrap();
    let times = path.times.unwrap();
    let model = model();
    assert_eq!(names(&path), ["engine-0", "engine-1"]);
    assert!(targets(&model, 760.0).are_met(&times, 0.7), "{times:?}");
}

proptest! {
    /// Guards against a request that finds no path only because targets are set, and against a path
    /// with a gap or without room.
    #[test]
    fn targets_change_which_path_is_found_but_not_whether(
        engines in prop::collection::vec(
            (0..LAYERS, 1..40_u32, 1.0..50.0_f64, 0..1000_u32, 0.0..1.1_f64, 0.0..1e9_f64), 0..40),
        prompt in prop::sample::select(vec![0.0, 100.0, 2280.0, 1e9]),
        limit in prop::sample::select(vec![1.0, 250.0, 1e9, f64::INFINITY]),
        seed in any::<u64>(),
    ) {
        let mut candidates: Vec<PathCandidate> = Vec::new();
        for (number, (start, length, factor, requests, fill, unread)) in engines.iter().enumerate() {
            let mut candidate = engine(number, *start..(start + length).min(LAYERS), *factor);
            candidate.requests = *requests;
            candidate.kv_reserved = candidate.kv_capacity * fill;
            candidate.unread = *unread;
            candidates.push(candidate);
        }
        let model = model();
        let mut goals = targets(&model, prompt);
        (goals.gap_ms, goals.first_event_ms) = (limit, limit.min(1e9));
        let mut rng = StdRng::seed_from_u64(seed);
        let plain = choose_path(&candidates, &query(None), &mut rng);
        let path = choose_path(&candidates, &query(Some(goals)), &mut rng);
        prop_assert_eq!(plain.is_some(), path.is_some());
        if let Some(path) = path {
            let ranges = path.stages.iter().map(|stage| stage.layers);
            prop_assert_eq!(check_coverage(ranges, LAYERS), Ok(()));
        }
    }

    /// Guards against choices without targets that differ from those of earlier releases.
    #[test]
    fn without_targets_the_new_facts_of_engines_change_nothing(
        requests in 0..1000_u32, unread in 0.0..1e9_f64, read in 1.0..100.0_f64, seed in any::<u64>(),
    ) {
        let plain: Vec<PathCandidate> = (0..30)
            .map(|number| engine(number, (number as u32 / 10 * 30)..(number as u32 / 10 * 30 + 30).min(LAYERS), 5.0))
            .collect();
        let mut changed = plain.clone();
        for candidate in changed.iter_mut().step_by(2) {
            (candidate.requests, candidate.unread, candidate.read_factor) = (requests, unread, read);
        }
        let choose = |candidates: &[PathCandidate]| {
            choose_path(candidates, &query(None), &mut StdRng::seed_from_u64(seed)).unwrap()
        };
        let (one, other) = (choose(&plain), choose(&changed));
        prop_assert_eq!(names(&one), names(&other));
        prop_assert!(one.times.is_none());
    }
}
