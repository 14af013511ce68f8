//! The parts of a run: the record, workers, nodes and the configuration.

use std::{
    fs::File,
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Message, ask, read_request, response},
    json::Json,
    store::Store,
};

/// Number of layers of the model.
pub const LAYERS: u32 = 8;
/// Host of all routes.
pub const HOST: &str = "review.example";
/// API key and name of the only organisation.
pub const KEY: &str = "review-key";
pub const ORGANISATION: &str = "family";

/// What was sent, answered and run, with the time since the start of the run.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Record> {
        let file = Mutex::new(File::create(path).expect("record can be written"));
        Arc::new(Record { file, start: Instant::now() })
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.note(text);
        println!("{:8.3} {text}", self.now().as_secs_f64());
    }
}

pub fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// A free loopback address. The ports are below those that the system gives to connections, and
/// differ between runs at the same time.
pub fn free_addr() -> SocketAddr {
    const FIRST: u32 = 10_000;
    const PER_RUN: u32 = 100;
    const RUNS: u32 = 200;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let next = NEXT.fetch_add(1, Ordering::SeqCst);
        let port = FIRST + (std::process::id() % RUNS) * PER_RUN + next % PER_RUN;
        let addr = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// What a worker does with a request that is meant for it. It writes the answer itself. Returns
/// whether the connection stays open.
pub type Serve = dyn Fn(&Arc<Worker>, &Message, &mut TcpStream) -> bool + Send + Sync;

/// A worker. It keeps its address when it starts again.
pub struct Worker {
    pub number: usize,
    pub service: &'static str,
    pub addr: SocketAddr,
    store: Arc<Store>,
    pub record: Arc<Record>,
    serve: Box<Serve>,
    is_up: AtomicBool,
    is_listening: AtomicBool,
    born: AtomicU64,
    state: Mutex<WorkerState>,
}

#[derive(Default)]
struct WorkerState {
    layers: Option<(u64, u64)>,
    orders: u64,
    connections: Vec<TcpStream>,
}

impl Worker {
    pub fn start(
        number: usize,
        service: &'static str,
        store: &Arc<Store>,
        record: &Arc<Record>,
        serve: Box<Serve>,
    ) -> Arc<Worker> {
        let worker = Arc::new(Worker {
            number,
            service,
            addr: free_addr(),
            store: store.clone(),
            record: record.clone(),
            serve,
            is_up: AtomicBool::new(false),
            is_listening: AtomicBool::new(false),
            born: AtomicU64::new(0),
            state: Mutex::default(),
        });
        worker.boot();
        worker
    }

    pub fn id(&self) -> String {
        format!("i-{:x}-{}", self.born.load(Ordering::SeqCst), self.number)
    }

    fn key(&self) -> String {
        format!("servers/{}", self.id())
    }

    fn boot(self: &Arc<Worker>) {
        let listener = loop {
            match TcpListener::bind(self.addr) {
                Ok(listener) => break listener,
                Err(_) => sleep(0.05),
            }
        };
        listener.set_nonblocking(true).expect("listener can be polled");
        *self.state.lock().unwrap() = WorkerState::default();
        self.born.store(unix_millis(), Ordering::SeqCst);
        self.is_up.store(true, Ordering::SeqCst);
        self.is_listening.store(true, Ordering::SeqCst);
        self.register();
        self.record.note(&format!("worker {} starts as {}", self.number, self.id()));
        let worker = self.clone();
        thread::spawn(move || {
            while worker.is_up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => worker.clone().accept(stream),
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            worker.is_listening.store(false, Ordering::SeqCst);
        });
    }

    fn accept(self: Arc<Worker>, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        if let Ok(copy) = stream.try_clone() {
            self.state.lock().unwrap().connections.push(copy);
        }
        thread::spawn(move || self.serve_connection(stream));
    }

    /// Writes the entry of the worker into the store.
    fn register(&self) {
        let layers = self.state.lock().unwrap().layers;
        let layers = layers.map_or("null".to_owned(), |(source, to)| {
            format!("{{\"source\":{source},\"to\":{to},\"version\":1}}")
        });
        let kind = if self.service == "drafts" { "\"gpu\"" } else { "null" };
        let entry = format!(
            "{{\"backend\":\"{}\",\"address\":\"{}\",\"az\":\"a\",\"version\":\"v1\",\"capacity\":50,\
             \"phase\":\"up\",\"cold_left_ms\":0,\"sequence\":1,\"born\":{},\"route_kind\":{kind},\
             \"layer_count\":{layers}}}",
            self.service,
            self.addr,
            self.born.load(Ordering::SeqCst)
        );
        self.store.write(&self.key(), entry);
    }

    /// Ends the worker's process without notice. It starts again after `down`, and its old entry
    /// is removed after three pings of 1.2 s.
    pub fn crash(self: &Arc<Worker>, down: f64) {
        if !self.is_up.swap(false, Ordering::SeqCst) {
            return;
        }
        self.record.note(&format!("worker {} crashes", self.id()));
        while self.is_listening.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_micros(200));
        }
        for connection in self.state.lock().unwrap().connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let (worker, key) = (self.clone(), self.key());
        thread::spawn(move || {
            sleep(down);
            worker.boot();
        });
        let store = self.store.clone();
        thread::spawn(move || {
            sleep(3.6);
            store.remove(&key);
        });
    }

    fn serve_connection(self: Arc<Worker>, mut stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if !self.is_up.load(Ordering::SeqCst) {
                break;
            }
            let stays = match request.word(1) {
                "/v1/report" => stream.write_all(&self.report()).is_ok(),
                "/v1/order" => stream.write_all(&self.order(&request)).is_ok(),
                _ => self.answer(&request, &mut stream),
            };
            if !stays {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn report(&self) -> Vec<u8> {
        let state = self.state.lock().unwrap();
        let layers = state.layers.map_or("null".to_owned(), |(source, to)| {
            format!("{{\"source\":{source},\"to\":{to},\"version\":1}}")
        });
        let body = format!(
            "{{\"born\":{},\"sequence\":{},\"layer_count\":{layers},\"blocked\":[],\"pace\":1.0}}",
            self.born.load(Ordering::SeqCst),
            state.orders
        );
        response(200, &[("content-type", "application/json")], body.as_bytes())
    }

    fn order(self: &Arc<Worker>, request: &Message) -> Vec<u8> {
        let order = Json::parse(&String::from_utf8_lossy(&request.body));
        let mut state = self.state.lock().unwrap();
        if state.orders != order.get("expected").number() {
            return response(409, &[], b"");
        }
        state.orders += 1;
        state.layers = Some((order.get("source").number(), order.get("to").number()));
        drop(state);
        self.record.note(&format!("worker {} loads its layers", self.id()));
        self.register();
        response(202, &[], b"")
    }

    fn answer(self: &Arc<Worker>, request: &Message, stream: &mut TcpStream) -> bool {
        let id = request.header("attempt-id").unwrap_or_default().to_owned();
        if request.header("expect-worker") != Some(&*self.id()) {
            self.record.note(&format!("request {id} is not for worker {}", self.id()));
            let refusal = response(421, &[("not-executed", "1"), ("attempt-id", &id)], b"");
            return stream.write_all(&refusal).is_ok();
        }
        (self.serve)(self, request, stream)
    }

    /// Answers as a sound plain worker.
    pub fn answer_plainly(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let id = request.header("attempt-id").unwrap_or_default();
        thread::sleep(Duration::from_millis(10));
        let body = format!("done {id}");
        let headers = [("attempt-id", id), ("worker-signature", "signed")];
        stream.write_all(&response(200, &headers, body.as_bytes())).is_ok()
    }

    /// Answers as a sound model worker: a stream of ten events.
    pub fn answer_stream(&self, request: &Message, stream: &mut TcpStream) -> bool {
        self.answer_events(request, stream, 10, 8)
    }

    /// Removes the worker's entry. It goes on serving.
    pub fn unregister(&self) {
        self.store.remove(&self.key());
    }

    /// Resets one of `share` connections at random.
    pub fn reset_connections(&self, share: usize) {
        let connections = &mut self.state.lock().unwrap().connections;
        for (index, connection) in connections.iter().enumerate() {
            if index % share == 0 {
                let _ = connection.shutdown(Shutdown::Both);
            }
        }
    }

    /// Answers with a stream of `count` events, one each `interval` milliseconds.
    pub fn answer_events(
        &self,
        request: &Message,
        stream: &mut TcpStream,
        count: u32,
        interval: u64,
    ) -> bool {
        let id = request.header("attempt-id").unwrap_or_default();
        let first = request.header("last-event-id").and_then(|text| text.parse::<u32>().ok());
        let head = stream_head(id);
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for event in first.map_or(0, |last| last + 1)..count {
            thread::sleep(Duration::from_millis(interval));
            let data = format!("id: {event}\ndata: token {event}\n\n");
            let chunk = format!("{:x}\r\n{data}\r\n", data.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// Head of a streamed answer.
pub fn stream_head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
         attempt-id: {id}\r\nworker-signature: signed\r\n\r\n"
    )
}

/// Writes the operator's configuration.
pub fn configure(store: &Store, version: u64) {
    configure_keys(store, version, &[KEY]);
}

/// Writes the operator's configuration with these keys of the organisation.
pub fn configure_keys(store: &Store, version: u64, keys: &[&str]) {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    let route = |name: &str, kind: &str, service: &str, timeout: u64, goal: u64| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\
             \"route_kind\":\"{kind}\",\"timeout_ms\":{timeout},\"goal_ms\":{goal},\"priority\":1,\
             \"backend\":\"{service}\",\"max_attempts\":2,\"public\":false,\"stream_resume\":true,\
             \"itl_target_ms\":200}}"
        )
    };
    let routes = [
        route("drafts", "sse", "drafts", 20_000, 500),
        route("file", "mutating", "registry", 1200, 150),
        route("look", "idempotent", "registry", 1200, 150),
    ];
    let config = format!(
        "{{\"version\":{version},\"http_routes\":[{}],\"backends\":[{{\"name\":\"drafts\",\
         \"max_conns\":1000,\"runtime\":{{\"layer_count\":{LAYERS},\"layer_mb\":100.0,\
         \"kv_bytes\":12000.0,\"step_ms\":1.0,\"read_per_s\":100000.0,\"activation_bytes\":100,\
         \"xfer_mbps\":1000.0,\"types\":[{{\"name\":\"gpu\",\"size_mb\":4000.0,\"pace\":1.0,\
         \"read_factor\":1.0}}]}}}},{{\"name\":\"registry\",\"max_conns\":1000}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenant_list\":[{{\"name\":\"{ORGANISATION}\",\"api_keys\":[{keys}],\"priority\":1}}]}}",
        routes.join(",")
    );
    store.write("op/config", config);
}

/// A process of the system. It is killed when the value is dropped.
pub struct Node {
    pub number: usize,
    pub callers: SocketAddr,
    pub health: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Child>,
    record: Arc<Record>,
}

impl Node {
    pub fn start(number: usize, store: SocketAddr, folder: &Path, record: &Arc<Record>) -> Node {
        let (callers, health, peers) = (free_addr(), free_addr(), free_addr());
        let settings = folder.join(format!("node-{number}.toml"));
        let text = format!(
            "name = \"node-{number}\"\ndomain = \"a\"\ncallers = \"{callers}\"\n\
             health = \"{health}\"\npeers = \"{peers}\"\nstore = \"{store}\"\ngrace_s = 8\n\
             retry_ratio = 0.2\nretry_extra = 425\nretry_window_s = 10\n\
             change_limits_ms = [2000, 2000]\n"
        );
        std::fs::write(&settings, text).expect("settings can be written");
        let log = folder.join(format!("node-{number}.log"));
        File::create(&log).expect("log can be created");
        let child = Mutex::new(spawn(&settings, &log));
        record.say(&format!("node {number} starts"));
        Node { number, callers, health, settings, log, child, record: record.clone() }
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.lock().unwrap().id().to_string();
        self.record.say(&format!("node {} gets SIG{name}", self.number));
        let _ = Command::new("kill").args([&format!("-{name}"), &pid]).status();
    }

    /// Stops the process with SIGTERM, kills it after the grace period of 8 s, and starts it again.
    pub fn restart(&self) {
        self.signal("TERM");
        let end = Instant::now() + Duration::from_secs(8);
        let mut child = self.child.lock().unwrap();
        while matches!(child.try_wait(), Ok(None)) {
            if Instant::now() >= end {
                let _ = child.kill();
            }
            sleep(0.01);
        }
        let ended = child.id();
        STARTED.lock().unwrap().retain(|pid| *pid != ended);
        *child = spawn(&self.settings, &self.log);
        self.record.say(&format!("node {} is started again", self.number));
    }

    /// Whether the node answers the balancer's question with 200.
    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_secs(1);
        let answer = ask(self.health, "GET", "/v1/readyz", &[("host", "health")], b"", limit);
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            sleep(0.05);
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
        let ended = child.id();
        STARTED.lock().unwrap().retain(|pid| *pid != ended);
    }
}

/// Identifiers of the processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the run without a result if it takes too long, with all processes that it has started.
pub fn limit_time(seconds: f64) {
    thread::spawn(move || {
        sleep(seconds);
        eprintln!("the case takes too long");
        for pid in STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
        }
        std::process::exit(2);
    });
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let output = File::options().append(true).open(log).expect("log can be opened");
    let child = Command::new("target/release/gypsumrack-edge")
        .args(["serve", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone().expect("log can be shared"))
        .stderr(output)
        .spawn()
        .expect("the system is built");
    STARTED.lock().unwrap().push(child.id());
    child
}
