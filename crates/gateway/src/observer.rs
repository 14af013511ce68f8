//! Applies what upstreams say about themselves beside their answers.

use std::{net::SocketAddr, rc::Weak, time::Duration};

use catalog::Upstream;
use types::UpstreamName;
use upstreams::{Notice, UpstreamObserver};

use crate::Gateway;

/// Observer of one incarnation of an upstream.
pub(crate) struct GatewayObserver {
    gateway: Weak<Gateway>,
    name: UpstreamName,
    incarnation: u64,
}

impl GatewayObserver {
    /// Creates an observer of `upstream`. It has no effect once the gateway is gone.
    pub(crate) fn new(gateway: Weak<Gateway>, upstream: &Upstream) -> GatewayObserver {
        let (name, incarnation) = (upstream.name.clone(), upstream.incarnation);
        GatewayObserver { gateway, name, incarnation }
    }
}

impl UpstreamObserver for GatewayObserver {
    fn is_leaving(&self) {
        let Some(gateway) = self.gateway.upgrade() else { return };
        gateway.record_own_leaving(&self.name, self.incarnation);
    }

    fn wants_pause(&self, length: Duration, refusing_engine: Option<SocketAddr>) {
        let Some(gateway) = self.gateway.upgrade() else { return };
        gateway.start_pause(&self.name, self.incarnation, length);
        // The answer does not tell whether the engine that was called or the one that refused asks
        // for the pause.
        let refusing = refusing_engine.and_then(|addr| gateway.upstream_at(addr));
        let refusing = refusing.and_then(|name| gateway.catalog.borrow().upstream(&name).cloned());
        if let Some(refusing) = refusing.filter(|refusing| refusing.name != self.name) {
            gateway.start_pause(&refusing.name, refusing.incarnation, length);
        }
    }

    fn limits_rate(&self, rate: f64) {
        let Some(gateway) = self.gateway.upgrade() else { return };
        gateway.record_own_rate(&self.name, self.incarnation, rate);
    }

    fn sent_invalid_notice(&self, notice: Notice) {
        let Some(gateway) = self.gateway.upgrade() else { return };
        let notice: &str = notice.into();
        gateway.metrics.invalid_notices.with_label_values(&[notice]).inc();
        tracing::debug!(upstream = %self.name, notice, "upstream sent an invalid notice");
    }
}
