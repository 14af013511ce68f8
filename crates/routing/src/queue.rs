use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use clock::Timestamp;
use types::{Class, Organisation};

use crate::fair_queue::FairQueue;

/// Interactive requests that are admitted in a row while a batch request waits. Every ninth place
/// then goes to the batch class, so that interactive load cannot starve it.
const INTERACTIVE_STREAK: u32 = 8;
/// Weight of the newest service time in the running mean.
const MEAN_SHARE: f64 = 0.1;

/// Identifies a waiting request.
pub type Ticket = u64;

/// A request that asks for admission.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Organisation of the caller.
    pub organisation: Organisation,
    /// Class of the request.
    pub class: Class,
    /// Share of the organisation relative to others.
    pub weight: u64,
    /// Work of the request, in tokens.
    pub work: u64,
    /// Time of arrival.
    pub arrived: Timestamp,
    /// Time after which the answer is useless.
    pub deadline: Timestamp,
    /// Requests that may wait in the queue.
    pub queue_depth: usize,
}

/// What became of a request that asked for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EnqueueOutcome {
    /// The request waits.
    Waiting(Ticket),
    /// The request waits in the place of another, which is refused.
    Replaced {
        /// The request that waits.
        ticket: Ticket,
        /// The request that is refused.
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
    /// The predicted wait passes the deadline.
    Late(Duration),
}

/// The requests of one model that wait on one node for a free engine.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    interactive: FairQueue,
    batch: FairQueue,
    streak: u32,
    next_ticket: Ticket,
    waiting: BTreeMap<Ticket, (Organisation, Class)>,
    service: Option<Duration>,
}

impl AdmissionQueue {
    /// Takes a request in or refuses it. `running` is the number of requests of this model that
    /// run now; it sets the pace at which places become free.
    pub fn enqueue(&mut self, arrival: &Arrival, running: u32) -> EnqueueOutcome {
        let wait = self.predict_wait(arrival, running);
        // A request that has to wait also needs the time to run; otherwise it would hold a place
        // and end without an answer.
        let run = self.service.filter(|_| !wait.is_zero()).unwrap_or_default();
        if arrival.arrived + wait + run > arrival.deadline {
            return EnqueueOutcome::Refused(Refusal::Late(wait));
        }
        if self.len() < arrival.queue_depth {
            return EnqueueOutcome::Waiting(self.insert(arrival));
        }
        match self.newest_of_largest(&arrival.organisation) {
            Some(refused) if arrival.queue_depth > 0 => {
                self.remove(refused);
                EnqueueOutcome::Replaced { ticket: self.insert(arrival), refused }
            }
            _ => EnqueueOutcome::Refused(Refusal::Full),
        }
    }

    /// The request that is admitted next. It stays in the queue.
    pub fn peek(&mut self) -> Option<Ticket> {
        if self.takes_batch() { self.batch.peek() } else { self.interactive.peek() }
    }

    /// Takes out the request that [`peek`](Self::peek) names.
    pub fn admit(&mut self) -> Option<Ticket> {
        let batch = self.takes_batch();
        let ticket = if batch { self.batch.pop() } else { self.interactive.pop() }?;
        self.streak = if batch { 0 } else { self.streak.saturating_add(1) };
        self.waiting.remove(&ticket);
        Some(ticket)
    }

    /// Takes out a request that no longer waits.
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

    /// Takes the time that a request has held its engines into the running mean.
    pub fn observe_service_time(&mut self, time: Duration) {
        let mean = self.service.unwrap_or(time);
        self.service = Some(mean.mul_f64(1.0 - MEAN_SHARE) + time.mul_f64(MEAN_SHARE));
    }

    /// Predicts how long a request would wait.
    pub fn predict_wait(&self, arrival: &Arrival, running: u32) -> Duration {
        let Some(service) = self.service else { return Duration::ZERO };
        let ahead = match arrival.class {
            Class::Interactive => self.interactive.ahead(&arrival.organisation, arrival.weight),
            Class::Batch => {
                let batch = self.batch.ahead(&arrival.organisation, arrival.weight);
                let passed = batch.saturating_mul(INTERACTIVE_STREAK as usize);
                batch + self.interactive.len().min(passed.max(1))
            }
        };
        service.mul_f64(ahead as f64 / f64::from(running.max(1)))
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

    fn takes_batch(&self) -> bool {
        let due = self.streak >= INTERACTIVE_STREAK || self.interactive.is_empty();
        due && !self.batch.is_empty()
    }

    /// The newest request of the organisation that holds most places, or `None` if that is
    /// `arriving`, whose new request would be the newest.
    fn newest_of_largest(&self, arriving: &Organisation) -> Option<Ticket> {
        let mut places: BTreeMap<&Organisation, VecDeque<Ticket>> = BTreeMap::new();
        for (ticket, (organisation, _)) in &self.waiting {
            places.entry(organisation).or_default().push_back(*ticket);
        }
        let own = places.get(arriving).map_or(0, VecDeque::len) + 1;
        let (_, largest) = places.iter().max_by_key(|(_, tickets)| tickets.len())?;
        if largest.len() <= own { None } else { largest.back().copied() }
    }
}
