//! A TCP relay between two processes that injects faults into the link between them.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use clock::Clock;
use compio::{
    buf::BufResult,
    io::{AsyncRead, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use futures_util::{
    FutureExt,
    future::{LocalBoxFuture, select},
};
use http::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use transport::{Body, Handler, RequestBody, connect};

use crate::server::{self, bad_request, reply};

/// Time limit for opening a connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which a connection checks whether the link was cut; also the delay after a failed
/// accept.
const FAULT_POLL: Duration = Duration::from_millis(10);
/// Largest number of bytes in one read.
const BUFFER_BYTES: usize = 64 * 1024;

/// Settings of a relay.
#[derive(Clone, Debug, clap::Args)]
pub struct RelayArgs {
    /// Address to listen on for `POST /control`.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Address that connections are forwarded to.
    #[arg(long)]
    pub target: SocketAddr,
}

/// Faults of a link. `POST /control` replaces all of them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RelayFaults {
    /// Delay of each forwarded chunk, in both directions, in milliseconds.
    pub delay_millis: u64,
    /// Closes the connections that are open and every new one.
    pub cut: bool,
    /// Stops forwarding on the connections that are open when the fault is set; they stay open.
    pub silence_open: bool,
}

struct Relay {
    target: SocketAddr,
    clock: Rc<dyn Clock>,
    faults: RefCell<RelayFaults>,
    /// Nothing is forwarded on connections up to this number.
    last_silenced: Cell<u64>,
    last_connection: Cell<u64>,
}

/// Runs a relay until the process ends. It prints `relay ADDRESS` to standard output:
/// the address whose connections it forwards.
pub async fn run(clock: Rc<dyn Clock>, args: RelayArgs) -> std::io::Result<()> {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    println!("relay {}", listener.local_addr()?);
    let relay = Rc::new(Relay {
        target: args.target,
        clock: clock.clone(),
        faults: RefCell::default(),
        last_silenced: Cell::new(0),
        last_connection: Cell::new(0),
    });
    compio::runtime::spawn(accept(relay.clone(), listener)).detach();
    server::serve(clock, args.listen, relay).await
}

impl Handler for Relay {
    fn handle(
        self: Rc<Self>,
        request: Request<RequestBody>,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        async move {
            let (head, body) = request.into_parts();
            match (&head.method, head.uri.path()) {
                (&Method::POST, "/control") => match body.json().await {
                    Ok(faults) => {
                        self.set_faults(faults);
                        reply(Ok(()))
                    }
                    Err(message) => reply::<()>(Err(bad_request(message))),
                },
                _ => reply::<()>(Err((StatusCode::NOT_FOUND, "no such path".into()))),
            }
        }
        .boxed_local()
    }
}

impl Relay {
    fn set_faults(&self, faults: RelayFaults) {
        if faults.silence_open {
            self.last_silenced.set(self.last_connection.get());
        }
        *self.faults.borrow_mut() = faults;
    }

    /// Waits until the link is cut.
    async fn wait_for_cut(&self) {
        while !self.faults.borrow().cut {
            self.clock.sleep(FAULT_POLL).await;
        }
    }

    /// Forwards one connection in both directions until both are closed or the link is cut.
    async fn forward(self: Rc<Self>, client: TcpStream, connection: u64) {
        // If the target cannot be reached, the client's connection is closed.
        let Ok(target) = connect(&*self.clock, self.target, CONNECT_TIMEOUT).await else { return };
        let (client_read, client_write) = client.into_split();
        let (target_read, target_write) = target.into_split();
        let to_target = std::pin::pin!(self.copy(client_read, target_write, connection));
        let to_client = std::pin::pin!(self.copy(target_read, client_write, connection));
        let both = futures_util::future::join(to_target, to_client);
        select(std::pin::pin!(self.wait_for_cut()), std::pin::pin!(both)).await;
    }

    /// Copies the bytes of one direction and applies the faults.
    async fn copy(&self, mut reader: impl AsyncRead, mut writer: impl AsyncWrite, connection: u64) {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            buffer.clear();
            let BufResult(read, filled) = reader.read(buffer).await;
            let delay = self.faults.borrow().delay_millis;
            if delay > 0 {
                self.clock.sleep(Duration::from_millis(delay)).await;
            }
            if connection <= self.last_silenced.get() {
                std::future::pending::<()>().await;
            }
            if self.faults.borrow().cut {
                return;
            }
            if !matches!(read, Ok(1..)) {
                // Fails if the receiving side is closed as well.
                let _ = writer.shutdown().await;
                return;
            }
            let BufResult(written, returned) = writer.write_all(filled).await;
            if written.is_err() {
                return;
            }
            buffer = returned;
        }
    }
}

async fn accept(relay: Rc<Relay>, listener: TcpListener) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            relay.clock.sleep(FAULT_POLL).await;
            continue;
        };
        if relay.faults.borrow().cut || client.set_nodelay(true).is_err() {
            continue;
        }
        let connection = relay.last_connection.get() + 1;
        relay.last_connection.set(connection);
        compio::runtime::spawn(relay.clone().forward(client, connection)).detach();
    }
}
