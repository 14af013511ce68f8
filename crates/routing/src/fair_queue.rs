use std::collections::{BTreeMap, VecDeque};

use types::Organisation;

use crate::{Arrival, Ticket};

/// Credit, in tokens, of an organisation of weight 1 in each round. It is the size of a short
/// request. With a larger value, several requests of one organisation are admitted in a row while
/// the others wait.
const QUANTUM_TOKENS: u64 = 16;

/// Waiting requests of one class, served by weighted deficit round robin over organisations.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    flows: BTreeMap<Organisation, Flow>,
    /// Organisations with waiting requests. The first one has the turn.
    turns: VecDeque<Organisation>,
}

/// The waiting requests of one organisation.
#[derive(Debug)]
struct Flow {
    weight: u64,
    /// Tokens that the organisation may still use for requests (its deficit counter).
    credit: u64,
    /// Whether the credit for the current turn has been added.
    credited: bool,
    /// Waiting requests and their work in tokens, oldest first.
    requests: VecDeque<(Ticket, u64)>,
}

impl FairQueue {
    /// Adds a request.
    pub(crate) fn push(&mut self, arrival: &Arrival, ticket: Ticket) {
        let organisation = &arrival.organisation;
        if !self.flows.contains_key(organisation) {
            self.turns.push_back(organisation.clone());
        }
        let flow = self.flows.entry(organisation.clone()).or_insert_with(Flow::new);
        flow.weight = arrival.weight.max(1);
        flow.requests.push_back((ticket, arrival.work.max(1)));
    }

    /// Moves the turn to the organisation that is served next and returns its first request,
    /// without removing it.
    pub(crate) fn peek(&mut self) -> Option<Ticket> {
        loop {
            let flow = self.flows.get_mut(self.turns.front()?)?;
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

    /// Removes and returns the request that is served next.
    pub(crate) fn pop(&mut self) -> Option<Ticket> {
        self.peek()?;
        let organisation = self.turns.front()?.clone();
        let flow = self.flows.get_mut(&organisation)?;
        let (ticket, work) = flow.requests.pop_front()?;
        flow.credit -= work;
        self.remove_if_empty(&organisation);
        Some(ticket)
    }

    /// Removes a request that is no longer to be served.
    pub(crate) fn remove(&mut self, organisation: &Organisation, ticket: Ticket) {
        if let Some(flow) = self.flows.get_mut(organisation) {
            flow.requests.retain(|(waiting, _)| *waiting != ticket);
        }
        self.remove_if_empty(organisation);
    }

    pub(crate) fn len(&self) -> usize {
        self.flows.values().map(|flow| flow.requests.len()).sum()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    /// Estimated number of requests that are served before a new one of the organisation.
    pub(crate) fn requests_ahead(&self, organisation: &Organisation, weight: u64) -> usize {
        let own_count = self.flows.get(organisation).map_or(0, |flow| flow.requests.len());
        let others = self.flows.iter().filter(|(name, _)| *name != organisation);
        // While `own_count + 1` requests of this organisation are served, another organisation of
        // weight w has w / weight times as many requests served, but no more than it has waiting.
        let share =
            |flow: &Flow| ((own_count + 1) as u64 * flow.weight).div_ceil(weight.max(1)) as usize;
        own_count + others.map(|(_, flow)| flow.requests.len().min(share(flow))).sum::<usize>()
    }

    /// Removes an organisation without waiting requests, and its credit with it, so that only
    /// organisations with waiting requests are kept.
    fn remove_if_empty(&mut self, organisation: &Organisation) {
        let empty = self.flows.get(organisation).is_some_and(|flow| flow.requests.is_empty());
        if empty {
            self.flows.remove(organisation);
            self.turns.retain(|name| name != organisation);
        }
    }
}

impl Flow {
    fn new() -> Flow {
        Flow { weight: 1, credit: 0, credited: false, requests: VecDeque::new() }
    }
}
