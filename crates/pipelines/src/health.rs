use std::{collections::HashMap, time::Duration};

use clock::Timestamp;
use types::UpstreamName;

/// Time for which an upstream is avoided after its first failure.
const FIRST_PAUSE: Duration = Duration::from_millis(1000);
/// Longest time for which it is avoided after failures in a row.
const MAX_PAUSE: Duration = Duration::from_secs(8);
/// Longest time for which an upstream is avoided after refusals in a row. One that is only full has
/// room again soon.
const MAX_REFUSAL_PAUSE: Duration = Duration::from_secs(2);
/// Slowdown from which an engine is slow.
const MIN_SLOWDOWN: f64 = 1.5;
/// Time for which a reported slowdown is believed.
const SLOW_LIFE: Duration = Duration::from_secs(3);
/// Time after the last failure from which a failure counts as the first one again.
const FORGET_AFTER: Duration = Duration::from_secs(20);

/// Upstreams that have failed requests of this node lately.
#[derive(Debug, Default)]
pub struct HealthTable {
    suspects: HashMap<UpstreamName, Suspect>,
    slow_engines: HashMap<UpstreamName, Slow>,
}

#[derive(Clone, Copy, Debug)]
struct Slow {
    incarnation: u64,
    slowdown: f64,
    until: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct Suspect {
    incarnation: u64,
    failures: u32,
    /// Calls that it has refused, not counting those during a pause.
    refusals: u32,
    since: Timestamp,
    last: Timestamp,
    until: Timestamp,
}

impl Suspect {
    fn new(incarnation: u64, now: Timestamp) -> Suspect {
        Suspect { incarnation, failures: 0, refusals: 0, since: now, last: now, until: now }
    }

    /// Starts to count anew if nothing has happened for a long time.
    fn forget_old(&mut self, now: Timestamp) {
        if now.since(self.last) > FORGET_AFTER {
            *self = Suspect::new(self.incarnation, now);
        }
    }
}

impl HealthTable {
    /// What is known against `incarnation` of an upstream.
    fn suspect(&mut self, name: &UpstreamName, incarnation: u64, now: Timestamp) -> &mut Suspect {
        let fresh = Suspect::new(incarnation, now);
        let suspect = self.suspects.entry(name.clone()).or_insert(fresh);
        if suspect.incarnation != incarnation {
            *suspect = fresh;
        }
        suspect
    }

    /// Notes that `incarnation` of an upstream failed. Returns the time for which it is avoided.
    pub fn record_failure(
        &mut self,
        name: &UpstreamName,
        incarnation: u64,
        now: Timestamp,
    ) -> Duration {
        let suspect = self.suspect(name, incarnation, now);
        suspect.forget_old(now);
        // Failures of requests that ran at the same time are one event.
        if suspect.failures == 0 || now >= suspect.until {
            suspect.failures += 1;
        }
        let pause = (FIRST_PAUSE * 2_u32.pow(suspect.failures.min(4) - 1)).min(MAX_PAUSE);
        suspect.last = now;
        suspect.until = now + pause;
        pause
    }

    /// Notes that `incarnation` of an upstream refused a call that did not run. Returns the time
    /// for which it is avoided: `pause` at first, and longer if it refuses the next call after that.
    pub fn record_refusal(
        &mut self,
        name: &UpstreamName,
        incarnation: u64,
        now: Timestamp,
        pause: Duration,
    ) -> Duration {
        let suspect = self.suspect(name, incarnation, now);
        suspect.forget_old(now);
        // Refusals of requests that were on their way at the same time are one event.
        if suspect.refusals == 0 || now >= suspect.until {
            suspect.refusals += 1;
        }
        let pause = (pause * 2_u32.pow(suspect.refusals.min(8) - 1)).min(MAX_REFUSAL_PAUSE);
        suspect.last = now;
        suspect.until = suspect.until.max(now + pause);
        pause
    }

    /// Notes that a call passed through an upstream that had refused others.
    pub fn record_acceptance(&mut self, name: &str) {
        if self.suspects.get(name).is_some_and(|suspect| suspect.failures == 0) {
            self.suspects.remove(name);
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
        let suspect = self.suspect(name, incarnation, now);
        suspect.until = suspect.until.max(now + pause);
    }

    /// Notes the slowdown that `incarnation` of an engine has reported: a factor on its times.
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
        let slow = Slow { incarnation, slowdown, until: now + SLOW_LIFE };
        self.slow_engines.insert(name.clone(), slow);
    }

    /// Factor on the times of `incarnation` of an engine.
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

    /// Notes that an upstream served a request.
    pub fn record_success(&mut self, name: &str) {
        self.suspects.remove(name);
    }

    /// Whether `incarnation` of an upstream is to be avoided now.
    pub fn is_suspect(&self, name: &str, incarnation: u64, now: Timestamp) -> bool {
        self.suspects
            .get(name)
            .is_some_and(|suspect| suspect.incarnation == incarnation && now < suspect.until)
    }

    /// Time for which `incarnation` of an upstream has failed without a success in between.
    pub fn failing_for(&self, name: &str, incarnation: u64, now: Timestamp) -> Option<Duration> {
        let suspect = self.suspects.get(name)?;
        let failing =
            suspect.incarnation == incarnation && suspect.failures > 0 && now < suspect.until;
        failing.then(|| now.since(suspect.since))
    }

    /// The upstreams that have failed or refused calls time after time and are avoided now, with the
    /// incarnation that did.
    pub fn failing_upstreams(&self, now: Timestamp) -> impl Iterator<Item = (&UpstreamName, u64)> {
        let failing = move |suspect: &Suspect| {
            (suspect.failures > 0 || suspect.refusals > 1) && now < suspect.until
        };
        let suspects = self.suspects.iter().filter(move |(_, suspect)| failing(suspect));
        suspects.map(|(name, suspect)| (name, suspect.incarnation))
    }
}
