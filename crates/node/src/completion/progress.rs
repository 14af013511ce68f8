//! Progress of a completion: checks its tokens and measures the time between them.

use std::{sync::Arc, time::Duration};

use clock::Timestamp;
use engines::api::Token;
use types::UpstreamName;

use super::CompletionRun;
use crate::metrics::Interruption;

/// The newest interval enters the mean interval with a weight of one divided by this number.
const INTERVAL_WEIGHT: u32 = 8;

/// Progress of a completion over all its attempts so far.
pub(crate) struct Progress {
    /// Identifier of the session at the engines. It is unique in the fleet, unlike the request
    /// identifier, which a caller may use twice.
    pub(super) session: Arc<str>,
    /// Attempts that have failed.
    pub(crate) failures: u32,
    /// Failed attempts for which no probe or fault report identified the failed engine.
    pub(super) unexplained: u32,
    /// Since when the node has been waiting for the next token: the start of the attempt, or the
    /// time when the caller had accepted the last token.
    pub(super) wait_start: Timestamp,
    /// Exponentially weighted mean of the times between tokens of an attempt; zero at first.
    pub(super) interval: Duration,
    /// Number of positions of the prompt, as the first token showed it.
    pub(super) prompt_positions: Option<u32>,
    /// Incarnations of the route's engines when the attempt started, as far as they were known.
    pub(super) incarnations: Vec<(UpstreamName, u64)>,
    /// Why the stream is interrupted. Cleared by its next token.
    pub(super) interruption: Option<Interruption>,
    /// When the running attempt started.
    attempt_start: Timestamp,
    /// How long the last failed attempt had run.
    pub(super) run_time: Duration,
    /// When the last token of the request arrived, of whichever attempt.
    last_token: Option<Timestamp>,
    /// Number of tokens of the running attempt.
    attempt_tokens: u32,
    /// When the first token of the running attempt arrived.
    first_token: Timestamp,
}

impl Progress {
    pub(crate) fn new(session: Arc<str>, now: Timestamp) -> Progress {
        Progress {
            session,
            failures: 0,
            unexplained: 0,
            wait_start: now,
            interval: Duration::ZERO,
            prompt_positions: None,
            incarnations: Vec::new(),
            interruption: None,
            attempt_start: now,
            run_time: Duration::ZERO,
            last_token: None,
            attempt_tokens: 0,
            first_token: now,
        }
    }

    pub(super) fn start_attempt(&mut self, now: Timestamp) {
        self.wait_start = now;
        self.attempt_start = now;
        self.attempt_tokens = 0;
    }

    /// Counts the running attempt as failed.
    pub(super) fn record_failure(&mut self, now: Timestamp) {
        self.failures += 1;
        self.run_time = now.since(self.attempt_start);
        self.interruption = Some(Interruption::Failure);
    }

    /// Checks that a token is the one after the first `given` tokens, and that its position agrees
    /// with the prompt length that earlier tokens have shown.
    pub(super) fn check(&mut self, token: &Token, given: u32) -> Result<(), String> {
        if token.session != self.session || token.index != given {
            return Err(format!("token {} of session {}", token.index, token.session));
        }
        let end = token.receipts.first().map_or(0, |receipt| receipt.end);
        let prompt_positions = end.checked_sub(given).filter(|positions| *positions > 0);
        if prompt_positions.is_none()
            || self.prompt_positions.is_some() && self.prompt_positions != prompt_positions
        {
            return Err(format!(
                "token {given} at position {end}, prompt {:?}",
                self.prompt_positions
            ));
        }
        self.prompt_positions = prompt_positions;
        Ok(())
    }

    /// Mean time between the tokens of the running attempt; `None` if it has fewer than two.
    pub(crate) fn mean_interval(&self) -> Option<Duration> {
        let intervals = self.attempt_tokens.checked_sub(1).filter(|intervals| *intervals > 0)?;
        Some(self.wait_start.since(self.first_token) / intervals)
    }

    /// Number of positions that every stage has run once it has generated `given` tokens.
    pub(super) fn positions(&self, given: u32) -> Option<u32> {
        Some(self.prompt_positions? + given.checked_sub(1)?)
    }
}

impl CompletionRun {
    /// Counts a token in the metrics and in the mean interval.
    pub(super) fn observe_token(&mut self, now: Timestamp) {
        let caller = &self.request.caller;
        let metrics = &self.node.metrics;
        let labels = [metrics.organisations.label(&caller.organisation), caller.class.into()];
        let progress = &mut self.progress;
        match progress.last_token {
            None => {
                let since = now.since(self.arrived).as_secs_f64();
                metrics.first_token.with_label_values(&labels).observe(since);
            }
            Some(previous) => {
                let since = now.since(previous).as_secs_f64();
                metrics.token_interval.with_label_values(&labels).observe(since);
                if let Some(interruption) = progress.interruption {
                    metrics
                        .stream_gap
                        .with_label_values::<&str>(&[interruption.into()])
                        .observe(since);
                }
            }
        }
        progress.interruption = None;
        if progress.attempt_tokens > 0 {
            let newest = now.since(progress.wait_start);
            progress.interval = if progress.interval.is_zero() {
                newest
            } else {
                (progress.interval * (INTERVAL_WEIGHT - 1) + newest) / INTERVAL_WEIGHT
            };
        }
        if progress.attempt_tokens == 0 {
            progress.first_token = now;
        }
        progress.attempt_tokens += 1;
        progress.wait_start = now;
        progress.last_token = Some(now);
    }
}
