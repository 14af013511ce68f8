use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use clock::{Clock, RuntimeClock};
use rand::{Rng, rngs::StdRng};
use standins::platform::{caller_request, is_signed};
use transport::{CallError, EventSplitter, HttpClient, Timeouts};

/// Deadlines of a caller.
const TIMEOUTS: Timeouts = Timeouts::from_millis(500, 4000);
/// Time that a caller waits, in milliseconds.
const DEADLINE_MS: u64 = 8000;
/// Events of one stream.
const EVENTS: u64 = 30;
/// Tokens in one event.
const EVENT_TOKENS: u64 = 2;
/// Callers in a hundred that leave before the end.
const LEAVING_PERCENT: u32 = 5;
/// Time after which such a caller leaves.
const LEAVE_AFTER: Duration = Duration::from_millis(60);
/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Kind {
    /// A stream of events.
    Draft,
    /// A call that may run once.
    Filing,
    /// A call that may run again.
    Lookup,
}

/// What became of the requests.
#[derive(Default)]
pub(super) struct Tally {
    /// Requests by kind and outcome.
    pub(super) outcomes: BTreeMap<(Kind, String), u32>,
    /// Sends that were answered with a status that promises that they did not run.
    pub(super) promised: Vec<String>,
    /// Filings that were answered with success.
    pub(super) filed: Vec<String>,
    /// Promises that were broken.
    pub(super) violations: Vec<String>,
}

impl Tally {
    /// Requests that were served, of all that were answered or failed.
    pub(super) fn served(&self) -> (u32, u32) {
        let served = self.outcomes.iter().filter(|((_, outcome), _)| outcome == "200");
        (served.map(|(_, count)| count).sum(), self.outcomes.values().sum())
    }
}

/// Clients of all nodes. Connections are kept and used until their node is gone.
pub(super) struct Callers {
    pub(super) clients: Vec<HttpClient>,
    pub(super) tally: RefCell<Tally>,
    clock: Rc<dyn Clock>,
}

impl Callers {
    /// Creates callers of the nodes at `addrs`.
    pub(super) fn new(addrs: impl Iterator<Item = std::net::SocketAddr>) -> Callers {
        let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
        let clients = addrs.map(|addr| HttpClient::new(clock.clone(), addr)).collect();
        Callers { clients, tally: RefCell::default(), clock }
    }

    /// Sends one request to some node and notes what became of it.
    pub(super) async fn send(&self, id: &str, rng: &mut StdRng) {
        let kind = match rng.random_range(0..10) {
            0..5 => Kind::Draft,
            5..8 => Kind::Filing,
            _ => Kind::Lookup,
        };
        let first = rng.random_range(0..self.clients.len());
        let leaves = rng.random_range(0..100) < LEAVING_PERCENT;
        let sending = self.try_nodes(kind, id, first);
        let outcome = if leaves {
            match clock::timeout(&*self.clock, LEAVE_AFTER, sending).await {
                Ok(outcome) => outcome,
                Err(_) => "left".into(),
            }
        } else {
            sending.await
        };
        *self.tally.borrow_mut().outcomes.entry((kind, outcome)).or_default() += 1;
    }

    /// As the balancer does, goes on to the next node while one cannot be reached.
    async fn try_nodes(&self, kind: Kind, id: &str, first: usize) -> String {
        for step in 0..self.clients.len() {
            let client = &self.clients[(first + step) % self.clients.len()];
            match self.exchange(client, kind, id).await {
                Err(error) if error.is_connect_failure() => {}
                Err(error) => return short(&error),
                Ok(outcome) => return outcome,
            }
        }
        "no node".into()
    }

    async fn exchange(
        &self,
        client: &HttpClient,
        kind: Kind,
        id: &str,
    ) -> Result<String, CallError> {
        let path = match kind {
            Kind::Draft => "/drafts/x",
            Kind::Filing => "/file/x",
            Kind::Lookup => "/look/x",
        };
        let request = caller_request(path, id, EVENTS * EVENT_TOKENS, DEADLINE_MS);
        let mut response = client.send(request, TIMEOUTS).await?;
        let status = response.status().as_u16();
        if status != 200 {
            let mut tally = self.tally.borrow_mut();
            match status {
                408 | 421 | 429 | 503 => tally.promised.push(id.into()),
                502 | 504 => {}
                _ => tally.violations.push(format!("DENIED: {id}: status {status}")),
            }
            return Ok(status.to_string());
        }
        if !is_signed(response.headers()) {
            self.violate(format!("MIXED: {id}: a success without a signature"));
        }
        if kind == Kind::Draft {
            let mut splitter = EventSplitter::default();
            let mut next = 0;
            while let Some(part) = response.chunk(TIMEOUTS.progress).await? {
                for number in splitter.push(&part)?.into_iter().flat_map(|events| events.numbers) {
                    if number != Some(next) {
                        self.violate(format!("ORDER: {id}: {number:?} in place of {next}"));
                    }
                    next += 1;
                }
            }
            if next != EVENTS {
                self.violate(format!("ORDER: {id}: ended as whole after {next} events"));
            }
            return Ok("200".into());
        }
        let body = response.collect(MAX_ANSWER_BYTES, TIMEOUTS.progress).await?;
        if body != format!("done {id}").as_bytes() {
            self.violate(format!("MIXED: {id}: {:?}", String::from_utf8_lossy(&body)));
        }
        if kind == Kind::Filing {
            self.tally.borrow_mut().filed.push(id.into());
        }
        Ok("200".into())
    }

    fn violate(&self, message: String) {
        self.tally.borrow_mut().violations.push(message);
    }
}

fn short(error: &CallError) -> String {
    match error {
        CallError::Broken(_) => "broken off".into(),
        CallError::Timeout => "silent".into(),
        other => other.to_string(),
    }
}
