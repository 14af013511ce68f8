//! Estimates the load that other nodes have added since their last messages.

use std::{collections::HashMap, time::Duration};

use clock::Timestamp;
use types::UpstreamName;

use crate::Load;

/// Least time between two messages of a node over which growth is measured. Over a shorter time, as
/// after a delayed datagram, a single request would count as fast growth.
const MIN_SPAN: Duration = Duration::from_millis(100);
/// Largest estimate, as a share of the load that the other nodes have reported. With it, an engine
/// that is less than half full by their reports is never taken for full.
const MAX_SHARE: f64 = 0.5;

/// The growth of the load on each upstream, summed over the messages of all nodes. It is kept as a
/// line over time, so that an estimate takes the same time for any number of nodes and counts each
/// message by its own age.
#[derive(Default)]
pub(crate) struct GrowthTable {
    lines: HashMap<UpstreamName, Line>,
}

/// Sums over the messages that name an upstream.
#[derive(Default)]
struct Line {
    /// Number of loads that are part of the sums.
    terms: u32,
    /// Growth per second.
    slope: Amount,
    /// Growth per second times the time of the message.
    offset: Amount,
}

/// A load, or a rate of loads, that may be negative.
#[derive(Clone, Copy, Default)]
struct Amount {
    requests: f64,
    entered: f64,
    token_layers: f64,
}

impl Amount {
    fn add(&mut self, load: Load, factor: f64) {
        self.requests += f64::from(load.requests) * factor;
        self.entered += f64::from(load.entered) * factor;
        self.token_layers += load.token_layers * factor;
    }
}

/// How the load of one message has changed since the message before it.
pub(crate) struct Growth {
    /// Load according to the message before.
    before: Vec<(UpstreamName, Load)>,
    /// Time of the later message, in seconds from the clock's origin.
    moment: f64,
    /// Reciprocal of the time between the two messages, in seconds.
    per_second: f64,
}

impl Growth {
    /// The change from `before`, received at `earlier`, to a load that is received now.
    pub(crate) fn new(
        before: Vec<(UpstreamName, Load)>,
        earlier: Timestamp,
        now: Timestamp,
    ) -> Growth {
        let span = now.since(earlier).max(MIN_SPAN);
        Growth { before, moment: seconds(now), per_second: span.as_secs_f64().recip() }
    }
}

impl GrowthTable {
    /// Adds the change to `after` to the sums.
    pub(crate) fn add(&mut self, growth: &Growth, after: &[(UpstreamName, Load)]) {
        self.add_terms(after, growth.per_second, growth.moment);
        self.add_terms(&growth.before, -growth.per_second, growth.moment);
    }

    /// Removes a change that was added from the sums.
    pub(crate) fn remove(&mut self, growth: &Growth, after: &[(UpstreamName, Load)]) {
        self.remove_terms(after, growth.per_second, growth.moment);
        self.remove_terms(&growth.before, -growth.per_second, growth.moment);
    }

    /// The load that other nodes are estimated to have added to an upstream since the messages that
    /// give `known`. It is never negative, since a request that may have ended is not sure to have
    /// freed its memory.
    pub(crate) fn estimate(&self, upstream: &str, known: Load, now: Timestamp) -> Load {
        let Some(Line { slope, offset, .. }) = self.lines.get(upstream) else {
            return Load::default();
        };
        let now = seconds(now);
        let added = |slope: f64, offset: f64, known: f64| {
            (slope * now - offset).max(0.0).min(known * MAX_SHARE)
        };
        let count =
            |slope, offset, known: u32| added(slope, offset, f64::from(known)).round() as u32;
        Load {
            requests: count(slope.requests, offset.requests, known.requests),
            entered: count(slope.entered, offset.entered, known.entered),
            token_layers: added(slope.token_layers, offset.token_layers, known.token_layers),
        }
    }

    fn add_terms(&mut self, loads: &[(UpstreamName, Load)], per_second: f64, moment: f64) {
        for (upstream, load) in loads {
            let line = self.lines.entry(upstream.clone()).or_default();
            line.terms += 1;
            line.slope.add(*load, per_second);
            line.offset.add(*load, per_second * moment);
        }
    }

    /// A line without terms is dropped, and with it the rounding errors of its sums.
    fn remove_terms(&mut self, loads: &[(UpstreamName, Load)], per_second: f64, moment: f64) {
        for (upstream, load) in loads {
            let Some(line) = self.lines.get_mut(upstream) else { continue };
            line.terms -= 1;
            line.slope.add(*load, -per_second);
            line.offset.add(*load, -per_second * moment);
            if line.terms == 0 {
                self.lines.remove(upstream);
            }
        }
    }
}

fn seconds(time: Timestamp) -> f64 {
    time.since(Timestamp::default()).as_secs_f64()
}
