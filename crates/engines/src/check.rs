use std::{error::Error, fmt, sync::Arc};

use types::{Stage, check_coverage};

use crate::api::{Generate, Receipt, Token};

/// Checks the tokens of one attempt: each belongs to the session and attempt and is the next one,
/// and its receipts prove that every layer ran exactly once for each position, in order, on the
/// engines of the route.
pub struct ReceiptCheck {
    session: Arc<str>,
    route: Arc<[Stage]>,
    version: Arc<str>,
    attempt: u32,
    layers: u32,
    resume: bool,
    next_index: u32,
    next_position: Option<u32>,
}

/// A token whose receipts do not prove that every layer ran exactly once, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LayerViolation(pub String);

impl fmt::Display for LayerViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "layer check failed: {}", self.0)
    }
}

impl Error for LayerViolation {}

impl ReceiptCheck {
    /// Creates the check of the attempt that `request` starts on a model with `layers` layers.
    pub fn new(request: &Generate, layers: u32) -> ReceiptCheck {
        ReceiptCheck {
            session: request.session.clone(),
            route: request.route.clone(),
            version: request.version.clone(),
            attempt: request.attempt,
            layers,
            resume: request.resume,
            next_index: request.given.len() as u32,
            next_position: None,
        }
    }

    /// Checks the next token of the attempt.
    pub fn check(&mut self, token: &Token) -> Result<(), LayerViolation> {
        self.verify(token).map_err(LayerViolation)?;
        self.next_index += 1;
        self.next_position = token.receipts.first().map(|receipt| receipt.end);
        Ok(())
    }

    fn verify(&self, token: &Token) -> Result<(), String> {
        if token.session != self.session {
            return Err(format!("session {} instead of {}", token.session, self.session));
        }
        if token.attempt != self.attempt {
            return Err(format!("attempt {} instead of {}", token.attempt, self.attempt));
        }
        if token.index != self.next_index {
            return Err(format!("token {} instead of {}", token.index, self.next_index));
        }
        check_coverage(token.receipts.iter().map(|receipt| receipt.layers), self.layers)?;
        if token.receipts.len() != self.route.len() {
            return Err(format!(
                "{} receipts for {} stages",
                token.receipts.len(),
                self.route.len()
            ));
        }
        let span = (token.receipts[0].first, token.receipts[0].end);
        self.verify_span(span)?;
        let stages = self.route.iter().zip(&token.receipts);
        stages.into_iter().try_for_each(|(stage, receipt)| self.verify_stage(stage, receipt, span))
    }

    /// The first step of an attempt covers every position so far, or on resume only the next one;
    /// each later step covers exactly the position after it.
    fn verify_span(&self, (first, end): (u32, u32)) -> Result<(), String> {
        let expected = match (self.next_position, self.resume) {
            (Some(next), _) => (next, next + 1),
            (None, true) => (end.saturating_sub(1), end),
            (None, false) => (0, end),
        };
        if (first, end) != expected || end == 0 {
            return Err(format!(
                "positions {first}..{end} instead of {}..{}",
                expected.0, expected.1
            ));
        }
        Ok(())
    }

    fn verify_stage(
        &self,
        stage: &Stage,
        receipt: &Receipt,
        span: (u32, u32),
    ) -> Result<(), String> {
        if receipt.engine != stage.engine || receipt.layers != stage.layers {
            return Err(format!(
                "engine {} ran {} instead of {} running {}",
                receipt.engine, receipt.layers, stage.engine, stage.layers
            ));
        }
        if receipt.version != self.version {
            return Err(format!("version {} instead of {}", receipt.version, self.version));
        }
        if receipt.attempt != self.attempt {
            return Err(format!("receipt of attempt {}", receipt.attempt));
        }
        if (receipt.first, receipt.end) != span {
            return Err(format!("stages ran different positions at engine {}", receipt.engine));
        }
        Ok(())
    }
}
