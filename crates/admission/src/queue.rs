//! The order in which waiting requests are admitted.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use clock::Timestamp;
use types::Organisation;

/// Finish tags kept of organisations without a waiting request. Without a bound, one would be kept
/// for each organisation that ever waited.
const MAX_IDLE_FLOWS: usize = 256;

/// Identifies a waiting request.
pub type Ticket = u64;

/// A request that has to wait.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Whether it is resumed.
    pub resumed: bool,
    /// Urgency; 0 is the most urgent.
    pub rank: u32,
    /// Organisation of the caller; requests without one count as those of one organisation.
    pub organisation: Option<Organisation>,
    /// Work of the request in tokens.
    pub tokens: u64,
    /// Latest start at which it still meets its latency target.
    pub start_by: Timestamp,
    /// Time until which it may wait: its deadline, or when its caller leaves.
    pub end: Timestamp,
}

/// Limits of a queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    /// Most requests that wait.
    pub length: usize,
    /// Grants in a row by urgency. The next one goes to the request that has waited longest.
    pub streak: u32,
    /// Requests that are tried one after the other when capacity is freed, because those before
    /// them do not fit.
    pub lookahead: usize,
}

/// Result of enqueuing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Enqueued {
    /// It waits.
    Waiting(Ticket),
    /// It waits in place of another request, which is refused.
    Replaced {
        /// The new request.
        ticket: Ticket,
        /// The request that is refused.
        shed: Ticket,
    },
    /// The queue is full.
    Full,
    /// It cannot be served before its end.
    Late,
}

/// Requests that wait for capacity of a service. Resumed requests come first, then those that are
/// expected to meet their latency target, then the others. Within each of these groups, the order is
/// by urgency, then by start-time fair queueing over organisations, then by arrival.
#[derive(Debug)]
pub struct AdmissionQueue {
    limits: QueueLimits,
    entries: BTreeMap<Ticket, Entry>,
    next_ticket: Ticket,
    /// Finish tag of the last request of each organisation.
    finish_tags: HashMap<Option<Organisation>, u64>,
    /// Start tag of the last request that was granted.
    virtual_time: u64,
    /// Grants since the one to the request that had waited longest.
    streak: u32,
}

#[derive(Debug)]
struct Entry {
    waiting: Waiting,
    /// Start tag of the fair queueing.
    tag: u64,
    expected_start: Timestamp,
    /// Until when it is known not to fit.
    blocked_until: Timestamp,
}

/// Position in the order: group, rank, start tag, arrival.
type Key = (u8, u32, u64, Ticket);

impl Entry {
    fn key(&self, ticket: Ticket, now: Timestamp) -> Key {
        let group = group(&self.waiting, self.expected_start.max(now));
        (group, self.waiting.rank, self.tag, ticket)
    }
}

/// Group of a request that is expected to start at `start`.
fn group(waiting: &Waiting, start: Timestamp) -> u8 {
    if waiting.resumed { 0 } else { 1 + u8::from(start > waiting.start_by) }
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> AdmissionQueue {
        AdmissionQueue {
            limits,
            entries: BTreeMap::new(),
            next_ticket: 0,
            finish_tags: HashMap::new(),
            virtual_time: 0,
            streak: 0,
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether a request still waits.
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.entries.contains_key(&ticket)
    }

    /// Number of requests that would be granted before a new one.
    pub fn ahead(&self, waiting: &Waiting, now: Timestamp) -> usize {
        let new = (group(waiting, now), waiting.rank, self.start_tag(waiting), self.next_ticket);
        self.entries.iter().filter(|(ticket, entry)| entry.key(**ticket, now) < new).count()
    }

    /// Adds a request that is expected to wait for `wait`.
    pub fn enqueue(&mut self, waiting: Waiting, wait: Duration, now: Timestamp) -> Enqueued {
        let outcome = self.preview(&waiting, wait, now);
        match outcome {
            Enqueued::Late | Enqueued::Full => return outcome,
            Enqueued::Replaced { shed, .. } => self.remove(shed),
            Enqueued::Waiting(_) => {}
        }
        self.insert(waiting, now + wait);
        outcome
    }

    /// What [`enqueue`](Self::enqueue) would return now. The request is not added.
    pub fn preview(&self, waiting: &Waiting, wait: Duration, now: Timestamp) -> Enqueued {
        let ticket = self.next_ticket;
        if now + wait > waiting.end {
            return Enqueued::Late;
        }
        if self.len() < self.limits.length {
            return Enqueued::Waiting(ticket);
        }
        match self.victim(waiting).filter(|_| self.limits.length > 0) {
            Some(shed) => Enqueued::Replaced { ticket, shed },
            None => Enqueued::Full,
        }
    }

    /// Whether a request may be tried now: the requests before it are known not to fit.
    pub fn may_try(&self, ticket: Ticket, now: Timestamp) -> bool {
        let order = self.order(now);
        let position = order.iter().position(|other| *other == ticket);
        position.is_some_and(|position| {
            position < self.limits.lookahead.max(1)
                && order[..position].iter().all(|before| self.is_blocked(*before, now))
        })
    }

    /// Number of requests that are granted before this one.
    pub fn position(&self, ticket: Ticket, now: Timestamp) -> usize {
        let Some(own) = self.entries.get(&ticket).map(|entry| entry.key(ticket, now)) else {
            return 0;
        };
        self.entries.iter().filter(|(other, entry)| entry.key(**other, now) < own).count()
    }

    /// The request to be tried next, if there is one that is not known not to fit.
    pub fn next(&self, now: Timestamp) -> Option<Ticket> {
        let order = self.order(now);
        let mut tried = order.into_iter().take(self.limits.lookahead.max(1));
        tried.find(|ticket| !self.is_blocked(*ticket, now))
    }

    /// Records that a request does not fit until `until`, unless capacity is freed before.
    pub fn block(&mut self, ticket: Ticket, until: Timestamp) {
        if let Some(entry) = self.entries.get_mut(&ticket) {
            entry.blocked_until = until;
        }
    }

    /// Records that capacity was freed: each request may fit now.
    pub fn unblock(&mut self) {
        for entry in self.entries.values_mut() {
            entry.blocked_until = Timestamp::default();
        }
    }

    /// Removes a request that gets capacity.
    pub fn grant(&mut self, ticket: Ticket) {
        let was_oldest = self.entries.first_key_value().is_some_and(|(first, _)| *first == ticket);
        let Some(entry) = self.entries.remove(&ticket) else { return };
        self.streak = if was_oldest { 0 } else { self.streak.saturating_add(1) };
        self.virtual_time = self.virtual_time.max(entry.tag);
        self.forget_idle_flows();
    }

    /// Removes a request that no longer waits, without capacity. Its organisation is not charged
    /// for it if no later request of it waits.
    pub fn remove(&mut self, ticket: Ticket) {
        let Some(entry) = self.entries.remove(&ticket) else { return };
        let finish = entry.tag.saturating_add(entry.waiting.tokens);
        if let Some(tag) = self.finish_tags.get_mut(&entry.waiting.organisation)
            && *tag == finish
        {
            *tag = entry.tag;
        }
        self.forget_idle_flows();
    }

    fn insert(&mut self, waiting: Waiting, expected_start: Timestamp) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let tag = self.start_tag(&waiting);
        let finish = tag.saturating_add(waiting.tokens);
        self.finish_tags.insert(waiting.organisation.clone(), finish);
        let entry = Entry { waiting, tag, expected_start, blocked_until: Timestamp::default() };
        self.entries.insert(ticket, entry);
    }

    /// Start tag of the next request of an organisation.
    fn start_tag(&self, waiting: &Waiting) -> u64 {
        let finish = self.finish_tags.get(&waiting.organisation).copied().unwrap_or_default();
        finish.max(self.virtual_time)
    }

    fn is_blocked(&self, ticket: Ticket, now: Timestamp) -> bool {
        self.entries.get(&ticket).is_some_and(|entry| now < entry.blocked_until)
    }

    /// The waiting requests in the order in which they are granted.
    fn order(&self, now: Timestamp) -> Vec<Ticket> {
        let entries = self.entries.iter();
        let mut keys: Vec<Key> = entries.map(|(ticket, entry)| entry.key(*ticket, now)).collect();
        keys.sort_unstable();
        let mut order: Vec<Ticket> = keys.into_iter().map(|key| key.3).collect();
        if self.streak >= self.limits.streak
            && let Some(oldest) = self.entries.keys().next()
            && let Some(position) = order.iter().position(|ticket| ticket == oldest)
        {
            order[..=position].rotate_right(1);
        }
        order
    }

    /// The request that is shed for a new one: the least urgent, most recent of the organisation
    /// with the most requests. `None` if that is the new one. Resumed requests are not shed.
    fn victim(&self, new: &Waiting) -> Option<Ticket> {
        let mut counts: HashMap<&Option<Organisation>, usize> = HashMap::new();
        *counts.entry(&new.organisation).or_default() += 1;
        let sheddable = || self.entries.iter().filter(|(_, entry)| !entry.waiting.resumed);
        for (_, entry) in sheddable() {
            *counts.entry(&entry.waiting.organisation).or_default() += 1;
        }
        let largest = counts.values().copied().max()?;
        let own = (u8::from(!new.resumed), new.rank, self.next_ticket);
        let is_largest = |organisation| counts.get(organisation) == Some(&largest);
        let (ticket, victim) = sheddable()
            .filter(|(_, entry)| is_largest(&entry.waiting.organisation))
            .max_by_key(|(ticket, entry)| (entry.waiting.rank, **ticket))?;
        let is_new = is_largest(&new.organisation) && own > (1, victim.waiting.rank, *ticket);
        (!is_new).then_some(*ticket)
    }

    /// Drops the finish tags that no longer delay their organisation, and the others beyond a
    /// bound.
    fn forget_idle_flows(&mut self) {
        if self.entries.is_empty() {
            self.finish_tags.clear();
            (self.virtual_time, self.streak) = (0, 0);
            return;
        }
        let now = self.virtual_time;
        self.finish_tags.retain(|_, finish| *finish > now);
        if self.finish_tags.len() > self.entries.len() + MAX_IDLE_FLOWS {
            let entries = &self.entries;
            self.finish_tags.retain(|organisation, _| {
                entries.values().any(|entry| entry.waiting.organisation == *organisation)
            });
        }
    }
}
