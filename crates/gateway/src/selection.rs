//! The upstreams that an attempt uses, and the reservation of their capacity.

use std::{rc::Rc, sync::Arc};

use catalog::Upstream;
use clock::Timestamp;
use pipelines::UpstreamLoad;
use types::{FailureKind, Stage, UpstreamName};

use crate::{
    Gateway, demand::DemandGuard, event_gaps::GapWatch, lifecycle::ActiveRequest, relay::Relay,
    runs::RunGuard, unread::UnreadGuard,
};

/// The constraints on the selection of the upstreams for an attempt.
#[derive(Clone, Copy, Default)]
pub(crate) struct SelectionQuery<'a> {
    /// Upstreams that must not be used.
    pub(crate) avoid: &'a [UpstreamName],
    /// The only upstreams that may be the entry upstream; empty if there is no such limit.
    pub(crate) allowed_entries: &'a [UpstreamName],
    /// Whether upstreams that are leaving may be used while they still serve.
    pub(crate) with_leaving: bool,
    /// Whether the request is resumed: the caller already has a part of the stream, or an earlier
    /// attempt may have run.
    pub(crate) is_resumed: bool,
}

/// The upstreams of one attempt.
pub(crate) struct Selection {
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) client: Rc<dyn upstreams::UpstreamClient>,
    pub(crate) stages: Vec<Stage>,
    /// When the upstreams were selected.
    pub(crate) selected: Timestamp,
    /// Whether the attempt may be abandoned because an engine is very slow and a better path
    /// exists.
    pub(crate) may_leave_slow: bool,
    /// Whether the entry upstream has refused an earlier attempt of the request. It may send that
    /// refusal once more, which cannot be told from the response to another attempt.
    pub(crate) has_refused: bool,
    /// Counts the attempt as one that may crash its upstreams.
    pub(crate) run: RunGuard,
    /// Counts the prompt as unread until the first event.
    pub(crate) unread: UnreadGuard,
    /// The other node that makes the attempt, if it is not this one.
    pub(crate) relay: Option<Relay>,
    /// Watches the gaps between events; `None` unless times are predicted for the path.
    pub(crate) gap_watch: Option<GapWatch>,
    /// Counts the request in the load table for as long as the selection exists.
    pub(crate) _reservation: Reservation,
}

/// Counts a request in the load of its upstreams until it is dropped.
pub(crate) struct Reservation {
    gateway: Rc<Gateway>,
    loads: Vec<UpstreamLoad>,
    _demand: Option<DemandGuard>,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.gateway.load.borrow_mut().remove(&self.loads);
        self.gateway.wake_waiting();
    }
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoSelection {
    /// The upstreams have no free capacity.
    Full,
    /// Too many requests wait for capacity.
    QueueFull,
    /// The request cannot be served before its caller leaves.
    Late,
    /// No upstream can serve the request.
    NoUpstream,
    /// The request would crash its upstreams.
    Poison,
    /// No upstream can serve the request before this time, since some have asked for a pause.
    Paused(Timestamp),
    /// The request cannot be answered before this node exits.
    Stopping,
    /// This node has lost its links to the upstreams, and no other node can run the request.
    CutOff,
}

impl NoSelection {
    /// Kind and message of the failure that the caller gets.
    pub(crate) fn failure(self) -> (FailureKind, &'static str) {
        match self {
            NoSelection::Full => (FailureKind::Overloaded, "the upstreams have no room"),
            NoSelection::QueueFull => (FailureKind::Overloaded, "too many requests wait for room"),
            NoSelection::Late => (FailureKind::Overloaded, "the request cannot be served in time"),
            NoSelection::Poison => (FailureKind::Upstream, "upstreams have crashed"),
            NoSelection::NoUpstream => {
                (FailureKind::Unavailable, "no upstream can serve the request")
            }
            NoSelection::Stopping => (FailureKind::Draining, "the node is shutting down"),
            NoSelection::CutOff => {
                (FailureKind::Unavailable, "no node that can run the request reaches the upstreams")
            }
            NoSelection::Paused(_) => (
                FailureKind::Overloaded,
                "the upstreams that can serve the request ask for a pause",
            ),
        }
    }
}

impl ActiveRequest {
    /// Reserves capacity for an attempt on the chosen upstreams.
    pub(crate) fn reserve(
        &self,
        upstream: Arc<Upstream>,
        stages: Vec<Stage>,
        loads: Vec<UpstreamLoad>,
    ) -> Selection {
        let gateway = &self.gateway;
        gateway.load.borrow_mut().add(&loads);
        gateway.rate_limits.borrow_mut().count_request(&upstream.name);
        let client = gateway.client(&upstream);
        self.start_attempt(upstream, client, stages, loads)
    }

    /// Starts an attempt of another node, which reserves the capacity.
    pub(crate) fn reserve_node(
        &self,
        node: Arc<Upstream>,
        client: Rc<dyn upstreams::UpstreamClient>,
        relay: Relay,
    ) -> Selection {
        let selection = self.start_attempt(node, client, Vec::new(), Vec::new());
        Selection { relay: Some(relay), ..selection }
    }

    fn start_attempt(
        &self,
        upstream: Arc<Upstream>,
        client: Rc<dyn upstreams::UpstreamClient>,
        stages: Vec<Stage>,
        loads: Vec<UpstreamLoad>,
    ) -> Selection {
        let gateway = self.gateway.clone();
        let selected = gateway.clock.now();
        let run = self.start_run(&upstream, &stages);
        let unread = self.start_reading(&stages);
        let _reservation = Reservation { gateway, loads, _demand: self.count_running() };
        Selection {
            upstream,
            client,
            stages,
            selected,
            may_leave_slow: false,
            has_refused: false,
            run,
            unread,
            relay: None,
            gap_watch: None,
            _reservation,
        }
    }
}
