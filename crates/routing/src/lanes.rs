use std::collections::{BTreeMap, VecDeque};

use types::Organisation;

use crate::{Arrival, Ticket};

/// Tokens that an organisation of weight 1 is credited in each round: a short request. With a
/// larger value several requests of one organisation are admitted in a row, and the others wait.
const QUANTUM_TOKENS: u64 = 16;

/// Waiting requests of one class, served by weighted deficit round robin over organisations.
#[derive(Debug, Default)]
pub(crate) struct Lanes {
    by_organisation: BTreeMap<Organisation, Lane>,
    /// Organisations with waiting requests; the first one has its turn.
    turns: VecDeque<Organisation>,
}

#[derive(Debug)]
struct Lane {
    weight: u64,
    credit: u64,
    /// Whether the credit of the current turn was added.
    credited: bool,
    /// Waiting requests with their work.
    requests: VecDeque<(Ticket, u64)>,
}

impl Lanes {
    pub(crate) fn push(&mut self, arrival: &Arrival, ticket: Ticket) {
        let organisation = &arrival.organisation;
        if !self.by_organisation.contains_key(organisation) {
            self.turns.push_back(organisation.clone());
        }
        let lane = self.by_organisation.entry(organisation.clone()).or_insert_with(Lane::new);
        lane.weight = arrival.weight.max(1);
        lane.requests.push_back((ticket, arrival.work.max(1)));
    }

    /// Moves the turn to the organisation that may send next and names its first request.
    pub(crate) fn peek(&mut self) -> Option<Ticket> {
        loop {
            let lane = self.by_organisation.get_mut(self.turns.front()?)?;
            let (ticket, work) = *lane.requests.front()?;
            if !lane.credited {
                lane.credit += lane.weight * QUANTUM_TOKENS;
                lane.credited = true;
            }
            if lane.credit >= work {
                return Some(ticket);
            }
            lane.credited = false;
            self.turns.rotate_left(1);
        }
    }

    pub(crate) fn pop(&mut self) -> Option<Ticket> {
        self.peek()?;
        let organisation = self.turns.front()?.clone();
        let lane = self.by_organisation.get_mut(&organisation)?;
        let (ticket, work) = lane.requests.pop_front()?;
        lane.credit -= work;
        self.forget_if_empty(&organisation);
        Some(ticket)
    }

    pub(crate) fn remove(&mut self, organisation: &Organisation, ticket: Ticket) {
        if let Some(lane) = self.by_organisation.get_mut(organisation) {
            lane.requests.retain(|(waiting, _)| *waiting != ticket);
        }
        self.forget_if_empty(organisation);
    }

    pub(crate) fn len(&self) -> usize {
        self.by_organisation.values().map(|lane| lane.requests.len()).sum()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    /// Number of requests that are served before a new one of an organisation.
    pub(crate) fn ahead(&self, organisation: &Organisation, weight: u64) -> usize {
        let own = self.by_organisation.get(organisation).map_or(0, |lane| lane.requests.len());
        let others = self.by_organisation.iter().filter(|(name, _)| *name != organisation);
        // While `own + 1` requests of the organisation are served, another one of weight w gets
        // w / weight times as many places, and no more than it asks for.
        let share = |lane: &Lane| ((own + 1) as u64 * lane.weight).div_ceil(weight.max(1)) as usize;
        own + others.map(|(_, lane)| lane.requests.len().min(share(lane))).sum::<usize>()
    }

    /// An organisation without requests keeps no credit, so the table holds only waiting ones.
    fn forget_if_empty(&mut self, organisation: &Organisation) {
        let empty =
            self.by_organisation.get(organisation).is_some_and(|lane| lane.requests.is_empty());
        if empty {
            self.by_organisation.remove(organisation);
            self.turns.retain(|name| name != organisation);
        }
    }
}

impl Lane {
    fn new() -> Lane {
        Lane { weight: 1, credit: 0, credited: false, requests: VecDeque::new() }
    }
}
