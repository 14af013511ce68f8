//! Changes to the configuration while the key-value service loses writes or answers.

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

/// How a write fails.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    /// The write is refused.
    Refused,
    /// The write takes effect and is not answered.
    AnswerLost,
    /// The write takes no effect and is not answered.
    WriteLost,
    /// The write is not answered and takes effect just before the next write.
    Late,
    /// The write takes effect and is not answered. Then another operator changes the entry.
    AnswerLostThenChanged,
    /// Another operator changes the entry before the write, which is not answered.
    ChangedFirst,
}

/// A key-value service that stores only the configuration.
#[derive(Default)]
struct FakeStore {
    entry: RefCell<Option<Entry>>,
    /// The entry before the last write.
    previous: RefCell<Option<Entry>>,
    /// Faults of the next writes.
    faults: RefCell<VecDeque<Fault>>,
    /// Writes that take effect before the next one.
    pending_writes: RefCell<Vec<(Expected, String)>>,
    /// How many of the next reads return the previous entry.
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

    /// Changes the configuration as another operator, with a client of its own.
    fn change_by_other(&self) {
        let other = Rc::new(FakeStore::default());
        *other.entry.borrow_mut() = self.entry.borrow().clone();
        let store = ConfigStore::new(other.clone(), Rc::new(InstantClock));
        let changed = set_default(&store, "crash_limit", "5", "other").now_or_never().unwrap();
        assert!(matches!(changed, WriteOutcome::Accepted { .. }));
        *self.previous.borrow_mut() = self.entry.replace(other.entry.take());
    }

    fn put_with_fault(&self, expected: Expected, value: String) -> Result<PutReply, KvError> {
        for (expected, value) in self.pending_writes.take() {
            self.apply(expected, value);
        }
        match self.faults.borrow_mut().pop_front() {
            None => return Ok(self.apply(expected, value)),
            Some(Fault::Refused) => return Err(KvError::Unavailable),
            Some(Fault::WriteLost) => {}
            Some(Fault::Late) => self.pending_writes.borrow_mut().push((expected, value)),
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
        ready(self.put_with_fault(expected, value)).boxed_local()
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
struct InstantClock;

impl Clock for InstantClock {
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

async fn set_default(store: &ConfigStore, key: &str, value: &str, author: &str) -> WriteOutcome {
    let read = store.read().await.unwrap();
    let wanted = read.config.with_default(key, value).unwrap();
    store.write(&read, wanted, &new_author(author)).await
}

fn new_author(name: &str) -> Author {
    Author { name: name.into(), change_id: format!("change of {name}") }
}

/// Makes a first change without faults, then a second one whose writes have the given faults.
/// Returns the outcome of the second.
fn change_with_faults(faults: &[Fault]) -> (Rc<FakeStore>, WriteOutcome) {
    let fake = Rc::new(FakeStore::default());
    let store = ConfigStore::new(fake.clone(), Rc::new(InstantClock));
    let first = set_default(&store, "weight", "2", "first").now_or_never().unwrap();
    assert!(matches!(first, WriteOutcome::Accepted { revision: 1, .. }));
    fake.faults.borrow_mut().extend(faults);
    let outcome = set_default(&store, "retry_percent", "20", "maria").now_or_never().unwrap();
    (fake, outcome)
}

/// Guards against two operators with concurrent changes who are both told that theirs is accepted.
#[test]
fn of_two_concurrent_changes_one_is_accepted_and_the_other_gets_the_differences() {
    let fake = Rc::new(FakeStore::default());
    let store = ConfigStore::new(fake.clone(), Rc::new(InstantClock));
    set_default(&store, "weight", "2", "first").now_or_never().unwrap();
    let read = store.read().now_or_never().unwrap().unwrap();
    let accepted = set_default(&store, "crash_limit", "3", "ana").now_or_never().unwrap();
    assert!(matches!(accepted, WriteOutcome::Accepted { revision: 2, .. }));
    let wanted = read.config.with_default("crash_limit", "4").unwrap();
    let outcome = store.write(&read, wanted, &new_author("maria")).now_or_never().unwrap();
    let WriteOutcome::Conflict { revision, author, differences } = outcome else {
        panic!("{outcome:?}")
    };
    assert_eq!((revision, author.as_str()), (2, "ana"));
    let lines: Vec<_> = differences.iter().map(ToString::to_string).collect();
    assert_eq!(lines, ["defaults.crash_limit: 2 -> 3"]);
    assert_eq!(fake.config().defaults.crash_limit, 3);
}

/// Guards against a change that is based on a stale read and overwrites a newer change.
#[test]
fn change_based_on_a_stale_read_is_a_conflict() {
    let (fake, _) = change_with_faults(&[]);
    let store = ConfigStore::new(fake.clone(), Rc::new(InstantClock));
    *fake.stale_reads.borrow_mut() = 1;
    let outcome = set_default(&store, "weight", "9", "ana").now_or_never().unwrap();
    assert!(matches!(outcome, WriteOutcome::Conflict { revision: 2, .. }), "{outcome:?}");
    assert_eq!((fake.config().revision, fake.config().defaults.weight), (2, 2));
}

/// Guards against a change whose write was not answered and that is reported as a conflict although
/// it took effect, or that takes effect twice. The write may take effect late, and a change of
/// another operator may follow.
#[test]
fn change_whose_write_is_not_answered_is_accepted_and_takes_effect_once() {
    for faults in [
        &[Fault::AnswerLost][..],
        &[Fault::AnswerLostThenChanged],
        &[Fault::WriteLost, Fault::WriteLost],
        &[Fault::Late],
        &[Fault::Late, Fault::WriteLost],
        &[Fault::WriteLost, Fault::Refused],
    ] {
        let (fake, outcome) = change_with_faults(faults);
        assert!(matches!(outcome, WriteOutcome::Accepted { revision: 2, .. }), "{outcome:?}");
        let config = fake.config();
        assert_eq!(config.defaults.retry_percent, 20);
        let own = config.history.iter().filter(|change| change.author == "maria");
        assert_eq!(own.count(), 1);
        let revisions: Vec<_> = config.history.iter().map(|change| change.revision).collect();
        assert!(revisions.windows(2).all(|pair| pair[0] + 1 == pair[1]), "{revisions:?}");
    }
}

/// Guards against a change whose write was not answered and that is reported as accepted although
/// the change of another operator came first.
#[test]
fn change_whose_write_is_not_answered_is_a_conflict_after_another_change() {
    let (fake, outcome) = change_with_faults(&[Fault::ChangedFirst]);
    assert!(matches!(outcome, WriteOutcome::Conflict { revision: 2, .. }), "{outcome:?}");
    assert_eq!(fake.config().author, "other");
}

/// Guards against a definite outcome if no write is answered, and against an unknown outcome if the
/// write was refused.
#[test]
fn change_is_unknown_if_no_write_is_answered_and_unavailable_if_the_write_is_refused() {
    let (fake, outcome) = change_with_faults(&[Fault::WriteLost; 50]);
    assert!(matches!(outcome, WriteOutcome::Unknown), "{outcome:?}");
    assert_eq!(fake.config().revision, 1);
    let (fake, outcome) = change_with_faults(&[Fault::Refused]);
    assert!(matches!(outcome, WriteOutcome::Unavailable), "{outcome:?}");
    assert_eq!(fake.config().revision, 1);
}

/// Guards against an exception without a reason, and against a history that grows without bound.
#[test]
fn exception_without_a_reason_is_invalid_and_the_history_is_bounded() {
    let (fake, _) = change_with_faults(&[]);
    let store = ConfigStore::new(fake.clone(), Rc::new(InstantClock));
    let read = store.read().now_or_never().unwrap().unwrap();
    let wanted = edit::drain(&read.config, "permits-0-0", " ");
    let refused = store.write(&read, wanted, &new_author("ana")).now_or_never().unwrap();
    let WriteOutcome::Invalid(faults) = refused else { panic!("{refused:?}") };
    assert_eq!(faults.0[0].key, "exceptions[0].reason");
    let drained = edit::drain(&read.config, "permits-0-0", "cleaning");
    assert!(drained.is_leaving("permits-0-0"));
    let undone = edit::remove_exception(&drained, Scope::Upstream, "permits-0-0");
    assert_eq!(undone, read.config);
    for round in 0..30 {
        let value = (round + 1).to_string();
        set_default(&store, "queue_depth", &value, "ana").now_or_never().unwrap();
    }
    let config = fake.config();
    assert_eq!((config.revision, config.history.len()), (32, 20));
    assert_eq!(config.history.last().unwrap().summary, "defaults.queue_depth: 29 -> 30");
}
