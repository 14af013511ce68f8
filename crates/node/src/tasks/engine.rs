//! Polls an engine for its load report and its cache events.

use std::{rc::Rc, time::Duration};

use clock::timeout;
use engines::{Engine, api::Load};
use routing::LoadReport;
use transport::CallError;
use types::UpstreamName;

use crate::{completion::UNREACHABLE_TIME, state::Node};

/// Pause between two reads of an engine's load report.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time that an engine has to answer a read of its load report. A second try over a new connection
/// has as long.
const POLL_TIMEOUT: Duration = Duration::from_millis(400);

/// Reads the load reports and cache events of one engine for as long as it is in the fleet.
pub(crate) async fn poll_engine(node: Rc<Node>, name: UpstreamName, engine: Rc<dyn Engine>) {
    let mut cursor = CacheCursor::default();
    loop {
        let is_current = node.engine(&name).is_some_and(|current| Rc::ptr_eq(&current, &engine));
        if !is_current || node.stop.is_raised() && node.running.get() == 0 {
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
                (Ok(load), Some(state)) => {
                    state.record_report(load_report(load), now.since(start), now)
                }
                (Err(error), Some(_)) => {
                    tracing::debug!(upstream = %name, %error, "load report cannot be read");
                    view.mark_unreachable(&name, now + UNREACHABLE_TIME);
                }
                (_, None) => return,
            }
        }
        node.admit_waiting();
        read_cache_events(&node, &name, &*engine, &mut cursor).await;
        node.clock.sleep(POLL_INTERVAL).await;
    }
}

/// Reads a load report. If that fails over an idle connection, it tries a new one, because a
/// connection may have gone silent although the engine works.
async fn read_load(node: &Node, engine: &dyn Engine) -> Result<Load, CallError> {
    for _ in 0..2 {
        match timeout(&*node.clock, POLL_TIMEOUT, engine.load()).await {
            Ok(Err(CallError::Timeout | CallError::Broken(_))) | Err(_) => engine.drop_idle(),
            Ok(result) => return result,
        }
    }
    Err(CallError::Timeout)
}

/// The newest cache event of an engine that was read: the engine's incarnation and the event's
/// sequence number.
#[derive(Default)]
struct CacheCursor {
    incarnation: u64,
    sequence: u64,
}

/// Updates the prefix table with the cache events since `cursor`. After a restart of the engine all
/// its prefixes are dropped first.
async fn read_cache_events(
    node: &Node,
    name: &UpstreamName,
    engine: &dyn Engine,
    cursor: &mut CacheCursor,
) {
    let report = node.view.borrow().engines.get(name).and_then(|state| state.report.clone());
    let Some(report) = report else { return };
    if report.incarnation != cursor.incarnation {
        *cursor = CacheCursor { incarnation: report.incarnation, sequence: 0 };
        node.view.borrow_mut().prefixes.remove_engine(name);
    }
    let Ok(changes) = engine.cache_events(cursor.sequence).await else { return };
    let now = node.clock.now();
    let mut view = node.view.borrow_mut();
    for event in changes.events {
        cursor.sequence = cursor.sequence.max(event.sequence);
        if event.stored {
            view.prefixes.record_stored(event.prefix, name, now);
        } else {
            view.prefixes.record_evicted(event.prefix, name);
        }
    }
}

fn load_report(load: Load) -> LoadReport {
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
