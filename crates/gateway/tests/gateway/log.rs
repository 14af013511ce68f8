//! The log line of a request.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
};

use crate::support::World;

/// Collects what is logged.
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

/// Guards against refusals whose reason is in the answer only: in an incident 66 lines did not say
/// whether engines or room were missing.
#[compio::test]
async fn the_line_of_a_refused_request_says_why() {
    let world = World::ready().await;
    for gone in ["e1", "e2", "e3"] {
        world.store.write(&format!("upstreams/{gone}"), None);
    }
    compio::time::sleep(std::time::Duration::from_millis(800)).await;
    let lines = Lines::default();
    let writer = lines.clone();
    let subscriber = tracing_subscriber::fmt().with_writer(move || writer.clone()).finish();
    let logging = tracing::subscriber::set_default(subscriber);
    let refusal = world.send("/drafts/x").await;
    drop(logging);
    assert!(refusal.is_err());
    let text = String::from_utf8(lines.0.lock().expect("no writer panicked").clone());
    let text = text.expect("the log is text");
    assert!(text.contains("no upstream can serve the request"), "{text}");
}
