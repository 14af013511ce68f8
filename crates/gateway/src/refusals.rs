//! The refusals of requests that crash upstreams, in the key-value service: a node that starts learns
//! them there, also when all nodes have restarted.

use std::{rc::Rc, time::Duration};

use crashes::{Applied, CrashNote, Refusal, RefusalKey, RefusalSource};
use keyvalue::{KvError, api::Expected};
use rand::Rng;
use types::Digest;

use crate::Gateway;

/// Prefix of the keys of refusals, followed by the refusal's id, a slash, and the organisation or
/// [`ALL`].
pub(crate) const REFUSED_PREFIX: &str = "gypsumrack/refused/";
/// Stands for all organisations in a key.
const ALL: &str = "all";
/// Time after which an entry expires. It is written again if requests with the part still arrive.
const ENTRY_TTL: Duration = Duration::from_secs(600);
/// Longest delay before an entry is written, for each node. Nodes decide at about the same time, and
/// one write is enough.
const SPREAD_PER_NODE: Duration = Duration::from_millis(10);
/// Longest delay before an entry is written in a large fleet.
const MAX_SPREAD: Duration = Duration::from_millis(500);
/// Pause of a node after each entry, for each node, so that all nodes together write at most twenty
/// entries a second when many requests are refused at once. Until an entry is written, the other nodes
/// know the refusal from datagrams.
const WRITE_PAUSE_PER_NODE: Duration = Duration::from_millis(50);
/// Delay after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(700);
/// Most parts of a refusal in a log line.
const MAX_LOGGED_PARTS: usize = 8;
/// Failed calls after which an entry is not written by this node.
const MAX_ATTEMPTS: u32 = 8;

/// The value of a refusal's entry.
struct RefusalEntry {
    /// Crashes that led to the refusal.
    crashes: u32,
    /// Revision of the refusal.
    revision: u32,
    /// The parts that a request must have to be refused, all of them. Empty if the refusal's id is the
    /// only one.
    parts: Vec<Digest>,
}

impl RefusalEntry {
    /// Decodes numbers separated by spaces. Revision 0 and the parts may be left out.
    fn decode(value: &[u8]) -> Option<RefusalEntry> {
        let mut words = std::str::from_utf8(value).ok()?.split(' ');
        let crashes = words.next()?.parse().ok()?;
        let revision = words.next().map_or(Ok(0), str::parse).ok()?;
        let parts = words.map(decode_digest).collect::<Option<Vec<Digest>>>()?;
        Some(RefusalEntry { crashes, revision, parts })
    }

    /// Encodes the value that [`RefusalEntry::decode`] reads.
    fn encode(&self) -> String {
        let RefusalEntry { crashes, revision, parts } = self;
        let parts = parts.iter().map(|part| format!(" {:x}", part.0));
        format!("{crashes} {revision}{}", parts.collect::<String>())
    }
}

/// The key of a refusal's entry.
fn entry_key(refusal: &RefusalKey) -> String {
    let RefusalKey { id, organisation } = refusal;
    match organisation {
        Some(organisation) => format!("{REFUSED_PREFIX}{id}/{organisation}"),
        None => format!("{REFUSED_PREFIX}{id}/{ALL}"),
    }
}

fn decode_digest(text: &str) -> Option<Digest> {
    u128::from_str_radix(text, 16).ok().map(Digest)
}

/// Decodes what follows [`REFUSED_PREFIX`] in a key.
fn decode_key(rest: &str) -> Option<RefusalKey> {
    let (id, organisation) = rest.split_once('/')?;
    let id = decode_digest(id)?;
    let organisation = if organisation == ALL { None } else { Some(decode_digest(organisation)?) };
    Some(RefusalKey { id, organisation })
}

impl Gateway {
    /// Applies a change of a refusal's entry, whose key ends with `rest`.
    pub(crate) fn apply_refusal_entry(&self, rest: &str, value: Option<&[u8]>) {
        let Some(key) = decode_key(rest) else {
            tracing::warn!(key = rest, "entry of a refusal is not usable");
            return;
        };
        let Some(value) = value else {
            // The entry has expired, or a node has withdrawn the refusal and tells so.
            if self.crashes.borrow().is_in_use(&key, self.clock.now()) {
                self.outbox.push_refusal(key);
            }
            return;
        };
        let Some(RefusalEntry { crashes, revision, mut parts }) = RefusalEntry::decode(value)
        else {
            tracing::warn!(key = rest, "entry of a refusal is not usable");
            return;
        };
        if parts.is_empty() {
            parts.push(key.id);
        }
        let part_count = parts.len() as u32;
        let note = CrashNote::Refused { key, parts, part_count, crashes, revision, age_ms: 0 };
        let now = self.clock.now();
        let applied = self.crashes.borrow_mut().apply(note, RefusalSource::Store, now);
        if applied != Applied::Known {
            self.log_refusal(&key, RefusalSource::Store);
        }
    }

    /// Logs that requests are refused from now on, or no longer.
    pub(crate) fn log_refusal(&self, key: &RefusalKey, source: RefusalSource) {
        let RefusalKey { id, organisation } = key;
        let organisation = organisation.map(|digest| digest.to_string());
        let Some((parts, crashes)) = self.crashes.borrow().refused_parts(key) else {
            tracing::info!(part = %id, organisation, %source, "refusal has ended");
            return;
        };
        let parts: Vec<String> =
            parts.iter().take(MAX_LOGGED_PARTS).map(|part| format!("{:x}", part.0)).collect();
        tracing::warn!(part = %id, organisation, crashes, %source, parts = parts.join(","),
            "requests with all of these parts of a prompt, or with this whole content, are refused, \
             since they crash upstreams");
    }

    /// Writes the entry of a refusal, or deletes it if the refusal has ended.
    async fn store_refusal(&self, refusal: &RefusalKey) -> Result<(), KvError> {
        let store = &self.store;
        let key = entry_key(refusal);
        let note = self.crashes.borrow().refusal_note(refusal);
        let wanted = match note {
            Some(CrashNote::Refused { crashes, revision, mut parts, .. }) if !parts.is_empty() => {
                parts.retain(|part| *part != refusal.id);
                Some(RefusalEntry { crashes, revision, parts })
            }
            _ => None,
        };
        let entry = store.get(&key).await?;
        match (wanted, entry) {
            (Some(wanted), None) => {
                let lease = store.grant(ENTRY_TTL.as_millis() as u64).await?;
                store.put(&key, Expected::Absent, wanted.encode(), Some(lease)).await?;
            }
            (None, Some(entry)) => {
                store.delete(&key, entry.version).await?;
            }
            (Some(_), Some(_)) | (None, None) => {}
        }
        Ok(())
    }
}

/// Keeps the entries of this node's refusals.
pub async fn store_refusals(gateway: Rc<Gateway>) {
    loop {
        let mut changed = gateway.outbox.refusals().await;
        changed.sort_unstable();
        changed.dedup();
        for refusal in changed {
            let spread = (SPREAD_PER_NODE * gateway.node_count() as u32).min(MAX_SPREAD);
            gateway.clock.sleep(spread.mul_f64(rand::rng().random())).await;
            for _ in 0..MAX_ATTEMPTS {
                let Err(error) = gateway.store_refusal(&refusal).await else { break };
                tracing::debug!(%error, "refusal cannot be stored");
                gateway.clock.sleep(RETRY_PAUSE.mul_f64(gateway.fleet_scale())).await;
            }
            gateway.clock.sleep(WRITE_PAUSE_PER_NODE * gateway.node_count() as u32).await;
        }
    }
}

/// The reason of a refusal for the caller.
pub(crate) fn describe(refusal: &Refusal) -> String {
    match refusal {
        Refusal::Request { crashes } => {
            format!("upstreams have crashed {crashes} times while they ran this request")
        }
        Refusal::Part { key, parts, crashes, source, age } => {
            let what = match &**parts {
                [part] => format!("part {:x}", part.0),
                _ => format!("all {} parts of combination {:x}", parts.len(), key.id.0),
            };
            format!(
                "upstreams have crashed {crashes} times while they ran requests with {what} of \
                 their prompts (source {source}, known for {} ms)",
                age.as_millis()
            )
        }
    }
}
