use std::sync::Arc;

use base64::{Engine, prelude::BASE64_STANDARD};
use serde::{Deserialize, Serialize};
use types::{Digest, NodeName, Organisation};

/// Names a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimKey {
    /// Organisation of the caller. Keys of different organisations are independent.
    pub organisation: Organisation,
    /// Idempotency key that the caller chose.
    pub key: Arc<str>,
}

impl ClaimKey {
    /// Prefix of all claims in the key-value service.
    pub const PREFIX: &str = "claims/";

    /// Key of the record in the key-value service.
    pub fn store_key(&self) -> String {
        format!("{}{}/{}", Self::PREFIX, self.organisation, self.key)
    }
}

/// Names one claim; no two claims have the same.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// Node that made the claim.
    pub node: NodeName,
    /// Incarnation of the node's process.
    pub incarnation: u64,
    /// Number of the claim within the process.
    pub number: u64,
}

/// The record of a claim in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The claim.
    pub id: ClaimId,
    /// Digest of the request, to recognise another request under the same key.
    pub digest: Digest,
    /// Time of the last change, in milliseconds since the Unix epoch.
    pub at_millis: u64,
    /// What is known about the request.
    pub state: ClaimState,
}

/// What is known about a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The holder may send the request at any time.
    Claimed,
    /// The request ran and this is its answer.
    Done(StoredResponse),
    /// The request was sent and its outcome is unknown.
    Unknown,
}

/// Answer of a request that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type, if there is one.
    pub content_type: Option<String>,
    /// Body, or `None` if it was too large to be kept.
    #[serde(with = "base64_body")]
    pub body: Option<Vec<u8>>,
}

impl StoredResponse {
    /// Largest body that is kept for replays, in bytes.
    pub const MAX_BODY_BYTES: usize = 256 * 1024;

    /// The answer as it is kept: without its body if that is too large.
    pub(crate) fn bounded(mut self) -> StoredResponse {
        self.body = self.body.filter(|body| body.len() <= Self::MAX_BODY_BYTES);
        self
    }
}

impl ClaimRecord {
    pub(crate) fn encode(&self) -> String {
        // Serialization fails only for maps with keys that are not strings, which it has not.
        serde_json::to_string(self).expect("record is serializable")
    }

    pub(crate) fn decode(text: &str) -> Option<ClaimRecord> {
        serde_json::from_str(text).ok()
    }
}

mod base64_body {
    use serde::{Deserializer, Serializer, de::Error};

    use super::{BASE64_STANDARD, Deserialize, Engine};

    pub(super) fn serialize<S: Serializer>(
        body: &Option<Vec<u8>>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        match body {
            Some(body) => serializer.serialize_some(&BASE64_STANDARD.encode(body)),
            None => serializer.serialize_none(),
        }
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Vec<u8>>, D::Error> {
        let text = Option::<String>::deserialize(deserializer)?;
        text.map(|text| BASE64_STANDARD.decode(text).map_err(D::Error::custom)).transpose()
    }
}
