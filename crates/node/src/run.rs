//! Runs a node as a daemon, and shuts it down gracefully.

use std::{io, pin::pin, rc::Rc, time::Duration};

use callers::FrontEnd;
use clock::Clock;
use compio::net::TcpListener;
use futures_util::future::{join, select};
use operators::AdminServer;
use settings::NodeSettings;
use transport::{Server, SignalListener, StopSignal};

use crate::{Node, NodeBuilder};

/// Time after the drain deadline in which requests that it ended can still write their last event.
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// Time for writing the last messages to other nodes, which announce that this node has left.
const LEAVE_FLUSH_TIME: Duration = Duration::from_millis(100);

/// Runs a node until it is told to stop, with the signal `terminate` or by an operator, and its
/// requests have ended.
pub async fn run(
    clock: Rc<dyn Clock>,
    mut settings: NodeSettings,
    terminate: SignalListener,
) -> io::Result<()> {
    let stop = StopSignal::new();
    let drain = Duration::from_millis(settings.drain_ms) + DRAIN_GRACE;
    let listen = settings.listen.clone();
    let callers =
        Server::bind(clock.clone(), listen.callers, stop.clone()).await?.drain_limit(drain);
    // The operators' server runs until the last request has ended, so that operators can watch the
    // shutdown.
    let all_ended = StopSignal::new();
    let operators = Server::bind(clock.clone(), listen.operators, all_ended.clone()).await?;
    let peers = TcpListener::bind(listen.peers).await?;
    settings.listen.peers = peers.local_addr()?;
    let node = NodeBuilder::new(clock, settings).stop(stop.clone()).build();
    println!("callers {}", callers.local_addr()?);
    println!("peers {}", peers.local_addr()?);
    println!("operators {}", operators.local_addr()?);
    node.clone().start_tasks();
    compio::runtime::spawn(stop_on_signal(stop, terminate)).detach();
    // The server for peers also runs until then, because other nodes ask whether this node still
    // holds a claim.
    compio::runtime::spawn(node.clone().serve_peers(peers, all_ended.clone())).detach();
    let serving = async {
        callers.run(Rc::new(FrontEnd::new(node.clone()))).await;
        node.wait_for_running(DRAIN_GRACE).await;
        node.clock.sleep(LEAVE_FLUSH_TIME).await;
        all_ended.raise();
    };
    join(serving, operators.run(Rc::new(AdminServer::new(node.clone())))).await;
    tracing::info!("node has stopped");
    Ok(())
}

async fn stop_on_signal(stop: StopSignal, mut terminate: SignalListener) {
    select(pin!(terminate.recv()), pin!(compio::signal::ctrl_c())).await;
    tracing::info!("graceful shutdown starts");
    stop.raise();
    while let Ok(()) = terminate.recv().await {
        tracing::info!("node is already shutting down");
    }
}

/// Raises `drain_expired` at the drain deadline, which ends the requests that still run.
pub(crate) async fn expire_drain(node: Rc<Node>) {
    node.stop.raised().await;
    node.clock.sleep(Duration::from_millis(node.settings.drain_ms)).await;
    tracing::info!(running = node.running.get(), "drain deadline has passed");
    node.drain_expired.raise();
}

impl Node {
    /// Serves other nodes until `stop` is raised.
    pub async fn serve_peers(self: Rc<Self>, listener: TcpListener, stop: StopSignal) {
        self.peers.clone().serve(listener, stop).await;
    }

    /// Waits up to `limit` for the remaining requests. Service calls go on after their callers'
    /// connections have closed.
    async fn wait_for_running(&self, limit: Duration) {
        const POLL: Duration = Duration::from_millis(20);
        let deadline = self.clock.now() + limit;
        while self.running.get() > 0 && self.clock.now() < deadline {
            self.clock.sleep(POLL).await;
        }
    }
}
