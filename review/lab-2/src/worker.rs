//! Workers: servers of a service that register in the store.

use std::{
    io::BufReader,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Head},
    record::Record,
    store::Store,
};

/// What a worker does with a request. It returns whether the connection stays open.
pub type Serve = dyn Fn(&Worker, &Head, &[u8], &mut TcpStream) -> bool + Send + Sync;

/// Time for which a crashed worker is down.
const DOWN: Duration = Duration::from_secs(3);

static BOOTS: AtomicU64 = AtomicU64::new(1);

/// One start of a worker.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub addr: SocketAddr,
    pub service: String,
    pub zone: String,
    /// Requests that it runs at once, as its entry says.
    pub capacity: u32,
    pub store: Store,
    pub record: Record,
    serve: Arc<Serve>,
    has_crashed: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Worker {
    /// Starts a worker and registers it.
    pub fn start(
        service: &str,
        zone: &str,
        capacity: u32,
        store: &Store,
        record: &Record,
        serve: Arc<Serve>,
    ) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        listener.set_nonblocking(true).unwrap();
        let worker = Worker {
            id: format!("i-{:08x}", 0x7f00_0000 + BOOTS.fetch_add(1, Ordering::Relaxed)),
            addr: listener.local_addr().unwrap(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            capacity,
            store: store.clone(),
            record: record.clone(),
            serve,
            has_crashed: Arc::default(),
            open: Arc::default(),
        };
        worker.register("up");
        let accepting = worker.clone();
        thread::spawn(move || accepting.accept(listener));
        worker
    }

    pub fn register(&self, phase: &str) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let Worker { id, addr, service, zone, capacity, .. } = self;
        let value = format!(
            "{{\"backend\":\"{service}\",\"address\":\"{addr}\",\"az\":\"{zone}\",\"version\":\"v1\",\
             \"capacity\":{capacity},\"phase\":\"{phase}\",\"cold_left_ms\":0,\"born\":{born},\"sequence\":1}}"
        );
        self.store.write(&format!("servers/{id}"), &value);
    }

    fn accept(&self, listener: TcpListener) {
        while !self.has_crashed.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(copy) = stream.try_clone() {
                        self.open.lock().unwrap().push(copy);
                    }
                    let worker = self.clone();
                    thread::spawn(move || worker.serve_connection(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve_connection(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let Ok(body) = http::read_body(&mut reader, &head, false) else { break };
            if self.has_crashed.load(Ordering::SeqCst) {
                break;
            }
            if head.get("expect-worker").is_some_and(|id| id != self.id) {
                let own = [("Worker-Id", self.id.as_str())];
                let _ = http::answer(&mut writer, "421 Misdirected Request", &own, b"");
                continue;
            }
            if !(self.serve)(self, &head, &body, &mut writer) {
                break;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
    }

    /// Ends the worker without warning: its port refuses connections, its connections break. It is
    /// back after some seconds, as another one.
    pub fn crash(&self) {
        if self.has_crashed.swap(true, Ordering::SeqCst) {
            return;
        }
        self.record.line(&format!("worker {} crashes", self.id));
        // The port is closed first, so that nobody connects to a process that has ended.
        thread::sleep(Duration::from_millis(3));
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let old = self.clone();
        thread::spawn(move || {
            thread::sleep(DOWN);
            old.store.remove(&format!("servers/{}", old.id));
            let Worker { service, zone, capacity, store, record, serve, .. } = &old;
            let new = Worker::start(service, zone, *capacity, store, record, serve.clone());
            new.record.line(&format!("worker {} is back as {}", old.id, new.id));
        });
    }
}
