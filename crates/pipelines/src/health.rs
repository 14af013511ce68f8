use std::{collections::HashMap, time::Duration};

use clock::Timestamp;
use types::UpstreamName;

/// Time for which an upstream is avoided after its first failure.
const FIRST_PAUSE: Duration = Duration::from_millis(1000);
/// Longest time for which it is avoided after failures in a row.
const MAX_PAUSE: Duration = Duration::from_secs(8);
/// Time after the last failure from which a failure counts as the first one again.
const FORGET_AFTER: Duration = Duration::from_secs(20);

/// Upstreams that have failed requests of this node lately.
#[derive(Debug, Default)]
pub struct HealthTable {
    suspects: HashMap<UpstreamName, Suspect>,
}

#[derive(Clone, Copy, Debug)]
struct Suspect {
    boot: u64,
    failures: u32,
    since: Timestamp,
    last: Timestamp,
    until: Timestamp,
}

impl HealthTable {
    /// Notes that the start `boot` of an upstream failed. Returns the time for which it is avoided.
    pub fn fail(&mut self, name: &UpstreamName, boot: u64, now: Timestamp) -> Duration {
        let fresh = Suspect { boot, failures: 0, since: now, last: now, until: now };
        let suspect = self.suspects.entry(name.clone()).or_insert(fresh);
        if suspect.boot != boot || now.since(suspect.last) > FORGET_AFTER {
            *suspect = fresh;
        }
        // Failures of requests that ran at the same time are one event.
        if suspect.failures == 0 || now >= suspect.until {
            suspect.failures += 1;
        }
        let pause = (FIRST_PAUSE * 2_u32.pow(suspect.failures.min(4) - 1)).min(MAX_PAUSE);
        suspect.last = now;
        suspect.until = now + pause;
        pause
    }

    /// Avoids an upstream for `pause` without counting a failure.
    pub fn avoid(&mut self, name: &UpstreamName, boot: u64, now: Timestamp, pause: Duration) {
        let fresh = Suspect { boot, failures: 0, since: now, last: now, until: now };
        let suspect = self.suspects.entry(name.clone()).or_insert(fresh);
        if suspect.boot != boot {
            *suspect = fresh;
        }
        suspect.until = suspect.until.max(now + pause);
    }

    /// Notes that an upstream served a request.
    pub fn succeed(&mut self, name: &str) {
        self.suspects.remove(name);
    }

    /// Whether the start `boot` of an upstream is to be avoided now.
    pub fn is_suspect(&self, name: &str, boot: u64, now: Timestamp) -> bool {
        self.suspects.get(name).is_some_and(|suspect| suspect.boot == boot && now < suspect.until)
    }

    /// Time for which the start `boot` of an upstream has failed without a success in between.
    pub fn failing_for(&self, name: &str, boot: u64, now: Timestamp) -> Option<Duration> {
        let suspect = self.suspects.get(name)?;
        let failing = suspect.boot == boot && suspect.failures > 0 && now < suspect.until;
        failing.then(|| now.since(suspect.since))
    }

    /// The upstreams that have failed and are avoided now, with the start that failed.
    pub fn failing(&self, now: Timestamp) -> impl Iterator<Item = (&UpstreamName, u64)> {
        let failing = move |suspect: &Suspect| suspect.failures > 0 && now < suspect.until;
        let suspects = self.suspects.iter().filter(move |(_, suspect)| failing(suspect));
        suspects.map(|(name, suspect)| (name, suspect.boot))
    }
}
