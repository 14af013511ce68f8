//! Sends filings through the cluster of a case, records the outcomes and checks them against the
//! runs that the services count.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use clock::{Timestamp, timeout};
use http::StatusCode;
use keyvalue::KeyValue;
use loadgen::{Filing, FilingOutcome};
use transport::HttpClient;
use types::Verdict;

use crate::{
    cluster::{CONTROL_TIMEOUTS, Process},
    faults::{
        CaseReport,
        testbed::{ORGANISATION, Testbed},
    },
};

/// Default deadline of a filing.
pub(crate) const DEADLINE: Duration = Duration::from_millis(1500);
/// Time after its deadline within which a filing has to be answered.
const DEADLINE_GRACE: Duration = Duration::from_millis(1000);
/// Interval at which another process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which a case stops waiting for an expected state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

/// One send of a filing.
pub(crate) struct SendRecord {
    key: String,
    start: Timestamp,
    deadline: Duration,
    /// Time at which the caller got its answer or hung up.
    end: Option<Timestamp>,
    /// The answer or error that the caller got, or `None` if it hung up.
    outcome: Option<FilingOutcome>,
    /// Runs of the key right after an answer with `not-run`; 0 after any other answer.
    runs: u32,
}

/// A filing that is not marked as the first send of its key.
pub(crate) fn filing(key: &str) -> Filing {
    Filing {
        id: String::new(),
        organisation: ORGANISATION.into(),
        key: key.into(),
        text: format!("Claim of {key}"),
        first_send: false,
        deadline: DEADLINE,
    }
}

/// A filing that is marked as the first send of its key.
pub(crate) fn first_filing(key: &str) -> Filing {
    Filing { first_send: true, ..filing(key) }
}

impl Testbed {
    /// Sends a filing through a node and records the outcome.
    pub(crate) async fn send(&self, node: usize, filing: &Filing) -> FilingOutcome {
        let index = self.open_record(filing);
        let outcome = self.callers[node].file(filing).await;
        let end = self.cluster.clock.now();
        let runs = if outcome.verdict == Some(Verdict::NotRun) {
            self.runs().await.get(&filing.key).copied().unwrap_or_default()
        } else {
            0
        };
        let record = &mut self.sends.borrow_mut()[index];
        record.end = Some(end);
        record.outcome = Some(outcome.clone());
        record.runs = runs;
        outcome
    }

    /// Sends a filing through a node and hangs up after the given time.
    pub(crate) async fn send_and_hang_up(&self, node: usize, filing: &Filing, after: Duration) {
        let index = self.open_record(filing);
        let send = self.callers[node].file(filing);
        // Whether the answer came before the caller hung up does not matter.
        let _ = timeout(&*self.cluster.clock, after, send).await;
        self.sends.borrow_mut()[index].end = Some(self.cluster.clock.now());
    }

    /// Sends a filing until it is answered with `ran`, and records the time until then as a
    /// recovery time.
    pub(crate) async fn send_until_ran(&self, node: usize, filing: &Filing) {
        let started = self.cluster.clock.now();
        loop {
            let outcome = self.send(node, filing).await;
            let waited = self.cluster.clock.now().since(started);
            if outcome.verdict == Some(Verdict::Ran) {
                self.record_recovery(waited);
                return;
            }
            if waited > WAIT_TIMEOUT {
                self.add_problem(format!(
                    "{} did not run within {waited:?}: {outcome:?}",
                    filing.key
                ));
                return;
            }
            self.sleep(50).await;
        }
    }

    /// Adds a problem unless the outcome has the expected verdict.
    pub(crate) fn expect(&self, what: &str, outcome: &FilingOutcome, verdict: Verdict) {
        if outcome.verdict != Some(verdict) {
            self.add_problem(format!("{what}: expected {verdict}, got {outcome:?}"));
        }
    }

    /// Adds a problem unless the key ran exactly `expected` times.
    pub(crate) async fn expect_runs(&self, key: &str, expected: u32) {
        let runs = self.runs().await.get(key).copied().unwrap_or_default();
        if runs != expected {
            self.add_problem(format!("{key} ran {runs} times, expected {expected}"));
        }
    }

    /// Adds a problem unless both answers have the same status and body.
    pub(crate) fn expect_equal(&self, what: &str, one: &FilingOutcome, other: &FilingOutcome) {
        if (one.status, &one.body) != (other.status, &other.body) {
            self.add_problem(format!("{what}: {one:?} and {other:?} differ"));
        }
    }

    /// Kills a replica of the service after reading its run counts, which would be lost otherwise.
    pub(crate) async fn kill_service(&self, service: usize) {
        let counts = self.runs_of(&self.cluster.services[service]).await;
        self.cluster.services[service].kill();
        for (key, count) in counts {
            *self.past_runs.borrow_mut().entry(key).or_default() += count;
        }
    }

    /// Adds a run of a replica that crashed before its run counts could be read.
    pub(crate) fn add_past_run(&self, key: &str) {
        *self.past_runs.borrow_mut().entry(key.into()).or_default() += 1;
    }

    /// Waits until the key has a claim in the key-value service.
    pub(crate) async fn wait_claim(&self, key: &str) {
        let store = self.cluster.store();
        let store_key = format!("claims/{ORGANISATION}/{key}");
        let deadline = self.cluster.clock.now() + WAIT_TIMEOUT;
        while !matches!(store.get(&store_key).await, Ok(Some(_))) {
            if self.cluster.clock.now() > deadline {
                return self.add_problem(format!("{key} was not claimed"));
            }
            self.cluster.clock.sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a service reports a run of the key.
    pub(crate) async fn wait_run(&self, key: &str) {
        let deadline = self.cluster.clock.now() + WAIT_TIMEOUT;
        while !self.runs().await.contains_key(key) {
            if self.cluster.clock.now() > deadline {
                return self.add_problem(format!("{key} did not run"));
            }
            self.cluster.clock.sleep(POLL_INTERVAL).await;
        }
    }

    /// Number of runs of each key, summed over all replicas.
    pub(crate) async fn runs(&self) -> BTreeMap<String, u32> {
        let mut runs = self.past_runs.borrow().clone();
        for service in &self.cluster.services {
            for (key, count) in self.runs_of(service).await {
                *runs.entry(key).or_default() += count;
            }
        }
        runs
    }

    /// Ends a case whose filing `key` ran, but whose answer was lost. Checks that two nodes answer
    /// a repeated send with `may-have-run` and that the key ran once.
    pub(crate) async fn finish_unknown(self) -> CaseReport {
        for node in 0..2 {
            let again = self.send(node, &filing("key")).await;
            self.expect("repeated send", &again, Verdict::MayHaveRun);
        }
        self.expect_runs("key", 1).await;
        self.finish().await
    }

    /// Checks the guarantees that hold for every filing, and returns the report.
    pub(crate) async fn finish(self) -> CaseReport {
        let runs = self.runs().await;
        let keys: BTreeSet<String> =
            self.sends.borrow().iter().map(|send| send.key.clone()).collect();
        for key in keys.iter().filter(|key| !key.is_empty()) {
            self.check_key(key, runs.get(key).copied().unwrap_or_default());
        }
        self.check_answered();
        self.report.take()
    }

    /// Adds the record of a send that starts now. Returns its index.
    fn open_record(&self, filing: &Filing) -> usize {
        let mut sends = self.sends.borrow_mut();
        sends.push(SendRecord {
            key: filing.key.clone(),
            start: self.cluster.clock.now(),
            deadline: filing.deadline,
            end: None,
            outcome: None,
            runs: 0,
        });
        sends.len() - 1
    }

    /// Reads the runs of each key from a replica. The result is empty if the replica does not
    /// answer: the runs of a killed one are in `past_runs`, those of a paused one are not counted.
    pub(crate) async fn runs_of(&self, service: &Process) -> BTreeMap<String, u32> {
        let client = HttpClient::new(self.cluster.clock.clone(), service.addr());
        client.get_json("/control/runs", CONTROL_TIMEOUTS).await.unwrap_or_default()
    }

    /// Checks that a key ran at most once, that the verdicts of its sends are correct and that all
    /// successful answers are equal.
    fn check_key(&self, key: &str, runs: u32) {
        let sends = self.sends.borrow();
        let sends: Vec<&SendRecord> = sends.iter().filter(|send| send.key == key).collect();
        if runs > 1 {
            self.add_problem(format!("{key} ran {runs} times"));
        }
        for send in &sends {
            let Some(outcome) = &send.outcome else { continue };
            let verdict = outcome.verdict;
            if verdict == Some(Verdict::Ran) && runs == 0 {
                self.add_problem(format!("{key} was answered with ran, but it did not run"));
            }
            let refused_content = outcome.status == StatusCode::UNPROCESSABLE_ENTITY.as_u16();
            if verdict != Some(Verdict::NotRun) || refused_content {
                continue;
            }
            let ran_before = send.runs > 0 && !sends.iter().any(|other| send.overlaps(other));
            let ran_later = runs > 0 && !sends.iter().any(|other| send.may_have_run_instead(other));
            if ran_before || ran_later {
                let sends: Vec<String> = sends.iter().map(|send| send.describe()).collect();
                let sends = sends.join("; ");
                self.add_problem(format!(
                    "{key} was answered with not-run, but it ran; sends: {sends}"
                ));
            }
        }
        let answers: BTreeSet<(u16, &str)> = sends
            .iter()
            .filter_map(|send| send.outcome.as_ref())
            .filter(|outcome| outcome.status == StatusCode::CREATED.as_u16())
            .map(|outcome| (outcome.status, outcome.body.as_str()))
            .collect();
        if answers.len() > 1 {
            self.add_problem(format!("{key} got different answers: {answers:?}"));
        }
    }

    /// Allows answers to arrive this much later, for cases that pause a node.
    pub(crate) fn allow_late(&self, time: Duration) {
        self.late.set(time);
    }

    /// Checks that no answer came too long after the deadline of its send.
    fn check_answered(&self) {
        for send in self.sends.borrow().iter() {
            let (Some(end), Some(outcome)) = (send.end, &send.outcome) else { continue };
            let took = end.since(send.start);
            // Outcomes without a verdict are not checked: if a node is killed or paused, its
            // callers get a connection error instead of an answer.
            if outcome.verdict.is_some() && took > send.deadline + DEADLINE_GRACE + self.late.get()
            {
                self.add_problem(format!("{} was answered too late, after {took:?}", send.key));
            }
        }
    }
}

impl SendRecord {
    /// Whether another send was in progress at the same time.
    fn overlaps(&self, other: &SendRecord) -> bool {
        let ended = |send: &SendRecord, at: Timestamp| send.end.is_some_and(|end| end <= at);
        !std::ptr::eq(self, other) && !ended(self, other.start) && !ended(other, self.start)
    }

    /// The times and the outcome of the send, for the text of a problem.
    fn describe(&self) -> String {
        let millis = |at: Timestamp| at.since(Timestamp::default()).as_millis();
        let (start, end) = (millis(self.start), self.end.map(millis));
        match &self.outcome {
            Some(outcome) => format!(
                "{start} to {end:?}: {} {:?} {:?} {}",
                outcome.status, outcome.verdict, outcome.error, outcome.body
            ),
            None => format!("{start} to {end:?}: hung up"),
        }
    }

    /// Whether another send may have run the key although this one did not.
    fn may_have_run_instead(&self, other: &SendRecord) -> bool {
        !std::ptr::eq(self, other) && (self.overlaps(other) || other.start > self.start)
    }
}
