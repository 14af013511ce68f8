//! Reads the configuration in the key-value service and changes it by compare-and-swap.

use std::{rc::Rc, time::Duration};

use clock::Clock;
use keyvalue::{
    KeyValue, KvError,
    api::{Entry, Expected, PutReply},
};
use settings::{ChangeRecord, FleetConfig, SettingFaults, schema::MAX_HISTORY};

use crate::{CONFIG_KEY, Difference, diff};

/// Attempts to find out whether a write that was not answered took effect.
const MAX_RESOLVE_ATTEMPTS: u32 = 5;
/// Pause between these attempts.
const RESOLVE_PAUSE: Duration = Duration::from_millis(250);
/// Longest summary of a change, in characters.
const MAX_SUMMARY_CHARS: usize = 200;

/// Reads and changes the configuration in the key-value service.
pub struct ConfigStore {
    store: Rc<dyn KeyValue>,
    clock: Rc<dyn Clock>,
}

/// The configuration as it was read, with the version of its entry in the key-value service.
#[derive(Clone, Debug)]
pub struct VersionedConfig {
    /// The configuration, or the default one if none is stored.
    pub config: FleetConfig,
    /// Condition of a write that replaces it: the entry has not changed since.
    expected: Expected,
}

/// Author of a change, and the identifier of the change.
#[derive(Clone, Debug)]
pub struct Author {
    /// Name of the operator.
    pub name: String,
    /// Identifier of the change. No two changes have the same one.
    pub change_id: String,
}

/// Result of a change to the configuration.
#[derive(Clone, Debug)]
pub enum WriteOutcome {
    /// The change is accepted.
    Accepted {
        /// Revision of the changed configuration.
        revision: u64,
        /// What the change has changed.
        differences: Vec<Difference>,
    },
    /// The configuration that was read equals the wanted one. Nothing was written, so it was not
    /// checked whether the read was stale.
    Unchanged {
        /// Revision of the configuration that was read.
        revision: u64,
    },
    /// Another change was made after the configuration was read. This change has no effect.
    Conflict {
        /// Revision of the configuration that is stored now.
        revision: u64,
        /// Author of that revision.
        author: String,
        /// What has changed since the configuration was read.
        differences: Vec<Difference>,
    },
    /// The changed configuration is not valid; nothing was written.
    Invalid(SettingFaults),
    /// The key-value service could not be reached; the change has no effect.
    Unavailable,
    /// The write was not answered. The change may have taken effect or may take effect later.
    Unknown,
}

/// Why the configuration could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The call to the key-value service failed.
    Store(KvError),
    /// The stored configuration is not valid.
    Invalid(SettingFaults),
}

impl ConfigStore {
    /// Creates a client for the configuration in the key-value service `store`.
    pub fn new(store: Rc<dyn KeyValue>, clock: Rc<dyn Clock>) -> ConfigStore {
        ConfigStore { store, clock }
    }

    /// Reads the configuration.
    pub async fn read(&self) -> Result<VersionedConfig, ReadError> {
        let Some(entry) = self.store.get(CONFIG_KEY).await.map_err(ReadError::Store)? else {
            return Ok(VersionedConfig {
                config: FleetConfig::default(),
                expected: Expected::Absent,
            });
        };
        let config = FleetConfig::parse(&entry.value).map_err(ReadError::Invalid)?;
        Ok(VersionedConfig { config, expected: Expected::Version(entry.version) })
    }

    /// Replaces the configuration `read` by `wanted`. The revision, author, change and history of
    /// `wanted` are ignored; they are computed from `read` and `author`.
    pub async fn write(
        &self,
        read: &VersionedConfig,
        wanted: FleetConfig,
        author: &Author,
    ) -> WriteOutcome {
        let differences = diff(&read.config, &wanted);
        if has_same_settings(&read.config, &wanted) && read.expected != Expected::Absent {
            return WriteOutcome::Unchanged { revision: read.config.revision };
        }
        let config = self.next_revision(read, wanted, author, &differences).check();
        let config = match config {
            Ok(config) => config,
            Err(faults) => return WriteOutcome::Invalid(faults),
        };
        let accepted = WriteOutcome::Accepted { revision: config.revision, differences };
        let value = config.to_toml();
        match self.put(read, &value).await {
            Ok(PutReply::Stored(_)) => accepted,
            // This was the only write of the change and it was refused, so the change certainly has
            // no effect.
            Ok(PutReply::Conflict(entry)) => conflict(read, entry),
            Err(KvError::Unavailable) => WriteOutcome::Unavailable,
            Err(KvError::Unknown) => {
                self.resolve_unanswered(read, &value, &author.change_id, accepted).await
            }
        }
    }

    /// The configuration to write: `wanted` with the next revision and the change in its history.
    fn next_revision(
        &self,
        read: &VersionedConfig,
        wanted: FleetConfig,
        author: &Author,
        differences: &[Difference],
    ) -> FleetConfig {
        let revision = read.config.revision + 1;
        let mut difference_texts: Vec<String> =
            differences.iter().map(ToString::to_string).collect();
        if difference_texts.is_empty() {
            difference_texts.push("order of exceptions".into());
        }
        let change = ChangeRecord {
            id: author.change_id.clone(),
            revision,
            author: author.name.clone(),
            time_ms: self.clock.unix_millis(),
            summary: difference_texts.join("; ").chars().take(MAX_SUMMARY_CHARS).collect(),
        };
        let mut history = read.config.history.clone();
        history.push(change);
        let excess = history.len().saturating_sub(MAX_HISTORY);
        history.drain(..excess);
        let (author, change) = (author.name.clone(), author.change_id.clone());
        FleetConfig { revision, author, change, history, ..wanted }
    }

    /// Finds out whether a write that was not answered took effect, and repeats it as long as the
    /// entry has the version that was read. All copies of the write expect this version, so at most
    /// one copy can take effect, and none can once the entry has another version.
    async fn resolve_unanswered(
        &self,
        read: &VersionedConfig,
        value: &str,
        change_id: &str,
        accepted: WriteOutcome,
    ) -> WriteOutcome {
        for _ in 0..MAX_RESOLVE_ATTEMPTS {
            match self.store.get(CONFIG_KEY).await {
                // A read may be stale, so an entry that is not newer does not show that the write
                // has taken no effect.
                Ok(Some(entry)) if is_newer(&entry, read.expected) => {
                    return outcome_from_newer_entry(read, entry, change_id, accepted);
                }
                Ok(_) => match self.put(read, value).await {
                    Ok(PutReply::Stored(_)) => return accepted,
                    Ok(PutReply::Conflict(Some(entry))) => {
                        return outcome_from_newer_entry(read, entry, change_id, accepted);
                    }
                    // The entry was deleted, possibly after this change had taken effect.
                    Ok(PutReply::Conflict(None)) => return WriteOutcome::Unknown,
                    Err(_) => {}
                },
                Err(_) => {}
            }
            self.clock.sleep(RESOLVE_PAUSE).await;
        }
        WriteOutcome::Unknown
    }

    async fn put(&self, read: &VersionedConfig, value: &str) -> Result<PutReply, KvError> {
        self.store.put(CONFIG_KEY, read.expected, value.to_owned(), None).await
    }
}

/// Whether two configurations differ at most in revision, author, change and history.
fn has_same_settings(before: &FleetConfig, after: &FleetConfig) -> bool {
    before.defaults == after.defaults
        && before.models == after.models
        && before.services == after.services
        && before.exceptions == after.exceptions
}

/// Whether an entry is newer than the one that a write expects.
fn is_newer(entry: &Entry, expected: Expected) -> bool {
    match expected {
        Expected::Absent => true,
        Expected::Version(version) => entry.version > version,
    }
}

/// The outcome of a write that was not answered, by an entry that is newer than the one that was
/// read. The history in the entry shows whether the change took effect, even if others followed.
fn outcome_from_newer_entry(
    read: &VersionedConfig,
    entry: Entry,
    change_id: &str,
    accepted: WriteOutcome,
) -> WriteOutcome {
    let Ok(found) = FleetConfig::parse(&entry.value) else { return WriteOutcome::Unknown };
    if found.history.iter().any(|known| known.id == change_id) {
        return accepted;
    }
    let next = read.config.revision + 1;
    let history_complete = found.history.iter().any(|known| known.revision == next);
    // If the bounded history no longer includes the first revision after the one that was read,
    // this change may have been dropped from the history too.
    if history_complete { conflict_with(read, &found) } else { WriteOutcome::Unknown }
}

fn conflict(read: &VersionedConfig, entry: Option<Entry>) -> WriteOutcome {
    let found = entry.and_then(|entry| FleetConfig::parse(&entry.value).ok());
    conflict_with(read, &found.unwrap_or_default())
}

fn conflict_with(read: &VersionedConfig, found: &FleetConfig) -> WriteOutcome {
    WriteOutcome::Conflict {
        revision: found.revision,
        author: found.author.clone(),
        differences: diff(&read.config, found),
    }
}

impl std::fmt::Display for ReadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ReadError::Store(error) => write!(f, "configuration cannot be read: {error}"),
            ReadError::Invalid(faults) => write!(f, "stored configuration is not valid:\n{faults}"),
        }
    }
}

impl std::error::Error for ReadError {}
