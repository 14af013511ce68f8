//! The parts of prompts and the whole requests that are refused because they crash upstreams, in the
//! key-value service: a node that starts learns them there, also when all nodes have restarted.

use std::{rc::Rc, time::Duration};

use crashes::{Applied, CrashNote, Refusal, RefusalSource, RefusedPart};
use keyvalue::{KvError, api::Expected};
use rand::Rng;
use types::Digest;

use crate::Gateway;

/// Prefix of the keys of refusals, followed by the part or the fingerprint of the request, a slash, and
/// the organisation or [`ALL`].
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
/// Failed calls after which an entry is not written by this node.
const MAX_ATTEMPTS: u32 = 8;

/// The value of a refused part's entry.
#[derive(Clone, Copy)]
struct RefusalEntry {
    /// Crashes that led to the refusal.
    crashes: u32,
    /// Revision of the refusal.
    revision: u32,
}

impl RefusalEntry {
    /// Decodes two numbers separated by a space. Revision 0 may be left out.
    fn decode(value: &[u8]) -> Option<RefusalEntry> {
        let text = std::str::from_utf8(value).ok()?;
        let (crashes, revision) = text.split_once(' ').unwrap_or((text, "0"));
        Some(RefusalEntry { crashes: crashes.parse().ok()?, revision: revision.parse().ok()? })
    }

    /// Encodes the value that [`RefusalEntry::decode`] reads.
    fn encode(self) -> String {
        let RefusalEntry { crashes, revision } = self;
        format!("{crashes} {revision}")
    }
}

/// The key of a refused part.
fn key(refused: &RefusedPart) -> String {
    let RefusedPart { part, organisation } = refused;
    match organisation {
        Some(organisation) => format!("{REFUSED_PREFIX}{part}/{organisation}"),
        None => format!("{REFUSED_PREFIX}{part}/{ALL}"),
    }
}

/// Decodes what follows [`REFUSED_PREFIX`] in a key.
fn decode_key(rest: &str) -> Option<RefusedPart> {
    let digest = |text: &str| u128::from_str_radix(text, 16).ok().map(Digest);
    let (part, organisation) = rest.split_once('/')?;
    let part = digest(part)?;
    let organisation = if organisation == ALL { None } else { Some(digest(organisation)?) };
    Some(RefusedPart { part, organisation })
}

impl Gateway {
    /// Applies a change of a refused part's entry, whose key ends with `rest`.
    pub(crate) fn apply_refused_part(&self, rest: &str, value: Option<&[u8]>) {
        let Some(refused) = decode_key(rest) else {
            tracing::warn!(key = rest, "entry of a refused part is not usable");
            return;
        };
        let Some(value) = value else {
            // The entry has expired, or a node has withdrawn the refusal and tells so.
            if self.crashes.borrow().is_in_use(&refused, self.clock.now()) {
                self.outbox.push_refused_part(refused);
            }
            return;
        };
        let Some(RefusalEntry { crashes, revision }) = RefusalEntry::decode(value) else {
            tracing::warn!(key = rest, "entry of a refused part is not usable");
            return;
        };
        let RefusedPart { part, organisation } = refused;
        let note = CrashNote::Refused { part, organisation, crashes, revision, age_ms: 0 };
        let now = self.clock.now();
        let applied = self.crashes.borrow_mut().apply(note, RefusalSource::Store, now);
        if applied != Applied::Known {
            log_refusal(&refused, crashes, RefusalSource::Store);
        }
    }

    /// Writes the entry of a refused part, or deletes it if the refusal is withdrawn.
    async fn store_refused_part(&self, refused: &RefusedPart) -> Result<(), KvError> {
        let store = &self.store;
        let key = key(refused);
        let refusal = self.crashes.borrow().refusal_note(refused);
        let wanted = match refusal {
            Some(CrashNote::Refused { crashes, revision, .. }) if revision.is_multiple_of(2) => {
                Some(RefusalEntry { crashes, revision })
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

/// Keeps the entries of the parts and requests that this node refuses.
pub async fn store_refused_parts(gateway: Rc<Gateway>) {
    loop {
        let mut changed = gateway.outbox.refused_parts().await;
        changed.sort_unstable();
        changed.dedup();
        for refused in changed {
            let spread = (SPREAD_PER_NODE * gateway.node_count() as u32).min(MAX_SPREAD);
            gateway.clock.sleep(spread.mul_f64(rand::rng().random())).await;
            for _ in 0..MAX_ATTEMPTS {
                let Err(error) = gateway.store_refused_part(&refused).await else { break };
                tracing::debug!(%error, "refused part cannot be stored");
                gateway.clock.sleep(RETRY_PAUSE.mul_f64(gateway.fleet_scale())).await;
            }
            gateway.clock.sleep(WRITE_PAUSE_PER_NODE * gateway.node_count() as u32).await;
        }
    }
}

/// Logs that a part is refused from now on.
pub(crate) fn log_refusal(refused: &RefusedPart, crashes: u32, source: RefusalSource) {
    let RefusedPart { part, organisation } = refused;
    let organisation = organisation.map(|digest| digest.to_string());
    tracing::warn!(%part, organisation, crashes, %source,
        "requests with this part of a prompt, or with this whole content, are refused, since it crashes \
         upstreams");
}

/// Logs that a part is no longer refused.
pub(crate) fn log_withdrawal(refused: &RefusedPart) {
    tracing::info!(part = %refused.part, "part of a prompt or whole request is no longer refused");
}

/// The reason of a refusal for the caller.
pub(crate) fn describe(refusal: &Refusal) -> String {
    match refusal {
        Refusal::Request { crashes } => {
            format!("upstreams have crashed {crashes} times while they ran this request")
        }
        Refusal::Part { refused, crashes, source, age } => format!(
            "upstreams have crashed {crashes} times while they ran requests with part {:x} of \
             their prompts (source {source}, known for {} ms)",
            refused.part.0,
            age.as_millis()
        ),
    }
}
