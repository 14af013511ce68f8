//! Guards the lease holder: it never believes in more time than the service has given, and it
//! leaves nothing behind when the answer to its write is lost.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use clock::{Clock, ManualClock};
use futures_executor::block_on;
use futures_util::{FutureExt, future::LocalBoxFuture};
use keyvalue::{
    KeyValue, KvError, Lease,
    api::{Entry, Expected, PutReply},
};

const TTL: Duration = Duration::from_secs(9);

/// A service with one entry, in which calls take time and a write's answer can be lost.
struct FakeStore {
    clock: ManualClock,
    call_time: Cell<Duration>,
    lose_put: Cell<bool>,
    renews: Cell<bool>,
    entry: RefCell<Option<Entry>>,
    revoked: Cell<u32>,
}

impl FakeStore {
    fn new(clock: ManualClock) -> FakeStore {
        FakeStore {
            clock,
            call_time: Cell::default(),
            lose_put: Cell::default(),
            renews: Cell::new(true),
            entry: RefCell::default(),
            revoked: Cell::default(),
        }
    }

    fn reply<T: 'static>(&self, value: T) -> LocalBoxFuture<'_, T> {
        self.clock.advance(self.call_time.get());
        std::future::ready(value).boxed_local()
    }
}

impl KeyValue for FakeStore {
    fn get(&self, _: &str) -> LocalBoxFuture<'_, Result<Option<Entry>, KvError>> {
        let entry = self.entry.borrow().clone();
        self.reply(Ok(entry))
    }

    fn put(
        &self,
        key: &str,
        _: Expected,
        value: String,
        _: Option<u64>,
    ) -> LocalBoxFuture<'_, Result<PutReply, KvError>> {
        let entry = Entry { key: key.into(), value, version: 7, created: 7 };
        *self.entry.borrow_mut() = Some(entry);
        let reply =
            if self.lose_put.get() { Err(KvError::Unknown) } else { Ok(PutReply::Stored(7)) };
        self.reply(reply)
    }

    fn delete(&self, _: &str, _: u64) -> LocalBoxFuture<'_, Result<bool, KvError>> {
        self.reply(Ok(false))
    }

    fn list(&self, _: &str, _: &str, _: u32) -> LocalBoxFuture<'_, Result<Vec<Entry>, KvError>> {
        self.reply(Ok(Vec::new()))
    }

    fn watch(&self, _: &str, _: u64) -> LocalBoxFuture<'_, Result<Option<Entry>, KvError>> {
        self.reply(Ok(None))
    }

    fn grant(&self, _: u64) -> LocalBoxFuture<'_, Result<u64, KvError>> {
        self.reply(Ok(3))
    }

    fn renew(&self, _: u64) -> LocalBoxFuture<'_, Result<bool, KvError>> {
        let renews = self.renews.get();
        self.reply(Ok(renews))
    }

    fn revoke(&self, _: u64) -> LocalBoxFuture<'_, Result<(), KvError>> {
        self.revoked.set(self.revoked.get() + 1);
        *self.entry.borrow_mut() = None;
        self.reply(Ok(()))
    }
}

fn acquire(store: &Rc<FakeStore>, clock: &ManualClock) -> Result<Option<Lease>, KvError> {
    let clock: Rc<dyn Clock> = Rc::new(clock.clone());
    block_on(Lease::acquire(store.clone(), clock, "orders/holder", "node-1", TTL))
}

#[test]
fn lease_counts_from_before_the_grant() {
    let clock = ManualClock::new();
    let store = Rc::new(FakeStore::new(clock.clone()));
    store.call_time.set(Duration::from_secs(2));
    let lease = acquire(&store, &clock).expect("service answers").expect("lease is free");
    // The grant and the write took 2 s each, so 5 s are left, not 9 s.
    assert!(lease.is_valid(Duration::from_millis(4900)));
    assert!(!lease.is_valid(Duration::from_secs(5)));
}

#[test]
fn lease_lapses_while_its_holder_is_paused() {
    let clock = ManualClock::new();
    let store = Rc::new(FakeStore::new(clock.clone()));
    let mut lease = acquire(&store, &clock).expect("service answers").expect("lease is free");
    clock.advance(TTL);
    assert!(!lease.is_valid(Duration::ZERO));
    // A renewal after the lapse must not revive it, even if the service would take it.
    assert_eq!(block_on(lease.renew()), Ok(false));
    assert!(!lease.is_valid(Duration::ZERO));
}

#[test]
fn refused_renewal_ends_the_lease_at_once() {
    let clock = ManualClock::new();
    let store = Rc::new(FakeStore::new(clock.clone()));
    let mut lease = acquire(&store, &clock).expect("service answers").expect("lease is free");
    store.renews.set(false);
    clock.advance(Duration::from_secs(3));
    assert_eq!(block_on(lease.renew()), Ok(false));
    assert!(!lease.is_valid(Duration::ZERO));
}

#[test]
fn write_whose_answer_is_lost_leaves_no_entry_behind() {
    let clock = ManualClock::new();
    let store = Rc::new(FakeStore::new(clock.clone()));
    store.lose_put.set(true);
    assert!(acquire(&store, &clock).is_err());
    assert_eq!(store.revoked.get(), 1);
    assert!(store.entry.borrow().is_none());
}
