//! Gathers traces and status from all members.

use std::{net::SocketAddr, time::Duration};

use futures_util::{StreamExt, stream};
use operators::api::{FleetStatus, Trace};
use peers::{Message, PeerHandler};
use types::{NodeName, RequestId};

use crate::state::Node;

/// Nodes that are asked at the same time.
const CONCURRENT: usize = 16;
/// Time that one node has to answer.
const NODE_LIMIT: Duration = Duration::from_millis(500);
/// Time for all answers. Nodes that were not asked until then count as silent.
const TOTAL_LIMIT: Duration = Duration::from_secs(4);
/// Traces that are gathered for one request.
const MAX_GATHERED: usize = 256;

impl Node {
    /// The traces of a request on all nodes.
    pub(crate) async fn gather_traces(&self, request: RequestId) -> Vec<Trace> {
        let mut traces = self.traces.borrow().find(&request);
        for (_, answer) in self.ask_all(&Message::TraceQuery(request)).await {
            if let Some(Message::TraceAnswer(found)) = answer {
                traces.extend(found);
            }
        }
        traces.truncate(MAX_GATHERED);
        traces.sort_by_key(|trace| trace.arrived_millis);
        traces
    }

    /// The status of all nodes.
    pub(crate) async fn gather_status(&self) -> FleetStatus {
        let mut fleet =
            FleetStatus { members: vec![PeerHandler::status(self)], silent: Vec::new() };
        for (node, answer) in self.ask_all(&Message::StatusQuery).await {
            match answer {
                Some(Message::StatusAnswer(status)) => fleet.members.push(status),
                _ => fleet.silent.push(node),
            }
        }
        fleet.members.sort_by(|a, b| a.node.cmp(&b.node));
        fleet
    }

    async fn ask_all(&self, question: &Message) -> Vec<(NodeName, Option<Message>)> {
        let deadline = self.clock.now() + TOTAL_LIMIT;
        let ask = |(node, addr): (NodeName, SocketAddr)| async move {
            let left = deadline.since(self.clock.now()).min(NODE_LIMIT);
            if left.is_zero() {
                return (node, None);
            }
            let answer = self.peers.ask(addr, question, left).await;
            (node, answer.ok())
        };
        stream::iter(self.other_nodes()).map(ask).buffered(CONCURRENT).collect().await
    }
}
