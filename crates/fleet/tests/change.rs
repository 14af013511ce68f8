//! Changes of the configuration against a key-value service whose answers can be lost.

use std::{cell::RefCell, collections::VecDeque, rc::Rc, time::Duration};

use clock::{Clock, Timestamp};
use fleet::{Author, CONFIG_KEY, ConfigStore, WriteOutcome, edit};
use futures_util::{
    FutureExt,
    future::{LocalBoxFuture, ready},
};
use keyvalue::{
    KeyValue, KvError,
    api::{Entry, Expected, PutReply},
};
use settings::{FleetConfig, Scope};

/// What happens to a write.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    /// The service cannot be reached.
    Refused,
    /// Takes effect, but the answer is lost.
    AnswerLost,
    /// Takes no effect and is not answered.
    WriteLost,
    /// Is not answered and takes effect before the next write.
    Late,
    /// The answer is lost, and another operator changes the entry afterwards.
    AnswerLostThenChanged,
    /// Another operator changes the entry first, and the answer is lost.
    ChangedFirst,
}

#[derive(Default)]
struct FakeStore {
    entry: RefCell<Option<Entry>>,
    previous: RefCell<Option<Entry>>,
    faults: RefCell<VecDeque<Fault>>,
    late: RefCell<Vec<(Expected, String)>>,
    stale_reads: RefCell<u32>,
}

impl FakeStore {
    fn apply(&self, expected: Expected, value: String) -> PutReply {
        let current = self.entry.borrow().clone();
        let version = current.as_ref().map_or(0, |entry| entry.version);
        let holds = match expected {
            Expected::Absent => current.is_none(),
            Expected::Version(wanted) => current.is_some() && wanted == version,
        };
        if !holds {
            return PutReply::Conflict(current);
        }
        let entry = Entry { key: CONFIG_KEY.into(), value, version: version + 1, created: 1 };
        *self.previous.borrow_mut() = self.entry.replace(Some(entry));
        PutReply::Stored(version + 1)
    }

    /// Another operator's change, made through its own client.
    fn change_by_other(&self) {
        let other = Rc::new(FakeStore::default());
        *other.entry.borrow_mut() = self.entry.borrow().clone();
        let store = ConfigStore::new(other.clone(), Rc::new(StepClock));
        let changed = set(&store, "crash_limit", "5", "other").now_or_never().unwrap();
        assert!(matches!(changed, WriteOutcome::Accepted { .. }));
        *self.previous.borrow_mut() = self.entry.replace(other.entry.take());
    }

    fn put_now(&self, expected: Expected, value: String) -> Result<PutReply, KvError> {
        for (expected, value) in self.late.take() {
            self.apply(expected, value);
        }
        match self.faults.borrow_mut().pop_front() {
            None => return Ok(self.apply(expected, value)),
            Some(Fault::Refused) => return Err(KvError::Unavailable),
            Some(Fault::WriteLost) => {}
            Some(Fault::Late) => self.late.borrow_mut().push((expected, value)),
            Some(Fault::AnswerLost) => drop(self.apply(expected, value)),
            Some(Fault::AnswerLostThenChanged) => {
                self.apply(expected, value);
                self.change_by_other();
            }
            Some(Fault::ChangedFirst) => {
                self.change_by_other();
                self.apply(expected, value);
            }
        }
        Err(KvError::Unknown)
    }

    fn config(&self) -> FleetConfig {
        FleetConfig::parse(&self.entry.borrow().as_ref().unwrap().value).unwrap()
    }
}

impl KeyValue for FakeStore {
    fn get(&self, _: &str) -> LocalBoxFuture<'_, Result<Option<Entry>, KvError>> {
        let mut stale = self.stale_reads.borrow_mut();
        let source = if *stale > 0 { &self.previous } else { &self.entry };
        *stale = stale.saturating_sub(1);
        ready(Ok(source.borrow().clone())).boxed_local()
    }

    fn put(
        &self,
        _: &str,
        expected: Expected,
        value: String,
        _: Option<u64>,
    ) -> LocalBoxFuture<'_, Result<PutReply, KvError>> {
        ready(self.put_now(expected, value)).boxed_local()
    }

    fn delete(&self, _: &str, _: u64) -> LocalBoxFuture<'_, Result<bool, KvError>> {
        unimplemented!()
    }

    fn list(&self, _: &str, _: &str, _: u32) -> LocalBoxFuture<'_, Result<Vec<Entry>, KvError>> {
        unimplemented!()
    }

    fn watch(&self, _: &str, _: u64) -> LocalBoxFuture<'_, Result<Option<Entry>, KvError>> {
        unimplemented!()
    }

    fn grant(&self, _: u64) -> LocalBoxFuture<'_, Result<u64, KvError>> {
        unimplemented!()
    }

    fn renew(&self, _: u64) -> LocalBoxFuture<'_, Result<bool, KvError>> {
        unimplemented!()
    }

    fn revoke(&self, _: u64) -> LocalBoxFuture<'_, Result<(), KvError>> {
        unimplemented!()
    }
}

/// A clock whose sleeps end at once.
struct StepClock;

impl Clock for StepClock {
    fn now(&self) -> Timestamp {
        Timestamp::default()
    }

    fn unix_millis(&self) -> u64 {
        1000
    }

    fn sleep(&self, _: Duration) -> LocalBoxFuture<'static, ()> {
        ready(()).boxed_local()
    }
}

async fn set(store: &ConfigStore, key: &str, value: &str, author: &str) -> WriteOutcome {
    let read = store.read().await.unwrap();
    let wanted = read.config.with_default(key, value).unwrap();
    store.write(&read, wanted, &by(author)).await
}

fn by(name: &str) -> Author {
    Author { name: name.into(), change_id: format!("change of {name}") }
}

/// Makes one change under faults of its writes, after an undisturbed first one.
fn change_under(faults: &[Fault]) -> (Rc<FakeStore>, WriteOutcome) {
    let fake = Rc::new(FakeStore::default());
    let store = ConfigStore::new(fake.clone(), Rc::new(StepClock));
    let first = set(&store, "weight", "2", "first").now_or_never().unwrap();
    assert!(matches!(first, WriteOutcome::Accepted { revision: 1, .. }));
    fake.faults.borrow_mut().extend(faults);
    let outcome = set(&store, "retry_percent", "20", "maria").now_or_never().unwrap();
    (fake, outcome)
}

/// Guards against two racing operators who both believe that their change is in force.
#[test]
fn one_of_two_racing_changes_wins_and_the_other_learns_what_changed() {
    let fake = Rc::new(FakeStore::default());
    let store = ConfigStore::new(fake.clone(), Rc::new(StepClock));
    set(&store, "weight", "2", "first").now_or_never().unwrap();
    let read = store.read().now_or_never().unwrap().unwrap();
    let won = set(&store, "crash_limit", "3", "ana").now_or_never().unwrap();
    assert!(matches!(won, WriteOutcome::Accepted { revision: 2, .. }));
    let wanted = read.config.with_default("crash_limit", "4").unwrap();
    let lost = store.write(&read, wanted, &by("maria")).now_or_never().unwrap();
    let WriteOutcome::Conflict { revision, author, differences } = lost else { panic!("{lost:?}") };
    assert_eq!((revision, author.as_str()), (2, "ana"));
    let lines: Vec<_> = differences.iter().map(ToString::to_string).collect();
    assert_eq!(lines, ["defaults.crash_limit: 2 -> 3"]);
    assert_eq!(fake.config().defaults.crash_limit, 3);
}

/// Guards against a change that is based on a stale read and overwrites a newer one.
#[test]
fn a_change_of_a_stale_read_is_lost() {
    let (fake, _) = change_under(&[]);
    let store = ConfigStore::new(fake.clone(), Rc::new(StepClock));
    *fake.stale_reads.borrow_mut() = 1;
    let outcome = set(&store, "weight", "9", "ana").now_or_never().unwrap();
    assert!(matches!(outcome, WriteOutcome::Conflict { revision: 2, .. }), "{outcome:?}");
    assert_eq!((fake.config().revision, fake.config().defaults.weight), (2, 2));
}

/// Guards against an ambiguous write that is reported as lost although it took effect, or that
/// takes effect twice, also if it comes late or another operator's change follows.
#[test]
fn an_ambiguous_write_that_takes_effect_is_accepted_once() {
    for faults in [
        &[Fault::AnswerLost][..],
        &[Fault::AnswerLostThenChanged],
        &[Fault::WriteLost, Fault::WriteLost],
        &[Fault::Late],
        &[Fault::Late, Fault::WriteLost],
        &[Fault::WriteLost, Fault::Refused],
    ] {
        let (fake, outcome) = change_under(faults);
        assert!(matches!(outcome, WriteOutcome::Accepted { revision: 2, .. }), "{outcome:?}");
        let config = fake.config();
        assert_eq!(config.defaults.retry_percent, 20);
        let own = config.history.iter().filter(|change| change.author == "maria");
        assert_eq!(own.count(), 1);
        let revisions: Vec<_> = config.history.iter().map(|change| change.revision).collect();
        assert!(revisions.windows(2).all(|pair| pair[0] + 1 == pair[1]), "{revisions:?}");
    }
}

/// Guards against an ambiguous write that is reported as accepted after another one came first.
#[test]
fn an_ambiguous_write_after_another_change_is_not_accepted() {
    let (fake, outcome) = change_under(&[Fault::ChangedFirst]);
    assert!(matches!(outcome, WriteOutcome::Conflict { revision: 2, .. }), "{outcome:?}");
    assert_eq!(fake.config().author, "other");
}

/// Guards against a guess when every try is ambiguous, and against "unknown" for a write that
/// certainly was not sent.
#[test]
fn an_unresolved_write_is_unknown_and_an_unsent_one_is_not_accepted() {
    let (fake, outcome) = change_under(&[Fault::WriteLost; 50]);
    assert!(matches!(outcome, WriteOutcome::Unknown), "{outcome:?}");
    assert_eq!(fake.config().revision, 1);
    let (fake, outcome) = change_under(&[Fault::Refused]);
    assert!(matches!(outcome, WriteOutcome::Unavailable), "{outcome:?}");
    assert_eq!(fake.config().revision, 1);
}

/// Guards against an exception without a written reason, and against a history without bound.
#[test]
fn an_exception_needs_a_reason_and_the_history_is_bounded() {
    let (fake, _) = change_under(&[]);
    let store = ConfigStore::new(fake.clone(), Rc::new(StepClock));
    let read = store.read().now_or_never().unwrap().unwrap();
    let wanted = edit::drain(&read.config, "permits-0-0", " ");
    let refused = store.write(&read, wanted, &by("ana")).now_or_never().unwrap();
    let WriteOutcome::Invalid(faults) = refused else { panic!("{refused:?}") };
    assert_eq!(faults.0[0].key, "exceptions[0].reason");
    let drained = edit::drain(&read.config, "permits-0-0", "cleaning");
    assert!(drained.is_leaving("permits-0-0"));
    let undone = edit::remove_exception(&drained, Scope::Upstream, "permits-0-0");
    assert_eq!(undone, read.config);
    for round in 0..30 {
        let value = (round + 1).to_string();
        set(&store, "queue_depth", &value, "ana").now_or_never().unwrap();
    }
    let config = fake.config();
    assert_eq!((config.revision, config.history.len()), (32, 20));
    assert_eq!(config.history.last().unwrap().summary, "defaults.queue_depth: 29 -> 30");
}
