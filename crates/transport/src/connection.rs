//! Observes the connections of callers: which request is open on a connection, and why the
//! connection ended if that was before the request was completely answered.

use std::{
    cell::{Cell, RefCell},
    io,
    net::IpAddr,
    rc::Rc,
    sync::{Arc, OnceLock},
    task::Poll,
};

use strum::IntoStaticStr;
use types::RequestId;

use crate::{
    BodyAborted, Refusal,
    activity::{Activity, Phase},
};

/// Number of the connection over which a request was received. The server stores it in the
/// request's extensions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// The identifier under which the log lines of a connection name a request. The server stores an
/// empty label in the request's extensions, which the handler sets once it has decoded the request.
#[derive(Clone, Debug, Default)]
pub struct RequestLabel(Arc<OnceLock<RequestId>>);

impl RequestLabel {
    /// Sets the identifier. Further calls have no effect.
    pub fn set(&self, id: &RequestId) {
        self.0.get_or_init(|| id.clone());
    }

    fn as_str(&self) -> &str {
        self.0.get().map_or("", |id| id.as_str())
    }
}

/// Why a connection ended before a request on it was completely answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum CutCause {
    /// The caller closed or reset the connection.
    CallerGone,
    /// The handler aborted the body of the response.
    Aborted,
    /// The response could not be written.
    WriteFailed,
    /// The server closed the connection at the end of the lame-duck period.
    LameDuckClose,
    /// The drain limit of the stopping server passed.
    ForcedClose,
    /// The connection was closed because a limit on callers was reached.
    LimitReached,
}

/// Counts what happens on the connections of a server. The server writes the log lines.
pub trait ConnectionObserver {
    /// A connection ended before a request on it was completely answered.
    fn record_cut(&self, cause: CutCause);

    /// A response was sent before the request's body was read to its end.
    fn record_early_response(&self);

    /// A request was refused or a connection closed because a limit on callers was reached.
    fn record_refusal(&self, _cause: Refusal) {}
}

/// The state of one connection, as its bytes and the service show it.
pub(crate) struct ConnectionState {
    id: ConnectionId,
    pub(crate) activity: Activity,
    observer: Option<Rc<dyn ConnectionObserver>>,
    open_request: RefCell<Option<RequestLabel>>,
    /// Whether bytes may have arrived since the last request was answered.
    head_begun: Cell<bool>,
    /// Whether the connection has carried a request.
    has_carried: Cell<bool>,
    /// Whether the rest of a body is read and discarded.
    is_discarding: Cell<bool>,
    /// Whether the body of the open request's response has ended or was aborted.
    body_end: Cell<Option<Result<(), BodyAborted>>>,
    /// Whether only the end of the connection ends the open request's response.
    is_unframed: Cell<bool>,
    /// Number of times that everything the connection had to write was written.
    flushes: Cell<u64>,
    write_failed: Cell<bool>,
}

impl ConnectionState {
    pub(crate) fn new(
        id: ConnectionId,
        peer: IpAddr,
        observer: Option<Rc<dyn ConnectionObserver>>,
    ) -> Rc<ConnectionState> {
        Rc::new(ConnectionState {
            id,
            activity: Activity::new(peer),
            observer,
            open_request: RefCell::default(),
            head_begun: Cell::default(),
            has_carried: Cell::default(),
            is_discarding: Cell::default(),
            body_end: Cell::default(),
            is_unframed: Cell::default(),
            flushes: Cell::default(),
            write_failed: Cell::default(),
        })
    }

    pub(crate) fn id(&self) -> ConnectionId {
        self.id
    }

    /// Records that the head of a request was read.
    pub(crate) fn open_request(&self, label: RequestLabel) {
        *self.open_request.borrow_mut() = Some(label);
        self.head_begun.set(false);
        self.has_carried.set(true);
        self.body_end.set(None);
        self.is_unframed.set(false);
        self.activity.set_reserved(false);
    }

    /// Records that the response to the open request has neither a length nor chunks.
    pub(crate) fn begin_unframed_response(&self) {
        self.is_unframed.set(true);
    }

    /// Whether a caller would take the end of the connection for that of a response which is not
    /// completely written.
    pub(crate) fn must_not_end(&self) -> bool {
        self.is_unframed.get() && self.open_request.borrow().is_some()
    }

    /// Whether the head of a request may be arriving.
    pub(crate) fn has_partial_head(&self) -> bool {
        self.head_begun.get()
    }

    /// Whether the head of a request was ever read.
    pub(crate) fn has_carried(&self) -> bool {
        self.has_carried.get()
    }

    /// What the connection waits for.
    pub(crate) fn phase(&self) -> Phase {
        let is_refused = self.activity.body_refusal().is_some();
        if is_refused && self.open_request.borrow().is_none() {
            return Phase::Refused;
        }
        if self.activity.body().is_some() && !is_refused {
            return Phase::Body;
        }
        if self.activity.is_write_blocked() {
            return Phase::Blocked;
        }
        match (self.open_request.borrow().is_some(), self.head_begun.get()) {
            (true, _) => Phase::Handler,
            _ if self.is_discarding.get() => Phase::Refused,
            (false, true) => Phase::Head,
            (false, false) => Phase::Idle,
        }
    }

    /// Records that bytes were read.
    pub(crate) fn record_read(&self) {
        self.activity.record_step();
        if self.open_request.borrow().is_none() && !self.is_discarding.get() {
            self.head_begun.set(true);
        }
    }

    /// Records that the rest of the open request's body is discarded, until the guard is dropped.
    /// What arrives in this time begins no head.
    pub(crate) fn begin_discard(self: &Rc<Self>) -> DiscardGuard {
        self.is_discarding.set(true);
        DiscardGuard { state: self.clone() }
    }

    /// Records that the handler has responded before the request's body was read to its end.
    pub(crate) fn record_early_response(&self, status: u16) {
        let open_request = self.open_request.borrow();
        let request = open_request.as_ref().map_or("", RequestLabel::as_str);
        tracing::info!(
            request,
            status,
            connection = self.id.0,
            "response is sent before the request's body was read"
        );
        if let Some(observer) = &self.observer {
            observer.record_early_response();
        }
    }

    /// Records that the body of the open request's response has ended or was aborted.
    pub(crate) fn record_body_end(&self, end: Result<(), BodyAborted>) {
        self.body_end.set(Some(end));
    }

    /// Whether the body of the open request's response has ended or was aborted.
    pub(crate) fn has_body_ended(&self) -> bool {
        self.body_end.get().is_some()
    }

    /// Number of times that everything the connection had to write was written.
    pub(crate) fn flushes(&self) -> u64 {
        self.flushes.get()
    }

    /// Records a write, which may still be pending.
    pub(crate) fn record_write<T>(&self, result: &Poll<io::Result<T>>) {
        self.activity.record_write(result.is_pending());
        if matches!(result, Poll::Ready(Err(_))) {
            self.write_failed.set(true);
        }
    }

    /// Records that everything the connection had to write was written.
    pub(crate) fn record_flush(&self) {
        self.flushes.set(self.flushes.get() + 1);
        if self.body_end.get() == Some(Ok(())) {
            self.open_request.take();
        }
    }

    /// Records the end of the connection, with what `closed_by` says about a connection that did
    /// not end by itself.
    pub(crate) fn record_end(&self, closed_by: Option<CutCause>) {
        let Some(request) = self.open_request.take() else { return };
        let cause = match closed_by {
            _ if self.body_end.get() == Some(Err(BodyAborted)) => CutCause::Aborted,
            _ if self.write_failed.get() => CutCause::WriteFailed,
            Some(cause) => cause,
            None => CutCause::CallerGone,
        };
        let name: &str = cause.into();
        // Callers leave often, and the handler logs the requests that it loses by that.
        if cause == CutCause::CallerGone {
            tracing::debug!(
                request = request.as_str(),
                cause = name,
                connection = self.id.0,
                "connection ended before its request was answered"
            );
        } else {
            tracing::info!(
                request = request.as_str(),
                cause = name,
                connection = self.id.0,
                "connection ended before its request was answered"
            );
        }
        if let Some(observer) = &self.observer {
            observer.record_cut(cause);
        }
    }
}

/// Marks a connection on which the rest of a body is discarded.
pub(crate) struct DiscardGuard {
    state: Rc<ConnectionState>,
}

impl Drop for DiscardGuard {
    fn drop(&mut self) {
        self.state.is_discarding.set(false);
    }
}
