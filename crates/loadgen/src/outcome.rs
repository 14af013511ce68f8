use std::time::Duration;

use types::Verdict;

/// What a caller sees of a completion.
#[derive(Clone, Debug, Default)]
pub struct CompletionOutcome {
    /// Status of the response; zero if there was none.
    pub status: u16,
    /// Verdict that the caller was given.
    pub verdict: Option<Verdict>,
    /// Text that arrived.
    pub text: String,
    /// Number of tokens that arrived.
    pub tokens: u32,
    /// Time to the first token.
    pub first_token: Duration,
    /// Times between tokens.
    pub intervals: Vec<Duration>,
    /// Time to the end of the answer.
    pub total: Duration,
    /// Attempts that the router needed.
    pub attempts: u32,
    /// Error that the caller was given, or that its connection had.
    pub error: Option<String>,
}

impl CompletionOutcome {
    /// Whether the answer is whole and equals `expected`.
    pub fn is_correct(&self, expected: &str) -> bool {
        self.status == 200 && self.error.is_none() && self.text == expected
    }
}

/// What a caller sees of a filing.
#[derive(Clone, Debug, Default)]
pub struct FilingOutcome {
    /// Status of the response; zero if there was none.
    pub status: u16,
    /// Verdict that the caller was given.
    pub verdict: Option<Verdict>,
    /// Body of the response.
    pub body: String,
    /// Whether the response was marked as a replay.
    pub replayed: bool,
    /// Time to the end of the answer.
    pub total: Duration,
    /// Error of the caller's connection.
    pub error: Option<String>,
}
