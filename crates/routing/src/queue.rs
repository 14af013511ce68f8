use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use clock::Timestamp;
use types::{Class, Organisation};

use crate::fair_queue::FairQueue;

/// Largest number of interactive requests that are admitted in a row while a batch request waits.
/// The ninth admission then goes to the batch class, so that interactive load cannot starve it.
const INTERACTIVE_STREAK: u32 = 8;
/// Weight of the newest service time in the exponential moving average.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// Identifies a waiting request.
pub type Ticket = u64;

/// A request that asks for admission.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Organisation of the caller.
    pub organisation: Organisation,
    /// Class of the request.
    pub class: Class,
    /// Weight of the organisation relative to the others.
    pub weight: u64,
    /// Estimated work of the request, in tokens.
    pub work: u64,
    /// Time of arrival.
    pub arrived: Timestamp,
    /// Time by which the request has to be answered.
    pub deadline: Timestamp,
    /// Largest number of requests that may wait in the queue.
    pub max_waiting: usize,
}

/// Result of enqueuing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EnqueueOutcome {
    /// The request waits.
    Waiting(Ticket),
    /// The request replaces another waiting request, which is refused.
    Replaced {
        /// The new request, which waits.
        ticket: Ticket,
        /// The request that was waiting and is refused.
        refused: Ticket,
    },
    /// The request is refused.
    Refused(Refusal),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The queue is full.
    Full,
    /// The request would miss its deadline. Holds the predicted wait.
    Late(Duration),
}

/// The requests for one model that wait on one node for free engines.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    interactive: FairQueue,
    batch: FairQueue,
    /// Interactive requests admitted since the last batch request.
    streak: u32,
    next_ticket: Ticket,
    waiting: BTreeMap<Ticket, (Organisation, Class)>,
    /// Exponential moving average of the service time; `None` before the first one is observed.
    service_time: Option<Duration>,
}

impl AdmissionQueue {
    /// Adds a request to the queue or refuses it. `running` is the number of requests for this
    /// model that are running now. It determines how often one of them ends and another is
    /// admitted.
    pub fn enqueue(&mut self, arrival: &Arrival, running: u32) -> EnqueueOutcome {
        let wait = self.predict_wait(arrival, running);
        // For a request that has to wait, the time to run it is added. Otherwise it could take up
        // space in the queue and then miss its deadline.
        let run_time = self.service_time.filter(|_| !wait.is_zero()).unwrap_or_default();
        if arrival.arrived + wait + run_time > arrival.deadline {
            return EnqueueOutcome::Refused(Refusal::Late(wait));
        }
        if self.len() < arrival.max_waiting {
            return EnqueueOutcome::Waiting(self.insert(arrival));
        }
        match self.newest_of_largest_organisation(&arrival.organisation) {
            Some(refused) if arrival.max_waiting > 0 => {
                self.remove(refused);
                EnqueueOutcome::Replaced { ticket: self.insert(arrival), refused }
            }
            _ => EnqueueOutcome::Refused(Refusal::Full),
        }
    }

    /// Returns the request that is admitted next, without removing it.
    pub fn peek(&mut self) -> Option<Ticket> {
        if self.is_batch_next() { self.batch.peek() } else { self.interactive.peek() }
    }

    /// Removes and returns the request that [`peek`](Self::peek) returns.
    pub fn admit(&mut self) -> Option<Ticket> {
        let batch = self.is_batch_next();
        let ticket = if batch { self.batch.pop() } else { self.interactive.pop() }?;
        self.streak = if batch { 0 } else { self.streak.saturating_add(1) };
        self.waiting.remove(&ticket);
        Some(ticket)
    }

    /// Removes a request that no longer waits for admission.
    pub fn remove(&mut self, ticket: Ticket) {
        let Some((organisation, class)) = self.waiting.remove(&ticket) else { return };
        self.class_queue(class).remove(&organisation, ticket);
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds the time for which a request has occupied its engines to the moving average.
    pub fn observe_service_time(&mut self, time: Duration) {
        let mean = self.service_time.unwrap_or(time);
        self.service_time =
            Some(mean.mul_f64(1.0 - SERVICE_TIME_WEIGHT) + time.mul_f64(SERVICE_TIME_WEIGHT));
    }

    /// Predicts how long a request would wait for admission.
    pub fn predict_wait(&self, arrival: &Arrival, running: u32) -> Duration {
        let Some(service_time) = self.service_time else { return Duration::ZERO };
        let requests_ahead = match arrival.class {
            Class::Interactive => {
                self.interactive.requests_ahead(&arrival.organisation, arrival.weight)
            }
            Class::Batch => {
                let batch = self.batch.requests_ahead(&arrival.organisation, arrival.weight);
                let overtaking = batch.saturating_mul(INTERACTIVE_STREAK as usize);
                batch + self.interactive.len().min(overtaking.max(1))
            }
        };
        service_time.mul_f64(requests_ahead as f64 / f64::from(running.max(1)))
    }

    fn insert(&mut self, arrival: &Arrival) -> Ticket {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.class_queue(arrival.class).push(arrival, ticket);
        self.waiting.insert(ticket, (arrival.organisation.clone(), arrival.class));
        ticket
    }

    fn class_queue(&mut self, class: Class) -> &mut FairQueue {
        match class {
            Class::Interactive => &mut self.interactive,
            Class::Batch => &mut self.batch,
        }
    }

    /// Whether the next admission goes to the batch class.
    fn is_batch_next(&self) -> bool {
        let is_due = self.streak >= INTERACTIVE_STREAK || self.interactive.is_empty();
        is_due && !self.batch.is_empty()
    }

    /// The newest request of the organisation with the most waiting requests. `None` if that is
    /// `arriving`, counting its new request, since that request is the newest.
    fn newest_of_largest_organisation(&self, arriving: &Organisation) -> Option<Ticket> {
        let mut by_organisation: BTreeMap<&Organisation, VecDeque<Ticket>> = BTreeMap::new();
        for (ticket, (organisation, _)) in &self.waiting {
            by_organisation.entry(organisation).or_default().push_back(*ticket);
        }
        let own_count = by_organisation.get(arriving).map_or(0, VecDeque::len) + 1;
        let (_, largest) = by_organisation.iter().max_by_key(|(_, tickets)| tickets.len())?;
        if largest.len() <= own_count { None } else { largest.back().copied() }
    }
}
