//! Guards against sound requests that are refused for good because their caller was quiet when another
//! part of its prompts crashed engines: no answer had shown then which of the parts is sound, one of
//! them was chosen all the same, and refused requests cannot be answered.

mod support;

use crashes::{CrashNote, CrashTable, RefusalSource, RequestParts, Suspect};
use proptest::{prelude::*, sample::subsequence};
use support::{ACME, OTHER, at_ms, request};

/// The part that crashes engines.
const CRASHING: u128 = 101;
/// First part of all prompts of the caller.
const PREAMBLE: u128 = 102;
const DOCUMENT: u128 = 103;
/// Most suspects and parts in one note.
const NOTE_LIMITS: (usize, usize) = (8, 40);
/// Parts that the refusals which a node repeats at once may have.
const MAX_REPEATED_PARTS: usize = 128;
/// Crashes with a further combination of parts after which what they have in common is refused.
const NARROWING_CRASHES: usize = 2;

/// A table, and the crashes so far.
#[derive(Default)]
struct History {
    table: CrashTable,
    crashes: u64,
    now_ms: u64,
    /// Whether the answers have begun when their engines crash.
    has_begun: bool,
    /// What the node has told the others.
    notes: Vec<CrashNote>,
}

impl History {
    fn with_begun_answers(has_begun: bool) -> History {
        History { has_begun, ..History::default() }
    }

    /// Each of the requests starts now; their engine crashes 300 ms later.
    fn crash(&mut self, requests: &[RequestParts]) {
        let started = at_ms(self.now_ms);
        let progress = at_ms(self.now_ms + 290);
        self.now_ms += 300;
        self.crashes += 1;
        let suspect = |parts: &RequestParts| match self.has_begun {
            true => Suspect::begun(parts, started, progress),
            false => Suspect::silent(parts, started),
        };
        let suspects = requests.iter().map(suspect).collect();
        let process = (format!("engine-{}", self.crashes).as_str().into(), self.crashes);
        let now = at_ms(self.now_ms);
        let notes = self.table.record_crash(process, suspects, now);
        self.notes.extend(notes);
        let decisions = self.table.decide(now);
        self.notes.extend(decisions);
        self.now_ms += 200;
    }

    /// Crashes by requests of their own with these parts, until such requests are refused. Returns
    /// their number.
    fn crash_until_refused(&mut self, shared: &[u128]) -> usize {
        let mut crashes = 0;
        while !self.is_refused(shared) && crashes < 20 {
            self.crash(&[request(ACME, shared, 1000 + u128::from(self.crashes))]);
            crashes += 1;
        }
        crashes
    }

    fn answer(&mut self, shared: &[u128]) {
        let request = request(ACME, shared, 77);
        let now = at_ms(self.now_ms);
        let begun = self.table.record_begin(&request);
        self.notes.extend(begun);
        let answered = self.table.record_answer(&request, now);
        self.notes.extend(answered);
    }

    fn is_refused(&mut self, shared: &[u128]) -> bool {
        is_refused(&mut self.table, self.now_ms, shared)
    }
}

fn is_refused(table: &mut CrashTable, now_ms: u64, shared: &[u128]) -> bool {
    table.check(&request(ACME, shared, 999_999), at_ms(now_ms)).is_some()
}

/// Prompts with the crashing part at any place and up to three sound parts behind it.
const PROMPTS: [&[u128]; 5] = [
    &[PREAMBLE, CRASHING, DOCUMENT],
    &[CRASHING, PREAMBLE, DOCUMENT],
    &[PREAMBLE, DOCUMENT, CRASHING],
    &[PREAMBLE, CRASHING, DOCUMENT, 104],
    &[CRASHING, PREAMBLE, DOCUMENT, 104, 105],
];

fn without_crashing_part(prompt: &[u128]) -> Vec<u128> {
    prompt.iter().copied().filter(|part| *part != CRASHING).collect()
}

#[test]
fn sound_requests_of_a_quiet_caller_are_not_refused() {
    for has_begun in [false, true] {
        for prompt in PROMPTS {
            let mut history = History::with_begun_answers(has_begun);
            let crashes = history.crash_until_refused(prompt);
            assert!(crashes <= 5, "{prompt:?} refused after {crashes} crashes");
            let sound = without_crashing_part(prompt);
            assert!(!history.is_refused(&sound), "{prompt:?}, begun: {has_begun}");
            history.now_ms += 20_000;
            assert!(!history.is_refused(&sound), "{prompt:?}, begun: {has_begun}, later");
            assert!(history.is_refused(prompt));
        }
    }
}

/// Guards against a crash with each further document of the caller.
#[test]
fn an_answer_of_the_caller_shows_which_of_its_parts_crashes_engines() {
    for has_begun in [false, true] {
        for prompt in PROMPTS {
            let mut history = History::with_begun_answers(has_begun);
            history.crash_until_refused(prompt);
            history.answer(&without_crashing_part(prompt));
            assert!(history.is_refused(&[CRASHING, 900]), "{prompt:?}, begun: {has_begun}");
            assert!(history.is_refused(prompt), "{prompt:?}, begun: {has_begun}");
            assert!(!history.is_refused(&without_crashing_part(prompt)));
        }
    }
}

/// Guards against crashes in proportion to the number of documents of a caller that sends no sound
/// request at all.
#[test]
fn crashes_with_another_combination_show_which_parts_matter() {
    for has_begun in [false, true] {
        let mut history = History::with_begun_answers(has_begun);
        history.crash_until_refused(&[PREAMBLE, CRASHING, DOCUMENT]);
        let crashes = history.crash_until_refused(&[PREAMBLE, CRASHING, 201]);
        assert!(crashes <= NARROWING_CRASHES, "{crashes} crashes, begun: {has_begun}");
        for document in 202..210 {
            assert!(history.is_refused(&[PREAMBLE, CRASHING, document]));
            assert!(!history.is_refused(&[PREAMBLE, document]));
        }
        let crashes = history.crash_until_refused(&[301, CRASHING, 302]);
        assert!(crashes <= NARROWING_CRASHES, "{crashes} crashes, begun: {has_begun}");
        assert!(history.is_refused(&[401, CRASHING, 402]));
        assert!(!history.is_refused(&[PREAMBLE, DOCUMENT]));
    }
}

/// Guards against an unrelated crash that gets the parts of the sound requests refused which it cut.
#[test]
fn one_unrelated_crash_does_not_narrow_a_refusal() {
    for has_begun in [false, true] {
        let mut history = History::with_begun_answers(has_begun);
        history.crash_until_refused(&[PREAMBLE, CRASHING, DOCUMENT]);
        history.crash(&[
            request(ACME, &[PREAMBLE, DOCUMENT], 1),
            request(ACME, &[PREAMBLE, 201], 2),
            request(OTHER, &[DOCUMENT], 3),
        ]);
        assert!(!history.is_refused(&[PREAMBLE, DOCUMENT]), "begun: {has_begun}");
        assert!(!history.is_refused(&[PREAMBLE, 201]), "begun: {has_begun}");
        assert!(history.is_refused(&[PREAMBLE, CRASHING, DOCUMENT]), "begun: {has_begun}");
    }
}

/// Guards against a node that starts, or was cut off, and brings a refusal back that an answer has
/// narrowed.
#[test]
fn an_older_note_does_not_bring_a_wide_refusal_back() {
    let mut history = History::default();
    history.crash_until_refused(&[PREAMBLE, CRASHING, DOCUMENT]);
    let now = at_ms(history.now_ms);
    let older = history.table.notes(now);
    history.answer(&[PREAMBLE, DOCUMENT]);
    let newer = history.table.notes(now);
    let mut restarted = CrashTable::default();
    for notes in [&older, &newer, &older] {
        for note in notes {
            let is_refusal = matches!(note, CrashNote::Refused { .. });
            for table in [&mut restarted, &mut history.table] {
                // A node that starts later reads the refusals, and none of the crashes.
                if is_refusal {
                    table.apply(note.clone(), RefusalSource::Store, now);
                }
            }
        }
        for table in [&mut restarted, &mut history.table] {
            assert!(!is_refused(table, history.now_ms, &[PREAMBLE, DOCUMENT]));
            assert!(is_refused(table, history.now_ms, &[PREAMBLE, CRASHING, DOCUMENT]));
        }
    }
    assert!(is_refused(&mut restarted, history.now_ms, &[CRASHING, 900]));
}

/// Guards against an answer that ends a refusal at one node, while another node makes a narrower one of
/// it: the part stayed refused although requests with it were answered.
#[test]
fn answers_that_two_nodes_see_at_the_same_time_count_on_both() {
    let mut history = History::default();
    history.crash_until_refused(&[PREAMBLE, DOCUMENT]);
    let now = at_ms(history.now_ms);
    let mut other = CrashTable::default();
    for note in history.table.notes(now) {
        other.apply(note, RefusalSource::Peer, now);
    }
    let one = history.table.record_answer(&request(ACME, &[PREAMBLE, 201], 1), now);
    let whole = other.record_answer(&request(ACME, &[PREAMBLE, DOCUMENT], 2), now);
    for (notes, table) in [(one, &mut other), (whole, &mut history.table)] {
        for note in notes {
            table.apply(note, RefusalSource::Peer, now);
        }
        table.decide(now);
        assert!(!is_refused(table, history.now_ms, &[PREAMBLE, DOCUMENT]));
    }
}

/// Guards against prompts that are so long that their parts do not fit into one note: with some of
/// them missing, sound requests would be refused.
#[test]
fn a_refusal_of_many_parts_reaches_other_nodes_in_several_notes() {
    let sound: Vec<u128> = (1000..1800).collect();
    let mut crashing = sound.clone();
    crashing.insert(0, CRASHING);
    let mut history = History::default();
    history.crash_until_refused(&crashing);
    assert!(!history.is_refused(&sound));
    let (suspects, parts) = NOTE_LIMITS;
    let notes = history.notes.iter().filter(|note| matches!(note, CrashNote::Refused { .. }));
    let pieces: Vec<CrashNote> =
        notes.flat_map(|note| note.clone().split(suspects, parts)).collect();
    assert!(pieces.len() > 10);
    let mut other = CrashTable::default();
    for piece in pieces.iter().rev().chain(&pieces) {
        other.apply(piece.clone(), RefusalSource::Peer, at_ms(history.now_ms));
        assert!(!is_refused(&mut other, history.now_ms, &sound), "some of the parts are known");
    }
    assert!(is_refused(&mut other, history.now_ms, &crashing));
}

/// Guards against repeated notes that grow with the number of parts of prompts.
#[test]
fn repeated_refusals_of_long_prompts_are_bounded() {
    let mut history = History::default();
    for prompt in 0..20 {
        let parts: Vec<u128> = (0..100).map(|part| 10_000 * (prompt + 1) + part).collect();
        history.crash_until_refused(&parts);
    }
    let notes = history.table.notes(at_ms(history.now_ms));
    let parts = notes.iter().map(|note| match note {
        CrashNote::Refused { parts, .. } => parts.len(),
        _ => 0,
    });
    assert!(parts.sum::<usize>() <= MAX_REPEATED_PARTS);
}

/// Parts of one prompt, in any order, the crashing one among them.
fn any_crashing_prompt() -> impl Strategy<Value = Vec<u128>> {
    subsequence(vec![PREAMBLE, DOCUMENT, 201, 202, 203, 204], 0..5).prop_flat_map(|mut parts| {
        parts.push(CRASHING);
        Just(parts).prop_shuffle()
    })
}

proptest! {
    /// Guards against a refused sound request, whatever the crashing prompts of a quiet caller have in
    /// common, and against crashes without end.
    #[test]
    fn no_request_without_the_crashing_part_is_refused(
        prompts in prop::collection::vec(any_crashing_prompt(), 1..60),
        has_begun in any::<bool>(),
    ) {
        let mut history = History::with_begun_answers(has_begun);
        for (number, prompt) in prompts.iter().enumerate() {
            if !history.is_refused(prompt) {
                history.crash(&[request(ACME, prompt, number as u128)]);
            }
            let sound = [PREAMBLE, DOCUMENT, 201, 202, 203, 204];
            prop_assert!(!history.is_refused(&sound), "after {prompt:?}");
        }
        // Four crashes to the first refusal, and two for each part that is then left out of it.
        prop_assert!(history.crashes <= 16, "{} crashes", history.crashes);
    }
}
