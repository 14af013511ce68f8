use std::{rc::Rc, time::Duration};

use engines::{Engine, api::Load};
use routing::Report;
use types::UpstreamName;

use crate::state::Node;

/// Interval at which an engine's load report is read.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which an engine that did not answer gets no new work. It outlasts the next poll.
const SUSPECT_TIME: Duration = Duration::from_millis(1500);

/// Reads the load reports of one engine for as long as it is in the fleet.
pub(crate) async fn poll_engine(node: Rc<Node>, name: UpstreamName, engine: Rc<dyn Engine>) {
    loop {
        let same = node.engine(&name).is_some_and(|current| Rc::ptr_eq(&current, &engine));
        if !same || node.stop.is_raised() && node.running.get() == 0 {
            return;
        }
        let start = node.clock.now();
        let load = engine.load().await;
        let now = node.clock.now();
        {
            let mut view = node.view.borrow_mut();
            match (load, view.engines.get_mut(&name)) {
                (Ok(load), Some(state)) => state.record(report(load), now.since(start)),
                (Err(error), Some(_)) => {
                    tracing::debug!(engine = %name, %error, "load report cannot be read");
                    view.suspect(&name, now + SUSPECT_TIME);
                }
                (_, None) => return,
            }
        }
        node.clock.sleep(POLL_INTERVAL).await;
    }
}

fn report(load: Load) -> Report {
    Report {
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
