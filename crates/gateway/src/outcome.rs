use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use catalog::Route;
use clock::Timestamp;
use peers::relay::EntryProcess;
use types::{Organisation, RequestId, UpstreamName, Verdict};

use crate::{Gateway, entries::entry_process, selection::Selection};

/// The entry upstreams of the attempts that are not known to have left a request not run, without
/// duplicates.
pub(crate) type UsedEntries = Rc<RefCell<Vec<EntryProcess>>>;

/// Collects what happens to a request, and writes one log line when the request ends or its caller
/// disconnects.
pub(crate) struct OutcomeLog {
    gateway: Rc<Gateway>,
    id: RequestId,
    route: Arc<Route>,
    organisation: Option<Organisation>,
    started: Timestamp,
    entries: UsedEntries,
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    is_counted: bool,
    attempts: u32,
    last_upstream: Option<UpstreamName>,
    causes: Vec<String>,
    reason: Option<String>,
    first_byte: Option<Timestamp>,
    /// Time spent in the queue of waiting requests.
    waited: Duration,
    retry_after: Option<Duration>,
    ended: Option<(&'static str, Verdict, u16)>,
}

/// Most causes of failed attempts in the log line.
const MAX_CAUSES: usize = 6;

impl OutcomeLog {
    pub(crate) fn new(
        gateway: Rc<Gateway>,
        id: &RequestId,
        route: &Arc<Route>,
        organisation: Option<&Organisation>,
    ) -> OutcomeLog {
        let started = gateway.clock.now();
        OutcomeLog {
            gateway,
            id: id.clone(),
            route: route.clone(),
            organisation: organisation.cloned(),
            started,
            entries: UsedEntries::default(),
            state: RefCell::default(),
        }
    }

    /// When the request was prepared, which is after its body was read.
    pub(crate) fn started(&self) -> Timestamp {
        self.started
    }

    /// Marks the request as in flight: it is counted until this value is dropped. That is before
    /// its upstreams are selected, so it may still be refused.
    pub(crate) fn start(&self) {
        self.state.borrow_mut().is_counted = true;
        self.gateway.metrics.in_flight.inc();
    }

    /// Records that the request is sent to an upstream.
    pub(crate) fn record_attempt(&self, upstream: &UpstreamName) {
        let mut state = self.state.borrow_mut();
        state.attempts += 1;
        state.last_upstream = Some(upstream.clone());
    }

    /// Records that the entry upstream of an attempt may have run the request, or those that another
    /// node has used for it.
    pub(crate) fn record_entry(&self, selection: &Selection) {
        match &selection.relay {
            Some(relay) => relay.entries().into_iter().for_each(|entry| self.add_entry(entry)),
            None => self.add_entry(entry_process(&selection.upstream)),
        }
    }

    fn add_entry(&self, entry: EntryProcess) {
        let mut entries = self.entries.borrow_mut();
        if !entries.contains(&entry) {
            entries.push(entry);
        }
    }

    /// The entry upstreams that may have run the request, also those of later attempts.
    pub(crate) fn used_entries(&self) -> UsedEntries {
        self.entries.clone()
    }

    /// Adds the cause of a failed attempt.
    pub(crate) fn add_cause(&self, cause: String) {
        let mut state = self.state.borrow_mut();
        if state.causes.len() < MAX_CAUSES {
            state.causes.push(cause);
        }
    }

    /// Adds the cause of a failed attempt, or a reason not to make another one, unless it was the
    /// last one that was added.
    pub(crate) fn add_new_cause(&self, cause: String) {
        if self.state.borrow().causes.last() != Some(&cause) {
            self.add_cause(cause);
        }
    }

    /// Sets the reason for which the request is given up.
    pub(crate) fn set_reason(&self, reason: &str) {
        self.state.borrow_mut().reason = Some(reason.to_owned());
    }

    /// Adds a time spent in the queue of waiting requests.
    pub(crate) fn add_wait(&self, time: Duration) {
        self.state.borrow_mut().waited += time;
    }

    /// Sets the time after which the caller of a refused request may retry.
    pub(crate) fn set_retry_after(&self, delay: Duration) {
        self.state.borrow_mut().retry_after = Some(delay);
    }

    /// The causes of the failed attempts, for the message to the caller.
    pub(crate) fn causes(&self) -> String {
        self.state.borrow().causes.join("; ")
    }

    /// Records the time at which the first byte of the response goes to the caller.
    pub(crate) fn record_first_byte(&self) {
        let now = self.gateway.clock.now();
        self.state.borrow_mut().first_byte.get_or_insert(now);
    }

    /// Forgets an end and its reason: the request goes on.
    pub(crate) fn clear_end(&self) {
        let mut state = self.state.borrow_mut();
        (state.ended, state.reason, state.retry_after) = (None, None, None);
    }

    /// Records how the request ended.
    pub(crate) fn end(&self, outcome: &'static str, verdict: Verdict, status: u16) {
        self.state.borrow_mut().ended = Some((outcome, verdict, status));
    }
}

impl Drop for OutcomeLog {
    fn drop(&mut self) {
        let state = self.state.borrow();
        if !state.is_counted {
            return;
        }
        let metrics = &self.gateway.metrics;
        metrics.in_flight.dec();
        let verdict = if state.attempts == 0 { Verdict::NotRun } else { Verdict::MayHaveRun };
        let (outcome, verdict, status) = state.ended.unwrap_or(("caller-gone", verdict, 0));
        let organisation = self.organisation.as_ref().map_or("", |name| name.as_str());
        metrics.requests.with_label_values(&[organisation, outcome]).inc();
        let since = |time: Timestamp| time.since(self.started).as_millis() as u64;
        if let Some(first) = state.first_byte {
            let seconds = first.since(self.started).as_secs_f64();
            metrics.first_byte.with_label_values(&[&*self.route.name]).observe(seconds);
        }
        let entries = self.entries.borrow().len() as u32;
        if entries > self.route.max_entries {
            metrics.excess_entries.inc();
        }
        tracing::info!(
            request = %self.id,
            route = &*self.route.name,
            organisation,
            outcome,
            verdict = %verdict,
            status,
            sends = state.attempts,
            entries,
            max_entries = self.route.max_entries,
            upstream = state.last_upstream.as_ref().map(|name| name.as_str()),
            reason = state.reason.as_deref(),
            waited_ms = (!state.waited.is_zero()).then(|| state.waited.as_millis() as u64),
            retry_after_ms = state.retry_after.map(|delay| delay.as_millis() as u64),
            causes = (!state.causes.is_empty()).then(|| state.causes.join("; ")),
            first_ms = state.first_byte.map(since),
            total_ms = since(self.gateway.clock.now()),
            "request ended"
        );
    }
}
