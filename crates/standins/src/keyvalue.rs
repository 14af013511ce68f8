//! The platform's key-value service: compare-and-swap, leases and watches, with rate limits.

mod store;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use clock::{Clock, Timestamp};
use futures_util::{
    FutureExt,
    future::{LocalBoxFuture, pending},
};
use http::{Method, Request, Response, StatusCode};
use keyvalue::api::{KvReply, KvRequest, PATH};
use serde::{Deserialize, Serialize};
use transport::{Body, ConnectionId, Handler, RequestBody};

use crate::server::{self, bad_request, reply};
use store::Store;

/// Interval at which a watch checks its key for a change.
const WATCH_POLL: Duration = Duration::from_millis(10);

/// Settings of the key-value service.
#[derive(Clone, Debug, clap::Args)]
pub struct KeyValueArgs {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Time of each call, in milliseconds.
    #[arg(long, default_value_t = 2)]
    pub call_millis: u64,
    /// Writes allowed in a second.
    #[arg(long, default_value_t = 400)]
    pub writes: u32,
    /// Reads and watches allowed in a second.
    #[arg(long, default_value_t = 2000)]
    pub reads: u32,
}

/// Faults of the key-value service. `POST /control` replaces all of them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValueFaults {
    /// Refuses every call with status 503.
    pub refuse: bool,
    /// Never answers; no new call takes effect.
    pub hang: bool,
    /// Additional time of each call, in milliseconds.
    pub delay_millis: u64,
    /// Number of further writes that take effect but are never answered.
    pub lose_answers: u32,
    /// Number of further writes that take no effect and are never answered.
    pub lose_writes: u32,
    /// Answers reads of a key with the entry as it was before the last write.
    pub stale_reads: bool,
    /// Stops answering on the connections that are open when the fault is set.
    pub silence_open: bool,
}

/// Number of calls since the start, returned by `GET /control/calls`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValueCalls {
    /// Reads.
    pub reads: u64,
    /// Writes, lease calls included.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Calls that were refused because of the rate limits.
    pub refused: u64,
}

struct KeyValueService {
    args: KeyValueArgs,
    clock: Rc<dyn Clock>,
    faults: RefCell<KeyValueFaults>,
    store: RefCell<Store>,
    calls: Cell<KeyValueCalls>,
    /// Start of the current one-second window, and the reads and writes counted in it.
    window: Cell<(Timestamp, u32, u32)>,
    /// Connections up to this number get no answers.
    last_silenced: Cell<u64>,
    last_connection: Cell<u64>,
}

/// Runs the key-value service until the process ends.
pub async fn run(clock: Rc<dyn Clock>, args: KeyValueArgs) -> std::io::Result<()> {
    let addr = args.listen;
    let service = Rc::new(KeyValueService {
        args,
        clock: clock.clone(),
        faults: RefCell::default(),
        store: RefCell::default(),
        calls: Cell::default(),
        window: Cell::default(),
        last_silenced: Cell::new(0),
        last_connection: Cell::new(0),
    });
    server::serve(clock, addr, service).await
}

impl Handler for KeyValueService {
    fn handle(
        self: Rc<Self>,
        request: Request<RequestBody>,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        self.answer(request).boxed_local()
    }
}

impl KeyValueService {
    async fn answer(self: Rc<Self>, request: Request<RequestBody>) -> Response<Body> {
        let connection = request.extensions().get::<ConnectionId>().map_or(0, |id| id.0);
        self.last_connection.set(self.last_connection.get().max(connection));
        if connection <= self.last_silenced.get() {
            pending::<()>().await;
        }
        let (head, body) = request.into_parts();
        match (&head.method, head.uri.path()) {
            (&Method::POST, "/control") => reply(self.set_faults(body).await),
            (&Method::GET, "/control/calls") => reply(Ok(self.calls.get())),
            (&Method::POST, PATH) => match body.json().await {
                Ok(call) => reply(self.call(call).await),
                Err(message) => reply::<()>(Err(bad_request(message))),
            },
            _ => reply::<()>(Err((StatusCode::NOT_FOUND, "no such path".into()))),
        }
    }

    async fn set_faults(&self, body: RequestBody) -> Result<(), (StatusCode, String)> {
        let faults: KeyValueFaults = body.json().await.map_err(bad_request)?;
        if faults.silence_open {
            self.last_silenced.set(self.last_connection.get());
        }
        *self.faults.borrow_mut() = faults;
        Ok(())
    }

    async fn call(&self, call: KvRequest) -> Result<KvReply, (StatusCode, String)> {
        let faults = self.faults.borrow().clone();
        if faults.refuse {
            return Err((StatusCode::SERVICE_UNAVAILABLE, "outage".into()));
        }
        if faults.hang {
            return pending().await;
        }
        let delay = self.args.call_millis + faults.delay_millis;
        self.clock.sleep(Duration::from_millis(delay)).await;
        if !self.count_call(&call) {
            return Err((StatusCode::TOO_MANY_REQUESTS, "rate exceeded".into()));
        }
        let write = is_write(&call);
        if write && self.take_loss(|faults| &mut faults.lose_writes) {
            return pending().await;
        }
        let result = match call {
            KvRequest::Watch { key, after, wait_millis } => {
                Ok(KvReply::Entry(self.watch(&key, after, wait_millis).await))
            }
            call => self.store.borrow_mut().apply(call, self.clock.now(), faults.stale_reads),
        };
        if write && self.take_loss(|faults| &mut faults.lose_answers) {
            return pending().await;
        }
        result.map_err(bad_request)
    }

    async fn watch(&self, key: &str, after: u64, wait_millis: u64) -> Option<keyvalue::api::Entry> {
        let deadline = self.clock.now() + Duration::from_millis(wait_millis);
        loop {
            if self.faults.borrow().hang {
                pending::<()>().await;
            }
            let now = self.clock.now();
            let entry = self.store.borrow_mut().get(key, now);
            if entry.as_ref().is_some_and(|entry| entry.version > after) || now >= deadline {
                return entry.filter(|entry| entry.version > after);
            }
            self.clock.sleep(WATCH_POLL).await;
        }
    }

    /// Counts the call. Returns whether it is within the rate limits.
    fn count_call(&self, call: &KvRequest) -> bool {
        let mut calls = self.calls.get();
        let now = self.clock.now();
        let (mut start, mut reads, mut writes) = self.window.get();
        if now.since(start) >= Duration::from_secs(1) {
            (start, reads, writes) = (now, 0, 0);
        }
        match call {
            KvRequest::Watch { .. } => calls.watches += 1,
            call if is_write(call) => calls.writes += 1,
            _ => calls.reads += 1,
        }
        let allowed = if is_write(call) {
            writes += 1;
            writes <= self.args.writes
        } else {
            reads += 1;
            reads <= self.args.reads
        };
        calls.refused += u64::from(!allowed);
        self.calls.set(calls);
        self.window.set((start, reads, writes));
        allowed
    }

    /// Counts down a fault that affects a number of writes. Returns whether it affects this write.
    fn take_loss(&self, counter: impl FnOnce(&mut KeyValueFaults) -> &mut u32) -> bool {
        let mut faults = self.faults.borrow_mut();
        let left = counter(&mut faults);
        let loses = *left > 0;
        *left = left.saturating_sub(1);
        loses
    }
}

fn is_write(call: &KvRequest) -> bool {
    !matches!(call, KvRequest::Get { .. } | KvRequest::List { .. } | KvRequest::Watch { .. })
}
