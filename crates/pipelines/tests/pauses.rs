//! Pauses that upstreams ask for, over random refusals and clocks.

use std::{collections::BTreeMap, time::Duration};

use clock::Timestamp;
use pipelines::PauseTable;
use proptest::prelude::*;
use types::UpstreamName;

/// What happens to an upstream.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// Time passes, in milliseconds.
    Advance(u64),
    /// The process starts again under its name.
    Restart,
    /// The process that started that many starts ago asks for a pause of this many milliseconds.
    Refuse { age: u64, millis: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (1..3000_u64).prop_map(Event::Advance),
        1 => Just(Event::Restart),
        4 => (0..3_u64, 1..5000_u64).prop_map(|(age, millis)| Event::Refuse { age, millis }),
    ]
}

proptest! {
    /// Guards against a pause that a shorter or a late answer shortens, that another process
    /// inherits, or that does not end.
    #[test]
    fn a_pause_lasts_until_the_latest_end_that_its_process_asked_for(
        events in prop::collection::vec(event(), 1..60),
    ) {
        let name: UpstreamName = "one".into();
        let mut table = PauseTable::default();
        let mut now = Timestamp::default();
        let mut incarnation = 1_u64;
        let mut latest: BTreeMap<u64, Timestamp> = BTreeMap::new();
        for event in events {
            match event {
                Event::Advance(millis) => now = now + Duration::from_millis(millis),
                Event::Restart => incarnation += 1,
                Event::Refuse { age, millis } => {
                    let number = incarnation.saturating_sub(age).max(1);
                    let until = now + Duration::from_millis(millis);
                    table.pause_until(&name, number, until, now);
                    let end = latest.entry(number).or_insert(until);
                    *end = until.max(*end);
                }
            }
            let expected = latest.get(&incarnation).copied().filter(|end| now < *end);
            prop_assert_eq!(table.end(&name, incarnation, now), expected);
            if table.is_empty(now) {
                prop_assert_eq!(expected, None);
            }
        }
    }
}
