use std::{error::Error, fmt};

use types::Verdict;

/// Why a call to a peer failed.
#[derive(Debug)]
pub enum CallError {
    /// The request was not sent: the connection could not be opened or closed before, the request
    /// could not be encoded, or the sender was no longer allowed to send it.
    Connect(String),
    /// Nothing listens at the peer's address.
    Refused,
    /// The connection was not opened in time.
    ConnectTimeout,
    /// The connection failed after the request was handed to it.
    Broken(String),
    /// The peer made no progress in time.
    Timeout,
    /// The peer answered with an unexpected status.
    Status(u16, String),
    /// The response could not be decoded or exceeds its size limit.
    Malformed(String),
}

impl CallError {
    /// What the error says about whether the peer ran the request.
    pub fn verdict(&self) -> Verdict {
        match self {
            CallError::Connect(_) | CallError::Refused | CallError::ConnectTimeout => {
                Verdict::NotRun
            }
            CallError::Status(..) => Verdict::Ran,
            CallError::Broken(_) | CallError::Timeout | CallError::Malformed(_) => {
                Verdict::MayHaveRun
            }
        }
    }

    /// Whether the call failed before any byte of the request was sent, in most cases because the
    /// connection could not be opened.
    pub fn is_connect_failure(&self) -> bool {
        matches!(self, CallError::Connect(_) | CallError::Refused | CallError::ConnectTimeout)
    }

    /// Whether the peer could not be reached or stopped responding, so that it may be down. Also
    /// `true` for a request that could not be encoded or was no longer allowed, since these are
    /// [`CallError::Connect`] as well.
    pub fn is_unreachable(&self) -> bool {
        !matches!(self, CallError::Status(..) | CallError::Malformed(_))
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Connect(cause) => write!(f, "connection failed: {cause}"),
            CallError::Refused => f.write_str("connection refused"),
            CallError::ConnectTimeout => f.write_str("connection timed out"),
            CallError::Broken(cause) => write!(f, "connection broke: {cause}"),
            CallError::Timeout => f.write_str("peer made no progress in time"),
            CallError::Status(status, body) => write!(f, "peer answered {status}: {body}"),
            CallError::Malformed(cause) => write!(f, "malformed response: {cause}"),
        }
    }
}

impl Error for CallError {}
