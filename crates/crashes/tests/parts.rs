//! Guards against a part of a prompt that crashes one engine after the other, and against the
//! refusal of sound requests that only share engines, an organisation or other parts with it.

mod support;

use clock::Timestamp;
use crashes::{
    Applied, CrashNote, CrashTable, MAX_EVENTS, MAX_SUSPECTS, Refusal, RefusalKey, RefusalSource,
    RequestParts, Suspect,
};
use proptest::{prelude::*, sample::subsequence};
use support::{ACME, OTHER, at_ms, request};

/// First part of all prompts of a service.
const PREAMBLE: u128 = 100;
/// The part that crashes engines.
const CRASHING: u128 = 101;
/// A sound part.
const SOUND: u128 = 102;

/// A table and a history of crashes and answers.
#[derive(Default)]
struct History {
    table: CrashTable,
    crashes: u64,
    now_ms: u64,
}

impl History {
    /// Each of the requests starts now; 400 ms later their engine crashes, 100 ms before the next
    /// crash can follow.
    fn crash(&mut self, requests: &[RequestParts]) {
        let started = at_ms(self.now_ms);
        let suspects = requests.iter().map(|parts| Suspect::silent(parts, started));
        self.now_ms += 400;
        self.crash_of(suspects.collect());
        self.now_ms += 100;
    }

    fn crash_of(&mut self, suspects: Vec<Suspect>) {
        self.crashes += 1;
        let process = (format!("engine-{}", self.crashes).as_str().into(), self.crashes);
        self.table.record_crash(process, suspects, at_ms(self.now_ms));
        self.table.decide(at_ms(self.now_ms));
    }

    fn begin(&mut self, request: &RequestParts) {
        self.table.record_begin(request);
    }

    fn refusal(&mut self, request: &RequestParts) -> Option<Refusal> {
        self.table.check(request, at_ms(self.now_ms))
    }

    fn is_refused(&mut self, organisation: u128, shared: &[u128]) -> bool {
        let unknown = request(organisation, shared, 999_999);
        self.refusal(&unknown).is_some()
    }
}

#[test]
fn a_part_that_crashes_engines_is_refused_although_no_two_requests_are_alike() {
    let mut history = History::default();
    for number in 0..3 {
        assert!(!history.is_refused(ACME, &[PREAMBLE, CRASHING]));
        history.crash(&[request(ACME, &[PREAMBLE, CRASHING], number)]);
        history.begin(&request(ACME, &[PREAMBLE, SOUND], 100 + number));
    }
    assert!(history.is_refused(ACME, &[PREAMBLE, CRASHING]));
    assert!(!history.is_refused(ACME, &[PREAMBLE, SOUND]));
    assert!(!history.is_refused(OTHER, &[PREAMBLE, CRASHING]));
}

/// A retry of a request crashes a second engine, so that the single request explains most crashes.
#[test]
fn a_part_is_refused_after_four_crashes_by_requests_that_were_sent_twice() {
    let mut history = History::default();
    for number in 0..2 {
        for _ in 0..2 {
            history.crash(&[request(ACME, &[PREAMBLE, CRASHING], number)]);
        }
    }
    assert!(history.is_refused(ACME, &[PREAMBLE, CRASHING]));
    assert!(!history.is_refused(ACME, &[PREAMBLE, SOUND]), "the first part began nowhere");
}

#[test]
fn one_request_that_is_sent_again_and_again_does_not_condemn_its_parts() {
    let mut history = History::default();
    let poison = request(ACME, &[PREAMBLE, SOUND], 1);
    for _ in 0..4 {
        history.crash(std::slice::from_ref(&poison));
    }
    assert_eq!(history.refusal(&poison), Some(Refusal::Request { crashes: 4 }));
    assert!(!history.is_refused(ACME, &[PREAMBLE, SOUND]));
}

#[test]
fn an_answer_that_begins_clears_the_parts_for_all_organisations() {
    let mut history = History::default();
    for number in 0..2 {
        history.crash(&[request(ACME, &[PREAMBLE, SOUND], number)]);
    }
    history.begin(&request(OTHER, &[PREAMBLE, SOUND], 7));
    for number in 2..4 {
        history.crash(&[request(ACME, &[PREAMBLE, SOUND], number)]);
    }
    assert!(!history.is_refused(ACME, &[PREAMBLE, SOUND]));
}

#[test]
fn a_whole_answer_ends_the_refusal_on_all_nodes() {
    let mut history = History::default();
    let mut other = CrashTable::default();
    for number in 0..3 {
        history.crash(&[request(ACME, &[PREAMBLE, SOUND], number)]);
    }
    let now = at_ms(history.now_ms);
    let stale = history.table.notes(now);
    for note in stale.clone() {
        other.apply(note, RefusalSource::Peer, now);
    }
    let sound = request(ACME, &[PREAMBLE, SOUND], 9);
    assert!(other.check(&sound, now).is_some());
    // An engine may still crash after the first event of an answer.
    for note in history.table.record_begin(&sound) {
        other.apply(note, RefusalSource::Peer, now);
    }
    assert!(history.refusal(&sound).is_some() && other.check(&sound, now).is_some());
    for note in history.table.record_answer(&sound, now) {
        other.apply(note, RefusalSource::Peer, now);
    }
    assert_eq!((history.refusal(&sound), other.check(&sound, now)), (None, None));
    // Older notes of a third node do not refuse it again.
    assert!(stale.iter().any(|note| matches!(note, CrashNote::Refused { .. })));
    for note in stale {
        assert_eq!(other.apply(note, RefusalSource::Store, now), Applied::Known);
    }
    assert_eq!(other.check(&sound, now), None);
}

#[test]
fn a_part_that_two_organisations_prove_is_refused_for_all() {
    let mut history = History::default();
    for organisation in [ACME, OTHER] {
        assert!(!history.is_refused(3, &[CRASHING]));
        for number in 0..3 {
            history.crash(&[request(organisation, &[CRASHING], number)]);
        }
    }
    assert!(history.is_refused(3, &[CRASHING]));
}

#[test]
fn engines_that_are_lost_together_are_one_event_however_late_each_is_noticed() {
    let mut history = History::default();
    let started = at_ms(0);
    for number in 0..14 {
        history.now_ms += 150;
        let parts = request(ACME, &[PREAMBLE, SOUND], number);
        history.crash_of(vec![Suspect::silent(&parts, started)]);
    }
    assert!(!history.is_refused(ACME, &[PREAMBLE, SOUND]));
}

#[test]
fn a_refused_part_survives_a_flood_of_crashes_with_other_parts() {
    let mut history = History::default();
    for number in 0..3 {
        history.crash(&[request(ACME, &[PREAMBLE, CRASHING], number)]);
    }
    for flood in 0..2000 {
        for number in 0..3 {
            history.crash(&[request(OTHER, &[10_000 + flood], 3 * flood + number)]);
        }
        assert!(history.is_refused(ACME, &[PREAMBLE, CRASHING]), "after {flood} other parts");
    }
}

#[test]
fn the_requests_of_one_crash_are_bounded() {
    let mut history = History::default();
    let suspects = |range: std::ops::Range<u128>| {
        let parts = range.map(|number| request(ACME, &[PREAMBLE, SOUND], number));
        parts.map(|parts| Suspect::silent(&parts, at_ms(0))).collect()
    };
    history.crash_of(suspects(0..5000));
    for number in 0..2000 {
        history.crash_of(suspects(number..number + 1));
    }
    let notes = history.table.notes(at_ms(history.now_ms));
    let most = notes.iter().map(|note| match note {
        CrashNote::Crash { suspects, .. } => suspects.len(),
        _ => 0,
    });
    assert!(notes.len() <= MAX_EVENTS && most.max().unwrap_or(0) <= MAX_SUSPECTS);
}

#[test]
fn a_refusal_outlives_the_crashes_and_ends_when_the_part_no_longer_arrives() {
    let mut history = History::default();
    for number in 0..3 {
        history.crash(&[request(ACME, &[PREAMBLE, CRASHING], number)]);
    }
    for _ in 0..10 {
        history.now_ms += 300_000;
        assert!(history.is_refused(ACME, &[PREAMBLE, CRASHING]));
    }
    history.now_ms += 601_000;
    assert!(!history.is_refused(ACME, &[PREAMBLE, CRASHING]));
}

/// Guards against a sound part that is refused by chance and then hides the cause: each later crash was
/// put down to it as long as one of its requests was still running, and engines went on crashing.
#[test]
fn a_sound_part_that_is_refused_does_not_hide_the_part_that_crashes_engines() {
    let mut history = History::default();
    for number in 0..3 {
        let crashing = request(ACME, &[PREAMBLE, CRASHING], 0);
        history.crash(&[crashing, request(OTHER, &[SOUND], 10 + number)]);
    }
    assert!(history.is_refused(OTHER, &[SOUND]), "it explains the crashes better than one request");
    let refused_at = at_ms(history.now_ms);
    history.now_ms += 1500;
    for number in 1..4 {
        let (started, progress) = (at_ms(history.now_ms), at_ms(history.now_ms + 300));
        let crashing = request(ACME, &[PREAMBLE, CRASHING], number);
        let running = request(OTHER, &[SOUND], 20);
        let suspects = vec![
            Suspect::silent(&crashing, started),
            Suspect::begun(&running, refused_at, progress),
        ];
        history.now_ms += 400;
        history.crash_of(suspects);
        history.now_ms += 100;
    }
    assert!(history.is_refused(ACME, &[PREAMBLE, CRASHING]));
    assert!(!history.is_refused(OTHER, &[SOUND]), "the cause explains its crashes as well");
}

/// What happens on a site: crashes with the requests that the engine was running, and answers.
#[derive(Clone, Debug)]
enum Step {
    Crash(Vec<RequestParts>),
    Begin(RequestParts),
}

fn any_request() -> impl Strategy<Value = RequestParts> {
    let shared = subsequence(vec![PREAMBLE, CRASHING, SOUND, 103, 104], 0..4);
    (1..4_u128, shared, 0..40_u128)
        .prop_map(|(organisation, shared, number)| request(organisation, &shared, number))
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => prop::collection::vec(any_request(), 1..5).prop_map(Step::Crash),
        1 => any_request().prop_map(Step::Begin),
    ]
}

/// The notes that nodes send while the steps happen.
fn notes_of(steps: &[Step]) -> (Vec<CrashNote>, Timestamp) {
    let mut history = History::default();
    let mut notes = Vec::new();
    for (number, step) in steps.iter().enumerate() {
        let now = at_ms(history.now_ms);
        match step {
            Step::Crash(requests) => {
                let process = (format!("engine-{number}").as_str().into(), 1);
                let started = at_ms(history.now_ms.saturating_sub(50));
                let suspects = requests.iter().map(|parts| Suspect::silent(parts, started));
                let suspects = suspects.collect();
                notes.extend(history.table.record_crash(process, suspects, now));
            }
            Step::Begin(request) => notes.extend(history.table.record_begin(request)),
        }
        history.now_ms += 100;
    }
    (notes, at_ms(history.now_ms))
}

/// The refused parts and the refused requests according to a table.
fn verdicts(table: &mut CrashTable, now: Timestamp) -> Vec<Option<RefusalKey>> {
    let requests = (1..4).flat_map(|organisation| {
        let parts = [PREAMBLE, CRASHING, SOUND, 103, 104];
        let combinations = (1..1 << parts.len()).map(move |mask: u32| {
            let chosen = parts.iter().zip(0..).filter(|(_, bit)| mask & (1 << bit) != 0);
            chosen.map(|(part, _)| *part).collect::<Vec<u128>>()
        });
        combinations.map(move |shared| request(organisation, &shared, 0))
    });
    let verdict = |request: RequestParts| match table.check(&request, now) {
        Some(Refusal::Part { key, .. }) => Some(key),
        _ => None,
    };
    requests.map(verdict).collect()
}

proptest! {
    /// Guards against nodes that decide differently because notes arrive late or twice. A note that
    /// a crash's part has begun is repeated with the crash, so it never stays the only one.
    #[test]
    fn nodes_agree_whatever_the_order_and_the_repetitions_of_notes(
        steps in prop::collection::vec(any_step(), 1..30),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..120),
    ) {
        let (notes, now) = notes_of(&steps);
        let mut ordered = CrashTable::default();
        let mut shuffled = CrashTable::default();
        for note in &notes {
            ordered.apply(note.clone(), RefusalSource::Peer, now);
        }
        if !notes.is_empty() {
            for index in &order {
                shuffled.apply(index.get(&notes).clone(), RefusalSource::Peer, now);
            }
        }
        for _ in 0..2 {
            for note in notes.iter().rev() {
                shuffled.apply(note.clone(), RefusalSource::Peer, now);
            }
        }
        ordered.decide(now);
        shuffled.decide(now);
        prop_assert_eq!(verdicts(&mut ordered, now), verdicts(&mut shuffled, now));
    }

    /// Guards against a caller that gets another one's sound part refused: it crashes engines with
    /// requests that hold the part, while sound requests of the other organisation run on some of
    /// them. Those begin an answer elsewhere, or are not seen again.
    #[test]
    fn no_organisation_can_get_the_sound_part_of_another_one_refused(
        crashes in prop::collection::vec((any::<bool>(), any::<bool>(), any::<bool>(), 0..3_u128), 1..40),
    ) {
        let mut history = History::default();
        let mut unbegun = 0;
        for (number, (holds, beside, begins, own_part)) in crashes.into_iter().enumerate() {
            let number = number as u128;
            let mut shared = vec![200 + own_part];
            if holds {
                shared.insert(0, SOUND);
            }
            let mut requests = vec![request(ACME, &shared, number)];
            let victim = request(OTHER, &[PREAMBLE, SOUND], number);
            if beside && unbegun < 2 {
                requests.push(victim.clone());
                unbegun += 1;
            }
            history.crash(&requests);
            if begins {
                history.begin(&victim);
                unbegun = 0;
            }
            prop_assert!(!history.is_refused(OTHER, &[PREAMBLE, SOUND]));
            prop_assert!(!history.is_refused(3, &[SOUND]));
        }
    }

    /// Guards against refused sound parts on a busy site that loses a third of its engines several
    /// times. The requests that were running are sent again, and begin.
    #[test]
    fn losses_of_many_engines_refuse_no_part_that_is_in_use(
        losses in prop::collection::vec(prop::collection::vec(0..60_u128, 10..40), 2..6),
    ) {
        let mut history = History::default();
        for running in losses {
            let started = at_ms(history.now_ms);
            let requests: Vec<RequestParts> = running
                .iter()
                .enumerate()
                .map(|(number, part)| request(ACME, &[PREAMBLE, 300 + part], number as u128))
                .collect();
            for request in &requests {
                history.now_ms += 40;
                history.crash_of(vec![Suspect::silent(request, started)]);
            }
            history.now_ms += 1000;
            for request in &requests {
                history.begin(request);
            }
            for part in 0..60 {
                prop_assert!(!history.is_refused(ACME, &[PREAMBLE, 300 + part]));
            }
        }
    }
}
