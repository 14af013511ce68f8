//! The log line that is written when a request ends.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
};

use crate::support::Fixture;

/// Collects the log output.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no writer panicked").write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against log lines that lack the reason of a refusal, which only the response held: during
/// an incident, 66 lines did not tell whether engines or capacity were missing.
#[compio::test]
async fn the_log_line_of_a_refused_request_contains_the_reason() {
    let fixture = Fixture::ready().await;
    for removed in ["e1", "e2", "e3"] {
        fixture.store.write(&format!("upstreams/{removed}"), None);
    }
    compio::time::sleep(std::time::Duration::from_millis(800)).await;
    let lines = Lines::default();
    let writer = lines.clone();
    let subscriber = tracing_subscriber::fmt().with_writer(move || writer.clone()).finish();
    let logging = tracing::subscriber::set_default(subscriber);
    let refusal = fixture.send("/drafts/x").await;
    drop(logging);
    assert!(refusal.is_err());
    let text = String::from_utf8(lines.0.lock().expect("no writer panicked").clone());
    let text = text.expect("the log is text");
    assert!(text.contains("no upstream can serve the request"), "{text}");
}
