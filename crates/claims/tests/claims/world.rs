//! A key-value service and nodes whose faults, pauses and time a test controls.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    future::poll_fn,
    rc::Rc,
    task::Poll,
    time::Duration,
};

use claims::{ClaimId, ClaimKey, ClaimRequest, Claims, HolderQuery, HolderStatus};
use clock::{Clock, ManualClock};
use futures_util::{FutureExt, future::LocalBoxFuture};
use keyvalue::{
    KeyValue, KvError,
    api::{Entry, Expected, PutReply},
};
use types::Digest;

/// Step in which time passes.
pub(crate) const TICK: Duration = Duration::from_millis(20);
/// Time that a node waits for the holder of a claim.
pub(crate) const HOLDER_WAIT: Duration = Duration::from_secs(1);
/// Turns that tasks get in each step. A call of the store needs a few.
const TURNS: u32 = 24;

/// What happens to one call of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The call is answered.
    None,
    /// The call is answered after some steps.
    Slow(u8),
    /// The call is refused.
    Unavailable,
    /// The call takes no effect and is not answered.
    Lost,
    /// The call takes effect, but is not answered.
    AnswerLost,
    /// The call is given up and takes effect some steps later.
    Late(u8),
}

/// The time and the store that all nodes share.
pub(crate) struct World {
    pub(crate) clock: ManualClock,
    pub(crate) script: RefCell<VecDeque<Fault>>,
    pub(crate) entries: RefCell<BTreeMap<String, Entry>>,
    version: Cell<u64>,
    nodes: RefCell<Vec<Rc<TestNode>>>,
    /// Lease of the last write.
    pub(crate) last_lease: Cell<Option<u64>>,
    /// Lives of the leases that were granted, in milliseconds.
    pub(crate) granted: RefCell<Vec<u64>>,
}

/// A node with a clock of its own, which can be paused.
pub(crate) struct TestNode {
    pub(crate) name: String,
    pub(crate) clock: ManualClock,
    pub(crate) claims: Rc<Claims>,
    gate: Rc<Gate>,
}

/// Holds back whatever reaches a paused node.
struct Gate {
    world: Rc<World>,
    paused: Cell<bool>,
    missed: Cell<Duration>,
}

/// The store as one node reaches it.
struct NodeStore(Rc<Gate>);

/// Asks nodes about their claims, unless they are paused.
struct Holders {
    world: Rc<World>,
    reachable: bool,
}

impl World {
    pub(crate) fn new(script: impl IntoIterator<Item = Fault>) -> Rc<World> {
        Rc::new(World {
            clock: ManualClock::new(),
            script: RefCell::new(script.into_iter().collect()),
            entries: RefCell::default(),
            version: Cell::new(0),
            nodes: RefCell::default(),
            last_lease: Cell::default(),
            granted: RefCell::default(),
        })
    }

    /// Adds a node; `reachable` says whether it can ask other nodes about their claims.
    pub(crate) fn add_node(self: &Rc<Self>, name: &str, reachable: bool) -> Rc<TestNode> {
        let clock = ManualClock::new();
        clock.advance(self.clock.now().since(Default::default()));
        let gate = Rc::new(Gate {
            world: self.clone(),
            paused: Cell::new(false),
            missed: Cell::default(),
        });
        let claims = Claims::new(
            Rc::new(NodeStore(gate.clone())),
            Rc::new(clock.clone()),
            Rc::new(Holders { world: self.clone(), reachable }),
            (name.into(), 1),
            HOLDER_WAIT,
        );
        let node = Rc::new(TestNode { name: name.into(), clock, claims: Rc::new(claims), gate });
        self.nodes.borrow_mut().push(node.clone());
        node
    }

    /// Lets time pass on all nodes that are not paused.
    pub(crate) async fn pass(&self, time: Duration) {
        let mut left = time;
        while !left.is_zero() {
            self.clock.advance(TICK);
            let nodes = self.nodes.borrow().clone();
            nodes.iter().for_each(|node| node.pass_tick());
            for _ in 0..TURNS {
                yield_now().await;
            }
            left = left.saturating_sub(TICK);
        }
    }

    fn next_fault(&self) -> Fault {
        self.script.borrow_mut().pop_front().unwrap_or(Fault::None)
    }

    /// Makes a call with the next fault of the script.
    async fn call<T>(
        self: &Rc<Self>,
        effect: impl FnOnce(&World) -> T + 'static,
    ) -> Result<T, KvError> {
        match self.next_fault() {
            Fault::None => Ok(effect(self)),
            Fault::Slow(steps) => {
                self.clock.sleep(TICK * u32::from(steps)).await;
                Ok(effect(self))
            }
            Fault::Unavailable => Err(KvError::Unavailable),
            Fault::Lost => Err(KvError::Unknown),
            Fault::AnswerLost => {
                effect(self);
                Err(KvError::Unknown)
            }
            Fault::Late(steps) => {
                let world = self.clone();
                let delay = self.clock.sleep(TICK * u32::from(steps));
                compio::runtime::spawn(async move {
                    delay.await;
                    effect(&world);
                })
                .detach();
                Err(KvError::Unknown)
            }
        }
    }

    fn put(&self, key: String, expected: Expected, value: String) -> PutReply {
        let mut entries = self.entries.borrow_mut();
        let found = entries.get(&key);
        let holds = match expected {
            Expected::Absent => found.is_none(),
            Expected::Version(version) => found.is_some_and(|entry| entry.version == version),
        };
        if !holds {
            return PutReply::Conflict(found.cloned());
        }
        let version = self.version.get() + 1;
        self.version.set(version);
        let created = found.map_or(version, |entry| entry.created);
        entries.insert(key.clone(), Entry { key, value, version, created });
        PutReply::Stored(version)
    }

    fn delete(&self, key: &str, version: u64) -> bool {
        let mut entries = self.entries.borrow_mut();
        let holds = entries.get(key).is_some_and(|entry| entry.version == version);
        if holds {
            entries.remove(key);
        }
        holds
    }
}

impl TestNode {
    /// Stops the node; answers and time reach it only when it is resumed.
    pub(crate) fn pause(&self) {
        self.gate.paused.set(true);
    }

    pub(crate) fn resume(&self) {
        self.gate.paused.set(false);
        self.clock.advance(self.gate.missed.take());
    }

    /// Returns when the node is not paused.
    pub(crate) async fn ready(&self) {
        self.gate.open().await;
    }

    fn pass_tick(&self) {
        if self.gate.paused.get() {
            self.gate.missed.set(self.gate.missed.get() + TICK);
        } else {
            self.clock.advance(TICK);
        }
    }
}

impl Gate {
    async fn open(&self) {
        while self.paused.get() {
            self.world.clock.sleep(TICK).await;
        }
    }
}

impl KeyValue for NodeStore {
    fn get(&self, key: &str) -> LocalBoxFuture<'_, Result<Option<Entry>, KvError>> {
        let key = key.to_owned();
        async move {
            self.0.open().await;
            let read = move |world: &World| world.entries.borrow().get(&key).cloned();
            let reply = self.0.world.call(read).await;
            self.0.open().await;
            reply
        }
        .boxed_local()
    }

    fn put(
        &self,
        key: &str,
        expected: Expected,
        value: String,
        lease: Option<u64>,
    ) -> LocalBoxFuture<'_, Result<PutReply, KvError>> {
        let key = key.to_owned();
        async move {
            self.0.world.last_lease.set(lease);
            self.0.open().await;
            let reply = self.0.world.call(move |world| world.put(key, expected, value)).await;
            self.0.open().await;
            reply
        }
        .boxed_local()
    }

    fn delete(&self, key: &str, version: u64) -> LocalBoxFuture<'_, Result<bool, KvError>> {
        let key = key.to_owned();
        async move {
            self.0.open().await;
            let reply = self.0.world.call(move |world| world.delete(&key, version)).await;
            self.0.open().await;
            reply
        }
        .boxed_local()
    }

    fn list(
        &self,
        _prefix: &str,
        _after: &str,
        _limit: u32,
    ) -> LocalBoxFuture<'_, Result<Vec<Entry>, KvError>> {
        async { Err(KvError::Unavailable) }.boxed_local()
    }

    /// A watch does not report that its entry was deleted, as the service's does not.
    fn watch(&self, key: &str, after: u64) -> LocalBoxFuture<'_, Result<Option<Entry>, KvError>> {
        const LONGEST: Duration = Duration::from_secs(10);
        let key = key.to_owned();
        async move {
            let world = &self.0.world;
            let deadline = world.clock.now() + LONGEST;
            while world.clock.now() < deadline {
                self.0.open().await;
                let entry = world.entries.borrow().get(&key).cloned();
                if entry.as_ref().is_some_and(|entry| entry.version > after) {
                    return Ok(entry);
                }
                world.clock.sleep(TICK).await;
            }
            Ok(None)
        }
        .boxed_local()
    }

    fn grant(&self, ttl_millis: u64) -> LocalBoxFuture<'_, Result<u64, KvError>> {
        self.0.world.granted.borrow_mut().push(ttl_millis);
        let lease = self.0.world.granted.borrow().len() as u64;
        std::future::ready(Ok(lease)).boxed_local()
    }

    fn renew(&self, _lease: u64) -> LocalBoxFuture<'_, Result<bool, KvError>> {
        async { Err(KvError::Unavailable) }.boxed_local()
    }

    fn revoke(&self, _lease: u64) -> LocalBoxFuture<'_, Result<(), KvError>> {
        async { Err(KvError::Unavailable) }.boxed_local()
    }
}

impl HolderQuery for Holders {
    fn ask(&self, id: &ClaimId) -> LocalBoxFuture<'_, HolderStatus> {
        let nodes = self.world.nodes.borrow();
        let holder = nodes.iter().find(|node| node.name == id.node.as_str());
        let holder_status = match holder {
            Some(node) if self.reachable && !node.gate.paused.get() => {
                node.claims.holder_status(id)
            }
            _ => HolderStatus::Unknown,
        };
        std::future::ready(holder_status).boxed_local()
    }
}

/// Time for which finished records are kept.
pub(crate) const RETENTION: Duration = Duration::from_secs(24 * 3600);

/// A request with a key that asks to run on a node, with a deadline of `limit` from now.
pub(crate) fn request(node: &TestNode, first_send: bool, limit: Duration) -> ClaimRequest {
    ClaimRequest {
        key: ClaimKey { organisation: "organisation".into(), key: "key".into() },
        digest: Digest::of(&[b"request"]),
        deadline: node.clock.now() + limit,
        first_send,
    }
}

/// Runs a test on the async runtime.
pub(crate) fn run<T>(test: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new().expect("runtime can be created").block_on(test)
}

async fn yield_now() {
    let mut yielded = false;
    poll_fn(|context| {
        if std::mem::replace(&mut yielded, true) {
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}
