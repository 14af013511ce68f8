//! Tests of the fill limits: their bounds, and bursts over many nodes with old beliefs.

use std::collections::VecDeque;

use admission::{FillRange, Standing, fill_limit, own_part};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};

const RANGE: FillRange = FillRange { max_fill: 0.98, taper: 0.08, rank_spread: 0.3 };

/// The limit of all requests without the taper.
const HARD_LIMIT: f64 = 0.92;

fn standing(rank: u32, ranks: u32) -> Standing {
    Standing { rank, ranks, over_share: false, late: false, resumed: false }
}

fn any_number() -> impl Strategy<Value = f64> {
    prop_oneof![0.0..=1.0, proptest::num::f64::ANY]
}

proptest! {
    /// Guards against a limit outside 0 to 1, against a less urgent request a late one, or one of an
    /// organisation above its share, that has a higher limit than another one with the same draw, and
    /// against a panic on absurd settings.
    #[test]
    fn limits_are_bounded_and_monotone(
        (max_fill, taper, rank_spread, draw) in
            (any_number(), any_number(), any_number(), any_number()),
        (rank, ranks) in (any::<u32>(), any::<u32>()),
    ) {
        let range = FillRange { max_fill, taper, rank_spread };
        let limit = |standing| fill_limit(&range, standing, draw);
        let own = limit(standing(rank, ranks));
        prop_assert!((0.0..=1.0).contains(&own));
        prop_assert!(limit(standing(rank.saturating_add(1), ranks)) <= own);
        let over_share = Standing { over_share: true, ..standing(rank, ranks) };
        prop_assert!(limit(over_share) <= own);
        let late = Standing { late: true, ..standing(rank, ranks) };
        prop_assert!(limit(late) <= own);
        let resumed = Standing { resumed: true, ..standing(rank, ranks) };
        prop_assert_eq!(limit(resumed), 1.0);
    }

    /// Guards against nodes that together use more than the capacity while none knows the others.
    #[test]
    fn own_parts_add_up_to_the_limit(
        (capacity, limit) in (any_number(), any_number()),
        nodes in 0_usize..1000,
    ) {
        let part = own_part(capacity, limit, nodes);
        prop_assert!(part >= 0.0 && part.is_finite());
        let shared = part * nodes.max(1) as f64;
        prop_assert!(shared <= capacity.max(0.0) * 1.000_001 || !capacity.is_finite());
    }
}

/// Guards against requests that are refused while less than half of the memory is in use.
#[test]
fn no_request_is_refused_at_half_fill() {
    for ranks in 1..5 {
        for rank in 0..ranks {
            let least = Standing { over_share: true, ..standing(rank, ranks) };
            assert!(fill_limit(&RANGE, least, 0.0) > 0.5);
        }
    }
}

/// A fleet whose nodes share one pool of memory, of which each request holds an equal part for the
/// same time. Nodes believe the fill that was true `DELAY` ago.
struct Fleet {
    rng: StdRng,
    held: VecDeque<u32>,
    fills: VecDeque<f64>,
    in_use: u32,
    /// Requests offered, admitted, and refused by the engines, by rank.
    offered: [u32; 3],
    admitted: [u32; 3],
    refused: [u32; 3],
}

/// Steps of the replay in a second.
const STEPS_PER_S: usize = 100;
/// Requests that the memory of the engines holds.
const CAPACITY: u32 = 760;
/// Steps for which a request holds its memory.
const HOLD: usize = 2 * STEPS_PER_S;
/// Steps after which a node knows the load of the others.
const DELAY: usize = 3 * STEPS_PER_S / 2;
/// Requests per second by rank, without a burst.
const RATES: [f64; 3] = [154.0, 81.0, 49.0];

impl Fleet {
    fn new() -> Fleet {
        Fleet {
            rng: StdRng::seed_from_u64(7),
            held: VecDeque::from(vec![0; HOLD]),
            fills: VecDeque::from(vec![0.0; DELAY]),
            in_use: 0,
            offered: [0; 3],
            admitted: [0; 3],
            refused: [0; 3],
        }
    }

    /// Replays a step with these arrivals per second by rank. `limit` is the fill limit of a rank.
    fn step(&mut self, rates: [f64; 3], limit: impl Fn(u32, f64) -> f64) {
        self.in_use -= self.held.pop_front().unwrap();
        let believed = self.fills.pop_front().unwrap();
        let mut started = 0;
        for (rank, rate) in rates.iter().enumerate() {
            let mean = rate / STEPS_PER_S as f64;
            let count = mean.floor() as u32 + u32::from(self.rng.random::<f64>() < mean.fract());
            for _ in 0..count {
                self.offered[rank] += 1;
                if believed >= limit(rank as u32, self.rng.random()) {
                    continue;
                }
                if self.in_use == CAPACITY {
                    self.refused[rank] += 1;
                    continue;
                }
                (self.in_use, started) = (self.in_use + 1, started + 1);
                self.admitted[rank] += 1;
            }
        }
        self.held.push_back(started);
        self.fills.push_back(f64::from(self.in_use) / f64::from(CAPACITY));
    }

    /// Replays 10 s of usual load, of which a burst of one rank by `factor` fills the last 7 s.
    fn burst(&mut self, rank: usize, factor: f64, limit: impl Fn(u32, f64) -> f64) {
        let mut rates = RATES;
        (0..3 * STEPS_PER_S).for_each(|_| self.step(rates, &limit));
        rates[rank] *= factor;
        (0..7 * STEPS_PER_S).for_each(|_| self.step(rates, &limit));
    }

    fn served_share(&self, rank: usize) -> f64 {
        f64::from(self.admitted[rank]) / f64::from(self.offered[rank])
    }

    fn total_admitted(&self) -> u32 {
        self.admitted.iter().sum()
    }

    fn total_refused(&self) -> u32 {
        self.refused.iter().sum()
    }
}

/// Guards against a burst of the least urgent kind that fills the memory before the urgent requests
/// arrive. With one limit for all, each kind loses the same share of its requests.
#[test]
fn burst_of_the_least_urgent_kind_leaves_room_for_the_most_urgent() {
    let (mut same, mut ranked) = (Fleet::new(), Fleet::new());
    same.burst(2, 2.5, |_, _| HARD_LIMIT);
    ranked.burst(2, 2.5, |rank, draw| fill_limit(&RANGE, standing(rank, 3), draw));
    assert!(ranked.served_share(0) > same.served_share(0) + 0.05);
    assert!(ranked.served_share(0) > ranked.served_share(2));
    assert!(ranked.served_share(2) > ranked.served_share(0) / 2.0, "the least urgent starve");
    assert!(ranked.total_admitted() > same.total_admitted(), "the memory is left unused");
}

/// Guards against nodes that all stop at the same believed fill: the engines refuse what all nodes
/// have sent before they knew.
#[test]
fn taper_lowers_the_refusals_of_engines_in_a_burst() {
    let (mut same, mut tapered) = (Fleet::new(), Fleet::new());
    same.burst(2, 4.0, |_, _| HARD_LIMIT);
    tapered.burst(2, 4.0, |rank, draw| fill_limit(&RANGE, standing(rank, 3), draw));
    assert!(tapered.total_refused() * 4 < same.total_refused() * 3);
}

/// Guards against a taper that refuses requests at a low load.
#[test]
fn low_load_is_admitted_completely() {
    let mut fleet = Fleet::new();
    let rates = RATES.map(|rate| rate * 0.8);
    let limit = |rank, draw| fill_limit(&RANGE, standing(rank, 3), draw);
    (0..10 * STEPS_PER_S).for_each(|_| fleet.step(rates, limit));
    assert_eq!(fleet.admitted, fleet.offered);
}

/// Guards against nodes that know nothing of each other after a restart and fill the engines
/// together: within their own part of the capacity, no engine refuses a request.
#[test]
fn restarted_nodes_use_their_part_of_the_capacity() {
    const NODES: usize = 130;
    let mut rng = StdRng::seed_from_u64(3);
    let part = own_part(f64::from(CAPACITY), RANGE.max_fill, NODES);
    let (mut own, mut blind) = ([0_u32; NODES], 0);
    for _ in 0..2000 {
        let node = rng.random_range(0..NODES);
        blind += 1;
        if f64::from(own[node] + 1) <= part {
            own[node] += 1;
        }
    }
    assert!(blind > CAPACITY, "without parts, the nodes overfill the engines");
    let admitted = own.iter().sum::<u32>();
    assert!(admitted <= CAPACITY && admitted > CAPACITY / 2);
}
