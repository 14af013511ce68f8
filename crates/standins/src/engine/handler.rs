use std::{rc::Rc, sync::Arc, time::Duration};

use engines::api::{
    CacheEvent, CacheEvents, Cancel, Event, Fault, Generate, Handoff, KvCache, Load, Order,
    OrderReply, Session as SessionName, StreamFault, prefix_hashes,
};
use futures_channel::mpsc;
use futures_util::{
    FutureExt, StreamExt,
    future::{LocalBoxFuture, pending},
};
use http::{Method, Request, Response, StatusCode, header};
use transport::{Body, ConnectionId, Handler, RequestBody, encode_event};
use types::{LayerRange, MAX_PROMPT_TOKENS};

use super::{
    Engine, Loaded,
    session::{Session, TokenStream},
};
use crate::{
    control::EngineFaults,
    reference,
    server::{bad_request, reply},
};

/// Number of sessions at which idle ones, kept only for their KV caches, are evicted.
const MAX_SESSIONS: usize = 4096;
/// Largest number of cache events that are kept.
const MAX_EVENTS: usize = 4096;

/// Status and message of an error answer.
type ErrorReply = (StatusCode, String);

impl Handler for Engine {
    fn handle(
        self: Rc<Self>,
        request: Request<RequestBody>,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        self.answer(request).boxed_local()
    }
}

impl Engine {
    async fn answer(self: Rc<Self>, request: Request<RequestBody>) -> Response<Body> {
        let connection = request.extensions().get::<ConnectionId>().map_or(0, |id| id.0);
        self.last_connection.set(self.last_connection.get().max(connection));
        if connection <= self.last_silenced.get() {
            pending::<()>().await;
        }
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let method = request.method().clone();
        let body = request.into_body();
        if path == "/v1/generate" {
            return match body.json().await {
                Ok(generate) => self.generate(generate, connection),
                Err(message) => reply::<()>(Err(bad_request(message))),
            };
        }
        match (method, path.as_str()) {
            (Method::POST, "/control") => reply(self.set_faults(body).await),
            _ if self.faults.borrow().hang => pending().await,
            (Method::POST, "/v1/handoff") => reply(self.handoff(body).await),
            (Method::POST, "/v1/fault") => reply(self.fault(body).await),
            (Method::POST, "/v1/cancel") => reply(self.cancel(body).await),
            (Method::GET, "/v1/load") => reply(Ok(self.delayed_load())),
            (Method::GET, "/v1/cache-events") => reply(Ok(self.cache_events(&query))),
            (Method::POST, "/v1/kv/export" | "/v1/kv/import") if self.faults.borrow().refuse_kv => {
                reply::<()>(Err((StatusCode::SERVICE_UNAVAILABLE, "KV calls are refused".into())))
            }
            (Method::POST, "/v1/kv/export") => reply(self.export_kv(body).await),
            (Method::POST, "/v1/kv/import") => reply(self.import_kv(body).await),
            (Method::POST, "/v1/orders") => reply(self.order(body).await),
            (Method::GET, "/control/tokens") => reply(Ok(self.positions_run.get())),
            _ => reply::<()>(Err((StatusCode::NOT_FOUND, "no such path".into()))),
        }
    }

    async fn set_faults(&self, body: RequestBody) -> Result<(), ErrorReply> {
        let faults: EngineFaults = body.json().await.map_err(bad_request)?;
        if faults.silence_open {
            self.last_silenced.set(self.last_connection.get());
        }
        *self.faults.borrow_mut() = faults;
        Ok(())
    }

    fn generate(self: Rc<Self>, request: Generate, connection: u64) -> Response<Body> {
        if let Some(text) = &self.faults.borrow().crash_on
            && request.prompt.contains(text.as_str())
        {
            std::process::abort();
        }
        let (events, mut receiver) = mpsc::unbounded();
        let (session, attempt) = (request.session.clone(), request.attempt);
        if let Err(fault) = self.start(request, events.clone()) {
            // The receiver still exists, so sending cannot fail.
            let failed = Event::Failed { engine: Some(self.name.clone()), reason: fault };
            let _ = events.unbounded_send(failed);
        }
        drop(events);
        let body = Body::streamed(move |mut writer| async move {
            let _guard = CancelGuard { engine: self.clone(), session, attempt };
            while let Some(event) = receiver.next().await {
                if connection <= self.last_silenced.get() {
                    pending::<()>().await;
                }
                let last = !matches!(event, Event::Token(_));
                if !writer.write(encode_event(&event)).await || last {
                    return;
                }
            }
        });
        let mut response = Response::new(body);
        let content_type = http::HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
        response
    }

    /// Starts an attempt at its first stage: queues the prefill, or only the last position if the
    /// session is resumed.
    fn start(
        self: &Rc<Self>,
        request: Generate,
        events: mpsc::UnboundedSender<Event>,
    ) -> Result<(), StreamFault> {
        if self.faults.borrow().leaving {
            return Err(StreamFault::Leaving);
        }
        let mut tokens = reference::tokenize(&request.prompt);
        if tokens.is_empty() || tokens.len() > MAX_PROMPT_TOKENS {
            return Err(StreamFault::WrongStage);
        }
        tokens.extend_from_slice(&request.given);
        let positions = tokens.len() as u32;
        let first = if request.resume { positions - 1 } else { 0 };
        let activations = (first..positions)
            .map(|position| reference::embed(&request.model, tokens[position as usize], position))
            .collect();
        let handoff = Handoff {
            session: request.session.clone(),
            attempt: request.attempt,
            model: request.model.clone(),
            version: request.version.clone(),
            class: request.class,
            route: request.route.clone(),
            stage: 0,
            first,
            activations,
            receipts: Vec::new(),
            prefixes: prefix_hashes(&request.model, &request.prompt).into(),
        };
        self.start_attempt(&handoff)?;
        let generated = request.given.len() as u32;
        if let Some(session) = self.sessions.borrow_mut().get_mut(&handoff.session) {
            session.stream =
                Some(TokenStream { request, events, generated, positions, pause_requested: false });
        }
        // The queue is read until the process ends, so sending cannot fail.
        let _ = self.work_queue.unbounded_send(handoff);
        Ok(())
    }

    /// Starts the attempt of a handoff at this stage, unless an earlier handoff did. A prefill
    /// starts with an empty KV cache; a resume needs a cache of all positions before the handoff's
    /// first.
    fn start_attempt(&self, handoff: &Handoff) -> Result<(), StreamFault> {
        let loaded = self.loaded.borrow().clone().ok_or(StreamFault::WrongStage)?;
        let stage = handoff.route.get(handoff.stage).ok_or(StreamFault::WrongStage)?;
        let matches = loaded.model == handoff.model
            && loaded.version == handoff.version
            && loaded.layers == stage.layers
            && stage.engine == self.name;
        if !matches {
            return Err(StreamFault::WrongStage);
        }
        self.evict_idle_sessions();
        let mut sessions = self.sessions.borrow_mut();
        let active = sessions.values().filter(|session| session.active).count();
        let session = sessions.entry(handoff.session.clone()).or_insert_with(|| Session {
            attempt: 0,
            model: loaded.model.clone(),
            version: loaded.version.clone(),
            layers: loaded.layers,
            next_position: 0,
            values: Vec::new(),
            active: false,
            last_used: self.clock.now(),
            stream: None,
        });
        if handoff.attempt < session.attempt {
            return Err(StreamFault::Superseded);
        }
        let new_attempt = handoff.attempt > session.attempt;
        if !new_attempt {
            return Ok(());
        }
        if active >= 4 * self.args.slots as usize {
            return Err(StreamFault::Full);
        }
        if handoff.first == 0 {
            session.layers = loaded.layers;
            session.version = loaded.version;
            session.reset();
            self.record_stored_prefixes(&handoff.prefixes);
        } else if session.next_position != handoff.first || session.layers != loaded.layers {
            return Err(StreamFault::CacheMissing);
        }
        session.attempt = handoff.attempt;
        session.active = true;
        session.last_used = self.clock.now();
        session.stream = None;
        Ok(())
    }

    /// Removes the least recently used idle sessions once there are [`MAX_SESSIONS`].
    fn evict_idle_sessions(&self) {
        let mut sessions = self.sessions.borrow_mut();
        if sessions.len() < MAX_SESSIONS {
            return;
        }
        let mut idle: Vec<_> = sessions
            .iter()
            .filter(|(_, session)| !session.active)
            .map(|(id, session)| (session.last_used, id.clone()))
            .collect();
        idle.sort();
        for (_, id) in idle.into_iter().take(MAX_SESSIONS / 2) {
            sessions.remove(&id);
        }
    }

    /// Records a cache event for each prefix.
    fn record_stored_prefixes(&self, prefixes: &[u64]) {
        let mut events = self.events.borrow_mut();
        for &prefix in prefixes {
            let sequence = events.last().map_or(1, |(_, event)| event.sequence + 1);
            events.push((self.clock.now(), CacheEvent { sequence, prefix, stored: true }));
        }
        let excess = events.len().saturating_sub(MAX_EVENTS);
        events.drain(..excess);
    }

    async fn handoff(self: &Rc<Self>, body: RequestBody) -> Result<(), ErrorReply> {
        let handoff: Handoff = body.json().await.map_err(bad_request)?;
        if handoff.stage == handoff.route.len() {
            self.finish_step(handoff);
            return Ok(());
        }
        match self.start_attempt(&handoff) {
            // The queue is read until the process ends, so sending cannot fail.
            Ok(()) => drop(self.work_queue.unbounded_send(handoff)),
            // A late handoff of a superseded attempt is dropped.
            Err(StreamFault::Superseded) => {}
            Err(fault) => self.fail_attempt(&handoff, Some(self.name.clone()), fault),
        }
        Ok(())
    }

    async fn fault(self: &Rc<Self>, body: RequestBody) -> Result<(), ErrorReply> {
        let fault: Fault = body.json().await.map_err(bad_request)?;
        self.receive_fault(fault);
        Ok(())
    }

    async fn cancel(self: &Rc<Self>, body: RequestBody) -> Result<(), ErrorReply> {
        let cancel: Cancel = body.json().await.map_err(bad_request)?;
        if cancel.at_step_end {
            let mut sessions = self.sessions.borrow_mut();
            // A late request to pause must not pause a newer attempt.
            let session = sessions.get_mut(&cancel.session);
            let session = session.filter(|session| session.attempt <= cancel.attempt);
            if let Some(stream) = session.and_then(|session| session.stream.as_mut()) {
                stream.pause_requested = true;
            }
            return Ok(());
        }
        self.end_attempt(&cancel.session, cancel.attempt, true);
        Ok(())
    }

    /// The older of the two recorded load reports.
    fn delayed_load(&self) -> Load {
        let reports = self.reports.borrow();
        reports.front().cloned().unwrap_or_else(|| self.current_load())
    }

    fn cache_events(&self, query: &str) -> CacheEvents {
        let after = query.strip_prefix("after=").and_then(|text| text.parse().ok()).unwrap_or(0);
        let lag = Duration::from_millis(self.args.report_lag_millis);
        let latest = self.clock.now() - lag;
        let loss = u64::from(self.faults.borrow().event_loss);
        let events = self.events.borrow();
        let events = events
            .iter()
            .filter(|(time, event)| *time <= latest && event.sequence > after)
            // Multiplying by a number coprime to 100 spreads the lost events evenly.
            .filter(|(_, event)| event.sequence.wrapping_mul(37) % 100 >= loss)
            .map(|(_, event)| event.clone())
            .collect();
        CacheEvents { events }
    }

    async fn export_kv(&self, body: RequestBody) -> Result<KvCache, ErrorReply> {
        let name: SessionName = body.json().await.map_err(bad_request)?;
        let sessions = self.sessions.borrow();
        let session = sessions
            .get(&name.session)
            .ok_or_else(|| (StatusCode::NOT_FOUND, "no such session".to_owned()))?;
        Ok(KvCache {
            session: name.session,
            model: session.model.clone(),
            version: session.version.clone(),
            layers: session.layers,
            positions: session.next_position,
            values: session.values.clone(),
        })
    }

    async fn import_kv(&self, body: RequestBody) -> Result<(), ErrorReply> {
        let cache: KvCache = body.json().await.map_err(bad_request)?;
        if cache.values.len() != cache.layers.len() as usize {
            return Err(bad_request("one value per layer is needed".into()));
        }
        let mut sessions = self.sessions.borrow_mut();
        // The session keeps its attempt number, so that late handoffs of older attempts are
        // dropped.
        let attempt = sessions.get(&cache.session).map_or(0, |session| session.attempt);
        let session = Session {
            attempt,
            model: cache.model,
            version: cache.version,
            layers: cache.layers,
            next_position: cache.positions,
            values: cache.values,
            active: false,
            last_used: self.clock.now(),
            stream: None,
        };
        sessions.insert(cache.session, session);
        Ok(())
    }

    async fn order(self: &Rc<Self>, body: RequestBody) -> Result<OrderReply, ErrorReply> {
        let order: Order = body.json().await.map_err(bad_request)?;
        if !self.args.ignore_fencing && order.token < self.order_token.get() {
            return Ok(OrderReply::Stale);
        }
        self.order_token.set(order.token);
        let unchanged = self.loaded.borrow().as_ref().is_some_and(|loaded| {
            loaded.model == order.model
                && loaded.version == order.version
                && loaded.layers == order.layers
        });
        if unchanged {
            return Ok(OrderReply::Accepted);
        }
        *self.loaded.borrow_mut() = None;
        if !order.model.is_empty() {
            let engine = self.clone();
            compio::runtime::spawn(async move {
                engine.clock.sleep(Duration::from_millis(engine.args.load_millis)).await;
                let layers = LayerRange { start: order.layers.start, end: order.layers.end };
                let loaded = Loaded { model: order.model, version: order.version, layers };
                *engine.loaded.borrow_mut() = Some(loaded);
            })
            .detach();
        }
        Ok(OrderReply::Accepted)
    }
}

/// Ends the attempt when the token stream ends or the router disconnects.
struct CancelGuard {
    engine: Rc<Engine>,
    session: Arc<str>,
    attempt: u32,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        self.engine.end_attempt(&self.session, self.attempt, true);
    }
}
