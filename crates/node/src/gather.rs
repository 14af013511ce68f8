//! Gathers traces and status from all nodes of the fleet for an operator.

use std::{net::SocketAddr, time::Duration};

use futures_util::{StreamExt, stream};
use operators::api::{FleetStatus, Trace};
use peers::{Message, PeerHandler};
use types::{NodeName, RequestId};

use crate::state::Node;

/// Number of nodes that are asked at the same time.
const MAX_CONCURRENT: usize = 16;
/// Time that each node has to answer.
const NODE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for all answers. Nodes that could not be asked before it is over count as silent.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(4);
/// Largest number of traces that are returned for one request.
const MAX_GATHERED_TRACES: usize = 256;

impl Node {
    /// The traces of a request on all nodes.
    pub(crate) async fn gather_traces(&self, request: RequestId) -> Vec<Trace> {
        let mut traces = self.traces.borrow().find(&request);
        for (_, answer) in self.ask_all(&Message::TraceQuery(request)).await {
            if let Some(Message::TraceAnswer(found)) = answer {
                traces.extend(found);
            }
        }
        traces.truncate(MAX_GATHERED_TRACES);
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

    /// Sends a query to all other nodes and returns each node's answer, or `None` if there was
    /// none.
    async fn ask_all(&self, query: &Message) -> Vec<(NodeName, Option<Message>)> {
        let deadline = self.clock.now() + TOTAL_TIMEOUT;
        let ask = |(node, addr): (NodeName, SocketAddr)| async move {
            let remaining = deadline.since(self.clock.now()).min(NODE_TIMEOUT);
            if remaining.is_zero() {
                return (node, None);
            }
            let answer = self.peers.ask(addr, query, remaining).await;
            (node, answer.ok())
        };
        stream::iter(self.other_nodes()).map(ask).buffered(MAX_CONCURRENT).collect().await
    }
}
