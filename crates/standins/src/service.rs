//! A plain HTTP service that stores filings and counts the runs of each idempotency key.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use clock::Clock;
use futures_channel::oneshot;
use futures_util::{
    FutureExt,
    future::{LocalBoxFuture, pending},
};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use transport::{Body, ConnectionId, Handler, RequestBody, json_response};

use crate::server::{self, bad_request, reply};

/// Header that names the organisation of a caller.
const ORGANISATION: &str = "x-organisation";

/// Settings of a service.
#[derive(Clone, Debug, clap::Args)]
pub struct ServiceArgs {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Time to process a filing, in milliseconds.
    #[arg(long, default_value_t = 5)]
    pub work_millis: u64,
}

/// Faults of a service. `POST /control` replaces all of them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Additional time before a call runs, in milliseconds.
    pub delay_millis: u64,
    /// Number of further calls that run but are never answered.
    pub lose_answers: u32,
    /// Never runs or answers a call; connections stay open.
    pub hang: bool,
    /// Aborts the process when this many further calls have run, before the last one is answered.
    pub crash_after: Option<u32>,
    /// Refuses calls with status 503 without running them.
    pub refuse: bool,
    /// Stops answering on the connections that are open when the fault is set.
    pub silence_open: bool,
}

struct Service {
    args: ServiceArgs,
    clock: Rc<dyn Clock>,
    faults: RefCell<ServiceFaults>,
    /// Number of runs by idempotency key.
    runs: RefCell<BTreeMap<String, u32>>,
    filings: RefCell<BTreeMap<u64, Filing>>,
    /// Connections up to this number get no answers.
    last_silenced: Cell<u64>,
    last_connection: Cell<u64>,
}

#[derive(Clone, Debug, Serialize)]
struct Filing {
    id: u64,
    organisation: String,
    key: String,
    text: String,
}

/// Runs a service until the process ends.
pub async fn run(clock: Rc<dyn Clock>, args: ServiceArgs) -> std::io::Result<()> {
    let service = Rc::new(Service {
        clock: clock.clone(),
        faults: RefCell::default(),
        runs: RefCell::default(),
        filings: RefCell::default(),
        last_silenced: Cell::new(0),
        last_connection: Cell::new(0),
        args,
    });
    let addr = service.args.listen;
    server::serve(clock, addr, service).await
}

impl Handler for Service {
    fn handle(
        self: Rc<Self>,
        request: Request<RequestBody>,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        self.answer(request).boxed_local()
    }
}

impl Service {
    async fn answer(self: Rc<Self>, request: Request<RequestBody>) -> Response<Body> {
        let connection = request.extensions().get::<ConnectionId>().map_or(0, |id| id.0);
        self.last_connection.set(self.last_connection.get().max(connection));
        if connection <= self.last_silenced.get() {
            pending::<()>().await;
        }
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        match (&head.method, path) {
            (&Method::POST, "/control") => return reply(self.set_faults(body).await),
            (&Method::GET, "/control/runs") => return reply(Ok(self.runs.borrow().clone())),
            _ => {}
        }
        if self.faults.borrow().hang {
            return pending().await;
        }
        match (&head.method, path) {
            (&Method::GET, "/healthz") => reply(Ok("ok")),
            (&Method::POST, "/filings") => {
                let key = header_text(&head.headers, "idempotency-key");
                let organisation = header_text(&head.headers, ORGANISATION);
                // A received call runs even if its caller disconnects. Dropping a join handle would
                // cancel the task, so the task is detached and answers through a channel.
                let (sender, receiver) = oneshot::channel();
                compio::runtime::spawn(async move {
                    let response = self.file(key, organisation, body).await;
                    // Sending fails if the caller has disconnected.
                    let _ = sender.send(response);
                })
                .detach();
                receiver.await.unwrap_or_else(|_| reply::<()>(Err(internal_error())))
            }
            (&Method::GET, path) => {
                reply(self.lookup(path, &header_text(&head.headers, ORGANISATION)))
            }
            _ => reply::<()>(Err((StatusCode::NOT_FOUND, "no such path".into()))),
        }
    }

    async fn set_faults(&self, body: RequestBody) -> Result<(), (StatusCode, String)> {
        let faults: ServiceFaults = body.json().await.map_err(bad_request)?;
        if faults.silence_open {
            self.last_silenced.set(self.last_connection.get());
        }
        *self.faults.borrow_mut() = faults;
        Ok(())
    }

    async fn file(
        self: Rc<Self>,
        key: String,
        organisation: String,
        body: RequestBody,
    ) -> Response<Body> {
        if self.faults.borrow().refuse {
            return reply::<()>(Err((StatusCode::SERVICE_UNAVAILABLE, "refused".into())));
        }
        let text = match body.collect().await {
            Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
            Err(message) => return reply::<()>(Err(bad_request(message))),
        };
        let delay = self.args.work_millis + self.faults.borrow().delay_millis;
        self.clock.sleep(Duration::from_millis(delay)).await;
        *self.runs.borrow_mut().entry(key.clone()).or_default() += 1;
        let id = self.filings.borrow().len() as u64 + 1;
        self.filings.borrow_mut().insert(id, Filing { id, organisation, key: key.clone(), text });
        if self.take_answer_loss() {
            return pending().await;
        }
        json_response(StatusCode::CREATED, &json!({ "id": id, "key": key }))
    }

    /// Counts down the faults that limit a number of calls: aborts the process if a crash is due,
    /// else returns whether the answer of this call is lost.
    fn take_answer_loss(&self) -> bool {
        let mut faults = self.faults.borrow_mut();
        if let Some(left) = &mut faults.crash_after {
            *left = left.saturating_sub(1);
            if *left == 0 {
                std::process::abort();
            }
        }
        let loses = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        loses
    }

    /// Finds a filing by its identifier, or by its idempotency key. Organisations may use the same
    /// key independently of each other.
    fn lookup(&self, path: &str, organisation: &str) -> Result<Filing, (StatusCode, String)> {
        let filings = self.filings.borrow();
        let found = match path.strip_prefix("/filings/by-key/") {
            Some(key) => filings
                .values()
                .find(|filing| filing.key == key && filing.organisation == organisation),
            None => path
                .strip_prefix("/filings/")
                .and_then(|id| id.parse::<u64>().ok())
                .and_then(|id| filings.get(&id)),
        };
        found.cloned().ok_or_else(|| (StatusCode::NOT_FOUND, "no such filing".into()))
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn internal_error() -> (StatusCode, String) {
    (StatusCode::INTERNAL_SERVER_ERROR, "call failed".into())
}
