use std::{rc::Rc, time::Duration};

use clock::Clock;
use futures_util::future::join_all;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{CallerClient, Completion, CompletionOutcome};

/// A completion and when it is sent.
#[derive(Clone, Debug)]
pub struct Planned {
    /// Time from the start of the load.
    pub at: Duration,
    /// The completion.
    pub completion: Completion,
}

/// A completion that was sent.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Time from the start of the load at which the completion was sent.
    pub at: Duration,
    /// The completion.
    pub completion: Completion,
    /// What the caller saw.
    pub outcome: CompletionOutcome,
}

/// Arrival times of a Poisson process with `rate` arrivals per second.
pub fn poisson(seed: u64, rate: f64, length: Duration) -> Vec<Duration> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        at += Duration::from_secs_f64(-uniform.ln() / rate);
        if at >= length {
            return arrivals;
        }
        arrivals.push(at);
    }
}

/// Sends each completion at its time, whether or not earlier ones have ended, to the clients in turn.
pub async fn run_open_loop(
    clock: &Rc<dyn Clock>,
    clients: &[CallerClient],
    plan: Vec<Planned>,
) -> Vec<Sample> {
    let start = clock.now();
    let sends = plan.into_iter().zip(clients.iter().cycle()).map(|(planned, client)| async move {
        clock.sleep(planned.at.saturating_sub(clock.now().since(start))).await;
        let at = clock.now().since(start);
        let outcome = client.completion(&planned.completion).await;
        Sample { at, completion: planned.completion, outcome }
    });
    join_all(sends).await
}

impl Sample {
    /// Times from the start of the load at which tokens arrived.
    pub fn token_times(&self) -> impl Iterator<Item = Duration> {
        let mut time = self.at + self.outcome.first_token;
        let first = (self.outcome.tokens > 0).then_some(time);
        let rest = self.outcome.intervals.iter().map(move |interval| {
            time += *interval;
            time
        });
        first.into_iter().chain(rest)
    }
}
