use std::sync::Arc;

use base64::{Engine, prelude::BASE64_STANDARD};
use serde::{Deserialize, Serialize};
use types::{Digest, NodeName, Organisation};

/// Identifies a non-idempotent request by its caller and its idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimKey {
    /// Organisation of the caller. Two organisations may use the same idempotency key for different
    /// requests.
    pub organisation: Organisation,
    /// Idempotency key that the caller chose.
    pub key: Arc<str>,
}

impl ClaimKey {
    /// Prefix of the keys of all claim records in the key-value service.
    pub const PREFIX: &str = "claims/";

    /// Key of the claim record in the key-value service.
    pub fn store_key(&self) -> String {
        format!("{}{}/{}", Self::PREFIX, self.organisation, self.key)
    }
}

/// Unique identifier of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// Node that holds the claim.
    pub node: NodeName,
    /// Incarnation of the node, which differs for each process.
    pub incarnation: u64,
    /// Number of the claim, unique within the process.
    pub number: u64,
}

/// Record of a claim, as stored in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Identifier of the claim.
    pub id: ClaimId,
    /// Digest of the request's content. It shows whether a later request with the same idempotency
    /// key is the same request.
    pub digest: Digest,
    /// Time of the last change to the record, in milliseconds since the Unix epoch.
    pub at_millis: u64,
    /// State of the request.
    pub state: ClaimState,
}

/// State of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The claim is unfinished. The holder may have sent the request, or may still send it.
    Claimed,
    /// The request ran with this response.
    Done(StoredResponse),
    /// The request was sent and its outcome is unknown.
    Unknown,
}

/// Response to a request that ran, stored to be replayed when the request is repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type, if there is one.
    pub content_type: Option<String>,
    /// Body, or `None` if it was too large to be stored.
    #[serde(with = "base64_body")]
    pub body: Option<Vec<u8>>,
}

impl StoredResponse {
    /// Largest body that is stored, in bytes.
    pub const MAX_STORED_BODY_BYTES: usize = 256 * 1024;

    /// Removes a body that is too large to be stored.
    pub(crate) fn bounded(mut self) -> StoredResponse {
        self.body = self.body.filter(|body| body.len() <= Self::MAX_STORED_BODY_BYTES);
        self
    }
}

impl ClaimRecord {
    pub(crate) fn encode(&self) -> String {
        // Serialization fails only for maps whose keys are not strings. A record has no maps.
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
