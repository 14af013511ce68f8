use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantNames};

/// What is known about whether a request ran on an upstream.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
    VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// No byte of the request has reached an upstream, and none will.
    NotRun,
    /// The request reached an upstream or may still reach one, and its outcome is unknown.
    MayHaveRun,
    /// The upstream answered the request, be it with success or with an error status.
    Ran,
}

impl Verdict {
    /// Whether sending the request again cannot make it run twice.
    pub fn allows_retry(self) -> bool {
        self == Verdict::NotRun
    }
}
