//! A TCP relay that stands between two processes and disturbs the link between them.

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

/// Time to open a connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which a connection looks for a change of the faults.
const FAULT_POLL: Duration = Duration::from_millis(10);
/// Bytes that are read at once.
const BUFFER_BYTES: usize = 64 * 1024;

/// Settings of a relay.
#[derive(Clone, Debug, clap::Args)]
pub struct RelayArgs {
    /// Address of the control calls.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Address that connections are forwarded to.
    #[arg(long)]
    pub target: SocketAddr,
}

/// Faults of a link, set as a whole by `POST /control`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RelayFaults {
    /// Delay of everything that is sent, in each direction, in milliseconds.
    pub delay_millis: u64,
    /// Closes the connections that are open and every new one.
    pub cut: bool,
    /// Forwards nothing more on connections that are open now; they stay open.
    pub silence_open: bool,
}

struct Relay {
    target: SocketAddr,
    clock: Rc<dyn Clock>,
    faults: RefCell<RelayFaults>,
    /// Connections up to this number are silent.
    silent_until: Cell<u64>,
    last_connection: Cell<u64>,
}

/// Runs a relay until the process ends. It prints the address that it relays from as `relay`.
pub async fn run(clock: Rc<dyn Clock>, args: RelayArgs) -> std::io::Result<()> {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    println!("relay {}", listener.local_addr()?);
    let relay = Rc::new(Relay {
        target: args.target,
        clock: clock.clone(),
        faults: RefCell::default(),
        silent_until: Cell::new(0),
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
                        self.control(faults);
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
    fn control(&self, faults: RelayFaults) {
        if faults.silence_open {
            self.silent_until.set(self.last_connection.get());
        }
        *self.faults.borrow_mut() = faults;
    }

    /// Waits until the link is cut.
    async fn cut(&self) {
        while !self.faults.borrow().cut {
            self.clock.sleep(FAULT_POLL).await;
        }
    }

    /// Forwards one connection until an end closes it or the link is cut.
    async fn forward(self: Rc<Self>, near: TcpStream, connection: u64) {
        // A failed connection ends the near one, as a refusal would.
        let Ok(far) = connect(&*self.clock, self.target, CONNECT_TIMEOUT).await else { return };
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let there = std::pin::pin!(self.copy(near_read, far_write, connection));
        let back = std::pin::pin!(self.copy(far_read, near_write, connection));
        let both = futures_util::future::join(there, back);
        select(std::pin::pin!(self.cut()), std::pin::pin!(both)).await;
    }

    async fn copy(&self, mut from: impl AsyncRead, mut to: impl AsyncWrite, connection: u64) {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            buffer.clear();
            let BufResult(read, filled) = from.read(buffer).await;
            let delay = self.faults.borrow().delay_millis;
            if delay > 0 {
                self.clock.sleep(Duration::from_millis(delay)).await;
            }
            if connection <= self.silent_until.get() {
                std::future::pending::<()>().await;
            }
            if self.faults.borrow().cut {
                return;
            }
            if !matches!(read, Ok(1..)) {
                // The other end may have gone as well.
                let _ = to.shutdown().await;
                return;
            }
            let BufResult(written, back) = to.write_all(filled).await;
            if written.is_err() {
                return;
            }
            buffer = back;
        }
    }
}

async fn accept(relay: Rc<Relay>, listener: TcpListener) {
    loop {
        let Ok((near, _)) = listener.accept().await else {
            relay.clock.sleep(FAULT_POLL).await;
            continue;
        };
        if relay.faults.borrow().cut || near.set_nodelay(true).is_err() {
            continue;
        }
        let connection = relay.last_connection.get() + 1;
        relay.last_connection.set(connection);
        compio::runtime::spawn(relay.clone().forward(near, connection)).detach();
    }
}
