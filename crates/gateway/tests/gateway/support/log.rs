//! Captures the log lines of one test, while other tests of the process log on other threads.

use std::{
    cell::RefCell,
    io::{self, Write},
    sync::Once,
};

thread_local! {
    /// Log lines of this thread; `None` if they are not captured.
    static LINES: RefCell<Option<Vec<u8>>> = const { RefCell::new(None) };
}

static INSTALL: Once = Once::new();

/// Captures the log lines of this thread until it is dropped.
pub struct LogCapture(());

/// Adds what is written to the captured lines of this thread.
struct ThreadWriter;

impl Write for ThreadWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        LINES.with_borrow_mut(|lines| {
            if let Some(lines) = lines {
                lines.extend_from_slice(bytes);
            }
        });
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LogCapture {
    pub fn start() -> LogCapture {
        INSTALL.call_once(|| {
            let subscriber =
                tracing_subscriber::fmt().with_ansi(false).with_writer(|| ThreadWriter).finish();
            tracing::subscriber::set_global_default(subscriber)
                .expect("no other test installs a subscriber");
        });
        LINES.set(Some(Vec::new()));
        LogCapture(())
    }

    /// The lines so far.
    pub fn text(&self) -> String {
        LINES.with_borrow(|lines| {
            String::from_utf8_lossy(lines.as_deref().unwrap_or_default()).into_owned()
        })
    }
}

impl Drop for LogCapture {
    fn drop(&mut self) {
        LINES.set(None);
    }
}
