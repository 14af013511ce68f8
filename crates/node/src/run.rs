use std::{io, rc::Rc, time::Duration};

use callers::FrontEnd;
use clock::Clock;
use compio::net::TcpListener;
use futures_util::future::{join, select};
use operators::AdminServer;
use settings::NodeSettings;
use transport::{Server, StopSignal};

use crate::{Node, NodeBuilder};

/// Time in which the answers of requests that were cut at the drain deadline are written.
const CUT_GRACE: Duration = Duration::from_secs(1);
/// Time that the last messages to other nodes, which say that this one has left, have to be written.
const LEAVE_PAUSE: Duration = Duration::from_millis(100);

/// Runs a node until it was told to stop and its requests have ended.
pub async fn run(clock: Rc<dyn Clock>, mut settings: NodeSettings) -> io::Result<()> {
    let stop = StopSignal::new();
    // Requests that are cut at the drain deadline get time for their last event.
    let drain = Duration::from_millis(settings.drain_ms) + CUT_GRACE;
    let listen = settings.listen.clone();
    let callers =
        Server::bind(clock.clone(), listen.callers, stop.clone()).await?.drain_limit(drain);
    // Operators can watch a node until its last request has ended.
    let ended = StopSignal::new();
    let operators = Server::bind(clock.clone(), listen.operators, ended.clone()).await?;
    let peers = TcpListener::bind(listen.peers).await?;
    settings.listen.peers = peers.local_addr()?;
    let node = NodeBuilder::new(clock, settings).stop(stop.clone()).build();
    println!("callers {}", callers.local_addr()?);
    println!("peers {}", peers.local_addr()?);
    println!("operators {}", operators.local_addr()?);
    node.clone().start_tasks();
    compio::runtime::spawn(stop_on_signal(stop)).detach();
    // Other nodes can ask about claims until the last request has ended.
    compio::runtime::spawn(node.clone().serve_peers(peers, ended.clone())).detach();
    let serving = async {
        callers.run(Rc::new(FrontEnd::new(node.clone()))).await;
        node.finish_running(CUT_GRACE).await;
        node.clock.sleep(LEAVE_PAUSE).await;
        ended.raise();
    };
    join(serving, operators.run(Rc::new(AdminServer::new(node.clone())))).await;
    tracing::info!("node has stopped");
    Ok(())
}

async fn stop_on_signal(stop: StopSignal) {
    /// Number of the signal with which the platform asks a process to stop.
    const SIGTERM: i32 = 15;
    let terminated = std::pin::pin!(compio::signal::unix::signal(SIGTERM));
    let interrupted = std::pin::pin!(compio::signal::ctrl_c());
    select(terminated, interrupted).await;
    tracing::info!("graceful shutdown starts");
    stop.raise();
}

/// Ends the requests that still run at the drain deadline.
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

    /// Waits until calls that go on without their caller have ended, at most for `limit`.
    async fn finish_running(&self, limit: Duration) {
        const POLL: Duration = Duration::from_millis(20);
        let deadline = self.clock.now() + limit;
        while self.running.get() > 0 && self.clock.now() < deadline {
            self.clock.sleep(POLL).await;
        }
    }
}
