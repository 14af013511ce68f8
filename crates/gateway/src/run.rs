use std::{io, pin::pin, rc::Rc, time::Duration};

use compio::{net::TcpListener, runtime::spawn};
use futures_util::future::{join, select};
use peers::{DatagramSocket, relay::RelayServer};
use transport::{Handler, Server, SignalListener, StopSignal};

use crate::{
    Gateway,
    caller_limits::{caller_limits, health_limits},
    peering, planner, refusals, store,
};

/// Time after the stop signal for which new connections are still accepted. The balancer probes
/// once a second and takes a node out of service after two failed probes.
const REFUSE_DELAY: Duration = Duration::from_millis(3200);

/// The signals that a node handles. They are installed before anything else, since a signal that
/// arrives earlier ends the process.
pub struct Signals {
    terminate: SignalListener,
    hang_up: SignalListener,
}

impl Signals {
    /// Installs the handlers.
    pub fn install() -> io::Result<Signals> {
        Ok(Signals {
            terminate: SignalListener::install(SignalListener::TERMINATE)?,
            hang_up: SignalListener::install(SignalListener::HANG_UP)?,
        })
    }
}

/// Serves callers and the balancer's health checks until the node is told to stop and its requests
/// have ended.
pub async fn serve(
    gateway: Rc<Gateway>,
    front: Rc<impl Handler + 'static>,
    health_checks: Rc<impl Handler + 'static>,
    signals: Signals,
) -> io::Result<()> {
    let settings = &gateway.settings;
    let clock = gateway.clock.clone();
    let grace = Duration::from_secs_f64(settings.grace_s);
    let stop = gateway.stop.clone();
    let drained = StopSignal::new();
    let callers = Server::bind(clock.clone(), settings.callers, stop.clone())
        .await?
        .observer(gateway.clone())
        .limits(caller_limits(&settings.limits))
        .lame_duck_time(REFUSE_DELAY.min(grace / 2))
        .drain_limit(gateway.drain_limit());
    let health = Server::bind(clock.clone(), settings.health, drained.clone())
        .await?
        .limits(health_limits(&settings.limits));
    let socket = DatagramSocket::bind(settings.peers).await?;
    let relayed = TcpListener::bind(settings.peers).await?;
    let relayed = RelayServer::new(clock.clone(), relayed, gateway.clone());
    tracing::info!(node = %settings.name, domain = %settings.domain, callers = %settings.callers,
        store = %settings.store, "node starts");
    spawn(store::watch_store(gateway.clone())).detach();
    spawn(peering::register(gateway.clone())).detach();
    spawn(peering::exchange_datagrams(gateway.clone(), socket)).detach();
    spawn(planner::run_planner(gateway.clone())).detach();
    spawn(refusals::store_refusals(gateway.clone())).detach();
    let drain_limit = gateway.drain_limit();
    spawn(stop_on_signal(gateway.clone(), stop.clone(), signals.terminate)).detach();
    spawn(log_reloads(signals.hang_up)).detach();
    let serving = async {
        join(callers.run(front), relayed.run(stop, drain_limit)).await;
        drained.raise();
    };
    join(serving, health.run(health_checks)).await;
    tracing::info!("node has stopped");
    Ok(())
}

async fn stop_on_signal(gateway: Rc<Gateway>, stop: StopSignal, mut terminate: SignalListener) {
    select(pin!(receive(&mut terminate)), pin!(compio::signal::ctrl_c())).await;
    tracing::info!("graceful shutdown starts");
    gateway.stopped_at.set(Some(gateway.clock.now()));
    stop.raise();
    while receive(&mut terminate).await {
        tracing::info!("node is already shutting down");
    }
}

/// Logs that the settings file has changed. Settings are fixed for the life of the process, so a
/// changed file is used at the next start.
async fn log_reloads(mut hang_up: SignalListener) {
    while receive(&mut hang_up).await {
        tracing::info!("settings file has changed; it is used at the next start");
    }
}

/// Waits for a signal. Returns `false` if it can no longer be received.
async fn receive(signal: &mut SignalListener) -> bool {
    let received = signal.recv().await;
    if let Err(error) = &received {
        tracing::warn!(%error, "signal cannot be received");
    }
    received.is_ok()
}
