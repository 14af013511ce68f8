//! Long prompts beside short ones, replayed against engines without a network. Each replay is
//! compared with the choice without targets, which looks at memory only.

use crate::{
    replay::{Replay, Served},
    support::{engine, model},
};

/// Prompt tokens of long and of short prompts.
const LONG: u32 = 2280;
const SHORT: u32 = 400;
/// Number of seeds over which the results are averaged.
const SEEDS: u64 = 10;

/// Arrivals: time in milliseconds and prompt tokens.
type Arrivals = Vec<(f64, u32)>;

/// Two fast and four slow copies of the model, on two engines each.
fn fleet() -> Replay {
    let copies = [2.0, 2.0, 8.0, 8.0, 8.0, 8.0].into_iter().enumerate();
    let engines = copies.flat_map(|(copy, factor)| {
        [engine(copy * 2, 0..40, factor), engine(copy * 2 + 1, 40..80, factor)]
    });
    Replay {
        engines: engines.collect(),
        model: model(),
        read_error: 1.0,
        beacon_error: 1.0,
        lost: None,
        nodes: 4,
        seed: 0,
        has_targets: true,
    }
}

/// `count` prompts that arrive evenly over `length` milliseconds from `start` on.
fn evenly(start: f64, length: f64, count: u32, prompt: u32) -> Arrivals {
    let step = length / f64::from(count);
    (0..count).map(|number| (start + f64::from(number) * step, prompt)).collect()
}

/// A steady flow of short prompts, and long ones.
fn beside_short_ones(long: Arrivals) -> Arrivals {
    let mut arrivals = evenly(0.0, 4000.0, 334, SHORT);
    arrivals.extend(long);
    arrivals.sort_by(|one, other| one.0.total_cmp(&other.0));
    arrivals
}

/// Shares of the short and of the long prompts that are served in time, without and with targets.
/// Every request finds a path.
fn replay(mut replay: Replay, arrivals: &Arrivals) -> [[f64; 2]; 2] {
    [false, true].map(|has_targets| {
        replay.has_targets = has_targets;
        let mut shares = [0.0; 2];
        for seed in 0..SEEDS {
            replay.seed = seed;
            let served = replay.run(arrivals, LONG);
            for (share, kind) in shares.iter_mut().zip(served) {
                assert_eq!(kind.without_path, 0, "{kind:?}");
                *share += Served::in_time(&kind) / SEEDS as f64;
            }
        }
        shares
    })
}

/// Guards against short prompts that wait behind a clump of long ones on the cheapest engines, and
/// against long ones that wait for one another there, while the other engines are free.
#[test]
fn a_clump_of_long_prompts_delays_neither_kind() {
    let arrivals = beside_short_ones(evenly(1000.0, 100.0, 120, LONG));
    let [[short_before, long_before], [short, long]] = replay(fleet(), &arrivals);
    assert!(short_before < 0.95 && long_before < 0.7, "{short_before} {long_before}");
    assert!(short > 0.97 && long > 0.85, "{short} {long}");
}

/// Guards against a burst of long prompts, close to what the engines can prefill, that makes more
/// requests of both kinds late than it must.
#[test]
fn a_burst_of_long_prompts_is_spread_over_the_engines() {
    let arrivals = beside_short_ones(evenly(1000.0, 1500.0, 330, LONG));
    let [[short_before, long_before], [short, long]] = replay(fleet(), &arrivals);
    assert!(short_before < 0.9 && long_before < 0.75, "{short_before} {long_before}");
    assert!(short > 0.92 && long > 0.77, "{short} {long}");
}

/// Guards against long prompts that starve when there are no others, and against the loss of an
/// engine with fast prefill that leaves them queued at the remaining ones.
#[test]
fn long_prompts_alone_are_served_when_a_fast_engine_is_lost() {
    let arrivals = evenly(0.0, 4000.0, 600, LONG);
    let [_, [_, long]] = replay(fleet(), &arrivals);
    assert!(long > 0.99, "{long}");
    let lossy = Replay { lost: Some((1, 900.0)), ..fleet() };
    let [[_, long_before], [_, long]] = replay(lossy, &arrivals);
    assert!(long_before < 0.88 && long > 0.9, "{long_before} {long}");
}

/// Guards against a clump of long prompts after the loss of an engine with fast prefill.
#[test]
fn a_clump_after_the_loss_of_a_fast_engine_is_served() {
    let arrivals = beside_short_ones(evenly(1000.0, 100.0, 80, LONG));
    let lossy = Replay { lost: Some((1, 900.0)), ..fleet() };
    let [[short_before, long_before], [short, long]] = replay(lossy, &arrivals);
    assert!(short_before < 0.92 && long_before < 0.65, "{short_before} {long_before}");
    assert!(short > 0.98 && long > 0.9, "{short} {long}");
}

/// Guards against a choice that is worse than one without predictions when these, or the load of
/// the other nodes, are wrong by a factor of two.
#[test]
fn estimates_that_are_wrong_by_a_factor_of_two_do_no_harm() {
    let arrivals = beside_short_ones(evenly(1000.0, 100.0, 120, LONG));
    for (read_error, beacon_error) in [(2.0, 1.0), (0.5, 1.0), (1.0, 2.0), (1.0, 0.5)] {
        let wrong = Replay { read_error, beacon_error, ..fleet() };
        let [[short_before, long_before], [short, long]] = replay(wrong, &arrivals);
        let case = format!("{read_error} {beacon_error}: {short} {long}");
        assert!(short >= short_before && long >= long_before, "{case}");
        let is_worst = read_error > 1.0;
        assert!(is_worst || (short > 0.93 && long > 0.68), "{case}");
        assert!(short > 0.75 && long > 0.3, "{case}");
    }
}
