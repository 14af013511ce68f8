//! A worker in a process of its own: `stream_worker ID`. It prints its address, and answers each
//! request with a stream that has neither a length nor chunks and ends with its connection.

use std::{
    env,
    io::{self, BufReader, Write},
    net::{TcpListener, TcpStream},
    process, thread,
    time::Duration,
};

use lab_2::http;

/// Shortest time from the head of an answer to its first event and between two events, and by how much
/// they differ from answer to answer, in milliseconds.
const FIRST_EVENT_MS: (u64, u64) = (200, 150);
const GAP_MS: (u64, u64) = (30, 60);
/// Events of a stream.
const EVENTS: u32 = 8;

fn main() {
    let id = env::args().nth(1).expect("usage: stream_worker ID");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    println!("{}", listener.local_addr().unwrap());
    // The process ends with the one that started it, which holds the other end.
    thread::spawn(|| {
        let _ = io::copy(&mut io::stdin(), &mut io::sink());
        process::exit(0);
    });
    for stream in listener.incoming().flatten() {
        let id = id.clone();
        thread::spawn(move || serve(&id, stream));
    }
}

fn serve(id: &str, stream: TcpStream) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    let head = http::read_head(&mut reader).ok()??;
    http::read_body(&mut reader, &head, false).ok()?;
    if head.get("expect-worker").is_some_and(|expected| expected != id) {
        return http::answer(&mut writer, "421 Misdirected Request", &[("Worker-Id", id)], b"")
            .ok();
    }
    let attempt = head.get("attempt-id").unwrap_or_default();
    let first: u32 = head.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\
         Attempt-Id: {attempt}\r\nWorker-Signature: {id}.{attempt}\r\nWeight-Versions: 1\r\n\r\n"
    );
    writer.write_all(text.as_bytes()).ok()?;
    // Spread by a hash of the attempt.
    let hash = attempt
        .bytes()
        .fold(7_u64, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
        >> 20;
    thread::sleep(Duration::from_millis(FIRST_EVENT_MS.0 + hash % FIRST_EVENT_MS.1));
    let gap = Duration::from_millis(GAP_MS.0 + hash / 1000 % GAP_MS.1);
    for number in first + 1..=EVENTS {
        let event = format!("id: {number}\ndata: {attempt} {number} of {EVENTS}\n\n");
        writer.write_all(event.as_bytes()).ok()?;
        thread::sleep(gap);
    }
    Some(())
}
