//! Changes the configuration in the key-value service by compare-and-swap.

use std::{rc::Rc, time::Duration};

use clock::Clock;
use keyvalue::{
    KeyValue, KvError,
    api::{Entry, Expected, PutReply},
};
use settings::{ChangeRecord, FleetConfig, SettingFaults, schema::MAX_HISTORY};

use crate::{CONFIG_KEY, Difference, diff};

/// Tries to find out what became of a write whose answer was lost.
const MAX_TRIES: u32 = 5;
/// Pause between these tries.
const PAUSE: Duration = Duration::from_millis(250);
/// Longest summary of a change, in characters.
const MAX_SUMMARY_CHARS: usize = 200;

/// Reads and changes the configuration.
pub struct ConfigStore {
    store: Rc<dyn KeyValue>,
    clock: Rc<dyn Clock>,
}

/// The configuration as it was read.
#[derive(Clone, Debug)]
pub struct VersionedConfig {
    /// The configuration; the default one if there was none.
    pub config: FleetConfig,
    expected: Expected,
}

/// Who makes a change.
#[derive(Clone, Debug)]
pub struct Author {
    /// Name of the operator.
    pub name: String,
    /// Identifier of the change, unique over all changes.
    pub change_id: String,
}

/// What became of a change.
#[derive(Clone, Debug)]
pub enum WriteOutcome {
    /// The change is accepted.
    Accepted {
        /// Revision that the change made.
        revision: u64,
        /// What it changed.
        differences: Vec<Difference>,
    },
    /// The configuration, as it was read, already is as asked for; nothing was written, so a stale
    /// read was not noticed.
    Unchanged {
        /// Revision of the configuration.
        revision: u64,
    },
    /// Another change came first; this one has no effect.
    Conflict {
        /// Revision that was found.
        revision: u64,
        /// Who made it.
        author: String,
        /// What changed since the configuration was read.
        differences: Vec<Difference>,
    },
    /// The changed configuration is not valid; nothing was written.
    Invalid(SettingFaults),
    /// The key-value service could not be reached; the change has no effect.
    Unavailable,
    /// The change may be in effect, or may come into effect later.
    Unknown,
}

/// Why the configuration could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The key-value service failed.
    Store(KvError),
    /// The record is not a valid configuration.
    Invalid(SettingFaults),
}

impl ConfigStore {
    /// Creates a reader and writer of the configuration in `store`.
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

    /// Replaces the configuration that was read. Revision, author and history of `wanted` are
    /// ignored; they follow from `read` and `author`.
    pub async fn write(
        &self,
        read: &VersionedConfig,
        wanted: FleetConfig,
        author: &Author,
    ) -> WriteOutcome {
        let differences = diff(&read.config, &wanted);
        if is_same(&read.config, &wanted) && read.expected != Expected::Absent {
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
            // The first write was answered, so none of this change's writes took effect.
            Ok(PutReply::Conflict(entry)) => lost(read, entry),
            Err(KvError::Unavailable) => WriteOutcome::Unavailable,
            Err(KvError::Unknown) => self.resolve(read, &value, &author.change_id, accepted).await,
        }
    }

    fn next_revision(
        &self,
        read: &VersionedConfig,
        wanted: FleetConfig,
        author: &Author,
        differences: &[Difference],
    ) -> FleetConfig {
        let revision = read.config.revision + 1;
        let mut texts: Vec<String> = differences.iter().map(ToString::to_string).collect();
        if texts.is_empty() {
            texts.push("order of exceptions".into());
        }
        let change = ChangeRecord {
            id: author.change_id.clone(),
            revision,
            author: author.name.clone(),
            time_ms: self.clock.unix_millis(),
            summary: texts.join("; ").chars().take(MAX_SUMMARY_CHARS).collect(),
        };
        let mut history = read.config.history.clone();
        history.push(change);
        let surplus = history.len().saturating_sub(MAX_HISTORY);
        history.drain(..surplus);
        let (author, change) = (author.name.clone(), author.change_id.clone());
        FleetConfig { revision, author, change, history, ..wanted }
    }

    /// Finds out what became of a write whose answer was lost. The same write is repeated while
    /// the entry is still the one that was read: of all its copies at most one can take effect,
    /// and once the entry has another version, no late copy can.
    async fn resolve(
        &self,
        read: &VersionedConfig,
        value: &str,
        change: &str,
        accepted: WriteOutcome,
    ) -> WriteOutcome {
        for _ in 0..MAX_TRIES {
            match self.store.get(CONFIG_KEY).await {
                // A read may be stale, so an entry that is not newer proves nothing.
                Ok(Some(entry)) if is_newer(&entry, read.expected) => {
                    return judge(read, entry, change, accepted);
                }
                Ok(_) => match self.put(read, value).await {
                    Ok(PutReply::Stored(_)) => return accepted,
                    Ok(PutReply::Conflict(Some(entry))) => {
                        return judge(read, entry, change, accepted);
                    }
                    // The entry was deleted, perhaps after this change had taken effect.
                    Ok(PutReply::Conflict(None)) => return WriteOutcome::Unknown,
                    Err(_) => {}
                },
                Err(_) => {}
            }
            self.clock.sleep(PAUSE).await;
        }
        WriteOutcome::Unknown
    }

    async fn put(&self, read: &VersionedConfig, value: &str) -> Result<PutReply, KvError> {
        self.store.put(CONFIG_KEY, read.expected, value.to_owned(), None).await
    }
}

fn is_same(before: &FleetConfig, after: &FleetConfig) -> bool {
    before.defaults == after.defaults
        && before.models == after.models
        && before.services == after.services
        && before.exceptions == after.exceptions
}

fn is_newer(entry: &Entry, expected: Expected) -> bool {
    match expected {
        Expected::Absent => true,
        Expected::Version(version) => entry.version > version,
    }
}

/// Judges an ambiguous write by an entry that is newer than the one that was read. The history
/// tells whether the change took effect, even if other changes followed.
fn judge(
    read: &VersionedConfig,
    entry: Entry,
    change: &str,
    accepted: WriteOutcome,
) -> WriteOutcome {
    let Ok(found) = FleetConfig::parse(&entry.value) else { return WriteOutcome::Unknown };
    if found.history.iter().any(|known| known.id == change) {
        return accepted;
    }
    let next = read.config.revision + 1;
    let covered = found.history.iter().any(|known| known.revision == next);
    // Without the change that followed the read one, this change may have left the history.
    if covered { lost_to(read, &found) } else { WriteOutcome::Unknown }
}

fn lost(read: &VersionedConfig, entry: Option<Entry>) -> WriteOutcome {
    let found = entry.and_then(|entry| FleetConfig::parse(&entry.value).ok());
    lost_to(read, &found.unwrap_or_default())
}

fn lost_to(read: &VersionedConfig, found: &FleetConfig) -> WriteOutcome {
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
