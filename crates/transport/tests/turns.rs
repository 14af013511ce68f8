//! Guards against a peer that keeps the only thread of a process: it always has more bytes to read, so
//! that no other task and no timer ran, not even the one that limits the call. The peer is a reader in
//! memory here, so that the outcome does not depend on which side is faster.

use std::{io, sync::mpsc, thread, time::Duration};

use bytes::Bytes;
use compio::{
    BufResult,
    buf::{IoBuf, IoBufMut},
    io::{AsyncRead, AsyncWrite},
};
use cyper_core::HyperStream;
use http::Request;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use transport::{MeteredReader, StopSignal};

/// Time after which a thread that has not finished counts as stuck.
const STUCK_AFTER: Duration = Duration::from_secs(20);
/// Most bytes of one read.
const READ_BYTES: usize = 8 << 10;
/// Time after which the timer beside the endless bytes fires.
const TIMER: Duration = Duration::from_millis(50);

/// What a peer sends, from the first byte on that it gets: `start`, and then `unit` without end.
struct EndlessReader {
    start: &'static [u8],
    unit: &'static [u8],
    position: usize,
    called: StopSignal,
}

impl AsyncRead for EndlessReader {
    async fn read<B: IoBufMut>(&mut self, buffer: B) -> BufResult<usize, B> {
        self.called.raised().await;
        let endless = self.start.iter().chain(self.unit.iter().cycle());
        let bytes: Vec<u8> = endless.skip(self.position).take(READ_BYTES).copied().collect();
        let BufResult(result, buffer) = (&bytes[..]).read(buffer).await;
        let length = result.expect("bytes in memory can be read");
        self.position += length;
        // Keeps the number of skipped bytes small.
        if self.position > self.start.len() + self.unit.len() {
            let in_units = self.position - self.start.len();
            self.position = self.start.len() + in_units % self.unit.len();
        }
        BufResult(Ok(length), buffer)
    }
}

/// Takes all bytes that the peer gets.
struct EndlessWriter(StopSignal);

impl AsyncWrite for EndlessWriter {
    async fn write<B: IoBuf>(&mut self, buffer: B) -> BufResult<usize, B> {
        self.0.raise();
        BufResult(Ok(buffer.buf_len()), buffer)
    }

    async fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A connection to a peer that sends `start` and then `unit` without end.
fn endless_peer(
    start: &'static [u8],
    unit: &'static [u8],
) -> HyperStream<(MeteredReader<EndlessReader>, EndlessWriter)> {
    let called = StopSignal::new();
    let reader = EndlessReader { start, unit, position: 0, called: called.clone() };
    HyperStream::new_plain((MeteredReader::new(reader), EndlessWriter(called)))
}

/// Runs `test` in a thread of its own, and fails if the thread is stuck.
fn run_watched<F: Future<Output = ()>>(test: impl FnOnce() -> F + Send + 'static) {
    let (finished, wait) = mpsc::channel();
    thread::spawn(move || {
        compio::runtime::Runtime::new().expect("a runtime can be made").block_on(test());
        finished.send(()).expect("the test waits");
    });
    wait.recv_timeout(STUCK_AFTER).expect("a task and a timer run beside the endless bytes");
}

/// Sends a request to `peer`. Meanwhile, a timer must fire and another task must run.
async fn run_beside_request(start: &'static [u8], unit: &'static [u8]) {
    let (mut sender, connection) =
        http1::handshake(endless_peer(start, unit)).await.expect("there is nothing to negotiate");
    compio::runtime::spawn(async move {
        // The bytes are no response, so that the connection may end with an error.
        let _ = connection.await;
    })
    .detach();
    let request = Request::get("/").body(Empty::<Bytes>::new()).expect("the request is valid");
    let calling = compio::runtime::spawn(async move {
        let _ = sender.send_request(request).await;
    });
    let other = compio::runtime::spawn(async {
        for _ in 0..10 {
            compio::time::sleep(TIMER / 10).await;
        }
    });
    compio::time::sleep(TIMER).await;
    other.await.expect("the task does not panic");
    drop(calling);
}

#[test]
fn interim_responses_without_end_stop_no_timer_and_no_other_task() {
    let unit = b"HTTP/1.1 100 Continue\r\n\r\n";
    run_watched(|| async { run_beside_request(b"", unit).await });
}

#[test]
fn a_chunk_size_without_end_stops_no_timer_and_no_other_task() {
    let start = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    run_watched(|| async { run_beside_request(start, b"0").await });
}

/// A PING frame of HTTP/2 with its acknowledgement, which needs no answer.
const H2_PONG: &[u8] = &[0, 0, 8, 6, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
/// An empty SETTINGS frame.
const H2_SETTINGS: &[u8] = &[0, 0, 0, 4, 0, 0, 0, 0, 0];

#[test]
fn frames_without_end_from_another_node_stop_no_timer_and_no_other_task() {
    run_watched(|| async {
        let io = TokioIo::new(endless_peer(H2_SETTINGS, H2_PONG));
        let (_sender, connection) =
            h2::client::handshake(io).await.expect("the preface can be sent");
        compio::runtime::spawn(async move {
            // The frames belong to no stream, so that the connection may end with an error.
            let _ = connection.await;
        })
        .detach();
        compio::time::sleep(TIMER).await;
    });
}
