//! Guards against a part of a prompt that crashes engines after the first events of their answers, which
//! was never refused: an answer that had begun was taken as proof that its prompt is sound. Also guards
//! against the refusal of sound parts when engines are lost while they write answers.

use std::time::Duration;

use clock::Timestamp;
use crashes::{CrashTable, RefusalSource, RequestParts, Suspect};
use proptest::prelude::*;
use types::Digest;

/// The part that crashes engines.
const CRASHING: u128 = 101;
/// A part that sound requests have as well.
const SOUND: u128 = 102;
const ACME: u128 = 1;

fn at_ms(ms: u64) -> Timestamp {
    // Long after the origin, so that ages do not reach back before it.
    Timestamp::from_origin(Duration::from_secs(1000) + Duration::from_millis(ms))
}

fn request(shared: &[u128], number: u128) -> RequestParts {
    RequestParts {
        organisation: Digest(ACME),
        shared: shared.iter().map(|part| Digest(*part)).collect(),
        fingerprint: Digest(1_000_000 + number),
    }
}

/// A table, and the number of engines that have crashed.
#[derive(Default)]
struct History {
    table: CrashTable,
    crashes: u64,
}

impl History {
    /// An engine crashes at `now_ms` while it runs these requests.
    fn crash(&mut self, now_ms: u64, suspects: Vec<Suspect>) {
        self.crashes += 1;
        let process = (format!("engine-{}", self.crashes).as_str().into(), self.crashes);
        self.table.record_crash(process, suspects, at_ms(now_ms));
        self.table.decide(at_ms(now_ms));
    }

    fn answer(&mut self, now_ms: u64, request: &RequestParts) {
        self.table.record_begin(request);
        self.table.record_answer(request, at_ms(now_ms));
    }

    fn is_refused(&mut self, now_ms: u64, shared: &[u128]) -> bool {
        self.table.check(&request(shared, 999_999), at_ms(now_ms)).is_some()
    }
}

/// Both orders of the crashing part and of one that sound requests have.
const ORDERS: [[u128; 2]; 2] = [[CRASHING, SOUND], [SOUND, CRASHING]];

#[test]
fn a_part_that_crashes_engines_after_the_first_event_is_refused_wherever_it_is() {
    for shared in ORDERS {
        let mut history = History::default();
        for number in 0..5 {
            let start = number * 1000;
            let crashing = request(&shared, u128::from(number));
            let sound = request(&[SOUND], 100 + u128::from(number));
            history.table.record_begin(&crashing);
            history.table.record_begin(&sound);
            let suspects = [&crashing, &sound]
                .map(|request| Suspect::begun(request, at_ms(start), at_ms(start + 300)));
            history.crash(start + 320, suspects.into());
            history.answer(start + 600, &request(&[SOUND], 200 + u128::from(number)));
        }
        assert!(history.is_refused(5000, &shared), "{shared:?}");
        assert!(!history.is_refused(5000, &[SOUND]), "{shared:?}");
    }
}

/// Each answer goes on for 3 s before its engine crashes, so that others have begun meanwhile.
#[test]
fn a_part_that_crashes_engines_after_many_events_is_refused_although_the_answers_overlap() {
    for shared in ORDERS {
        let mut history = History::default();
        for number in 0..8 {
            let start = number * 1000;
            let crashing = request(&shared, u128::from(number));
            history.table.record_begin(&crashing);
            let suspect = Suspect::begun(&crashing, at_ms(start), at_ms(start + 2990));
            history.crash(start + 3020, vec![suspect]);
            history.answer(start + 3100, &request(&[SOUND], 200 + u128::from(number)));
        }
        assert!(history.is_refused(10_100, &shared), "{shared:?}");
        assert!(!history.is_refused(10_100, &[SOUND]), "{shared:?}");
    }
}

/// Guards against a request that others continue after each crash, and whose last part is written.
#[test]
fn an_answer_that_several_engines_have_written_clears_no_part() {
    let mut history = History::default();
    for number in 0..5 {
        let start = number * 1000;
        let crashing = request(&[CRASHING], u128::from(number));
        history.table.record_begin(&crashing);
        let suspect = Suspect::begun(&crashing, at_ms(start), at_ms(start + 300));
        history.crash(start + 320, vec![suspect]);
        history.table.record_resumed_answer(&crashing, at_ms(start + 330));
    }
    assert!(history.is_refused(5000, &[CRASHING]));
}

/// Guards against an answer in flight that ends a refusal for good.
#[test]
fn a_part_whose_refusal_has_ended_is_refused_again_after_further_crashes() {
    let mut history = History::default();
    let mut other = CrashTable::default();
    for round in 0..2 {
        let base = round * 10_000;
        for number in 0..3 {
            let start = base + number * 1000;
            let crashing = request(&[CRASHING], u128::from(start));
            history.crash(start + 300, vec![Suspect::silent(&crashing, at_ms(start))]);
        }
        assert!(history.is_refused(base + 3000, &[CRASHING]));
        let now = at_ms(base + 3000);
        for note in history.table.notes(now) {
            other.apply(note, RefusalSource::Peer, now);
        }
        assert!(other.check(&request(&[CRASHING], 1), now).is_some(), "round {round}");
        history.answer(base + 4000, &request(&[CRASHING], 77));
        assert!(!history.is_refused(base + 4000, &[CRASHING]));
    }
}

/// Guards against the refusal of what all streams share when a failure domain is lost under them. Its
/// engines end at the same moment, however late each is noticed, and no answer ends meanwhile.
#[test]
fn a_lost_failure_domain_refuses_no_part_of_the_answers_that_it_was_writing() {
    let mut history = History::default();
    for engine in 0..14 {
        let noticed = 1000 + engine * 150;
        let suspects = (0..10).map(|number| {
            let streaming = request(&[SOUND, 300 + number % 3], u128::from(engine) * 10 + number);
            Suspect::begun(&streaming, at_ms(0), at_ms(990))
        });
        history.crash(noticed, suspects.collect());
    }
    assert!(!history.is_refused(4000, &[SOUND]));
    assert!((300..303).all(|part| !history.is_refused(4000, &[part])));
}

/// Guards against a request that is cut by several unrelated crashes and condemns its parts.
#[test]
fn one_answer_that_is_cut_again_and_again_condemns_no_part() {
    let mut history = History::default();
    let streaming = request(&[SOUND], 1);
    for crash in 0..5 {
        let start = crash * 500;
        history.table.record_begin(&streaming);
        let suspect = Suspect::begun(&streaming, at_ms(start), at_ms(start + 390));
        history.crash(start + 400, vec![suspect]);
    }
    assert!(!history.is_refused(3000, &[SOUND]));
}

/// Guards against a request that crashes engines in the middle of its answer and is sent again.
#[test]
fn one_request_that_crashes_engines_in_its_answers_is_refused() {
    let mut history = History::default();
    let crashing = request(&[SOUND], 1);
    for crash in 0..4 {
        let start = crash * 500;
        history.table.record_begin(&crashing);
        let suspect = Suspect::begun(&crashing, at_ms(start), at_ms(start + 390));
        history.crash(start + 400, vec![suspect]);
    }
    assert!(history.table.check(&crashing, at_ms(3000)).is_some());
    assert!(!history.is_refused(3000, &[SOUND]));
}

proptest! {
    /// Guards against refused sound parts on a busy site whose engines crash one after the other
    /// under streams. Ten answers a second begin, each takes two seconds, and each crash cuts a share
    /// of them, which begin again elsewhere.
    #[test]
    fn crashes_under_streams_refuse_no_part_that_many_requests_have(
        gaps in prop::collection::vec(200..1500_u64, 3..14),
        cut_share in 2..5_u64,
        parts in prop::collection::vec(0..4_u128, 30),
    ) {
        let mut history = History::default();
        let crash_times: Vec<u64> = gaps
            .iter()
            .scan(1000, |time, gap| {
                *time += gap;
                Some(*time)
            })
            .collect();
        // The start and the number of each stream in flight.
        let mut streams: Vec<(u64, u64)> = Vec::new();
        let shared = |number: u64| [SOUND, 300 + parts[number as usize % parts.len()]];
        for tick in 0..(crash_times.last().unwrap_or(&0) / 100 + 5) {
            let now = tick * 100;
            streams.push((now, tick));
            history.table.record_begin(&request(&shared(tick), u128::from(tick)));
            let is_done = |start: u64| now >= start + 2000;
            for (_, number) in streams.iter().filter(|(start, _)| is_done(*start)) {
                history.answer(now, &request(&shared(*number), u128::from(*number)));
            }
            streams.retain(|(start, _)| !is_done(*start));
            for at in crash_times.iter().filter(|at| **at / 100 == tick) {
                let is_cut = |number: u64| number % cut_share == at % cut_share;
                let cut = streams.iter_mut().filter(|(_, number)| is_cut(*number));
                let suspects = cut.map(|(start, number)| {
                    let cut = request(&shared(*number), u128::from(*number));
                    let suspect = Suspect::begun(&cut, at_ms(*start), at_ms(at - 5));
                    *start = now + 100;
                    suspect
                });
                let suspects = suspects.collect();
                history.crash(*at, suspects);
            }
            prop_assert!(!history.is_refused(now, &[SOUND]), "at {now} ms");
        }
    }
}
