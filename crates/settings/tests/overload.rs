//! Tests of the checks on the settings for overload.

use settings::EdgeSettings;

const NODE: &str = "name = \"n\"\ndomain = \"a\"\ncallers = \"127.0.0.1:1\"\n\
    health = \"127.0.0.1:2\"\npeers = \"127.0.0.1:3\"\nstore = \"127.0.0.1:4\"\ngrace_s = 8\n\
    retry_ratio = 0.2\nretry_extra = 400\nretry_window_s = 10\nchange_limits_ms = [3000]\n";

fn parse(overload: &str) -> Result<EdgeSettings, String> {
    EdgeSettings::parse(&format!("{NODE}{overload}")).map_err(|report| format!("{report:?}"))
}

/// Guards against a file without the table that turns the decisions on, and against a table without
/// keys that turns them off.
#[test]
fn an_empty_table_turns_the_decisions_on() {
    assert!(parse("").expect("the table may be absent").overload.is_none());
    assert!(parse("[overload]\n").expect("the table may be empty").overload.is_some());
}

/// Guards against absurd values that take effect instead of being reported with their key.
#[test]
fn values_out_of_bounds_are_reported_with_their_key() {
    for (key, value) in [
        ("max_fill", "0.5"),
        ("max_fill", "1.01"),
        ("max_fill", "nan"),
        ("fill_taper", "-0.1"),
        ("fill_taper", "inf"),
        ("fill_spread", "0.5"),
        ("queue_length", "0"),
        ("queue_length", "1025"),
        ("wait_share", "0.0"),
        ("wait_share", "nan"),
    ] {
        let message = parse(&format!("[overload]\n{key} = {value}\n")).expect_err(key);
        assert!(message.contains(&format!("overload.{key}")), "{message}");
    }
    assert!(parse("[overload]\nmax_fil = 0.9\n").is_err());
}
