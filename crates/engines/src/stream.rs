use std::{error::Error, fmt, time::Duration};

use futures_util::future::LocalBoxFuture;
use transport::CallError;
use types::UpstreamName;

use crate::{
    LayerViolation, ReceiptCheck,
    api::{Event, StreamFault, Token},
};

/// Yields the events of one attempt.
pub trait EventSource {
    /// Waits at most `limit` for the next event; `None` is the end of the stream.
    fn next(&mut self, limit: Duration) -> LocalBoxFuture<'_, Result<Option<Event>, CallError>>;
}

/// The token stream of one attempt. Every token is checked before it is returned.
pub struct TokenStream {
    events: Box<dyn EventSource>,
    check: ReceiptCheck,
}

/// Part of a token stream.
#[derive(Debug)]
pub enum StreamItem {
    /// A checked token.
    Token(Token),
    /// The answer is whole.
    End,
    /// The attempt was paused at the end of a step.
    Paused,
}

/// Why a token stream ended before its end event.
#[derive(Debug)]
pub enum StreamError {
    /// The connection to the first stage failed.
    Call(CallError),
    /// An engine reported that the attempt failed.
    Fault {
        /// Engine that is to blame, if known.
        engine: Option<UpstreamName>,
        /// What happened.
        fault: StreamFault,
    },
    /// The receipts of a token do not prove that each layer ran once.
    Layers(LayerViolation),
}

impl TokenStream {
    /// Creates a stream over the events of an attempt.
    pub fn new(events: Box<dyn EventSource>, check: ReceiptCheck) -> TokenStream {
        TokenStream { events, check }
    }

    /// Waits at most `limit` for the next part of the answer.
    pub async fn next(&mut self, limit: Duration) -> Result<StreamItem, StreamError> {
        let event = self.events.next(limit).await.map_err(StreamError::Call)?;
        let Some(event) = event else {
            let broken = CallError::Broken("stream ended without an end event".into());
            return Err(StreamError::Call(broken));
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
