//! Guards against a lease that counts as valid after the service has let it expire, and against an
//! entry that stays behind when the reply to the write that created it is lost.

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

/// A key-value service with one entry.
struct FakeStore {
    clock: ManualClock,
    /// Time by which each call advances the clock.
    call_duration: Cell<Duration>,
    /// Whether writes take effect without a reply.
    loses_put_reply: Cell<bool>,
    /// Whether leases still exist when they are to be renewed.
    grants_renewal: Cell<bool>,
    entry: RefCell<Option<Entry>>,
    revocations: Cell<u32>,
}

impl FakeStore {
    fn new(clock: ManualClock) -> FakeStore {
        FakeStore {
            clock,
            call_duration: Cell::default(),
            loses_put_reply: Cell::default(),
            grants_renewal: Cell::new(true),
            entry: RefCell::default(),
            revocations: Cell::default(),
        }
    }

    fn reply<T: 'static>(&self, value: T) -> LocalBoxFuture<'_, T> {
        self.clock.advance(self.call_duration.get());
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
        let reply = if self.loses_put_reply.get() {
            Err(KvError::Unknown)
        } else {
            Ok(PutReply::Stored(7))
        };
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
        let grants_renewal = self.grants_renewal.get();
        self.reply(Ok(grants_renewal))
    }

    fn revoke(&self, _: u64) -> LocalBoxFuture<'_, Result<(), KvError>> {
        self.revocations.set(self.revocations.get() + 1);
        *self.entry.borrow_mut() = None;
        self.reply(Ok(()))
    }
}

fn acquire(store: &Rc<FakeStore>, clock: &ManualClock) -> Result<Option<Lease>, KvError> {
    let clock: Rc<dyn Clock> = Rc::new(clock.clone());
    block_on(Lease::acquire(store.clone(), clock, "orders/holder", "node-1", TTL))
}

#[test]
fn lease_expires_its_ttl_after_the_start_of_the_grant_call() {
    let clock = ManualClock::new();
    let store = Rc::new(FakeStore::new(clock.clone()));
    store.call_duration.set(Duration::from_secs(2));
    let lease = acquire(&store, &clock).expect("service answers").expect("lease is free");
    // The grant and the write took 2 s each, so 5 s of the 9 s are left.
    assert!(lease.is_valid(Duration::from_millis(4900)));
    assert!(!lease.is_valid(Duration::from_secs(5)));
}

#[test]
fn lease_that_expired_during_a_pause_of_its_holder_is_not_renewed() {
    let clock = ManualClock::new();
    let store = Rc::new(FakeStore::new(clock.clone()));
    let mut lease = acquire(&store, &clock).expect("service answers").expect("lease is free");
    clock.advance(TTL);
    assert!(!lease.is_valid(Duration::ZERO));
    // The lease must not be renewed after its expiry, even if the service would renew it.
    assert_eq!(block_on(lease.renew()), Ok(false));
    assert!(!lease.is_valid(Duration::ZERO));
}

#[test]
fn lease_is_invalid_at_once_when_its_renewal_is_refused() {
    let clock = ManualClock::new();
    let store = Rc::new(FakeStore::new(clock.clone()));
    let mut lease = acquire(&store, &clock).expect("service answers").expect("lease is free");
    store.grants_renewal.set(false);
    clock.advance(Duration::from_secs(3));
    assert_eq!(block_on(lease.renew()), Ok(false));
    assert!(!lease.is_valid(Duration::ZERO));
}

#[test]
fn acquisition_whose_write_is_not_answered_revokes_the_lease_and_leaves_no_entry() {
    let clock = ManualClock::new();
    let store = Rc::new(FakeStore::new(clock.clone()));
    store.loses_put_reply.set(true);
    assert!(acquire(&store, &clock).is_err());
    assert_eq!(store.revocations.get(), 1);
    assert!(store.entry.borrow().is_none());
}
