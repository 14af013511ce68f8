//! Keeps the decisions about recent requests, which `gypsumrack explain` prints.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    rc::Rc,
};

use callers::RequestContext;
use clock::{Clock, Timestamp};
use operators::api::{Decision, Trace, TraceStep};
use types::{NodeName, RequestId};

/// Traces that a node keeps.
const MAX_TRACES: usize = 4096;
/// Decisions that are kept in one trace. Further ones are dropped.
const MAX_STEPS: usize = 64;

/// Traces of the most recent requests on this node.
#[derive(Default)]
pub(crate) struct Traces {
    by_request: HashMap<RequestId, Vec<Rc<RefCell<Trace>>>>,
    /// Request identifier of each trace, oldest first.
    arrivals: VecDeque<RequestId>,
}

/// Appends decisions to the trace of one request.
#[derive(Clone)]
pub(crate) struct TraceWriter {
    trace: Rc<RefCell<Trace>>,
    clock: Rc<dyn Clock>,
    arrived: Timestamp,
}

impl Traces {
    /// Starts the trace of a request.
    pub(crate) fn start(
        &mut self,
        clock: Rc<dyn Clock>,
        node: &NodeName,
        caller: &RequestContext,
        target: &str,
    ) -> TraceWriter {
        let trace = Rc::new(RefCell::new(Trace {
            request: caller.id.clone(),
            node: node.clone(),
            organisation: caller.organisation.clone(),
            class: caller.class,
            target: target.into(),
            arrived_millis: clock.unix_millis(),
            steps: Vec::new(),
        }));
        self.by_request.entry(caller.id.clone()).or_default().push(trace.clone());
        self.arrivals.push_back(caller.id.clone());
        if self.arrivals.len() > MAX_TRACES {
            self.remove_oldest();
        }
        let arrived = clock.now();
        TraceWriter { trace, clock, arrived }
    }

    /// The traces with a request identifier. A caller may use an identifier for several requests.
    pub(crate) fn find(&self, request: &str) -> Vec<Trace> {
        let traces = self.by_request.get(request);
        traces.into_iter().flatten().map(|trace| trace.borrow().clone()).collect()
    }

    fn remove_oldest(&mut self) {
        let Some(oldest) = self.arrivals.pop_front() else { return };
        let Some(traces) = self.by_request.get_mut(&oldest) else { return };
        traces.remove(0);
        if traces.is_empty() {
            self.by_request.remove(&oldest);
        }
    }
}

impl TraceWriter {
    /// Records a decision.
    pub(crate) fn record(&self, decision: Decision) {
        let after_millis = self.clock.now().since(self.arrived).as_millis() as u64;
        let mut trace = self.trace.borrow_mut();
        if trace.steps.len() < MAX_STEPS {
            trace.steps.push(TraceStep { after_millis, decision });
        }
    }
}
