use std::{
    cell::Cell,
    future::poll_fn,
    io,
    pin::pin,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use compio::{BufResult, buf::IoBufMut, io::AsyncRead};
use http::Request;

use crate::TurnLimit;

/// Reads of a connection, of up to 8 KB each, in one turn of its task. A peer that sends faster than
/// this process parses always has more bytes ready, and a task that goes on while there are any would
/// keep the thread: no timer would fire, those that limit the call included.
const READS_PER_TURN: u32 = 32;
/// Bytes that a peer may send before the HTTP library delivers a head or a part of a body. It is
/// more than the library's read buffer, which bounds a single head, and covers what the library
/// consumes without a trace: interim responses, the sizes and extensions of chunks, and trailers.
const MAX_UNDELIVERED_BYTES: usize = 1 << 20;
/// Interim (1xx) responses that may precede a response.
const MAX_INTERIM_RESPONSES: usize = 64;

/// Counts what a peer sends over one connection.
#[derive(Default)]
pub(crate) struct InputMeter {
    undelivered: Cell<usize>,
    /// Interim responses since the last request. The HTTP library requires a thread-safe callback.
    interim: Arc<AtomicUsize>,
}

impl InputMeter {
    /// Records that the HTTP library has delivered a head or a part of a body.
    pub(crate) fn record_delivery(&self) {
        self.undelivered.set(0);
    }

    /// Counts the interim responses to `request`, which is sent next.
    pub(crate) fn watch_interim_responses<B>(&self, request: &mut Request<B>) {
        self.interim.store(0, Ordering::Relaxed);
        let interim = self.interim.clone();
        hyper::ext::on_informational(request, move |_| {
            interim.fetch_add(1, Ordering::Relaxed);
        });
    }

    fn record_read(&self, bytes: usize) {
        self.undelivered.set(self.undelivered.get().saturating_add(bytes));
    }

    /// Fails once the peer has sent more than a sound one does.
    fn check(&self) -> io::Result<()> {
        let message = if self.undelivered.get() > MAX_UNDELIVERED_BYTES {
            "the peer sends bytes without end that are no part of a message"
        } else if self.interim.load(Ordering::Relaxed) > MAX_INTERIM_RESPONSES {
            "the peer sends interim responses without end"
        } else {
            return Ok(());
        };
        Err(io::Error::new(io::ErrorKind::InvalidData, message))
    }
}

/// The reading half of a connection, which limits what the peer can make this process do. It lets all
/// other tasks and timers run after a few reads, also while the peer always has more bytes, and it
/// fails if the peer sends too much that is no part of a message.
pub struct MeteredReader<R> {
    inner: R,
    turn: TurnLimit,
    /// `None` if the library that reads the connection bounds by itself what the peer may send.
    meter: Option<Rc<InputMeter>>,
}

impl<R> MeteredReader<R> {
    /// Creates a reader that only lets others run.
    pub fn new(inner: R) -> MeteredReader<R> {
        MeteredReader { inner, turn: TurnLimit::new(READS_PER_TURN), meter: None }
    }

    /// Also limits what `meter` counts.
    pub(crate) fn with_meter(self, meter: Rc<InputMeter>) -> MeteredReader<R> {
        MeteredReader { meter: Some(meter), ..self }
    }
}

impl<R: AsyncRead> AsyncRead for MeteredReader<R> {
    async fn read<B: IoBufMut>(&mut self, buffer: B) -> BufResult<usize, B> {
        if let Some(Err(error)) = self.meter.as_ref().map(|meter| meter.check()) {
            return BufResult(Err(error), buffer);
        }
        self.turn.step().await;
        let mut has_paused = false;
        let mut reading = pin!(self.inner.read(buffer));
        let read = poll_fn(|context| {
            let read = reading.as_mut().poll(context);
            has_paused |= read.is_pending();
            read
        });
        let BufResult(result, buffer) = read.await;
        if has_paused {
            self.turn.restart();
        }
        if let (Some(meter), Ok(bytes)) = (&self.meter, &result) {
            meter.record_read(*bytes);
        }
        BufResult(result, buffer)
    }
}
