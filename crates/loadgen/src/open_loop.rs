use std::{rc::Rc, time::Duration};

use clock::Clock;
use futures_util::future::join_all;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{CallerClient, Completion, CompletionOutcome};

/// A completion to send, and the time at which to send it.
#[derive(Clone, Debug)]
pub struct Planned {
    /// Time at which to send the completion, measured from the start of the load.
    pub at: Duration,
    /// The completion to send.
    pub completion: Completion,
}

/// A completion that was sent, and its outcome.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Time at which the completion was sent, measured from the start of the load.
    pub at: Duration,
    /// The completion that was sent.
    pub completion: Completion,
    /// What the caller observed.
    pub outcome: CompletionOutcome,
}

/// Arrival times, up to `length`, of a Poisson process with `rate` arrivals per second.
pub fn poisson(seed: u64, rate: f64, length: Duration) -> Vec<Duration> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut arrival = Duration::ZERO;
    loop {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        arrival += Duration::from_secs_f64(-uniform.ln() / rate);
        if arrival >= length {
            return arrivals;
        }
        arrivals.push(arrival);
    }
}

/// Sends each completion of `plan` at its time, whether or not earlier ones have ended, and assigns
/// the completions to the clients in round-robin order.
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
    /// Times at which the tokens arrived, measured from the start of the load.
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
