use std::{collections::HashMap, time::Duration};

use clock::Timestamp;
use types::UpstreamName;

/// Factor on the limit after a refusal: the replica was full with the requests of all nodes.
const REFUSAL_FACTOR: f64 = 0.5;
/// Factor on the limit after answers that took long.
const SLOW_FACTOR: f64 = 0.8;
/// Answers that take this many times as long as usual show that requests wait at the replica.
const SLOW_RATIO: f64 = 2.0;
/// Excess over the usual time below which answers never count as slow.
const MIN_EXCESS: Duration = Duration::from_millis(10);
/// Weight of an answer in the recent time.
const RECENT_WEIGHT: f64 = 0.25;
/// Weight of the recent time in the usual time while it is the longer one. It is small, so that a
/// replica that becomes slow stays so for many answers.
const RISE_WEIGHT: f64 = 1.0 / 64.0;
/// Weight of the recent time in the usual time while it is the shorter one.
const FALL_WEIGHT: f64 = 1.0 / 8.0;
/// Least time between two reductions: requests that were sent before the first one say nothing
/// about the limit after it.
const MIN_REACTION: Duration = Duration::from_millis(50);
/// Replicas of which a record is kept. Those without news for the longest time are dropped first.
const MAX_REPLICAS: usize = 256;

/// A replica of a plain service, as its entry in the registry describes it.
#[derive(Clone, Copy, Debug)]
pub struct Replica<'a> {
    /// Its name.
    pub name: &'a UpstreamName,
    /// Its incarnation. A restarted replica starts anew.
    pub incarnation: u64,
    /// Number of requests that it runs at once.
    pub slots: u32,
}

impl Replica<'_> {
    fn max_limit(&self) -> f64 {
        f64::from(self.slots.max(1))
    }
}

/// The number of requests that a node may have in flight at each replica of a plain service.
///
/// The limit is at least 1 and at most the replica's slots, since nothing tells how many requests
/// its queue holds. It starts at the slots, falls by a factor when the replica refuses a request or
/// answers late, and rises by one for each round of answers in time while it is used up.
#[derive(Debug, Default)]
pub struct ReplicaLimits {
    records: HashMap<UpstreamName, Record>,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    incarnation: u64,
    limit: f64,
    /// Times of an answer, in seconds.
    times: Option<AnswerTimes>,
    /// Time of the last answer or refusal.
    last_event: Timestamp,
    /// Time of the last reduction.
    reduced_at: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug)]
struct AnswerTimes {
    /// Moving average of the latest answers.
    recent: f64,
    /// What an answer takes while requests do not wait at the replica.
    usual: f64,
}

impl AnswerTimes {
    fn add(&mut self, taken: f64) {
        self.recent += RECENT_WEIGHT * (taken - self.recent);
        let weight = if self.recent < self.usual { FALL_WEIGHT } else { RISE_WEIGHT };
        self.usual += weight * (self.recent - self.usual);
    }

    fn is_slow(&self) -> bool {
        self.recent > (self.usual * SLOW_RATIO).max(self.usual + MIN_EXCESS.as_secs_f64())
    }
}

impl Record {
    fn new(replica: Replica<'_>, now: Timestamp) -> Record {
        Record {
            incarnation: replica.incarnation,
            limit: replica.max_limit(),
            times: None,
            last_event: now,
            reduced_at: None,
        }
    }

    /// Reduces the limit by a factor, unless it was reduced less than `reaction` ago.
    fn reduce(&mut self, factor: f64, reaction: Duration, now: Timestamp) -> bool {
        let reaction = reaction.max(MIN_REACTION);
        if self.reduced_at.is_some_and(|last| now.since(last) < reaction) || self.limit <= 1.0 {
            return false;
        }
        self.limit = (self.limit * factor).max(1.0);
        self.reduced_at = Some(now);
        true
    }
}

impl ReplicaLimits {
    /// Number of this node's requests that may be in flight at a replica.
    pub fn limit(&self, replica: Replica<'_>) -> u32 {
        let known = self.known(replica).map_or(f64::INFINITY, |record| record.limit);
        known.min(replica.max_limit()) as u32
    }

    /// What an answer of a replica usually takes; `None` before the first one.
    pub fn usual_time(&self, replica: Replica<'_>) -> Option<Duration> {
        let times = self.known(replica)?.times?;
        Some(Duration::from_secs_f64(times.usual))
    }

    /// Records that a replica answered after `taken`. `in_flight` is the number of this node's
    /// requests at it, including this one. Returns whether its limit was reduced.
    pub fn record_answer(
        &mut self,
        replica: Replica<'_>,
        in_flight: u32,
        taken: Duration,
        now: Timestamp,
    ) -> bool {
        let record = self.record_mut(replica, now);
        let seconds = taken.as_secs_f64();
        let times = record.times.get_or_insert(AnswerTimes { recent: seconds, usual: seconds });
        times.add(seconds);
        if times.is_slow() {
            let reaction = Duration::from_secs_f64(times.recent);
            return record.reduce(SLOW_FACTOR, reaction, now);
        }
        if f64::from(in_flight) + 1.0 > record.limit {
            record.limit = (record.limit + 1.0 / record.limit).min(replica.max_limit());
        }
        false
    }

    /// Records that a replica had not answered when it was given up after `taken`. Before the first
    /// answer, that says nothing about what an answer usually takes. Returns whether its limit was
    /// reduced.
    pub fn record_timeout(
        &mut self,
        replica: Replica<'_>,
        taken: Duration,
        now: Timestamp,
    ) -> bool {
        let record = self.record_mut(replica, now);
        let Some(times) = &mut record.times else { return false };
        times.add(taken.as_secs_f64().max(times.recent));
        if !times.is_slow() {
            return false;
        }
        let reaction = Duration::from_secs_f64(times.recent);
        record.reduce(SLOW_FACTOR, reaction, now)
    }

    /// Records that a replica refused a request for lack of capacity. Returns whether its limit was
    /// reduced.
    pub fn record_refusal(&mut self, replica: Replica<'_>, now: Timestamp) -> bool {
        self.record_mut(replica, now).reduce(REFUSAL_FACTOR, MIN_REACTION, now)
    }

    fn known(&self, replica: Replica<'_>) -> Option<&Record> {
        let record = self.records.get(replica.name)?;
        (record.incarnation == replica.incarnation).then_some(record)
    }

    /// The record of a replica, created anew if it is that of another incarnation.
    fn record_mut(&mut self, replica: Replica<'_>, now: Timestamp) -> &mut Record {
        let is_new = !self.records.contains_key(replica.name);
        if is_new && self.records.len() >= MAX_REPLICAS {
            self.drop_oldest();
        }
        let fresh = Record::new(replica, now);
        let record = self.records.entry(replica.name.clone()).or_insert(fresh);
        if record.incarnation != replica.incarnation {
            *record = fresh;
        }
        record.last_event = now;
        record.limit = record.limit.min(replica.max_limit());
        record
    }

    fn drop_oldest(&mut self) {
        let oldest = self.records.iter().min_by_key(|(_, record)| record.last_event);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.records.remove(&name);
        }
    }
}
