//! What workers say about themselves in their answers, and the requests that nodes send them
//! nevertheless.

use std::{collections::BTreeMap, time::Duration};

use clock::Timestamp;
use http::{HeaderMap, HeaderValue, header};

/// Header by which a worker says that it is leaving.
const LEAVING: &str = "server-leaving";
/// Header with the name of the worker that answers.
const WORKER: &str = "x-worker";
/// Header in which a caller names the node that it sends a request to, and the run of that node's
/// process. Nodes forward it to the workers.
pub(super) const NODE: &str = "x-node";
/// Time after a request for a pause within which requests may still arrive.
const PAUSE_GRACE: Duration = Duration::from_millis(500);
/// Most requests that a node may send in a pause.
const MAX_IN_PAUSE: u32 = 2;

/// Adds what a worker says about itself to the headers of an answer.
pub(super) fn sign_off(headers: &mut HeaderMap, worker: &str, is_leaving: bool) {
    if let Ok(worker) = HeaderValue::try_from(worker) {
        headers.insert(WORKER, worker);
    }
    if is_leaving {
        headers.insert(LEAVING, HeaderValue::from_static("1"));
    }
}

/// The worker that has said with an answer that it is leaving.
pub fn leaving_worker(headers: &HeaderMap) -> Option<&str> {
    headers.get(LEAVING)?;
    headers.get(WORKER)?.to_str().ok()
}

/// The pauses that a worker has asked of nodes, by the nodes' names.
#[derive(Default)]
pub(super) struct NodePauses {
    /// Until when the worker refuses all requests.
    refuses_until: Timestamp,
    /// Length of the pauses that it asks for.
    length: Duration,
    pauses: BTreeMap<String, NodePause>,
}

/// A pause of one node.
struct NodePause {
    start: Timestamp,
    end: Timestamp,
    /// Requests that came in the pause, after [`PAUSE_GRACE`].
    requests: u32,
}

impl NodePauses {
    /// Refuses requests until `until`, each with a request for a pause of `length`.
    pub(super) fn refuse(&mut self, until: Timestamp, length: Duration) {
        (self.refuses_until, self.length) = (until, length);
    }

    /// Counts a request of a node. Returns whether the node sends too many in its pause.
    pub(super) fn count(&mut self, node: &str, now: Timestamp) -> bool {
        let Some(pause) = self.pauses.get_mut(node) else { return false };
        if now < pause.start + PAUSE_GRACE || now >= pause.end {
            return false;
        }
        pause.requests += 1;
        pause.requests > MAX_IN_PAUSE
    }

    /// For how long a node whose request has come has to pause; `None` if the worker takes it.
    pub(super) fn pause(&mut self, node: &str, now: Timestamp) -> Option<Duration> {
        self.pauses.retain(|_, pause| now < pause.end);
        if let Some(pause) = self.pauses.get(node) {
            return Some(pause.end.since(now));
        }
        if now >= self.refuses_until {
            return None;
        }
        let pause = NodePause { start: now, end: now + self.length, requests: 0 };
        self.pauses.insert(node.into(), pause);
        Some(self.length)
    }
}

/// Adds a request for a pause to a refusal.
pub(super) fn ask_for_pause(headers: &mut HeaderMap, pause: Duration) {
    let text = format!("{:.3}", pause.as_secs_f64());
    if let Ok(text) = HeaderValue::try_from(text) {
        headers.insert(header::RETRY_AFTER, text);
    }
}
