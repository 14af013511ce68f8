//! Upstreams that say in their answers how many requests a second they take from all nodes together. Each
//! node keeps to its part, for its own requests and for those that it sends again, and tells the others.

use catalog::Upstream;
use clock::Timestamp;
use peers::NamedRate;
use pipelines::{NodeShare, RateSource};
use types::UpstreamName;
use upstreams::UpstreamResponse;

use crate::{Gateway, lifecycle::ActiveRequest, selection::Selection};

impl Gateway {
    /// Records that an upstream has named its rate in an answer to this node, and tells the other nodes.
    pub(crate) fn record_own_rate(&self, name: &UpstreamName, incarnation: u64, rate: f64) {
        if self.record_rate(name, incarnation, rate, RateSource::Answer) {
            self.outbox.push_rate(NamedRate { upstream: name.clone(), incarnation, rate });
        }
    }

    /// Applies rates that upstreams have named to another node.
    pub(crate) fn apply_rates(&self, rates: &[NamedRate]) {
        self.outbox.drop_rates(rates);
        for NamedRate { upstream, incarnation, rate } in rates {
            if rate.is_finite() && *rate >= 0.0 {
                self.record_rate(upstream, *incarnation, *rate, RateSource::Node);
            }
        }
    }

    /// Records a rate. Returns whether the other nodes are to be told.
    fn record_rate(
        &self,
        name: &UpstreamName,
        incarnation: u64,
        rate: f64,
        source: RateSource,
    ) -> bool {
        let now = self.clock.now();
        let update =
            self.rate_limits.borrow_mut().record_rate(name, incarnation, rate, source, now);
        if update.is_new {
            let source: &str = source.into();
            self.metrics.rate_limits.with_label_values(&[source]).inc();
            tracing::info!(upstream = %name, boot = incarnation, rate, nodes = self.sharing_nodes(),
                source, "upstream limits the rate of requests");
        }
        update.tell
    }

    /// Records that an answer to a request which was sent at `sent` named no rate.
    pub(crate) fn record_no_rate(&self, upstream: &Upstream, sent: Timestamp) {
        let Upstream { name, incarnation, .. } = upstream;
        if self.rate_limits.borrow_mut().record_no_rate(name, *incarnation, sent) {
            tracing::info!(upstream = %name, boot = incarnation,
                "upstream no longer limits the rate of requests");
        }
    }

    /// This node among those that share what the whole fleet may use.
    fn node_share(&self) -> NodeShare {
        let rank = self.members.borrow().rank(&self.settings.name);
        NodeShare { nodes: self.sharing_nodes(), rank }
    }

    /// Whether the rate that an upstream has named, if any, leaves room for a request of this node.
    pub(crate) fn has_rate_left(&self, upstream: &Upstream) -> bool {
        if self.rate_limits.borrow().is_empty() {
            return true;
        }
        let (now, share) = (self.clock.now(), self.node_share());
        let mut limits = self.rate_limits.borrow_mut();
        limits.may_send(&upstream.name, upstream.incarnation, share, now)
    }
}

impl ActiveRequest {
    /// Ends the limit on the rate of an upstream that no longer names it. What an answer does name has
    /// been recorded when its head arrived.
    pub(crate) fn observe_rate(&self, selection: &Selection, response: &UpstreamResponse) {
        if response.names_no_rate {
            self.gateway.record_no_rate(&selection.upstream, selection.selected);
        }
    }
}
