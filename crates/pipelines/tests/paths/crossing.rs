//! Links between failure domains that become slow.

use std::time::Duration;

use crate::support::{LAYERS, engine, query};
use clock::Timestamp;
use pipelines::{CrossingGaps, choose_path};
use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_origin(Duration::from_millis(millis))
}

/// Records gaps of streams: whether they cross, and their multiple of the predicted gap.
fn gaps(streams: &[(bool, f64)]) -> CrossingGaps {
    let mut gaps = CrossingGaps::default();
    let numbers: Vec<u64> = streams.iter().map(|_| gaps.start_stream()).collect();
    for round in 1..10 {
        for (number, (crosses, gap)) in numbers.iter().zip(streams) {
            gaps.record(*number, *crosses, *gap, at(round * 100));
        }
    }
    gaps
}

/// Guards against streams that go on crossing links that have become slow while a local path has
/// room: all lateness in seconds 12 to 18 of such a day came from gaps between events.
#[test]
fn slow_links_are_avoided_for_a_short_time() {
    let slow =
        gaps(&[(false, 1.0), (false, 1.0), (false, 1.2), (true, 5.0), (true, 3.0), (true, 4.0)]);
    let factor = slow.cost_factor(at(900));
    assert!(factor > 3.0, "{factor}");
    assert!(slow.cost_factor(at(20_000)) < 1.05, "streams may cross again");
    // A path that crosses is cheaper while the links are fast.
    let mut far = engine(1, 40..LAYERS, 2.0);
    far.domain = "b".into();
    let candidates = [engine(0, 0..40, 2.0), far, engine(2, 40..LAYERS, 25.0)];
    let last = |crossing_factor| {
        let query = pipelines::PathQuery { crossing_factor, ..query(None) };
        let path = choose_path(&candidates, &query, &mut StdRng::seed_from_u64(1)).unwrap();
        path.stages[1].engine.as_str().to_owned()
    };
    assert_eq!((last(1.0).as_str(), last(8.0).as_str()), ("engine-1", "engine-2"));
}

/// Guards against a cost that rises because of one slow stream, or because all streams are slow.
#[test]
fn one_slow_stream_does_not_raise_the_cost() {
    let local = [(false, 1.0), (false, 1.0), (false, 1.0)];
    for crossing in [&[(true, 50.0)][..], &[(true, 50.0), (true, 1.0), (true, 1.0)]] {
        let one = gaps(&[&local[..], crossing].concat());
        assert_eq!(one.cost_factor(at(1000)), 1.0);
    }
    let all =
        gaps(&[(false, 3.0), (false, 3.0), (false, 3.0), (true, 3.0), (true, 3.0), (true, 3.0)]);
    assert_eq!(all.cost_factor(at(1000)), 1.0);
}

proptest! {
    /// Guards against a cost that is not finite or below the usual one, whatever gaps are seen.
    #[test]
    fn the_factor_is_bounded(
        gaps in prop::collection::vec((1..9_u64, any::<bool>(), any::<f64>(), 0..2000_u64), 0..80),
    ) {
        let (mut table, mut now) = (CrossingGaps::default(), 0);
        for (stream, crosses, gap, pause) in gaps {
            now += pause;
            table.record(stream, crosses, gap, at(now));
            let factor = table.cost_factor(at(now));
            prop_assert!((1.0..=16.0 + 1e-9).contains(&factor), "{factor}");
        }
    }
}
