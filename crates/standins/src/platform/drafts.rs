//! The streams of the model engines.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use http::{HeaderMap, Response, StatusCode};
use transport::Body;
use types::{LayerRange, check_coverage};

use super::{
    LAYERS, Platform, poison,
    worker::{Worker, WorkerHandler, not_executed, sign},
};

/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(8);
/// Time that a stream hangs after one of its engines has stopped, before it is aborted.
const STALL_TIME: Duration = Duration::from_millis(800);
/// Interval at which a hanging stream checks whether its time is up.
const STALL_POLL: Duration = Duration::from_millis(20);
/// Number of tokens in one event.
const EVENT_TOKENS: u32 = 2;

impl WorkerHandler {
    /// Streams generated tokens, if the engines of all stages are up and hold their layers.
    pub(super) fn draft(
        self: Rc<Self>,
        id: &str,
        node: &str,
        headers: &HeaderMap,
    ) -> Response<Body> {
        let header = headers.get("hop-count").and_then(|value| value.to_str().ok());
        let stages = match header.map(parse_stages) {
            Some(Some(stages)) if !stages.is_empty() => stages,
            _ => return not_executed(StatusCode::BAD_REQUEST, None),
        };
        let ranges = stages.iter().map(|(_, layers)| *layers);
        if let Err(message) = check_coverage(ranges, LAYERS) {
            self.record_violation(format!("LAYERS: {id}: {message}"));
        }
        let engines: Vec<(Rc<Worker>, u64)> = stages
            .iter()
            .filter_map(|(addr, _)| self.platform.worker_at(*addr))
            .map(|engine| {
                let start = engine.start_millis.get();
                (engine, start)
            })
            .collect();
        for (engine, _) in engines.iter().skip(1) {
            self.check_arrival(engine, id, node);
        }
        for ((addr, layers), (engine, _)) in stages.iter().zip(&engines) {
            if !engine.is_up.get() {
                return not_executed(StatusCode::SERVICE_UNAVAILABLE, Some(*addr));
            }
            if !engine.holds(*layers) {
                return not_executed(StatusCode::MISDIRECTED_REQUEST, Some(*addr));
            }
        }
        let header_value = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let tokens: u32 = header_value("token-count")
            .and_then(|text| text.split(',').nth(1)?.parse().ok())
            .unwrap_or(2 * EVENT_TOKENS);
        let first = header_value("last-event-id").and_then(|text| text.parse::<u32>().ok());
        let first = first.map_or(0, |last| last + 1);
        let crash_at = poison::events_before_crash(headers).map(|events| first + events);
        if crash_at.is_some() {
            self.platform.record_poison(id, true);
        }
        let cut_at = self.is_garbled().then(|| first + (tokens / EVENT_TOKENS) / 2);
        let mut response = Response::new(Body::streamed(move |mut writer| async move {
            for event in first..tokens / EVENT_TOKENS {
                self.platform.clock.sleep(EVENT_INTERVAL).await;
                let stopped = |(engine, start): &&(Rc<Worker>, u64)| {
                    !engine.is_up.get() || engine.start_millis.get() != *start
                };
                if let Some((engine, _)) = engines.iter().find(stopped) {
                    self.wait_for_stopped_engine(engine.addr.get()).await;
                    return writer.abort().await;
                }
                if crash_at == Some(event) {
                    self.platform.crash_by_request(&self.worker);
                    return writer.abort().await;
                }
                if cut_at == Some(event) {
                    writer.write(format!("id: {event}\nda")).await;
                    return writer.abort().await;
                }
                if !writer.write(format!("id: {event}\ndata: token {event}\n\n")).await {
                    return;
                }
            }
        }));
        sign(response.headers_mut(), id);
        response
    }

    /// Hangs for [`STALL_TIME`], as if waiting for a stopped engine. The worker's report lists the
    /// engine as blocked meanwhile.
    async fn wait_for_stopped_engine(&self, stopped: Option<SocketAddr>) {
        self.worker.blocked.borrow_mut().extend(stopped);
        let end = self.platform.clock.now() + STALL_TIME;
        while self.platform.clock.now() < end {
            self.platform.clock.sleep(STALL_POLL).await;
        }
        let mut blocked = self.worker.blocked.borrow_mut();
        if let Some(index) = blocked.iter().position(|addr| Some(*addr) == stopped) {
            blocked.swap_remove(index);
        }
    }
}

impl Platform {
    fn worker_at(&self, addr: SocketAddr) -> Option<Rc<Worker>> {
        self.workers.borrow().iter().find(|worker| worker.addr.get() == Some(addr)).cloned()
    }
}

/// Parses the stages of a request, which have the form `ADDRESS=START-END`, separated by commas.
fn parse_stages(text: &str) -> Option<Vec<(SocketAddr, LayerRange)>> {
    text.split(',')
        .map(|part| {
            let (addr, layers) = part.split_once('=')?;
            let (start, end) = layers.split_once('-')?;
            let layers = LayerRange { start: start.parse().ok()?, end: end.parse().ok()? };
            Some((addr.parse().ok()?, layers))
        })
        .collect()
}
