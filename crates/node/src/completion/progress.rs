use std::{sync::Arc, time::Duration};

use clock::Timestamp;
use engines::api::Token;
use types::UpstreamName;

use super::CompletionRun;
use crate::metrics::Gap;

/// Share of the newest interval in the mean interval, as a divisor.
const INTERVAL_WEIGHT: u32 = 8;

/// What the attempts of a completion have shown so far.
pub(crate) struct Progress {
    /// Identifier of the session at the engines. It is unique in the fleet, unlike the request
    /// identifier, which a caller may use twice.
    pub(super) session: Arc<str>,
    /// Attempts that have failed.
    pub(crate) failures: u32,
    /// Failed attempts for which no probe or report named an engine.
    pub(super) unexplained: u32,
    /// Time of the last token, or of the start of the attempt.
    pub(super) last: Timestamp,
    /// Mean time between the tokens of an attempt.
    pub(super) interval: Duration,
    /// Positions of the prompt, known from the first token.
    pub(super) prompt: Option<u32>,
    /// Incarnations of the engines of the route when the attempt started, as far as known.
    pub(super) incarnations: Vec<(UpstreamName, u64)>,
    /// Why the stream is interrupted, until its next token.
    pub(super) gap: Option<Gap>,
    /// Time of the last token that the caller got.
    last_token: Option<Timestamp>,
    /// Tokens in the running attempt.
    fresh: u32,
    /// Time of the running attempt's first token.
    first: Timestamp,
}

impl Progress {
    pub(crate) fn new(session: Arc<str>, now: Timestamp) -> Progress {
        Progress {
            session,
            failures: 0,
            unexplained: 0,
            last: now,
            interval: Duration::ZERO,
            prompt: None,
            incarnations: Vec::new(),
            gap: None,
            last_token: None,
            fresh: 0,
            first: now,
        }
    }

    pub(super) fn start_attempt(&mut self, now: Timestamp) {
        self.last = now;
        self.fresh = 0;
    }

    /// Checks that a token is the one after `given` tokens and that its position agrees with the
    /// length of the prompt that earlier tokens have shown.
    pub(super) fn check(&mut self, token: &Token, given: u32) -> Result<(), String> {
        if token.session != self.session || token.index != given {
            return Err(format!("token {} of session {}", token.index, token.session));
        }
        let end = token.receipts.first().map_or(0, |receipt| receipt.end);
        let prompt = end.checked_sub(given).filter(|prompt| *prompt > 0);
        if prompt.is_none() || self.prompt.is_some() && self.prompt != prompt {
            return Err(format!("token {given} at position {end}, prompt {:?}", self.prompt));
        }
        self.prompt = prompt;
        Ok(())
    }

    /// Mean time between the tokens of the running attempt, if it has several.
    pub(crate) fn mean_interval(&self) -> Option<Duration> {
        let intervals = self.fresh.checked_sub(1).filter(|intervals| *intervals > 0)?;
        Some(self.last.since(self.first) / intervals)
    }

    /// Number of positions that every stage has run after `given` tokens.
    pub(super) fn positions(&self, given: u32) -> Option<u32> {
        Some(self.prompt? + given.checked_sub(1)?)
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
            Some(last) => {
                let since = now.since(last).as_secs_f64();
                metrics.token_interval.with_label_values(&labels).observe(since);
                if let Some(gap) = progress.gap {
                    metrics.stream_gap.with_label_values::<&str>(&[gap.into()]).observe(since);
                }
            }
        }
        progress.gap = None;
        if progress.fresh > 0 {
            let newest = now.since(progress.last);
            progress.interval = if progress.interval.is_zero() {
                newest
            } else {
                (progress.interval * (INTERVAL_WEIGHT - 1) + newest) / INTERVAL_WEIGHT
            };
        }
        if progress.fresh == 0 {
            progress.first = now;
        }
        progress.fresh += 1;
        progress.last = now;
        progress.last_token = Some(now);
    }
}
