//! Schema of a node's settings file and of the fleet configuration: every key with its unit,
//! allowed range and default. The checks, the hints for unknown keys and the operators'
//! documentation are based on it.

use strum::VariantNames;
use types::MAX_NAME_BYTES;

use crate::{BalancingPolicy, LogFormat, LogLevel, Scope};

/// Maximum number of exceptions in a configuration. The list is meant to stay short.
const MAX_EXCEPTIONS: usize = 200;
/// Maximum size of the reason of an exception, in bytes.
const MAX_REASON_BYTES: usize = 500;
/// Maximum size of the summary of a change, in bytes.
const MAX_SUMMARY_BYTES: usize = 1000;
/// Maximum number of changes in the history.
pub const MAX_HISTORY: usize = 20;

/// One key of a settings file.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Name of the key. It ends in the unit, if there is one.
    pub key: &'static str,
    /// Which values are allowed.
    pub kind: SettingKind,
    /// What applies if the key is absent.
    pub absent: Absent,
}

/// Which values a key allows.
#[derive(Clone, Copy, Debug)]
pub enum SettingKind {
    /// A whole number.
    Integer {
        /// Unit of the number.
        unit: &'static str,
        /// Smallest and largest value.
        bounds: (i64, i64),
    },
    /// A text that is not empty, with its maximum size in bytes.
    Text(usize),
    /// A text that may be empty, with its maximum size in bytes.
    TextOrEmpty(usize),
    /// One of these words.
    Choice(&'static [&'static str]),
    /// An IP address with port.
    Address,
    /// `true` or `false`.
    Boolean,
    /// A list of texts.
    TextList,
    /// A list of HTTP status codes.
    StatusList,
    /// A path that contains `{key}`, which is replaced by an idempotency key.
    LookupPath,
    /// A table with these keys.
    Table(&'static [Setting]),
    /// A table that contains, for each of any number of names, a table with these keys.
    NamedTables(&'static [Setting]),
    /// A list of tables with these keys, with its maximum length.
    TableList(&'static [Setting], usize),
}

/// What applies if a key is absent.
#[derive(Clone, Copy, Debug)]
pub enum Absent {
    /// The file is not valid.
    Required,
    /// The key is optional and has no default.
    Empty,
    /// This value applies, as written in TOML.
    Default(&'static str),
}

const fn setting(key: &'static str, kind: SettingKind, absent: Absent) -> Setting {
    Setting { key, kind, absent }
}

const fn required(key: &'static str, kind: SettingKind) -> Setting {
    setting(key, kind, Absent::Required)
}

const fn optional(key: &'static str, kind: SettingKind) -> Setting {
    setting(key, kind, Absent::Empty)
}

const fn integer(
    key: &'static str,
    unit: &'static str,
    bounds: (i64, i64),
    value: &'static str,
) -> Setting {
    setting(key, SettingKind::Integer { unit, bounds }, Absent::Default(value))
}

/// The keys of a node's settings file.
pub const NODE: &[Setting] = &[
    required("name", SettingKind::Text(MAX_NAME_BYTES)),
    required("domain", SettingKind::Text(MAX_NAME_BYTES)),
    required("region", SettingKind::Text(MAX_NAME_BYTES)),
    integer("drain_ms", "milliseconds", (0, 600_000), "20000"),
    required(
        "listen",
        SettingKind::Table(&[
            required("callers", SettingKind::Address),
            required("operators", SettingKind::Address),
            required("peers", SettingKind::Address),
        ]),
    ),
    required(
        "platform",
        SettingKind::Table(&[
            required("keyvalue", SettingKind::Address),
            required("vms", SettingKind::Address),
            required("weights", SettingKind::Address),
        ]),
    ),
    optional(
        "log",
        SettingKind::Table(&[
            setting("level", SettingKind::Choice(LogLevel::VARIANTS), Absent::Default("\"info\"")),
            setting(
                "format",
                SettingKind::Choice(LogFormat::VARIANTS),
                Absent::Default("\"json\""),
            ),
        ]),
    ),
];

/// The keys of the fleet's default policy, which are also the keys that an exception may set.
pub(crate) const POLICY: &[Setting] = &[
    setting(
        "route",
        SettingKind::Choice(BalancingPolicy::VARIANTS),
        Absent::Default("\"estimate\""),
    ),
    integer("deadline_ms", "milliseconds", (1, 600_000), "30000"),
    integer("first_token_ms", "milliseconds", (10, 600_000), "2000"),
    integer("progress_ms", "milliseconds", (10, 600_000), "400"),
    integer("service_ms", "milliseconds", (10, 600_000), "5000"),
    integer("attempt_limit", "attempts", (1, 64), "8"),
    integer("crash_limit", "crashes", (1, 16), "2"),
    integer("retry_percent", "percent", (0, 100), "10"),
    integer("queue_depth", "requests", (0, 10_000), "256"),
    integer("slot_percent", "percent", (0, 400), "100"),
    integer("weight", "shares", (1, 1000), "1"),
    integer("retention_hours", "hours", (1, 8760), "24"),
];

/// The keys of the fleet configuration.
pub const FLEET: &[Setting] = &[
    integer("revision", "changes", (0, i64::MAX), "0"),
    optional("author", SettingKind::TextOrEmpty(MAX_NAME_BYTES)),
    optional("change", SettingKind::TextOrEmpty(MAX_NAME_BYTES)),
    optional("defaults", SettingKind::Table(POLICY)),
    optional(
        "models",
        SettingKind::NamedTables(&[
            required("version", SettingKind::Text(MAX_NAME_BYTES)),
            required("layers", SettingKind::Integer { unit: "layers", bounds: (1, 10_000) }),
            integer("replicas", "replicas", (1, 1000), "1"),
            optional("stages", SettingKind::Integer { unit: "stages", bounds: (1, 1000) }),
        ]),
    ),
    optional(
        "services",
        SettingKind::NamedTables(&[
            setting("idempotent", SettingKind::TextList, Absent::Default("[\"GET\", \"HEAD\"]")),
            optional("refusals", SettingKind::StatusList),
            optional("lookup", SettingKind::LookupPath),
        ]),
    ),
    optional(
        "exceptions",
        SettingKind::TableList(
            &[
                required("scope", SettingKind::Choice(Scope::VARIANTS)),
                required("name", SettingKind::Text(MAX_NAME_BYTES)),
                required("reason", SettingKind::Text(MAX_REASON_BYTES)),
                setting("leaving", SettingKind::Boolean, Absent::Default("false")),
                optional("set", SettingKind::Table(POLICY)),
            ],
            MAX_EXCEPTIONS,
        ),
    ),
    optional(
        "history",
        SettingKind::TableList(
            &[
                required("id", SettingKind::Text(MAX_NAME_BYTES)),
                required(
                    "revision",
                    SettingKind::Integer { unit: "changes", bounds: (1, i64::MAX) },
                ),
                required("author", SettingKind::Text(MAX_NAME_BYTES)),
                required(
                    "time_ms",
                    SettingKind::Integer { unit: "milliseconds", bounds: (0, i64::MAX) },
                ),
                required("summary", SettingKind::TextOrEmpty(MAX_SUMMARY_BYTES)),
            ],
            MAX_HISTORY,
        ),
    ),
];

/// The keys of the default policy with their default values, as written in TOML.
pub fn policy_defaults() -> impl Iterator<Item = (&'static str, &'static str)> {
    POLICY.iter().filter_map(|setting| match setting.absent {
        Absent::Default(value) => Some((setting.key, value)),
        Absent::Required | Absent::Empty => None,
    })
}
