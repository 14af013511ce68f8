//! Tests of the checks on the limits on callers.

use settings::EdgeSettings;

fn parse(limits: &str) -> Result<EdgeSettings, String> {
    let text = format!(
        "name = \"n\"\ndomain = \"a\"\ncallers = \"127.0.0.1:1\"\nhealth = \"127.0.0.1:2\"\n\
         peers = \"127.0.0.1:3\"\nstore = \"127.0.0.1:4\"\ngrace_s = 8\nretry_ratio = 0.2\n\
         retry_extra = 400\nretry_window_s = 10\nchange_limits_ms = [100]\n{limits}"
    );
    EdgeSettings::parse(&text).map_err(|error| format!("{error:?}"))
}

/// Guards against defaults that callers inside the published limits meet: a head of 16,384 bytes
/// within 3,000 ms, and connections that are idle for up to 15,000 ms.
#[test]
fn the_defaults_are_beyond_the_published_limits() {
    let limits = parse("").unwrap().limits;
    assert!(limits.head_bytes > 16_384);
    assert!(limits.head_ms > 3000);
    assert!(limits.idle_ms > 15_000);
    assert!(limits.body_pause_ms > 15_000);
}

/// Guards against a number that the platform fills in as a fraction or a whole number.
#[test]
fn the_machine_may_be_given_in_either_form() {
    let limits = parse("[limits]\nram_mb = 112\nmax_fds = 2870.0\n").unwrap().limits;
    assert_eq!((limits.ram_mb, limits.max_fds), (112.0, 2870.0));
}

/// Guards against a limit of zero or beyond its type, and against a misspelt key, which would
/// leave a limit at its default.
#[test]
fn limits_out_of_range_are_faults() {
    for fault in [
        "ram_mb = 0",
        "ram_mb = -1",
        "ram_mb = nan",
        "ram_mb = 1e300",
        "max_fds = 0",
        "max_fds = inf",
        "head_bytes = 0",
        "head_bytes = 100000000",
        "head_ms = 0",
        "idle_ms = 18446744073709551615",
        "body_rate = 100000000",
        "ram = 112",
    ] {
        let error = parse(&format!("[limits]\n{fault}\n")).unwrap_err();
        let key = fault.split(' ').next().unwrap();
        assert!(error.contains(key), "{fault}: {error}");
    }
}
