//! The operators' view of a node: readiness, status, metrics and traces.

use futures_util::{FutureExt, future::LocalBoxFuture};
use operators::{
    AdminApi,
    api::{EngineStatus, FleetStatus, NodeStatus, Readiness, Trace},
};
use routing::EngineState;
use types::{RequestId, UpstreamName};

use crate::state::Node;

impl AdminApi for Node {
    fn readiness(&self) -> Readiness {
        if self.stop.is_raised() {
            return Readiness::Draining;
        }
        if self.config.borrow().current().is_none() {
            return Readiness::NoConfiguration;
        }
        Readiness::Ready
    }

    fn status(&self) -> NodeStatus {
        let view = self.view.borrow();
        NodeStatus {
            node: self.settings.name.clone(),
            incarnation: self.incarnation,
            readiness: self.readiness(),
            revision: self.config.borrow().revision(),
            running: self.running.get(),
            engines: view.engines.iter().map(|(name, e)| self.engine_status(name, e)).collect(),
        }
    }

    fn metrics(&self) -> String {
        self.metrics.encode()
    }

    fn explain(&self, request: &str) -> LocalBoxFuture<'_, Vec<Trace>> {
        let request = RequestId::from(request);
        async move { self.gather_traces(request).await }.boxed_local()
    }

    fn fleet(&self) -> LocalBoxFuture<'_, FleetStatus> {
        self.gather_status().boxed_local()
    }

    fn drain(&self) {
        self.stop.raise();
    }
}

impl Node {
    fn engine_status(&self, name: &UpstreamName, engine: &EngineState) -> EngineStatus {
        let report = engine.report.as_ref().filter(|report| !report.model.is_empty());
        let loaded = report.map_or_else(String::new, |report| {
            format!("{} {} version {}", report.model, report.layers, report.version)
        });
        EngineStatus {
            engine: name.clone(),
            loaded,
            available: engine.is_available(self.clock.now()),
            leaving: engine.leaving || engine.report.as_ref().is_some_and(|r| r.leaving),
            outstanding: engine.outstanding,
        }
    }
}
