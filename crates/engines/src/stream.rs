use std::{error::Error, fmt, time::Duration};

use futures_util::future::LocalBoxFuture;
use transport::CallError;
use types::UpstreamName;

use crate::{
    LayerViolation, ReceiptCheck,
    api::{Event, StreamFault, Token},
};

/// A source of the events of one attempt.
pub trait EventSource {
    /// Waits at most `limit` for the next event; `None` means that the stream has ended.
    fn next(&mut self, limit: Duration) -> LocalBoxFuture<'_, Result<Option<Event>, CallError>>;
}

/// The token stream of one attempt. Each token is returned only if it passes [`ReceiptCheck`].
pub struct TokenStream {
    events: Box<dyn EventSource>,
    check: ReceiptCheck,
}

/// An item of a token stream.
#[derive(Debug)]
pub enum StreamItem {
    /// A token that has passed [`ReceiptCheck`].
    Token(Token),
    /// The stream is complete: every token was received.
    End,
    /// The attempt was cancelled at the end of a step, and the session can be resumed.
    Paused,
}

/// Why a token stream failed before [`StreamItem::End`] or [`StreamItem::Paused`].
#[derive(Debug)]
pub enum StreamError {
    /// The call to the first stage's engine failed.
    Call(CallError),
    /// An engine reported that the attempt failed.
    Fault {
        /// Engine that caused the failure, if known.
        engine: Option<UpstreamName>,
        /// Reason of the failure.
        fault: StreamFault,
    },
    /// A token did not pass [`ReceiptCheck`].
    Layers(LayerViolation),
}

impl TokenStream {
    /// Creates the token stream of an attempt from its events and its check.
    pub fn new(events: Box<dyn EventSource>, check: ReceiptCheck) -> TokenStream {
        TokenStream { events, check }
    }

    /// Waits at most `limit` for the next item.
    pub async fn next(&mut self, limit: Duration) -> Result<StreamItem, StreamError> {
        let event = self.events.next(limit).await.map_err(StreamError::Call)?;
        let Some(event) = event else {
            let error = CallError::Broken("stream ended without an end event".into());
            return Err(StreamError::Call(error));
        };
        match event {
            Event::Token(token) => {
                self.check.check(&token).map_err(StreamError::Layers)?;
                Ok(StreamItem::Token(token))
            }
            Event::End => Ok(StreamItem::End),
            Event::Paused => Ok(StreamItem::Paused),
            Event::Failed { engine, reason } => Err(StreamError::Fault { engine, fault: reason }),
        }
    }
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StreamError::Call(error) => error.fmt(f),
            StreamError::Fault { engine: Some(engine), fault } => write!(f, "{fault} at {engine}"),
            StreamError::Fault { engine: None, fault } => write!(f, "{fault}"),
            StreamError::Layers(violation) => violation.fmt(f),
        }
    }
}

impl Error for StreamError {}
