use std::{io, pin::pin, rc::Rc, time::Duration};

use compio::runtime::spawn;
use futures_util::future::{join, select};
use peers::DatagramSocket;
use transport::{Handler, Server, StopSignal};

use crate::{Gateway, lifecycle::END_MARGIN, peering, planner, store};

/// Time after the signal to stop in which new connections are still served: the balancer asks once
/// a second and takes a node out after two misses.
const SERVE_ON: Duration = Duration::from_millis(3200);

/// Serves callers and the balancer until the node was told to stop and its requests have ended.
pub async fn serve(
    gateway: Rc<Gateway>,
    front: Rc<impl Handler + 'static>,
    checks: Rc<impl Handler + 'static>,
) -> io::Result<()> {
    let settings = &gateway.settings;
    let clock = gateway.clock.clone();
    let grace = Duration::from_secs_f64(settings.grace_s);
    let stop = gateway.stop.clone();
    let ended = StopSignal::new();
    let callers = Server::bind(clock.clone(), settings.callers, stop.clone())
        .await?
        .lame_duck_time(SERVE_ON.min(grace / 2))
        .drain_limit(grace.saturating_sub(END_MARGIN));
    let health = Server::bind(clock.clone(), settings.health, ended.clone()).await?;
    let socket = DatagramSocket::bind(settings.peers).await?;
    tracing::info!(node = %settings.name, domain = %settings.domain, callers = %settings.callers,
        store = %settings.store, "node starts");
    spawn(store::watch_store(gateway.clone())).detach();
    spawn(peering::register(gateway.clone())).detach();
    spawn(peering::exchange_datagrams(gateway.clone(), socket)).detach();
    spawn(planner::run_planner(gateway.clone())).detach();
    spawn(stop_on_signal(gateway.clone(), stop)).detach();
    spawn(log_reloads()).detach();
    let serving = async {
        callers.run(front).await;
        ended.raise();
    };
    join(serving, health.run(checks)).await;
    tracing::info!("node has stopped");
    Ok(())
}

async fn stop_on_signal(gateway: Rc<Gateway>, stop: StopSignal) {
    /// Number of the signal with which the platform asks a process to stop.
    const SIGTERM: i32 = 15;
    let terminated = pin!(compio::signal::unix::signal(SIGTERM));
    let interrupted = pin!(compio::signal::ctrl_c());
    select(terminated, interrupted).await;
    tracing::info!("graceful shutdown starts");
    gateway.stopped.set(Some(gateway.clock.now()));
    stop.raise();
}

/// A changed settings file is used at the next start: all that it holds is fixed for the life of
/// the process. The signal must not end the process.
async fn log_reloads() {
    /// Number of the signal that says that the settings file has changed.
    const SIGHUP: i32 = 1;
    loop {
        match compio::signal::unix::signal(SIGHUP).await {
            Ok(()) => tracing::info!("settings file has changed; it is used at the next start"),
            Err(error) => {
                tracing::warn!(%error, "signal cannot be received");
                return;
            }
        }
    }
}
