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

/// Guards against a refusal of which nobody can tell by which configuration it was decided: a report of
/// a request that was refused as an older version says could not be traced.
#[compio::test]
async fn the_log_line_of_a_rejected_request_names_the_version_that_it_was_decided_by() {
    let fixture = Fixture::ready().await;
    assert!(fixture.send("/unknown/x").await.is_err());
    let capture = LogCapture::start();
    assert!(fixture.send("/unknown/x").await.is_err());
    let text = capture.text();
    assert!(text.contains("version=1 version_age_ms="), "{text}");
}
