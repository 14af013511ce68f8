//! Decides which connection or body ends when the limits are reached.

use std::{cmp::Reverse, net::IpAddr};

use crate::{
    ConnectionId,
    activity::{BodyProgress, Phase},
    memory::Shortage,
};

/// A connection that may be ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) id: ConnectionId,
    pub(crate) peer: IpAddr,
    /// What the peer has taken of that which is short: connections or bytes.
    pub(crate) peer_use: usize,
    pub(crate) phase: Phase,
    /// Sweeps since the connection entered its phase.
    pub(crate) phase_sweeps: u32,
    /// Whether no byte was moved for a while.
    pub(crate) is_stalled: bool,
    /// Whether it has carried a request.
    pub(crate) has_carried: bool,
    /// Whether memory is reserved for its request.
    pub(crate) has_reserved: bool,
    pub(crate) body: Option<BodyProgress>,
}

/// The connection to close when one more would exceed the limit: one that has been silent for a
/// while and has carried no request, else another idle one, else one whose refusal was written or
/// whose head is incomplete, else one that is stalled. Among these it is one of the address with
/// the most connections, and the one that has waited longest. Returns `None` if all are in use.
pub(crate) fn choose_connection(candidates: &[Candidate]) -> Option<ConnectionId> {
    let rank = |candidate: &Candidate| match candidate.phase {
        Phase::Idle if candidate.is_stalled && !candidate.has_carried => Some(0),
        Phase::Idle => Some(1),
        Phase::Refused | Phase::Head => Some(2),
        Phase::Body | Phase::Blocked if candidate.is_stalled => Some(3),
        _ => None,
    };
    let ranked = candidates.iter().filter_map(|candidate| Some((rank(candidate)?, candidate)));
    let first = ranked.min_by_key(|(rank, candidate)| {
        (*rank, Reverse(candidate.peer_use), Reverse(candidate.phase_sweeps), candidate.id)
    });
    first.map(|(_, candidate)| candidate.id)
}

/// The connection whose bytes are evicted when `own` needs memory. If its address has its share,
/// only connections of this address are chosen from. A stalled one goes first. Else an address that
/// has taken more than twice as much as that of `own` loses its least complete body, and else the
/// address of `own` does, which may be `own` itself.
pub(crate) fn choose_body(
    own: &Candidate,
    candidates: &[Candidate],
    shortage: Shortage,
) -> ConnectionId {
    let helps = |candidate: &&Candidate| {
        candidate.has_reserved
            && candidate.id != own.id
            && (shortage == Shortage::Account || candidate.peer == own.peer)
    };
    let holders = || candidates.iter().filter(helps);
    let stalled = holders().filter(|candidate| {
        candidate.is_stalled && matches!(candidate.phase, Phase::Body | Phase::Blocked)
    });
    let stalled = stalled.min_by_key(|candidate| {
        (Reverse(candidate.peer_use), Reverse(candidate.phase_sweeps), candidate.id)
    });
    if let Some(stalled) = stalled {
        return stalled.id;
    }
    let bodies = || holders().filter(|candidate| candidate.phase == Phase::Body);
    let heaviest = bodies().max_by_key(|candidate| candidate.peer_use);
    let owner = match heaviest {
        Some(other) if other.peer_use / 2 > own.peer_use => other.peer,
        _ => own.peer,
    };
    let reads_body = (own.phase == Phase::Body).then_some(own);
    let owned = bodies().chain(reads_body).filter(|candidate| candidate.peer == owner);
    let last = owned.min_by_key(|candidate| (percent(candidate.body), Reverse(candidate.id)));
    last.map_or(own.id, |candidate| candidate.id)
}

/// Share of a body that has arrived, in percent.
fn percent(body: Option<BodyProgress>) -> usize {
    body.map_or(0, |body| body.received.saturating_mul(100) / body.expected.max(1))
}
