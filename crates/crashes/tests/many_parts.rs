//! Guards against a part that crashes engines and is never refused because of its place among the many
//! parts of a prompt: only the last eight shared parts were looked at, which are those that differ most
//! between requests.

use std::time::Duration;

use clock::Timestamp;
use crashes::{CrashNote, CrashTable, RefusalSource, RequestParts, Suspect};
use proptest::prelude::*;
use types::Digest;

/// The part that crashes engines.
const CRASHING: u128 = 7;
/// Most suspects and parts in one note.
const NOTE_LIMITS: (usize, usize) = (8, 40);

fn at_ms(ms: u64) -> Timestamp {
    Timestamp::from_origin(Duration::from_secs(1000) + Duration::from_millis(ms))
}

/// A request with `count` shared parts that all sound requests have as well. The one that crashes
/// engines stands among them, if it has a place.
fn request(count: usize, place: Option<usize>, number: u128) -> RequestParts {
    let mut shared: Vec<Digest> = (0..count as u128).map(|part| Digest(1000 + part)).collect();
    if let Some(place) = place {
        shared.insert(place.min(count), Digest(CRASHING));
    }
    RequestParts {
        organisation: Digest(1),
        shared: shared.into(),
        fingerprint: Digest(1_000_000 + number),
    }
}

/// Crashes of engines by requests with the part, beside sound requests that run on the same engines
/// and are sent again. Returns the notes for the other nodes, each with its time.
fn crash_engines(
    table: &mut CrashTable,
    parts: usize,
    place: usize,
    has_begun: bool,
) -> Vec<(Timestamp, CrashNote)> {
    let mut notes = Vec::new();
    for round in 0..6_u64 {
        let (start, end) = (at_ms(round * 500), at_ms(round * 500 + 300));
        let number = u128::from(round) * 100;
        let mut running = vec![request(parts, Some(place), number)];
        running.extend((1..8).map(|sound| request(parts, None, number + sound)));
        let suspect = |parts: &RequestParts| match has_begun {
            true => Suspect::begun(parts, start, end),
            false => Suspect::silent(parts, start),
        };
        let process = (format!("engine-{round}").as_str().into(), 1);
        let suspects = running.iter().map(suspect).collect();
        let mut new: Vec<CrashNote> =
            table.record_crash(process, suspects, end).into_iter().collect();
        new.extend(table.decide(end));
        let sound = request(parts, None, number + 50);
        new.extend(table.record_begin(&sound));
        new.extend(table.record_answer(&sound, end));
        notes.extend(new.into_iter().map(|note| (end, note)));
    }
    notes
}

fn is_refused(table: &mut CrashTable, request: &RequestParts) -> bool {
    table.check(request, at_ms(4000)).is_some()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn a_part_that_crashes_engines_is_refused_wherever_it_is(
        parts in prop_oneof![1..20_usize, 90..110_usize, Just(1000)],
        place in any::<prop::sample::Index>(),
        has_begun in any::<bool>(),
    ) {
        let mut table = CrashTable::default();
        let place = place.index(parts + 1);
        let notes = crash_engines(&mut table, parts, place, has_begun);
        prop_assert!(is_refused(&mut table, &request(parts, Some(place), 999)));
        prop_assert!(!is_refused(&mut table, &request(parts, None, 999)));
        // A node that only gets the notes, each split into small ones, decides the same.
        let mut other = CrashTable::default();
        let (suspects, parts_limit) = NOTE_LIMITS;
        for (at, note) in notes {
            if matches!(note, CrashNote::Refused { .. }) {
                continue;
            }
            for piece in note.split(suspects, parts_limit) {
                other.apply(piece, RefusalSource::Peer, at);
            }
        }
        other.decide(at_ms(3000));
        prop_assert!(is_refused(&mut other, &request(parts, Some(place), 999)));
        prop_assert!(!is_refused(&mut other, &request(parts, None, 999)));
    }
}

/// Guards against prompts of one caller that are so long that they push what is known of a crash out.
#[test]
fn long_prompts_of_one_caller_do_not_hide_the_part_of_another() {
    let mut table = CrashTable::default();
    for round in 0..40_u64 {
        let (start, end) = (at_ms(round * 80), at_ms(round * 80 + 60));
        let number = u128::from(round) * 100;
        let long = |long: u128| RequestParts {
            organisation: Digest(2),
            shared: (0..1000).map(|part| Digest(1_000_000_000 * (number + long) + part)).collect(),
            fingerprint: Digest(5_000_000 + number + long),
        };
        let mut running = vec![request(3, Some(0), number)];
        running.extend((1..20).map(long));
        let suspects = running.iter().map(|parts| Suspect::silent(parts, start)).collect();
        let process = (format!("engine-{round}").as_str().into(), 1);
        table.record_crash(process, suspects, end);
        table.decide(end);
        table.record_begin(&request(3, None, number + 50));
        table.record_begin(&long(50));
    }
    assert!(is_refused(&mut table, &request(3, Some(0), 999)));
    assert!(!is_refused(&mut table, &request(3, None, 999)));
}
