//! Tests of the checks on node settings and on the fleet configuration.

use settings::{FleetConfig, LogFormat, LogLevel, NodeSettings};

const NODE: &str = r#"
name = "node-0"
domain = "north"
region = "centro-sur"
[listen]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
peers = "127.0.0.1:0"
[platform]
keyvalue = "127.0.0.1:1"
vms = "127.0.0.1:2"
weights = "127.0.0.1:3"
"#;

/// Guards against a check that stops at the first fault: a type error or an unknown key used to
/// hide all other faults.
#[test]
fn node_settings_with_several_faults_report_all_of_them() {
    let text = r#"
        name = 7
        domain = ""
        drain_millis = 5
        drain_ms = 700000
        [listen]
        callers = "localhost"
        operators = "127.0.0.1:0"
        peers = "127.0.0.1:0"
        [platform]
        keyvalue = "127.0.0.1:1"
        vms = "127.0.0.1:2"
        weight = "127.0.0.1:3"
        [log]
        level = "loud"
    "#;
    let faults = NodeSettings::parse(text).unwrap_err();
    let mut lines: Vec<_> = faults.to_string().lines().map(str::to_owned).collect();
    lines.sort();
    let expected = [
        "domain = \"\": must be a text of 1 to 64 bytes",
        "drain_millis = 5: unknown key; did you mean drain_ms?",
        "drain_ms = 700000: must be a whole number from 0 to 600000 milliseconds",
        "listen.callers = \"localhost\": must be an IP address with port, such as 127.0.0.1:7000",
        "log.level = \"loud\": must be one of error, warn, info, debug, trace",
        "name = 7: must be a text of 1 to 64 bytes",
        "platform.weight = \"127.0.0.1:3\": unknown key; did you mean weights?",
        "platform.weights = (nothing): is missing; must be an IP address with port, such as \
         127.0.0.1:7000",
        "region = (nothing): is missing; must be a text of 1 to 64 bytes",
    ];
    assert_eq!(lines, expected);
}

/// Guards against a fleet configuration whose nested faults are reported one at a time, and
/// against an exception without a written reason.
#[test]
fn fleet_config_with_several_faults_reports_all_of_them() {
    let text = r#"
        [defaults]
        crash_limit = "two"
        queue_dept = 5
        [models.permits]
        version = "1"
        layers = 0
        [services.registry]
        refusals = [503, 1000]
        lookup = "no-key"
        [[exceptions]]
        scope = "upstream"
        name = "permits-0-0"
        reason = " "
        [[exceptions]]
        scope = "country"
        name = "x"
        set = { weight = 0 }
    "#;
    let faults = FleetConfig::parse(text).unwrap_err();
    let mut keys: Vec<_> = faults.0.iter().map(|fault| fault.key.as_str()).collect();
    keys.sort();
    let expected = [
        "defaults.crash_limit",
        "defaults.queue_dept",
        "exceptions[0].reason",
        "exceptions[1].reason",
        "exceptions[1].scope",
        "exceptions[1].set.weight",
        "models.permits.layers",
        "services.registry.lookup",
        "services.registry.refusals",
    ];
    assert_eq!(keys, expected);
}

/// Guards against a model with more stages than layers, for which no assignment of layers exists,
/// and against two exceptions with the same scope and name.
#[test]
fn too_many_stages_and_duplicate_exceptions_are_faults() {
    let text = r#"
        [models.permits]
        version = "1"
        layers = 3
        stages = 4
        [[exceptions]]
        scope = "model"
        name = "permits"
        reason = "trial"
        [[exceptions]]
        scope = "model"
        name = "permits"
        reason = "second trial"
    "#;
    let faults = FleetConfig::parse(text).unwrap_err();
    let keys: Vec<_> = faults.0.iter().map(|fault| fault.key.as_str()).collect();
    assert_eq!(keys, ["models.permits.stages", "exceptions[1].name"]);
}

/// Guards against different defaults in the schema and in the types: a file without a key must get
/// the default that the schema gives for it.
#[test]
fn schema_and_types_have_the_same_defaults() {
    let settings = NodeSettings::parse(NODE).unwrap();
    assert_eq!(settings.drain_ms, 20_000);
    assert_eq!((settings.log.level, settings.log.format), (LogLevel::Info, LogFormat::Json));
    let mut config = FleetConfig::default();
    for (key, value) in settings::schema::policy_defaults() {
        config = config.with_default(key, value).unwrap();
    }
    assert_eq!(config, FleetConfig::default());
    assert_eq!(settings::schema::policy_defaults().count(), 12);
    assert_eq!(FleetConfig::parse(&config.to_toml()).unwrap(), config);
}
