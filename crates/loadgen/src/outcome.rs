use std::time::Duration;

use types::Verdict;

/// What a caller observes of a completion.
#[derive(Clone, Debug, Default)]
pub struct CompletionOutcome {
    /// HTTP status of the response; 0 if none arrived.
    pub status: u16,
    /// Verdict in the response, if it had one.
    pub verdict: Option<Verdict>,
    /// Generated text that arrived.
    pub text: String,
    /// Number of tokens that arrived.
    pub tokens: u32,
    /// Time from sending the request to the first token; zero if none arrived.
    pub first_token: Duration,
    /// Times between the arrivals of consecutive tokens.
    pub intervals: Vec<Duration>,
    /// Time from sending the request to the end of the response or to the error.
    pub total: Duration,
    /// Number of attempts that the router made, as the response reports it.
    pub attempts: u32,
    /// Error that the response reports, or the error of the call.
    pub error: Option<String>,
}

impl CompletionOutcome {
    /// Whether the response arrived without an error and its text equals `expected`.
    pub fn is_correct(&self, expected: &str) -> bool {
        self.status == 200 && self.error.is_none() && self.text == expected
    }
}

/// What a caller observes of a filing.
#[derive(Clone, Debug, Default)]
pub struct FilingOutcome {
    /// HTTP status of the response; 0 if none arrived.
    pub status: u16,
    /// Verdict in the response, if it had one.
    pub verdict: Option<Verdict>,
    /// Body of the response.
    pub body: String,
    /// Whether the response was marked as a replay.
    pub replayed: bool,
    /// Time from sending the request to the end of the response or to the error.
    pub total: Duration,
    /// Error of the call.
    pub error: Option<String>,
}
