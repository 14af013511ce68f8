//! A simulated key-value service and nodes. The test controls the service's faults, the pauses of
//! nodes and the time.

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

/// Step by which the simulated time advances.
pub(crate) const TICK: Duration = Duration::from_millis(20);
/// Longest time that a node waits for the holder of a claim.
pub(crate) const HOLDER_WAIT: Duration = Duration::from_secs(1);
/// How often tasks are polled in each tick. A call of the key-value service needs several polls.
const POLLS_PER_TICK: u32 = 24;

/// What happens to one call of the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// No fault: the call takes effect and is answered.
    None,
    /// The call takes effect and is answered after this number of ticks.
    Slow(u8),
    /// The call is refused.
    Unavailable,
    /// The call takes no effect and is not answered.
    Lost,
    /// The call takes effect and is not answered.
    AnswerLost,
    /// The call is not answered and takes effect this number of ticks later.
    Late(u8),
}

/// The nodes, and the clock and key-value service that they share.
pub(crate) struct Simulation {
    pub(crate) clock: ManualClock,
    /// Faults of the next calls of the key-value service.
    pub(crate) faults: RefCell<VecDeque<Fault>>,
    pub(crate) entries: RefCell<BTreeMap<String, Entry>>,
    version: Cell<u64>,
    nodes: RefCell<Vec<Rc<TestNode>>>,
    /// Lease of the last write.
    pub(crate) last_lease: Cell<Option<u64>>,
    /// Times to live of the leases that were granted, in milliseconds.
    pub(crate) granted_ttls: RefCell<Vec<u64>>,
}

/// A node that can be paused. It has a clock of its own, which stands still during the pause.
pub(crate) struct TestNode {
    pub(crate) name: String,
    pub(crate) clock: ManualClock,
    pub(crate) claims: Rc<Claims>,
    pause_gate: Rc<PauseGate>,
}

/// Delays the calls and answers of a paused node until it is resumed.
struct PauseGate {
    simulation: Rc<Simulation>,
    paused: Cell<bool>,
    /// Time that has passed during the pause.
    missed_time: Cell<Duration>,
}

/// One node's client of the key-value service.
struct NodeStore(Rc<PauseGate>);

/// Asks nodes about their claims. A paused node does not answer.
struct NodeHolderQuery {
    simulation: Rc<Simulation>,
    reachable: bool,
}

impl Simulation {
    pub(crate) fn new(faults: impl IntoIterator<Item = Fault>) -> Rc<Simulation> {
        Rc::new(Simulation {
            clock: ManualClock::new(),
            faults: RefCell::new(faults.into_iter().collect()),
            entries: RefCell::default(),
            version: Cell::new(0),
            nodes: RefCell::default(),
            last_lease: Cell::default(),
            granted_ttls: RefCell::default(),
        })
    }

    /// Adds a node. `reachable` says whether other nodes answer its queries about their claims.
    pub(crate) fn add_node(self: &Rc<Self>, name: &str, reachable: bool) -> Rc<TestNode> {
        let clock = ManualClock::new();
        clock.advance(self.clock.now().since(Default::default()));
        let pause_gate = Rc::new(PauseGate {
            simulation: self.clone(),
            paused: Cell::new(false),
            missed_time: Cell::default(),
        });
        let claims = Claims::new(
            Rc::new(NodeStore(pause_gate.clone())),
            Rc::new(clock.clone()),
            Rc::new(NodeHolderQuery { simulation: self.clone(), reachable }),
            (name.into(), 1),
            HOLDER_WAIT,
        );
        let node =
            Rc::new(TestNode { name: name.into(), clock, claims: Rc::new(claims), pause_gate });
        self.nodes.borrow_mut().push(node.clone());
        node
    }

    /// Advances the shared clock and the clocks of the nodes that are not paused. Runs all tasks.
    pub(crate) async fn advance(&self, time: Duration) {
        let mut left = time;
        while !left.is_zero() {
            self.clock.advance(TICK);
            let nodes = self.nodes.borrow().clone();
            nodes.iter().for_each(|node| node.advance_tick());
            for _ in 0..POLLS_PER_TICK {
                yield_now().await;
            }
            left = left.saturating_sub(TICK);
        }
    }

    fn next_fault(&self) -> Fault {
        self.faults.borrow_mut().pop_front().unwrap_or(Fault::None)
    }

    /// Applies the next fault to a call whose effect is `effect`.
    async fn call<T>(
        self: &Rc<Self>,
        effect: impl FnOnce(&Simulation) -> T + 'static,
    ) -> Result<T, KvError> {
        match self.next_fault() {
            Fault::None => Ok(effect(self)),
            Fault::Slow(ticks) => {
                self.clock.sleep(TICK * u32::from(ticks)).await;
                Ok(effect(self))
            }
            Fault::Unavailable => Err(KvError::Unavailable),
            Fault::Lost => Err(KvError::Unknown),
            Fault::AnswerLost => {
                effect(self);
                Err(KvError::Unknown)
            }
            Fault::Late(ticks) => {
                let simulation = self.clone();
                let delay = self.clock.sleep(TICK * u32::from(ticks));
                compio::runtime::spawn(async move {
                    delay.await;
                    effect(&simulation);
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
    /// Pauses the node. Until it is resumed, it gets no answers and its clock stands still.
    pub(crate) fn pause(&self) {
        self.pause_gate.paused.set(true);
    }

    pub(crate) fn resume(&self) {
        self.pause_gate.paused.set(false);
        self.clock.advance(self.pause_gate.missed_time.take());
    }

    /// Returns at once if the node is not paused, otherwise when it is resumed.
    pub(crate) async fn until_resumed(&self) {
        self.pause_gate.until_resumed().await;
    }

    fn advance_tick(&self) {
        if self.pause_gate.paused.get() {
            self.pause_gate.missed_time.set(self.pause_gate.missed_time.get() + TICK);
        } else {
            self.clock.advance(TICK);
        }
    }
}

impl PauseGate {
    async fn until_resumed(&self) {
        while self.paused.get() {
            self.simulation.clock.sleep(TICK).await;
        }
    }
}

impl KeyValue for NodeStore {
    fn get(&self, key: &str) -> LocalBoxFuture<'_, Result<Option<Entry>, KvError>> {
        let key = key.to_owned();
        async move {
            self.0.until_resumed().await;
            let read =
                move |simulation: &Simulation| simulation.entries.borrow().get(&key).cloned();
            let reply = self.0.simulation.call(read).await;
            self.0.until_resumed().await;
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
            self.0.simulation.last_lease.set(lease);
            self.0.until_resumed().await;
            let reply = self
                .0
                .simulation
                .call(move |simulation| simulation.put(key, expected, value))
                .await;
            self.0.until_resumed().await;
            reply
        }
        .boxed_local()
    }

    fn delete(&self, key: &str, version: u64) -> LocalBoxFuture<'_, Result<bool, KvError>> {
        let key = key.to_owned();
        async move {
            self.0.until_resumed().await;
            let reply =
                self.0.simulation.call(move |simulation| simulation.delete(&key, version)).await;
            self.0.until_resumed().await;
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

    /// Like the real service, a watch does not report that its entry was deleted.
    fn watch(&self, key: &str, after: u64) -> LocalBoxFuture<'_, Result<Option<Entry>, KvError>> {
        const MAX_WAIT: Duration = Duration::from_secs(10);
        let key = key.to_owned();
        async move {
            let simulation = &self.0.simulation;
            let deadline = simulation.clock.now() + MAX_WAIT;
            while simulation.clock.now() < deadline {
                self.0.until_resumed().await;
                let entry = simulation.entries.borrow().get(&key).cloned();
                if entry.as_ref().is_some_and(|entry| entry.version > after) {
                    return Ok(entry);
                }
                simulation.clock.sleep(TICK).await;
            }
            Ok(None)
        }
        .boxed_local()
    }

    fn grant(&self, ttl_millis: u64) -> LocalBoxFuture<'_, Result<u64, KvError>> {
        self.0.simulation.granted_ttls.borrow_mut().push(ttl_millis);
        let lease = self.0.simulation.granted_ttls.borrow().len() as u64;
        std::future::ready(Ok(lease)).boxed_local()
    }

    fn renew(&self, _lease: u64) -> LocalBoxFuture<'_, Result<bool, KvError>> {
        async { Err(KvError::Unavailable) }.boxed_local()
    }

    fn revoke(&self, _lease: u64) -> LocalBoxFuture<'_, Result<(), KvError>> {
        async { Err(KvError::Unavailable) }.boxed_local()
    }
}

impl HolderQuery for NodeHolderQuery {
    fn ask(&self, id: &ClaimId) -> LocalBoxFuture<'_, HolderStatus> {
        let nodes = self.simulation.nodes.borrow();
        let holder = nodes.iter().find(|node| node.name == id.node.as_str());
        let holder_status = match holder {
            Some(node) if self.reachable && !node.pause_gate.paused.get() => {
                node.claims.holder_status(id)
            }
            _ => HolderStatus::Unknown,
        };
        std::future::ready(holder_status).boxed_local()
    }
}

/// Retention time of finished records.
pub(crate) const RETENTION: Duration = Duration::from_secs(24 * 3600);

/// A request to a node, always with the same idempotency key, whose deadline is `timeout` from now.
pub(crate) fn request(node: &TestNode, first_send: bool, timeout: Duration) -> ClaimRequest {
    ClaimRequest {
        key: ClaimKey { organisation: "organisation".into(), key: "key".into() },
        digest: Digest::of(&[b"request"]),
        deadline: node.clock.now() + timeout,
        first_send,
    }
}

/// Runs a test on the async runtime.
pub(crate) fn run<T>(test: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new().expect("runtime can be created").block_on(test)
}

/// Lets the other tasks run.
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
