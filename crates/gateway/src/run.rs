use std::{io, pin::pin, rc::Rc, time::Duration};

use compio::runtime::spawn;
use futures_util::future::{join, select};
use peers::DatagramSocket;
use transport::{Handler, Server, StopSignal};

use crate::{Gateway, lifecycle::EXIT_MARGIN, peering, planner, refused_parts, store};

/// Time after the stop signal for which new connections are still accepted. The balancer probes
/// once a second and takes a node out of service after two failed probes.
const REFUSE_DELAY: Duration = Duration::from_millis(3200);

/// Serves callers and the balancer's health checks until the node is told to stop and its requests
/// have ended.
pub async fn serve(
    gateway: Rc<Gateway>,
    front: Rc<impl Handler + 'static>,
    health_checks: Rc<impl Handler + 'static>,
) -> io::Result<()> {
    let settings = &gateway.settings;
    let clock = gateway.clock.clone();
    let grace = Duration::from_secs_f64(settings.grace_s);
    let stop = gateway.stop.clone();
    let drained = StopSignal::new();
    let callers = Server::bind(clock.clone(), settings.callers, stop.clone())
        .await?
        .lame_duck_time(REFUSE_DELAY.min(grace / 2))
        .drain_limit(grace.saturating_sub(EXIT_MARGIN));
    let health = Server::bind(clock.clone(), settings.health, drained.clone()).await?;
    let socket = DatagramSocket::bind(settings.peers).await?;
    tracing::info!(node = %settings.name, domain = %settings.domain, callers = %settings.callers,
        store = %settings.store, "node starts");
    spawn(store::watch_store(gateway.clone())).detach();
    spawn(peering::register(gateway.clone())).detach();
    spawn(peering::exchange_datagrams(gateway.clone(), socket)).detach();
    spawn(planner::run_planner(gateway.clone())).detach();
    spawn(refused_parts::store_refused_parts(gateway.clone())).detach();
    spawn(stop_on_signal(gateway.clone(), stop)).detach();
    spawn(log_reloads()).detach();
    let serving = async {
        callers.run(front).await;
        drained.raise();
    };
    join(serving, health.run(health_checks)).await;
    tracing::info!("node has stopped");
    Ok(())
}

async fn stop_on_signal(gateway: Rc<Gateway>, stop: StopSignal) {
    /// Signal by which the platform asks a process to stop.
    const SIGTERM: i32 = 15;
    let terminated = pin!(compio::signal::unix::signal(SIGTERM));
    let interrupted = pin!(compio::signal::ctrl_c());
    select(terminated, interrupted).await;
    tracing::info!("graceful shutdown starts");
    gateway.stopped_at.set(Some(gateway.clock.now()));
    stop.raise();
}

/// Logs that the settings file has changed. Settings are fixed for the life of the process, so a
/// changed file is used at the next start. Handling the signal keeps it from ending the process.
async fn log_reloads() {
    /// Signal that announces a changed settings file.
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
