//! Prints how long the choice of a path takes in a large fleet, without latency targets and with
//! them. Run it in a release build: `cargo run --release -p pipelines --example path_cost`.

use catalog::LatencyModel;
use clock::{Clock, RuntimeClock};
use pipelines::{PathCandidate, PathQuery, PathTargets, choose_path};
use rand::{Rng, SeedableRng, rngs::StdRng};
use types::LayerRange;

/// Number of layers of the model.
const LAYERS: u32 = 80;
/// Number of engines.
const ENGINES: u32 = 216;
/// Choices in a batch.
const ROUNDS: u32 = 100;
/// Batches of each case. The fastest counts, which other processes have delayed the least.
const BATCHES: u32 = 30;

/// Engines of three kinds in three domains, some with many requests.
fn candidates(rng: &mut StdRng, max_requests: u32) -> Vec<PathCandidate> {
    let candidate = |number: u32| {
        let (stages, step_factor) = [(4, 1.4), (8, 16.0), (10, 15.0)][number as usize % 3];
        let length = LAYERS / stages;
        let start = number / 9 % stages * length;
        let requests = rng.random_range(0..=max_requests);
        PathCandidate {
            name: format!("engine-{number}").into(),
            addr: "10.0.0.1:80".parse().expect("address is valid"),
            domain: ["a", "b", "c"][number as usize / 3 % 3].into(),
            layers: LayerRange { start, end: start + length },
            step_factor,
            kv_capacity: 1e7,
            kv_reserved: f64::from(requests * 900 * length),
            can_be_entry: true,
            requests,
            unread: f64::from(requests * 30 * length),
            read_factor: step_factor,
        }
    };
    (0..ENGINES).map(candidate).collect()
}

fn model() -> LatencyModel {
    LatencyModel {
        step_ms: 0.85,
        sequence_ms: 0.02,
        context_ms: 0.005,
        read_rate: 200_000.0,
        pairs_ms: 0.1,
        chunk: 2048.0,
        event_steps: 5.0,
        usual_prompt: 760.0,
        usual_answer: 230.0,
        crossing_ms: 0.75,
        transfer_ms: 0.02,
        read_factors: Default::default(),
    }
}

/// Mean time of a choice in the fastest batch, in microseconds, and the share of the choices that
/// found a path.
fn time(candidates: &[PathCandidate], targets: Option<PathTargets<'_>>) -> (f64, f64) {
    let clock = RuntimeClock::new();
    let mut rng = StdRng::seed_from_u64(1);
    let query = PathQuery {
        layers: LAYERS,
        tokens: 1000,
        max_fill: 0.92,
        may_cross: true,
        crossing_factor: 1.0,
        avoid: &[],
        targets,
    };
    let (mut fastest, mut found) = (f64::INFINITY, 0);
    for _ in 0..BATCHES {
        let started = clock.now();
        let chosen = (0..ROUNDS).filter(|_| choose_path(candidates, &query, &mut rng).is_some());
        found += chosen.count();
        fastest = fastest.min(clock.now().since(started).as_secs_f64());
    }
    (fastest * 1e6 / f64::from(ROUNDS), found as f64 / f64::from(ROUNDS * BATCHES))
}

fn main() {
    let model = model();
    for (load, max_requests) in [("light", 4), ("heavy", 60)] {
        let candidates = candidates(&mut StdRng::seed_from_u64(7), max_requests);
        for (case, first_event_ms) in
            [("no targets", None), ("in time", Some(500.0)), ("with little time", Some(40.0))]
        {
            let targets = first_event_ms.map(|first_event_ms| PathTargets {
                model: &model,
                prompt: 760.0,
                gap_ms: 250.0,
                first_event_ms,
            });
            let (micros, found) = time(&candidates, targets);
            println!("{ENGINES} engines, {load} load, {case}: {micros:.1} us, {found:.2} found");
        }
    }
}
