use std::collections::{BTreeMap, VecDeque};

use types::Organisation;

use crate::{Arrival, Ticket};

/// Tokens that an organisation of weight 1 is credited in each round: a short request. With a
/// larger value several requests of one organisation are admitted in a row, and the others wait.
const QUANTUM_TOKENS: u64 = 16;

/// Waiting requests of one class, served by weighted deficit round robin over organisations.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    by_organisation: BTreeMap<Organisation, Flow>,
    /// Organisations with waiting requests; the first one has its turn.
    turns: VecDeque<Organisation>,
}

#[derive(Debug)]
struct Flow {
    weight: u64,
    credit: u64,
    /// Whether the credit of the current turn was added.
    credited: bool,
    /// Waiting requests with their work.
    requests: VecDeque<(Ticket, u64)>,
}

impl FairQueue {
    pub(crate) fn push(&mut self, arrival: &Arrival, ticket: Ticket) {
        let organisation = &arrival.organisation;
        if !self.by_organisation.contains_key(organisation) {
            self.turns.push_back(organisation.clone());
        }
        let flow = self.by_organisation.entry(organisation.clone()).or_insert_with(Flow::new);
        flow.weight = arrival.weight.max(1);
        flow.requests.push_back((ticket, arrival.work.max(1)));
    }

    /// Moves the turn to the organisation that may send next and names its first request.
    pub(crate) fn peek(&mut self) -> Option<Ticket> {
        loop {
            let flow = self.by_organisation.get_mut(self.turns.front()?)?;
            let (ticket, work) = *flow.requests.front()?;
            if !flow.credited {
                flow.credit += flow.weight * QUANTUM_TOKENS;
                flow.credited = true;
            }
            if flow.credit >= work {
                return Some(ticket);
            }
            flow.credited = false;
            self.turns.rotate_left(1);
        }
    }

    pub(crate) fn pop(&mut self) -> Option<Ticket> {
        self.peek()?;
        let organisation = self.turns.front()?.clone();
        let flow = self.by_organisation.get_mut(&organisation)?;
        let (ticket, work) = flow.requests.pop_front()?;
        flow.credit -= work;
        self.forget_if_empty(&organisation);
        Some(ticket)
    }

    pub(crate) fn remove(&mut self, organisation: &Organisation, ticket: Ticket) {
        if let Some(flow) = self.by_organisation.get_mut(organisation) {
            flow.requests.retain(|(waiting, _)| *waiting != ticket);
        }
        self.forget_if_empty(organisation);
    }

    pub(crate) fn len(&self) -> usize {
        self.by_organisation.values().map(|flow| flow.requests.len()).sum()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    /// Number of requests that are served before a new one of an organisation.
    pub(crate) fn ahead(&self, organisation: &Organisation, weight: u64) -> usize {
        let own = self.by_organisation.get(organisation).map_or(0, |flow| flow.requests.len());
        let others = self.by_organisation.iter().filter(|(name, _)| *name != organisation);
        // While `own + 1` requests of the organisation are served, another one of weight w gets
        // w / weight times as many places, and no more than it asks for.
        let share = |flow: &Flow| ((own + 1) as u64 * flow.weight).div_ceil(weight.max(1)) as usize;
        own + others.map(|(_, flow)| flow.requests.len().min(share(flow))).sum::<usize>()
    }

    /// An organisation without requests keeps no credit, so the table holds only waiting ones.
    fn forget_if_empty(&mut self, organisation: &Organisation) {
        let empty =
            self.by_organisation.get(organisation).is_some_and(|flow| flow.requests.is_empty());
        if empty {
            self.by_organisation.remove(organisation);
            self.turns.retain(|name| name != organisation);
        }
    }
}

impl Flow {
    fn new() -> Flow {
        Flow { weight: 1, credit: 0, credited: false, requests: VecDeque::new() }
    }
}
