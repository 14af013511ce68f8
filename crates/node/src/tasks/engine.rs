use std::{rc::Rc, time::Duration};

use clock::timeout;
use engines::{Engine, api::Load};
use routing::LoadReport;
use transport::CallError;
use types::UpstreamName;

use crate::{completion::UNREACHABLE_TIME, state::Node};

/// Interval at which an engine's load report is read.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time that an engine has to answer one poll, and then once more over a new connection.
const POLL_TIMEOUT: Duration = Duration::from_millis(400);

/// Reads the load reports of one engine for as long as it is in the fleet.
pub(crate) async fn poll_engine(node: Rc<Node>, name: UpstreamName, engine: Rc<dyn Engine>) {
    let mut seen = CacheCursor::default();
    loop {
        let same = node.engine(&name).is_some_and(|current| Rc::ptr_eq(&current, &engine));
        if !same || node.stop.is_raised() && node.running.get() == 0 {
            return;
        }
        let start = node.clock.now();
        let load = read_load(&node, &*engine).await;
        let now = node.clock.now();
        if let Ok(load) = &load {
            node.record_engine_leaving(&name, load.incarnation, load.leaving);
        }
        {
            let mut view = node.view.borrow_mut();
            match (load, view.engines.get_mut(&name)) {
                (Ok(load), Some(state)) => state.record_report(report(load), now.since(start), now),
                (Err(error), Some(_)) => {
                    tracing::debug!(upstream = %name, %error, "load report cannot be read");
                    view.mark_unreachable(&name, now + UNREACHABLE_TIME);
                }
                (_, None) => return,
            }
        }
        node.admit_waiting();
        follow_cache(&node, &name, &*engine, &mut seen).await;
        node.clock.sleep(POLL_INTERVAL).await;
    }
}

/// Reads a load report. If an open connection brings none, a new one is tried, because connections
/// fall silent while their engine works.
async fn read_load(node: &Node, engine: &dyn Engine) -> Result<Load, CallError> {
    for _ in 0..2 {
        match timeout(&*node.clock, POLL_TIMEOUT, engine.load()).await {
            Ok(Err(CallError::Timeout | CallError::Broken(_))) | Err(_) => engine.drop_idle(),
            Ok(result) => return result,
        }
    }
    Err(CallError::Timeout)
}

/// Position in the cache events of one engine.
#[derive(Default)]
struct CacheCursor {
    incarnation: u64,
    sequence: u64,
}

/// Takes in the cache events that have come since the last call.
async fn follow_cache(
    node: &Node,
    name: &UpstreamName,
    engine: &dyn Engine,
    seen: &mut CacheCursor,
) {
    let report = node.view.borrow().engines.get(name).and_then(|state| state.report.clone());
    let Some(report) = report else { return };
    if report.incarnation != seen.incarnation {
        *seen = CacheCursor { incarnation: report.incarnation, sequence: 0 };
        node.view.borrow_mut().prefixes.remove_engine(name);
    }
    let Ok(changes) = engine.cache_events(seen.sequence).await else { return };
    let now = node.clock.now();
    let mut view = node.view.borrow_mut();
    for event in changes.events {
        seen.sequence = seen.sequence.max(event.sequence);
        if event.stored {
            view.prefixes.record_stored(event.prefix, name, now);
        } else {
            view.prefixes.record_evicted(event.prefix, name);
        }
    }
}

fn report(load: Load) -> LoadReport {
    LoadReport {
        incarnation: load.incarnation,
        model: load.model,
        version: load.version,
        layers: load.layers,
        slots: load.slots,
        running: load.running,
        step: Duration::from_micros(load.step_micros),
        prefill: Duration::from_micros(load.prefill_micros),
        leaving: load.leaving,
    }
}
