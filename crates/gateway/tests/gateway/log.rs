//! The log line that is written when a request ends.

use crate::support::{Fixture, LogCapture};

/// Guards against log lines that lack the reason of a refusal, which only the response held: during
/// an incident, 66 lines did not tell whether engines or capacity were missing.
#[compio::test]
async fn the_log_line_of_a_refused_request_contains_the_reason() {
    let fixture = Fixture::ready().await;
    for removed in ["e1", "e2", "e3"] {
        fixture.store.write(&format!("upstreams/{removed}"), None);
    }
    compio::time::sleep(std::time::Duration::from_millis(800)).await;
    // The statement that writes the line is reached once without a subscriber, as in a process in
    // which another test has refused a request before.
    assert!(fixture.send("/drafts/x").await.is_err());
    let capture = LogCapture::start();
    let refusal = fixture.send("/drafts/x").await;
    let text = capture.text();
    assert!(refusal.is_err());
    assert!(text.contains("no upstream can serve the request"), "{text}");
}
