use std::{collections::HashMap, time::Duration};

use clock::Timestamp;
use types::UpstreamName;

/// Length of the intervals for each of which a node may send a number of requests.
const INTERVAL: Duration = Duration::from_secs(1);
/// Share of a rate that the nodes use. The rest allows for requests that arrive later than they were
/// counted.
const USABLE_SHARE: f64 = 0.9;
/// Time after which a limit that nobody has named again has ended.
const LIFETIME: Duration = Duration::from_secs(10);
/// Time after which the other nodes are told again of a limit that is still named.
const TELL_INTERVAL: Duration = Duration::from_secs(2);
/// Relative change of a rate from which the other nodes are told at once.
const MIN_CHANGE: f64 = 0.02;

/// The rates that upstreams have named: the requests a second that each takes from all nodes together.
///
/// Each node uses its part of a rate. In a large fleet that is less than one request in an interval, so a
/// node may send one in some intervals only. In which ones depends on its rank, so that the nodes take
/// turns. What a node does not use is lost: if parts were saved up, all nodes could use theirs at the
/// same moment.
///
/// A limit belongs to one incarnation of an upstream. It ends when an answer to a request that was sent
/// after it was last named does not name it, or when it has not been named for some time.
#[derive(Debug, Default)]
pub struct RateLimitTable {
    limits: HashMap<UpstreamName, RateLimit>,
}

#[derive(Debug)]
struct RateLimit {
    incarnation: u64,
    /// Requests a second from all nodes together.
    rate: f64,
    /// When it was last named to this node or to one that has told this node.
    named_at: Timestamp,
    /// When this node has last told the others, or was told.
    told_at: Option<Timestamp>,
    /// Start of the current interval; `None` before the first one.
    interval: Option<Timestamp>,
    /// Fraction of a request that is left for the next interval.
    carried: f64,
    /// Requests that this node may still send in the current interval.
    left: u32,
}

/// A node among those that share a rate.
#[derive(Clone, Copy, Debug)]
pub struct NodeShare {
    /// Number of nodes, at least 1.
    pub nodes: usize,
    /// Position of the node in an order of the nodes that all of them know.
    pub rank: usize,
}

/// Who has heard an upstream name its rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RateSource {
    /// This node, in an answer.
    Answer,
    /// Another node.
    Node,
}

/// What a node has learned from a rate that it has heard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RateUpdate {
    /// Whether the limit is new or has changed.
    pub is_new: bool,
    /// Whether the other nodes are to be told.
    pub tell: bool,
}

impl RateLimitTable {
    /// Records that `incarnation` of an upstream names a rate, in requests a second.
    pub fn record_rate(
        &mut self,
        name: &UpstreamName,
        incarnation: u64,
        rate: f64,
        source: RateSource,
        now: Timestamp,
    ) -> RateUpdate {
        self.limits.retain(|_, limit| limit.is_in_force(now));
        let known = self.limits.get(name).map(|limit| limit.incarnation);
        if known.is_some_and(|known| known > incarnation) {
            return RateUpdate::default();
        }
        if known != Some(incarnation) {
            self.limits.insert(name.clone(), RateLimit::new(incarnation, rate, now));
        }
        let Some(limit) = self.limits.get_mut(name) else { return RateUpdate::default() };
        let has_changed = (limit.rate - rate).abs() > limit.rate * MIN_CHANGE;
        let is_new = known != Some(incarnation) || has_changed;
        limit.named_at = now;
        limit.rate = rate;
        let is_due = limit.told_at.is_none_or(|told| now.since(told) >= TELL_INTERVAL);
        let tell = source == RateSource::Answer && (is_new || is_due);
        if tell || source == RateSource::Node {
            limit.told_at = Some(now);
        }
        RateUpdate { is_new, tell }
    }

    /// Records that an answer to a request which was sent at `sent` named no rate. Returns whether that
    /// ends a limit.
    pub fn record_no_rate(
        &mut self,
        name: &UpstreamName,
        incarnation: u64,
        sent: Timestamp,
    ) -> bool {
        let has_ended = self
            .limits
            .get(name)
            .is_some_and(|limit| limit.incarnation == incarnation && limit.named_at < sent);
        if has_ended {
            self.limits.remove(name);
        }
        has_ended
    }

    /// The rate that an upstream takes from all nodes together, if it has named one.
    pub fn rate(&self, name: &str, incarnation: u64, now: Timestamp) -> Option<f64> {
        let limit = self.limits.get(name)?;
        (limit.incarnation == incarnation && limit.is_in_force(now)).then_some(limit.rate)
    }

    /// Whether this node may send a request to an upstream now.
    pub fn may_send(
        &mut self,
        name: &str,
        incarnation: u64,
        share: NodeShare,
        now: Timestamp,
    ) -> bool {
        let Some(limit) = self.limits.get_mut(name) else { return true };
        if limit.incarnation != incarnation || !limit.is_in_force(now) {
            return true;
        }
        limit.update_interval(share, now);
        limit.left > 0
    }

    /// Counts a request that is sent to an upstream.
    pub fn count_request(&mut self, name: &str) {
        if let Some(limit) = self.limits.get_mut(name) {
            limit.left = limit.left.saturating_sub(1);
        }
    }

    /// Whether no upstream has a limit, so that nothing else need be asked.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }
}

impl RateLimit {
    fn new(incarnation: u64, rate: f64, now: Timestamp) -> RateLimit {
        let (told_at, interval) = (None, None);
        RateLimit { incarnation, rate, named_at: now, told_at, interval, carried: 0.0, left: 0 }
    }

    fn is_in_force(&self, now: Timestamp) -> bool {
        now.since(self.named_at) < LIFETIME
    }

    /// Determines what this node may send, if an interval has begun since it last asked. What it might
    /// have sent in intervals in which it did not ask is lost.
    fn update_interval(&mut self, share: NodeShare, now: Timestamp) {
        let nodes = share.nodes.max(1) as f64;
        let Some(start) = self.interval else {
            self.interval = Some(now);
            self.carried = share.rank as f64 / nodes;
            self.begin_intervals(1, nodes);
            return;
        };
        let count = (now.since(start).as_secs_f64() / INTERVAL.as_secs_f64()) as u32;
        if count > 0 {
            self.interval = Some(start + INTERVAL * count);
            self.begin_intervals(count, nodes);
        }
    }

    /// Begins the last of `count` intervals that follow the current one.
    fn begin_intervals(&mut self, count: u32, nodes: f64) {
        let part = self.rate * USABLE_SHARE * INTERVAL.as_secs_f64() / nodes;
        let before = (self.carried + part * f64::from(count - 1)).fract();
        let available = before + part;
        self.left = available as u32;
        self.carried = available.fract();
    }
}
