//! The open connections of a server.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::IpAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use clock::{Clock, timeout};

use crate::{
    ConnectionId, ConnectionObserver, MemoryAccount, Refusal, ServerLimits,
    activity::Phase,
    connection::ConnectionState,
    eviction::{self, Candidate},
    held::FREE_BYTES,
    memory::Shortage,
};

/// Time between two sweeps over the open connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Sweeps without a byte after which a connection is stalled, and ended if others need its memory.
const STALLED_SWEEPS: u32 = 4;
/// Sweeps before the rate of a body is checked.
const RATE_GRACE_SWEEPS: u32 = 20;
/// Sweeps for which refusals are counted before they are logged.
const LOG_SWEEPS: u32 = 4;
/// Time within which the memory of a body that was ended is waited for.
const EVICTION_WAIT: Duration = Duration::from_millis(250);

/// The open connections of a server. It ends those that exceed a limit.
pub(crate) struct OpenConnections {
    pub(crate) limits: ServerLimits,
    pub(crate) account: Arc<MemoryAccount>,
    clock: Rc<dyn Clock>,
    observer: Option<Rc<dyn ConnectionObserver>>,
    open: RefCell<BTreeMap<ConnectionId, Watched>>,
    peers: RefCell<HashMap<IpAddr, usize>>,
    /// Connections that were told to close and are still open.
    closing: Cell<usize>,
    /// Refusals since the last log line, by cause.
    refusals: RefCell<BTreeMap<Refusal, u64>>,
    sweeps: Cell<u32>,
}

/// A connection, and what the last sweeps saw of it.
struct Watched {
    state: Rc<ConnectionState>,
    steps: u64,
    phase: Phase,
    quiet_sweeps: u32,
    phase_sweeps: u32,
}

impl OpenConnections {
    pub(crate) fn new(
        clock: Rc<dyn Clock>,
        limits: ServerLimits,
        observer: Option<Rc<dyn ConnectionObserver>>,
    ) -> Rc<OpenConnections> {
        Rc::new(OpenConnections {
            account: MemoryAccount::new(limits.body_memory()),
            limits,
            clock,
            observer,
            open: RefCell::default(),
            peers: RefCell::default(),
            closing: Cell::default(),
            refusals: RefCell::default(),
            sweeps: Cell::default(),
        })
    }

    /// Whether no connection is open.
    pub(crate) fn is_empty(&self) -> bool {
        self.open.borrow().is_empty()
    }

    /// Makes room for one more connection. Returns whether there is room.
    pub(crate) fn make_room(&self) -> bool {
        let open = self.open.borrow().len();
        if open - self.closing.get() < self.limits.connection_limit() {
            return true;
        }
        self.close_one()
    }

    /// Closes the connection that can best be spared. Returns whether there is one.
    pub(crate) fn close_one(&self) -> bool {
        let peers = self.peers.borrow();
        let candidates = self.candidates(|peer| peers.get(&peer).copied().unwrap_or_default());
        let Some(id) = eviction::choose_connection(&candidates) else {
            self.record_refusal(Refusal::Connections);
            return false;
        };
        self.close(id, Refusal::Displaced);
        true
    }

    /// Adds a connection until the returned guard is dropped.
    pub(crate) fn add(self: &Rc<Self>, state: Rc<ConnectionState>) -> OpenGuard {
        *self.peers.borrow_mut().entry(state.activity.peer).or_default() += 1;
        let watched = Watched {
            steps: 0,
            phase: Phase::Idle,
            quiet_sweeps: 0,
            phase_sweeps: 0,
            state: state.clone(),
        };
        self.open.borrow_mut().insert(state.id(), watched);
        OpenGuard { connections: self.clone(), state }
    }

    /// Makes room for more bytes of connection `own`. Returns `false` if it has to do without.
    pub(crate) async fn make_memory(&self, own: ConnectionId, shortage: Shortage) -> bool {
        let candidates = self.candidates(|peer| self.account.used_by(peer));
        let Some(own) = candidates.iter().find(|candidate| candidate.id == own) else {
            return false;
        };
        let chosen = eviction::choose_body(own, &candidates, shortage);
        if chosen == own.id {
            return false;
        }
        self.evict(chosen);
        self.wait_for_memory().await
    }

    /// Waits for a while until bytes are released.
    pub(crate) async fn wait_for_memory(&self) -> bool {
        timeout(&*self.clock, EVICTION_WAIT, self.account.wait_for_release()).await.is_ok()
    }

    /// Ends the body that a connection reads, or else the connection.
    fn evict(&self, id: ConnectionId) {
        let reads_body = |watched: &Watched| watched.state.phase() == Phase::Body;
        if self.open.borrow().get(&id).is_some_and(reads_body) {
            self.refuse_body(id, Refusal::Evicted);
        } else {
            self.close(id, Refusal::Unread);
        }
    }

    /// Ends the body that a connection reads. Its request is refused.
    pub(crate) fn refuse_body(&self, id: ConnectionId, cause: Refusal) {
        if let Some(watched) = self.open.borrow().get(&id) {
            watched.state.activity.refuse_body(cause);
        }
        self.record_refusal(cause);
    }

    fn close(&self, id: ConnectionId, cause: Refusal) {
        if let Some(watched) = self.open.borrow().get(&id) {
            watched.state.activity.close();
            self.closing.set(self.closing.get() + 1);
        }
        self.record_refusal(cause);
    }

    fn candidates(&self, peer_use: impl Fn(IpAddr) -> usize) -> Vec<Candidate> {
        let open = self.open.borrow();
        let live = open.values().filter(|watched| !watched.state.activity.is_closing());
        live.map(|watched| {
            let activity = &watched.state.activity;
            Candidate {
                id: watched.state.id(),
                peer: activity.peer,
                peer_use: peer_use(activity.peer),
                phase: watched.state.phase(),
                phase_sweeps: watched.phase_sweeps,
                is_stalled: watched.quiet_sweeps >= STALLED_SWEEPS
                    && watched.steps == activity.steps(),
                has_carried: watched.state.has_carried(),
                has_reserved: activity.has_reserved(),
                body: activity.body(),
            }
        })
        .collect()
    }

    /// Sweeps over the connections at an interval.
    pub(crate) async fn run_sweeps(&self) {
        loop {
            self.clock.sleep(SWEEP_INTERVAL).await;
            self.sweep();
        }
    }

    fn sweep(&self) {
        let mut late = Vec::new();
        for (id, watched) in self.open.borrow_mut().iter_mut() {
            watched.observe();
            if !watched.state.activity.is_closing()
                && let Some(cause) = watched.excess(&self.limits)
            {
                late.push((*id, cause));
            }
        }
        for (id, cause) in late {
            match cause {
                Refusal::BodyTime => self.refuse_body(id, cause),
                _ => self.close(id, cause),
            }
        }
        self.sweeps.set(self.sweeps.get().wrapping_add(1));
        if self.sweeps.get().is_multiple_of(LOG_SWEEPS) {
            self.log_refusals();
        }
    }

    /// Counts a refusal, which is logged with the next sweeps.
    pub(crate) fn record_refusal(&self, cause: Refusal) {
        *self.refusals.borrow_mut().entry(cause).or_default() += 1;
        if let Some(observer) = &self.observer {
            observer.record_refusal(cause);
        }
    }

    fn log_refusals(&self) {
        for (cause, count) in self.refusals.take() {
            let cause: &str = cause.into();
            let (open, memory) = (self.open.borrow().len(), self.account.used());
            tracing::warn!(cause, count, open, memory, "callers exceeded a limit");
        }
    }
}

impl Watched {
    fn observe(&mut self) {
        let (steps, phase) = (self.state.activity.steps(), self.state.phase());
        self.quiet_sweeps = if steps == self.steps { self.quiet_sweeps + 1 } else { 0 };
        self.phase_sweeps = if phase == self.phase { self.phase_sweeps + 1 } else { 0 };
        (self.steps, self.phase) = (steps, phase);
    }

    /// The limit on time that the connection exceeds.
    fn excess(&self, limits: &ServerLimits) -> Option<Refusal> {
        let exceeds = |sweeps: u32, limit| SWEEP_INTERVAL * sweeps > limit;
        match self.phase {
            Phase::Idle if exceeds(self.phase_sweeps, limits.idle_time) => Some(Refusal::IdleTime),
            Phase::Head if exceeds(self.phase_sweeps, limits.head_time) => Some(Refusal::HeadTime),
            Phase::Body
                if exceeds(self.quiet_sweeps, limits.body_pause)
                    || self.is_too_slow(limits.body_rate) =>
            {
                Some(Refusal::BodyTime)
            }
            _ => None,
        }
    }

    /// Whether a body that needs more memory than its connection has is slower than `rate`. A short
    /// body may arrive slowly: no rate is published to callers.
    fn is_too_slow(&self, rate: usize) -> bool {
        let Some(body) = self.state.activity.body() else { return false };
        if body.received <= FREE_BYTES {
            return false;
        }
        let seconds = (SWEEP_INTERVAL * self.phase_sweeps).as_secs() as usize;
        self.phase_sweeps > RATE_GRACE_SWEEPS && body.received < rate.saturating_mul(seconds)
    }
}

/// Removes a connection from the table when it is dropped.
pub(crate) struct OpenGuard {
    connections: Rc<OpenConnections>,
    state: Rc<ConnectionState>,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let connections = &self.connections;
        connections.open.borrow_mut().remove(&self.state.id());
        let activity = &self.state.activity;
        if activity.is_closing() {
            connections.closing.set(connections.closing.get() - 1);
        }
        let mut peers = connections.peers.borrow_mut();
        if let Some(count) = peers.get_mut(&activity.peer) {
            *count -= 1;
            if *count == 0 {
                peers.remove(&activity.peer);
            }
        }
    }
}
