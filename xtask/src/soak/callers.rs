//! Callers that send random requests to the nodes and check every answer.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use clock::{Clock, RuntimeClock, Timestamp};
use rand::{Rng, rngs::StdRng};
use standins::platform::{caller_request, is_signed, leaving_worker};
use transport::{CallError, EventSplitter, HttpClient, Timeouts};

/// Timeouts of a caller's connections.
const TIMEOUTS: Timeouts = Timeouts::from_millis(500, 4000);
/// Deadline that a request carries, in milliseconds after it was sent.
const DEADLINE_MS: u64 = 8000;
/// Events that one stream has to deliver.
const STREAM_EVENTS: u64 = 30;
/// Tokens in one event.
const EVENT_TOKENS: u64 = 2;
/// Share of requests that the caller abandons after `ABANDON_AFTER`.
const ABANDON_PERCENT: u32 = 5;
/// Time after which the caller abandons such a request, unless it was answered by then. The outcome
/// of an abandoned request is `left`.
const ABANDON_AFTER: Duration = Duration::from_millis(60);
/// Largest body that a caller accepts, streams excepted.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// The kind of call that a request makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Kind {
    /// A completion, answered by a stream of events.
    Draft,
    /// A call that must run at most once.
    Filing,
    /// An idempotent call, which may run more than once.
    Lookup,
}

/// The outcomes of the requests, and the violations that callers found.
#[derive(Default)]
pub(super) struct Tally {
    /// Number of requests by kind and outcome. The outcome is a status code or a short text;
    /// `silent` means that the node did not answer in time.
    pub(super) outcomes: BTreeMap<(Kind, String), u32>,
    /// Identifiers of requests answered with a status that states that they did not run.
    pub(super) not_run: Vec<String>,
    /// Identifiers of the filings that were answered with status 200.
    pub(super) filed: Vec<String>,
    /// The node that each request was last sent to, and when.
    pub(super) sent: BTreeMap<String, (String, Timestamp)>,
    /// When a node first passed on an answer which says that its worker is leaving, by the names of
    /// node and worker.
    pub(super) passed_on: BTreeMap<(String, String), Timestamp>,
    /// Descriptions of the guarantees that an answer violated.
    pub(super) violations: Vec<String>,
}

impl Tally {
    /// Number of requests answered with status 200, and number of all requests.
    pub(super) fn served(&self) -> (u32, u32) {
        let served = self.outcomes.iter().filter(|((_, outcome), _)| outcome == "200");
        (served.map(|(_, count)| count).sum(), self.outcomes.values().sum())
    }
}

/// One HTTP client for each node and the current name of the node's process, and the outcomes of what they sent. Connections are reused
/// until they break.
pub(super) struct Callers {
    pub(super) clients: Vec<HttpClient>,
    /// Returns the name of a node's process, which is new after each restart and each freeze: these
    /// excuse what a node has forgotten or not heard.
    node_name: Box<dyn Fn(usize) -> String>,
    pub(super) tally: RefCell<Tally>,
    clock: Rc<dyn Clock>,
}

impl Callers {
    /// Creates a client for each node address in `addrs`.
    pub(super) fn new(
        addrs: impl Iterator<Item = std::net::SocketAddr>,
        node_name: Box<dyn Fn(usize) -> String>,
    ) -> Callers {
        let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
        let clients = addrs.map(|addr| HttpClient::new(clock.clone(), addr)).collect();
        Callers { clients, node_name, tally: RefCell::default(), clock }
    }

    /// Sends one request of a random kind, to a random node first, and records its outcome.
    pub(super) async fn send(&self, id: &str, rng: &mut StdRng) {
        let kind = match rng.random_range(0..10) {
            0..5 => Kind::Draft,
            5..8 => Kind::Filing,
            _ => Kind::Lookup,
        };
        let first = rng.random_range(0..self.clients.len());
        let abandoned = rng.random_range(0..100) < ABANDON_PERCENT;
        let sending = self.try_nodes(kind, id, first);
        let outcome = if abandoned {
            match clock::timeout(&*self.clock, ABANDON_AFTER, sending).await {
                Ok(outcome) => outcome,
                Err(_) => "left".into(),
            }
        } else {
            sending.await
        };
        *self.tally.borrow_mut().outcomes.entry((kind, outcome)).or_default() += 1;
    }

    /// Sends the request to the next node while no connection can be established, as the load
    /// balancer in front of the nodes does.
    async fn try_nodes(&self, kind: Kind, id: &str, first: usize) -> String {
        for step in 0..self.clients.len() {
            let number = (first + step) % self.clients.len();
            match self.exchange(number, kind, id).await {
                Err(error) if error.is_connect_failure() => {}
                Err(error) => return error_outcome(&error),
                Ok(outcome) => return outcome,
            }
        }
        "no node reachable".into()
    }

    /// Sends a request to one node and checks the answer. Returns the status code as the outcome.
    async fn exchange(&self, number: usize, kind: Kind, id: &str) -> Result<String, CallError> {
        let path = match kind {
            Kind::Draft => "/drafts/x",
            Kind::Filing => "/file/x",
            Kind::Lookup => "/look/x",
        };
        let node = (self.node_name)(number);
        let request = caller_request(path, id, &node, STREAM_EVENTS * EVENT_TOKENS, DEADLINE_MS);
        let sent = (node.clone(), self.clock.now());
        self.tally.borrow_mut().sent.insert(id.into(), sent);
        let mut response = self.clients[number].send(request, TIMEOUTS).await?;
        if let Some(worker) = leaving_worker(response.headers()) {
            let now = self.clock.now();
            let mut tally = self.tally.borrow_mut();
            tally.passed_on.entry((node, worker.to_owned())).or_insert(now);
        }
        let status = response.status().as_u16();
        if status != 200 {
            let mut tally = self.tally.borrow_mut();
            match status {
                408 | 421 | 429 | 503 => tally.not_run.push(id.into()),
                502 | 504 => {}
                _ => tally.violations.push(format!("DENIED: {id}: unexpected status {status}")),
            }
            return Ok(status.to_string());
        }
        if !is_signed(response.headers()) {
            self.add_violation(format!("MIXED: {id}: status 200 without a signature"));
        }
        if kind == Kind::Draft {
            let mut splitter = EventSplitter::default();
            let mut next = 0;
            while let Some(part) = response.chunk(TIMEOUTS.progress).await? {
                for number in splitter.push(&part)?.into_iter().flat_map(|events| events.numbers) {
                    if number != Some(next) {
                        self.add_violation(format!(
                            "ORDER: {id}: received event {number:?}, expected {next}"
                        ));
                    }
                    next += 1;
                }
            }
            if next != STREAM_EVENTS {
                self.add_violation(format!(
                    "ORDER: {id}: stream ended without an error after {next} of {STREAM_EVENTS} events"
                ));
            }
            return Ok("200".into());
        }
        let body = response.collect(MAX_ANSWER_BYTES, TIMEOUTS.progress).await?;
        if body != format!("done {id}").as_bytes() {
            self.add_violation(format!(
                "MIXED: {id}: unexpected body {:?}",
                String::from_utf8_lossy(&body)
            ));
        }
        if kind == Kind::Filing {
            self.tally.borrow_mut().filed.push(id.into());
        }
        Ok("200".into())
    }

    fn add_violation(&self, message: String) {
        self.tally.borrow_mut().violations.push(message);
    }
}

/// A short text for an error, as the outcome of a request.
fn error_outcome(error: &CallError) -> String {
    match error {
        CallError::Broken(_) => "connection broken".into(),
        CallError::Timeout => "silent".into(),
        other => other.to_string(),
    }
}
