use std::{collections::HashMap, time::Duration};

use clock::Timestamp;
use types::UpstreamName;

/// Time for which an upstream is avoided after its first failure.
const FIRST_PAUSE: Duration = Duration::from_millis(1000);
/// Longest time for which an upstream is avoided after consecutive failures.
const MAX_PAUSE: Duration = Duration::from_secs(8);
/// Longest time for which an upstream is avoided after consecutive refusals. It is short because an
/// upstream that is only full soon has room again.
const MAX_REFUSAL_PAUSE: Duration = Duration::from_secs(2);
/// Smallest slowdown at which an engine counts as slow.
const MIN_SLOWDOWN: f64 = 1.5;
/// Time for which a reported slowdown is valid.
const SLOWDOWN_TTL: Duration = Duration::from_secs(3);
/// Time after the last failure or refusal after which the counts start again at zero.
const RESET_AFTER: Duration = Duration::from_secs(20);

/// Upstreams to avoid, because they recently failed or refused calls or because another node
/// reports that they fail, and engines that are slow.
#[derive(Debug, Default)]
pub struct HealthTable {
    records: HashMap<UpstreamName, HealthRecord>,
    slow_engines: HashMap<UpstreamName, SlowEngine>,
}

/// The slowdown that an incarnation of an engine has reported.
#[derive(Clone, Copy, Debug)]
struct SlowEngine {
    incarnation: u64,
    slowdown: f64,
    /// Time at which the report expires.
    until: Timestamp,
}

/// Failures and refusals of an incarnation of an upstream, and how long it is avoided.
#[derive(Clone, Copy, Debug)]
struct HealthRecord {
    incarnation: u64,
    /// Consecutive failures. After the first, failures while the upstream is avoided are not
    /// counted.
    failures: u32,
    /// Consecutive refusals. After the first, refusals while the upstream is avoided are not
    /// counted.
    refusals: u32,
    /// Time at which this record was created.
    created: Timestamp,
    /// Time of the last failure or refusal.
    last_event: Timestamp,
    /// Time until which the upstream is avoided.
    until: Timestamp,
    /// End of the pause after the last refusals.
    refused_until: Timestamp,
    /// End of the pause that the failures and refusals seen by this node have set. Other nodes are
    /// told of the upstream until then.
    own_until: Timestamp,
}

impl HealthRecord {
    fn new(incarnation: u64, now: Timestamp) -> HealthRecord {
        HealthRecord {
            incarnation,
            failures: 0,
            refusals: 0,
            created: now,
            last_event: now,
            until: now,
            refused_until: now,
            own_until: now,
        }
    }

    /// Resets the record if the last failure or refusal was long ago.
    fn reset_if_old(&mut self, now: Timestamp) {
        if now.since(self.last_event) > RESET_AFTER {
            *self = HealthRecord::new(self.incarnation, now);
        }
    }
}

impl HealthTable {
    /// The record of `incarnation` of an upstream, created if there is none. A record of another
    /// incarnation is replaced.
    fn record_mut(
        &mut self,
        name: &UpstreamName,
        incarnation: u64,
        now: Timestamp,
    ) -> &mut HealthRecord {
        let new_record = HealthRecord::new(incarnation, now);
        let record = self.records.entry(name.clone()).or_insert(new_record);
        if record.incarnation != incarnation {
            *record = new_record;
        }
        record
    }

    /// Records that `incarnation` of an upstream failed. Returns the time for which it is avoided.
    pub fn record_failure(
        &mut self,
        name: &UpstreamName,
        incarnation: u64,
        now: Timestamp,
    ) -> Duration {
        let record = self.record_mut(name, incarnation, now);
        record.reset_if_old(now);
        // Failures of requests that ran at the same time count as one.
        if record.failures == 0 || now >= record.own_until {
            record.failures += 1;
        }
        let pause = (FIRST_PAUSE * 2_u32.pow(record.failures.min(4) - 1)).min(MAX_PAUSE);
        record.last_event = now;
        record.until = now + pause;
        record.own_until = record.until;
        pause
    }

    /// Records that `incarnation` of an upstream refused a call, which did not run. Returns the
    /// time for which it is avoided: `pause` after the first refusal, and longer each time that it
    /// again refuses a call afterwards.
    pub fn record_refusal(
        &mut self,
        name: &UpstreamName,
        incarnation: u64,
        now: Timestamp,
        pause: Duration,
    ) -> Duration {
        let record = self.record_mut(name, incarnation, now);
        record.reset_if_old(now);
        // Refusals of requests that were sent at the same time count as one.
        if record.refusals == 0 || now >= record.until {
            record.refusals += 1;
        }
        let pause = (pause * 2_u32.pow(record.refusals.min(8) - 1)).min(MAX_REFUSAL_PAUSE);
        record.last_event = now;
        record.until = record.until.max(now + pause);
        record.refused_until = record.refused_until.max(now + pause);
        record.own_until = record.own_until.max(now + pause);
        pause
    }

    /// Records that an upstream accepted a call. If it has not failed, its whole record is removed:
    /// its refusals, and a pause that [`avoid`](Self::avoid) has set.
    pub fn record_acceptance(&mut self, name: &str) {
        if self.records.get(name).is_some_and(|record| record.failures == 0) {
            self.records.remove(name);
        }
    }

    /// Avoids an upstream for `pause` without counting a failure.
    pub fn avoid(
        &mut self,
        name: &UpstreamName,
        incarnation: u64,
        now: Timestamp,
        pause: Duration,
    ) {
        let record = self.record_mut(name, incarnation, now);
        record.until = record.until.max(now + pause);
    }

    /// Records the slowdown that `incarnation` of an engine has reported: a factor on the duration
    /// of its work.
    pub fn set_slowdown(
        &mut self,
        name: &UpstreamName,
        incarnation: u64,
        slowdown: f64,
        now: Timestamp,
    ) {
        if slowdown < MIN_SLOWDOWN {
            self.slow_engines.remove(name);
            return;
        }
        let slow = SlowEngine { incarnation, slowdown, until: now + SLOWDOWN_TTL };
        self.slow_engines.insert(name.clone(), slow);
    }

    /// Factor on the duration of the work of `incarnation` of an engine; 1 if it is not slow.
    pub fn slowdown(&self, name: &str, incarnation: u64, now: Timestamp) -> f64 {
        let slow = self
            .slow_engines
            .get(name)
            .filter(|slow| slow.incarnation == incarnation && now < slow.until);
        slow.map_or(1.0, |slow| slow.slowdown)
    }

    /// The engines that are slow now, with their incarnation and slowdown.
    pub fn slow_engines(&self, now: Timestamp) -> impl Iterator<Item = (&UpstreamName, u64, f64)> {
        let slow = self.slow_engines.iter().filter(move |(_, slow)| now < slow.until);
        slow.map(|(name, slow)| (name, slow.incarnation, slow.slowdown))
    }

    /// Records that an upstream served a request. This clears its failures and refusals.
    pub fn record_success(&mut self, name: &str) {
        self.records.remove(name);
    }

    /// Forgets all failures and refusals, for which this node's own links were the cause.
    pub fn forget_failures(&mut self) {
        self.records.clear();
    }

    /// Whether `incarnation` of an upstream must be avoided now, because it failed, refused a call
    /// or was passed to [`avoid`](Self::avoid).
    pub fn is_avoided(&self, name: &str, incarnation: u64, now: Timestamp) -> bool {
        self.records
            .get(name)
            .is_some_and(|record| record.incarnation == incarnation && now < record.until)
    }

    /// End of the pause after refusals of `incarnation` of an upstream, if that is in the future and
    /// the upstream has not failed. What [`avoid`](Self::avoid) has set does not lengthen it.
    pub fn refusing_until(
        &self,
        name: &str,
        incarnation: u64,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let record = self.records.get(name)?;
        let is_refusing =
            record.incarnation == incarnation && record.failures == 0 && now < record.refused_until;
        is_refusing.then_some(record.refused_until)
    }

    /// How long `incarnation` of an upstream has been failing: the time since its record was
    /// created, by a failure, a refusal or [`avoid`](Self::avoid). A success removes the record.
    /// `None` if it has not failed or is no longer avoided.
    pub fn failing_for(&self, name: &str, incarnation: u64, now: Timestamp) -> Option<Duration> {
        let record = self.records.get(name)?;
        let failing =
            record.incarnation == incarnation && record.failures > 0 && now < record.until;
        failing.then(|| now.since(record.created))
    }

    /// The upstreams that are avoided now because they failed or repeatedly refused calls to this
    /// node, with their incarnation. What another node has announced is not included: two nodes
    /// would go on confirming each other's announcements.
    pub fn failing_upstreams(&self, now: Timestamp) -> impl Iterator<Item = (&UpstreamName, u64)> {
        let failing = move |record: &HealthRecord| {
            (record.failures > 0 || record.refusals > 1) && now < record.own_until
        };
        let records = self.records.iter().filter(move |(_, record)| failing(record));
        records.map(|(name, record)| (name, record.incarnation))
    }
}
