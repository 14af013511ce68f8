//! Handles messages from other nodes, and asks them about the claims that they hold.

use std::{rc::Weak, time::Duration};

use claims::{ClaimId, HolderQuery, HolderStatus};
use fleet::Fact;
use futures_util::{FutureExt, future::LocalBoxFuture};
use operators::{
    AdminApi,
    api::{MemberStatus, Trace},
};
use peers::{
    Direction, Heartbeat, Kind, MAX_TRACES, Message, PeerHandler, Snapshot, SnapshotQuery,
};
use types::{NodeName, RequestId};

use crate::state::Node;

/// Time that the holder of a claim has to answer. It is short because a caller waits meanwhile.
const CLAIM_QUERY_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after a pull of the configuration before it is pulled from another peer. Several peers
/// announce a revision at about the same time, and one answer is enough.
const PULL_INTERVAL: Duration = Duration::from_secs(1);

impl PeerHandler for Node {
    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            sequence: 0,
            node: self.settings.name.clone(),
            incarnation: self.incarnation,
            refutations: self.refutations.get(),
            revision: self.config.borrow().revision(),
            digest: self.fleet.borrow().digest(),
        }
    }

    fn initial_facts(&self) -> Vec<Fact> {
        let own = self.fleet.borrow().member(&self.settings.name).cloned();
        own.into_iter().map(Fact::Member).collect()
    }

    fn on_heartbeat(&self, heartbeat: &Heartbeat) -> Vec<Fact> {
        let now = self.clock.unix_millis();
        let (incarnation, refutations) = (heartbeat.incarnation, heartbeat.refutations);
        let mut table = self.fleet.borrow_mut();
        table.record_heartbeat(&heartbeat.node, incarnation, refutations, now).into_iter().collect()
    }

    fn on_silence(&self, node: &NodeName) -> Vec<Fact> {
        let now = self.clock.unix_millis();
        let changes = self.fleet.borrow_mut().mark_suspect(node, now);
        if changes.is_some() {
            tracing::info!(peer = %node, "node is suspect");
        }
        changes.into_iter().collect()
    }

    fn merge(&self, facts: Vec<Fact>) -> Vec<Fact> {
        let changes = self.merge_facts(facts);
        self.refute();
        changes
    }

    fn snapshot(&self, query: SnapshotQuery) -> Snapshot {
        let facts = if query.facts { self.fleet.borrow().facts() } else { Vec::new() };
        let current = self.config.borrow().current();
        let config = current.filter(|_| query.config).map(|config| config.to_toml().into());
        Snapshot { facts, config }
    }

    fn wants_config(&self, revision: u64) -> bool {
        let now = self.clock.now();
        let pulled = self.last_pull.get().is_some_and(|last| now.since(last) < PULL_INTERVAL);
        let wanted = revision > self.config.borrow().revision() && !pulled;
        if wanted {
            self.last_pull.set(Some(now));
        }
        wanted
    }

    fn apply_config(&self, text: &str) {
        // The pull has ended, so a newer revision may be pulled at once.
        self.last_pull.set(None);
        Node::apply_config(self, text);
    }

    fn holder_status(&self, claim: &ClaimId) -> HolderStatus {
        self.claims.holder_status(claim)
    }

    fn traces(&self, request: &RequestId) -> Vec<Trace> {
        let mut traces = self.traces.borrow().find(request);
        traces.truncate(MAX_TRACES);
        traces
    }

    fn status(&self) -> MemberStatus {
        MemberStatus {
            node: self.settings.name.clone(),
            incarnation: self.incarnation,
            readiness: self.readiness(),
            revision: self.config.borrow().revision(),
        }
    }

    fn count_bytes(&self, kind: Kind, direction: Direction, bytes: usize) {
        let labels: [&str; 2] = [kind.into(), direction.into()];
        self.metrics.peer_bytes.with_label_values(&labels).inc_by(bytes as u64);
    }
}

/// Asks other nodes about the claims that they hold, over the connections to peers.
pub(crate) struct PeerHolderQuery {
    pub(crate) node: Weak<Node>,
}

impl HolderQuery for PeerHolderQuery {
    fn ask(&self, id: &ClaimId) -> LocalBoxFuture<'_, HolderStatus> {
        let id = id.clone();
        async move {
            let Some(node) = self.node.upgrade() else { return HolderStatus::Unknown };
            let Some(addr) = node.node_addr(&id.node) else { return HolderStatus::Unknown };
            match node.peers.ask(addr, &Message::ClaimQuery(id), CLAIM_QUERY_TIMEOUT).await {
                Ok(Message::ClaimAnswer(holder_status)) => holder_status,
                _ => HolderStatus::Unknown,
            }
        }
        .boxed_local()
    }
}
