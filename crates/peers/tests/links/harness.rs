//! A node that only exchanges messages with other nodes, and a proxy whose connections can be made
//! silent.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use claims::{ClaimId, HolderStatus};
use clock::Clock;
use compio::{
    BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use fleet::{Crash, CrashId, Fact, FleetTable, Member, MemberState};
use operators::api::{MemberStatus, Readiness, Trace};
use peers::{
    Direction, Heartbeat, Kind, Message, PROTOCOL_VERSION, PeerHandler, PeerTarget, Peers,
    Snapshot, SnapshotQuery, encode,
};
use transport::StopSignal;
use types::{Digest, NodeName, RequestId};

pub fn run(test: impl Future<Output = ()>) {
    compio::runtime::Runtime::new().expect("runtime can be created").block_on(test);
}

/// Waits until `condition` holds, at most for `limit`. Returns the time that it took.
pub async fn wait_until(
    clock: &Rc<dyn Clock>,
    limit: Duration,
    condition: impl Fn() -> bool,
) -> Duration {
    let start = clock.now();
    while !condition() {
        assert!(clock.now().since(start) < limit, "condition holds within {limit:?}");
        clock.sleep(Duration::from_millis(5)).await;
    }
    clock.now().since(start)
}

/// A crash that node `a` has detected.
pub fn crash_fact(fingerprint: Digest, number: u64) -> Fact {
    let id = CrashId { at_millis: 1, node: "a".into(), incarnation: 1, number };
    Fact::Crash(Crash {
        id,
        fingerprint,
        engine: "engine-0".into(),
        engine_incarnation: number,
        cleared: false,
    })
}

pub struct TestNode {
    pub peers: Rc<Peers>,
    pub addr: SocketAddr,
    pub table: Rc<RefCell<FleetTable>>,
    /// The handler of the node's messages; `None` after the node was killed.
    handler: RefCell<Option<Rc<NodeHandler>>>,
    stop: StopSignal,
}

struct NodeHandler {
    name: NodeName,
    table: Rc<RefCell<FleetTable>>,
    /// Number of received messages of each kind.
    received_count: RefCell<HashMap<Kind, usize>>,
}

impl TestNode {
    pub async fn start(clock: &Rc<dyn Clock>, name: &str) -> TestNode {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("port is free");
        let addr = listener.local_addr().expect("address is known");
        let own = Member {
            node: name.into(),
            incarnation: 1,
            refutations: 0,
            state: MemberState::Alive,
            since_millis: 1,
            addr,
            region: "r".into(),
        };
        let table = Rc::new(RefCell::new(FleetTable::default()));
        table.borrow_mut().merge([Fact::Member(own)], 1);
        let handler = Rc::new(NodeHandler {
            name: name.into(),
            table: table.clone(),
            received_count: RefCell::default(),
        });
        let weak_handler = Rc::downgrade(&handler);
        let peers = Peers::new(clock.clone(), weak_handler);
        let stop = StopSignal::new();
        compio::runtime::spawn(peers.clone().serve(listener, stop.clone())).detach();
        TestNode { peers, addr, table, handler: RefCell::new(Some(handler)), stop }
    }

    pub fn link_to(&self, node: &str, addr: SocketAddr) {
        self.peers.set_targets(&[PeerTarget { node: node.into(), addr }]);
    }

    pub fn link_to_two(&self, first: (&str, SocketAddr), second: (&str, SocketAddr)) {
        let target = |(node, addr): (&str, SocketAddr)| PeerTarget { node: node.into(), addr };
        self.peers.set_targets(&[target(first), target(second)]);
    }

    pub fn close_links(&self) {
        self.peers.set_targets(&[]);
    }

    /// Adds a crash to the facts of the node and sends it to the linked nodes.
    pub fn record_crash(&self, fingerprint: Digest, number: u64) {
        let changes = self.table.borrow_mut().merge([crash_fact(fingerprint, number)], 1);
        self.peers.push(changes);
    }

    /// State of another node, as this node knows it.
    pub fn member_state(&self, node: &str) -> Option<MemberState> {
        self.table.borrow().member(node).map(|member| member.state)
    }

    pub fn knows(&self, node: &str) -> bool {
        self.member_state(node).is_some()
    }

    /// Number of nodes that this node takes for alive, itself included.
    pub fn live_count(&self) -> usize {
        self.table.borrow().live_members().count()
    }

    pub fn received_count(&self, kind: Kind) -> usize {
        let handler = self.handler.borrow();
        let count =
            handler.as_ref().map(|handler| handler.received_count.borrow().get(&kind).copied());
        count.flatten().unwrap_or(0)
    }

    pub fn own_status(&self) -> MemberStatus {
        self.handler.borrow().as_ref().expect("node runs").status()
    }

    /// Ends the node without closing its links or telling other nodes.
    pub fn kill(&self) {
        self.handler.replace(None);
        self.stop.raise();
    }
}

impl Drop for TestNode {
    fn drop(&mut self) {
        self.stop.raise();
    }
}

impl PeerHandler for NodeHandler {
    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            sequence: 0,
            node: self.name.clone(),
            incarnation: 1,
            refutations: 0,
            revision: 0,
            digest: self.table.borrow().digest(),
        }
    }

    fn initial_facts(&self) -> Vec<Fact> {
        self.table.borrow().member(&self.name).cloned().into_iter().map(Fact::Member).collect()
    }

    fn on_heartbeat(&self, heartbeat: &Heartbeat) -> Vec<Fact> {
        let (node, incarnation) = (&heartbeat.node, heartbeat.incarnation);
        let mut table = self.table.borrow_mut();
        table.record_heartbeat(node, incarnation, heartbeat.refutations, 1).into_iter().collect()
    }

    fn on_silence(&self, node: &NodeName) -> Vec<Fact> {
        self.table.borrow_mut().mark_suspect(node, 1).into_iter().collect()
    }

    fn merge(&self, facts: Vec<Fact>) -> Vec<Fact> {
        self.table.borrow_mut().merge(facts, 1)
    }

    fn snapshot(&self, query: SnapshotQuery) -> Snapshot {
        let facts = if query.facts { self.table.borrow().facts() } else { Vec::new() };
        Snapshot { facts, config: None }
    }

    fn wants_config(&self, _: u64) -> bool {
        false
    }

    fn apply_config(&self, _: &str) {}

    fn holder_status(&self, claim: &ClaimId) -> HolderStatus {
        if claim.number == 5 { HolderStatus::Relinquished } else { HolderStatus::Unknown }
    }

    fn traces(&self, _: &RequestId) -> Vec<Trace> {
        Vec::new()
    }

    fn status(&self) -> MemberStatus {
        let readiness = Readiness::NoConfiguration;
        MemberStatus { node: self.name.clone(), incarnation: 1, readiness, revision: 0 }
    }

    fn count_bytes(&self, kind: Kind, direction: Direction, _: usize) {
        if direction == Direction::Received {
            *self.received_count.borrow_mut().entry(kind).or_default() += 1;
        }
    }
}

/// TCP proxy to one address.
pub struct Proxy {
    addr: SocketAddr,
    state: Rc<ProxyState>,
}

#[derive(Default)]
struct ProxyState {
    /// Number of connections accepted so far.
    accepted: Cell<usize>,
    /// The connections up to this number stay open, but the proxy forwards nothing on them.
    silent: Cell<usize>,
}

impl Proxy {
    pub async fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("port is free");
        let addr = listener.local_addr().expect("address is known");
        let state = Rc::new(ProxyState::default());
        let shared = state.clone();
        compio::runtime::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let number = shared.accepted.get() + 1;
                shared.accepted.set(number);
                let Ok(far) = TcpStream::connect(target).await else { continue };
                let (there, back) = (near.clone(), far.clone());
                let state = shared.clone();
                compio::runtime::spawn(forward(near, far, number, state.clone())).detach();
                compio::runtime::spawn(forward(back, there, number, state)).detach();
            }
        })
        .detach();
        Proxy { addr, state }
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub fn accepted(&self) -> usize {
        self.state.accepted.get()
    }

    pub fn silence_open_connections(&self) {
        self.state.silent.set(self.accepted());
    }

    pub fn silence_all(&self) {
        self.state.silent.set(usize::MAX);
    }
}

/// Forwards one direction of the connection `number`.
async fn forward(mut from: TcpStream, mut to: TcpStream, number: usize, state: Rc<ProxyState>) {
    loop {
        let BufResult(count, mut buffer) = from.read(Vec::with_capacity(4096)).await;
        let Ok(count) = count else { return };
        if number <= state.silent.get() {
            // Both sockets stay open until this process ends.
            std::future::pending::<()>().await;
        }
        if count == 0 {
            return;
        }
        buffer.truncate(count);
        if to.write_all(buffer).await.is_err() {
            return;
        }
    }
}

/// Opens a link, as a newer release would, and sends a heartbeat, a message of an unknown kind and
/// another heartbeat. Returns the kinds of the messages that were received.
pub async fn send_unknown_kind(addr: SocketAddr) -> Vec<Kind> {
    let stream = TcpStream::connect(addr).await.expect("node listens");
    let io = transport::tokio_stream(stream);
    let (mut sender, connection) = h2::client::handshake(io).await.expect("node speaks h2");
    let driver = compio::runtime::spawn(async move {
        // The connection fails when the test is over.
        let _ = connection.await;
    });
    let request = http::Request::post("http://peer/").body(()).expect("request is valid");
    let (response, mut body) = sender.send_request(request, false).expect("stream is opened");
    let heartbeat = Message::Heartbeat(Heartbeat {
        sequence: 1,
        node: "new".into(),
        incarnation: 1,
        refutations: 0,
        revision: 0,
        digest: 0,
    });
    let mut unknown = BytesMut::new();
    unknown.put_u32(4);
    unknown.put_slice(&[PROTOCOL_VERSION + 1, 200, 1, 2]);
    for frame in [encode(&heartbeat).expect("heartbeat is small"), unknown.freeze()] {
        body.send_data(frame, false).expect("stream is open");
    }
    let frame: Bytes = encode(&heartbeat).expect("heartbeat is small");
    body.send_data(frame, true).expect("stream is open");
    let mut answers = response.await.expect("node answers").into_body();
    let mut received = BytesMut::new();
    while let Some(Ok(data)) = answers.data().await {
        received.extend_from_slice(&data);
    }
    drop(driver);
    let mut kinds = Vec::new();
    while received.len() > 5 {
        let length = received.get_u32() as usize;
        let frame = received.split_to(length);
        kinds.extend(Kind::from_repr(frame[1]));
    }
    kinds
}
