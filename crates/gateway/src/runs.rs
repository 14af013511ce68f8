//! The attempts that take part in a crash if an engine of theirs ends.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use catalog::Upstream;
use clock::Timestamp;
use crashes::{EngineProcess, RequestParts, Suspect};
use transport::StopSignal;
use types::{Stage, UpstreamName};

use crate::{Gateway, lifecycle::ActiveRequest};

/// Time for which an attempt that has failed is remembered. Calls that wait for a crashed engine
/// are cut off after three seconds, at times before the crash is noticed.
const ENDED_LIFETIME: Duration = Duration::from_secs(4);

/// The attempts that may have been running when an engine of theirs crashed: those that are in
/// flight, and those that have failed lately.
#[derive(Default)]
pub(crate) struct RunTable {
    runs: RefCell<HashMap<u64, Run>>,
    next_id: Cell<u64>,
    /// Raised when the cause of crashes has been looked for; `None` if that is not about to happen.
    pub(crate) decision: RefCell<Option<StopSignal>>,
}

struct Run {
    parts: RequestParts,
    processes: Vec<EngineProcess>,
    started: Timestamp,
    state: Rc<RunState>,
    ended: Option<Timestamp>,
}

/// How far an attempt has come.
struct RunState {
    /// Whether the attempt continues an answer that has begun elsewhere.
    is_resumed: bool,
    /// Whether the answer has begun.
    has_begun: Cell<bool>,
    /// When a part of the answer last arrived; the start if none did.
    progress: Cell<Timestamp>,
    has_failed: Cell<bool>,
}

/// Keeps an attempt in the [`RunTable`].
pub(crate) struct RunGuard {
    gateway: Rc<Gateway>,
    id: u64,
    state: Rc<RunState>,
}

impl RunGuard {
    /// Whether the attempt continues an answer that has begun elsewhere.
    pub(crate) fn is_resumed(&self) -> bool {
        self.state.is_resumed
    }

    /// Removes the attempt: it has been answered, or it has not run.
    pub(crate) fn remove(&self) {
        self.gateway.runs.runs.borrow_mut().remove(&self.id);
    }

    /// Time since a part of the answer last arrived; since the start if none did.
    pub(crate) fn silence(&self) -> Duration {
        self.gateway.clock.now().since(self.state.progress.get())
    }

    /// Records that a part of the answer has arrived.
    pub(crate) fn record_progress(&self) {
        self.state.has_begun.set(true);
        self.state.progress.set(self.gateway.clock.now());
    }

    /// Records that the attempt has failed. Its engine may have crashed, which is noticed later.
    pub(crate) fn record_failure(&self) {
        self.state.has_failed.set(true);
    }

    /// Keeps only one engine of the attempt's path as one that may have crashed.
    pub(crate) fn keep_only(&self, name: &UpstreamName) {
        if let Some(run) = self.gateway.runs.runs.borrow_mut().get_mut(&self.id) {
            run.processes.retain(|(engine, _)| engine == name);
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let now = self.gateway.clock.now();
        let mut runs = self.gateway.runs.runs.borrow_mut();
        // An answer that arrived until the caller left shows no crash.
        if self.state.has_begun.get() && !self.state.has_failed.get() {
            runs.remove(&self.id);
        }
        if let Some(run) = runs.get_mut(&self.id) {
            run.ended = Some(now);
        }
        runs.retain(|_, run| run.ended.is_none_or(|ended| now.since(ended) < ENDED_LIFETIME));
    }
}

impl RunTable {
    /// Removes the attempts that were sent to `process` before `crashed_at`, and returns their
    /// requests. An attempt takes part in one crash at most, because engines that fail together, as
    /// in the loss of a failure domain, are one event.
    pub(crate) fn take_suspects(
        &self,
        process: &EngineProcess,
        crashed_at: Timestamp,
    ) -> Vec<Suspect> {
        let taken =
            |_: &u64, run: &mut Run| run.processes.contains(process) && run.started <= crashed_at;
        let mut runs = self.runs.borrow_mut();
        runs.extract_if(taken).map(|(_, run)| run.into_suspect()).collect()
    }
}

impl Run {
    fn into_suspect(self) -> Suspect {
        let Run { parts, started, state, .. } = self;
        if state.is_resumed || state.has_begun.get() {
            Suspect::begun(&parts, started, state.progress.get())
        } else {
            Suspect::silent(&parts, started)
        }
    }
}

impl ActiveRequest {
    /// Remembers an attempt until it has been answered.
    pub(crate) fn start_run(&self, upstream: &Upstream, stages: &[Stage]) -> RunGuard {
        let gateway = self.gateway.clone();
        let catalog = gateway.catalog.borrow();
        let later = stages.iter().filter_map(|stage| catalog.upstream(&stage.engine));
        let engines = later.map(|engine| (engine.name.clone(), engine.incarnation));
        let mut processes: Vec<EngineProcess> = engines.collect();
        if processes.is_empty() {
            processes.push((upstream.name.clone(), upstream.incarnation));
        }
        drop(catalog);
        let id = gateway.runs.next_id.get();
        gateway.runs.next_id.set(id + 1);
        let started = gateway.clock.now();
        let state = Rc::new(RunState {
            is_resumed: self.has_begun.get() || self.resume_after.is_some(),
            has_begun: Cell::new(false),
            progress: Cell::new(started),
            has_failed: Cell::new(false),
        });
        let parts = self.parts.clone();
        let run = Run { parts, processes, started, state: state.clone(), ended: None };
        gateway.runs.runs.borrow_mut().insert(id, run);
        RunGuard { gateway, id, state }
    }
}
