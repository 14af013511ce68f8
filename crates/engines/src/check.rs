use std::{error::Error, fmt, sync::Arc};

use types::{Stage, check_coverage};

use crate::api::{Generate, Receipt, Token};

/// Checks the tokens of one attempt. Each token must belong to the session and the attempt and have
/// the next index, and its receipts must prove that every layer ran exactly once for each position,
/// in order, on the engines of the route.
pub struct ReceiptCheck {
    session: Arc<str>,
    route: Arc<[Stage]>,
    version: Arc<str>,
    attempt: u32,
    layer_count: u32,
    resume: bool,
    next_index: u32,
    next_position: Option<u32>,
}

/// Why a token did not pass [`ReceiptCheck`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LayerViolation(pub String);

impl fmt::Display for LayerViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "layer check failed: {}", self.0)
    }
}

impl Error for LayerViolation {}

impl ReceiptCheck {
    /// Creates the check for the attempt that `request` starts, on a model of `layer_count` layers.
    pub fn new(request: &Generate, layer_count: u32) -> ReceiptCheck {
        ReceiptCheck {
            session: request.session.clone(),
            route: request.route.clone(),
            version: request.version.clone(),
            attempt: request.attempt,
            layer_count,
            resume: request.resume,
            next_index: request.given.len() as u32,
            next_position: None,
        }
    }

    /// Checks the next token of the attempt. A token that fails leaves the expected index and
    /// position as they were.
    pub fn check(&mut self, token: &Token) -> Result<(), LayerViolation> {
        self.verify_token(token).map_err(LayerViolation)?;
        self.next_index += 1;
        self.next_position = token.receipts.first().map(|receipt| receipt.end);
        Ok(())
    }

    fn verify_token(&self, token: &Token) -> Result<(), String> {
        if token.session != self.session {
            return Err(format!("token of session {} instead of {}", token.session, self.session));
        }
        if token.attempt != self.attempt {
            return Err(format!("token of attempt {} instead of {}", token.attempt, self.attempt));
        }
        if token.index != self.next_index {
            return Err(format!("token index {} instead of {}", token.index, self.next_index));
        }
        check_coverage(token.receipts.iter().map(|receipt| receipt.layers), self.layer_count)?;
        if token.receipts.len() != self.route.len() {
            return Err(format!(
                "{} receipts for {} stages",
                token.receipts.len(),
                self.route.len()
            ));
        }
        let span = (token.receipts[0].first, token.receipts[0].end);
        self.verify_positions(span)?;
        let stages = self.route.iter().zip(&token.receipts);
        stages.into_iter().try_for_each(|(stage, receipt)| self.verify_stage(stage, receipt, span))
    }

    /// Checks the positions that a step ran. The first step of an attempt runs every position up to
    /// now, or a single one if the attempt resumes from the KV cache. Each later step runs only the
    /// position that follows.
    fn verify_positions(&self, (first, end): (u32, u32)) -> Result<(), String> {
        let expected = match (self.next_position, self.resume) {
            (Some(next), _) => {
                let after = next.checked_add(1).ok_or("no position follows the largest one")?;
                (next, after)
            }
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
                "engine {} ran layers {}, but the route has engine {} for layers {}",
                receipt.engine, receipt.layers, stage.engine, stage.layers
            ));
        }
        if receipt.version != self.version {
            return Err(format!(
                "receipt of version {} instead of {}",
                receipt.version, self.version
            ));
        }
        if receipt.attempt != self.attempt {
            return Err(format!(
                "receipt of attempt {} instead of the current one",
                receipt.attempt
            ));
        }
        if (receipt.first, receipt.end) != span {
            return Err(format!(
                "engine {} ran other positions than the first stage",
                receipt.engine
            ));
        }
        Ok(())
    }
}
