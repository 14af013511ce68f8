use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{Hash, Hasher},
};

use types::{Digest, NodeName, UpstreamName};
use xxhash_rust::xxh3::Xxh3;

use crate::{Crash, CrashId, Fact, LeavingMark, LeavingSource, Member, MemberState};

/// Members that a node keeps; those with the first names stay. The fleet is to have 400.
pub const MAX_MEMBERS: usize = 1024;
/// Leaving marks that a node keeps; those of the first names stay.
pub const MAX_MARKS: usize = 4096;
/// Crashes that a node keeps; the newest stay.
pub const MAX_CRASHES: usize = 4096;
/// Time after which crashes, marks and members that are gone are forgotten, in milliseconds.
/// Marks that still hold are stated again by the nodes that see their source.
pub const FACT_TTL_MILLIS: u64 = 3_600_000;

/// The facts that nodes spread among themselves, merged so that order and repetition of facts do
/// not matter.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetTable {
    members: BTreeMap<NodeName, Member>,
    marks: BTreeMap<(UpstreamName, LeavingSource), LeavingMark>,
    crashes: BTreeMap<CrashId, Crash>,
}

impl FleetTable {
    /// Merges facts and returns those that were new, which have to be forwarded.
    pub fn merge(&mut self, facts: impl IntoIterator<Item = Fact>, now_millis: u64) -> Vec<Fact> {
        facts.into_iter().filter(|fact| self.merge_one(fact, now_millis)).collect()
    }

    /// All facts.
    pub fn facts(&self) -> Vec<Fact> {
        let members = self.members.values().cloned().map(Fact::Member);
        let marks = self.marks.values().cloned().map(Fact::Leaving);
        let crashes = self.crashes.values().cloned().map(Fact::Crash);
        members.chain(marks).chain(crashes).collect()
    }

    /// Digest of all facts. Nodes with the same facts have the same digest.
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        self.members.values().for_each(|member| member.hash(&mut hasher));
        self.marks.values().for_each(|mark| mark.hash(&mut hasher));
        self.crashes.values().for_each(|crash| crash.hash(&mut hasher));
        hasher.finish()
    }

    /// Forgets facts whose time has passed.
    pub fn expire(&mut self, now_millis: u64) {
        self.members.retain(|_, member| !is_expired_member(member, now_millis));
        self.marks.retain(|_, mark| !is_past(mark.since_millis, now_millis));
        self.crashes.retain(|id, _| !is_past(id.at_millis, now_millis));
    }

    /// The members that are neither suspect nor gone.
    pub fn live_members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.state == MemberState::Alive)
    }

    /// What is known about a node.
    pub fn member(&self, node: &str) -> Option<&Member> {
        self.members.get(node)
    }

    /// Marks a member whose heartbeats are missing. Returns the fact if it is new.
    pub fn mark_suspect(&mut self, node: &str, now_millis: u64) -> Option<Fact> {
        let member = self.members.get(node)?;
        if member.state != MemberState::Alive {
            return None;
        }
        let state = MemberState::Suspect;
        let fact = Fact::Member(Member { state, since_millis: now_millis, ..member.clone() });
        self.merge_one(&fact, now_millis).then_some(fact)
    }

    /// Refutes what other nodes say about this node's own process. Returns the new statement if
    /// there was something to refute.
    pub fn refute(&mut self, own: &Member, now_millis: u64) -> Option<Member> {
        let known = self.members.get(&own.node)?;
        if known.incarnation != own.incarnation || known.state != MemberState::Suspect {
            return None;
        }
        let refutations = known.refutations + 1;
        let fresh = Member { refutations, since_millis: now_millis, ..own.clone() };
        self.merge_one(&Fact::Member(fresh.clone()), now_millis);
        Some(fresh)
    }

    /// A heartbeat of `node` arrived that says it is alive. Returns the fact if it refutes what
    /// is known. A new incarnation introduces itself with a fact of its own, which has its address.
    pub fn record_heartbeat(
        &mut self,
        node: &str,
        incarnation: u64,
        refutations: u32,
        now_millis: u64,
    ) -> Option<Fact> {
        let member = self.members.get(node)?;
        if incarnation != member.incarnation || refutations <= member.refutations {
            return None;
        }
        let state = MemberState::Alive;
        let since_millis = now_millis;
        let fresh = Member { refutations, state, since_millis, ..member.clone() };
        let fact = Fact::Member(fresh);
        self.merge_one(&fact, now_millis).then_some(fact)
    }

    /// States whether a source says that an upstream is leaving. Returns the fact if it is new.
    /// A source that never said so needs no statement that the upstream stays.
    pub fn record_leaving(
        &mut self,
        upstream: &UpstreamName,
        source: LeavingSource,
        sequence: u64,
        leaving: bool,
        now_millis: u64,
    ) -> Option<Fact> {
        let known = self.marks.get(&(upstream.clone(), source));
        let changed = match known {
            Some(mark) => {
                mark.leaving != leaving && (sequence, leaving) > (mark.sequence, mark.leaving)
            }
            None => leaving,
        };
        if !changed {
            return None;
        }
        let upstream = upstream.clone();
        let since_millis = now_millis;
        let mark = LeavingMark { upstream, source, sequence, leaving, since_millis };
        let fact = Fact::Leaving(mark);
        self.merge_one(&fact, now_millis).then_some(fact)
    }

    /// Whether any source says that an upstream is leaving.
    pub fn is_leaving(&self, upstream: &UpstreamName) -> bool {
        [LeavingSource::VmList, LeavingSource::Engine, LeavingSource::Operator].into_iter().any(
            |source| self.marks.get(&(upstream.clone(), source)).is_some_and(|mark| mark.leaving),
        )
    }

    /// The upstreams that `source` says are leaving.
    pub fn leaving_upstreams(&self, source: LeavingSource) -> Vec<UpstreamName> {
        let marks = self.marks.values().filter(|mark| mark.source == source && mark.leaving);
        marks.map(|mark| mark.upstream.clone()).collect()
    }

    /// Records the crash of an engine, named with the incarnation that ended, that ran a request.
    /// Returns the fact to spread.
    pub fn record_crash(
        &mut self,
        id: CrashId,
        fingerprint: Digest,
        (engine, ended): (UpstreamName, u64),
    ) -> Fact {
        let now_millis = id.at_millis;
        let fact = Fact::Crash(Crash { id, fingerprint, engine, ended, cleared: false });
        self.merge_one(&fact, now_millis);
        fact
    }

    /// Clears the known crashes of a request after it succeeded. Returns the facts to spread.
    pub fn clear_crashes(&mut self, fingerprint: Digest) -> Vec<Fact> {
        let open = self.crashes.values_mut();
        open.filter(|crash| crash.fingerprint == fingerprint && !crash.cleared)
            .map(|crash| {
                crash.cleared = true;
                Fact::Crash(crash.clone())
            })
            .collect()
    }

    /// Engines whose end is a crash of a request that is not cleared. Copies of a request that ran
    /// on one engine saw one end, so they count once.
    pub fn crash_count(&self, fingerprint: Digest) -> usize {
        let open = self.crashes.values().filter(|c| c.fingerprint == fingerprint && !c.cleared);
        open.map(|crash| (&crash.engine, crash.ended)).collect::<BTreeSet<_>>().len()
    }

    /// Whether a request has a crash that is not cleared.
    pub fn is_suspect_request(&self, fingerprint: Digest) -> bool {
        self.crash_count(fingerprint) > 0
    }

    fn merge_one(&mut self, fact: &Fact, now_millis: u64) -> bool {
        match fact {
            Fact::Member(member) => {
                if is_expired_member(member, now_millis) {
                    return false;
                }
                let known = self.members.get(&member.node);
                if known.is_some_and(|known| known.rank() >= member.rank()) {
                    return false;
                }
                self.members.insert(member.node.clone(), member.clone());
                if self.members.len() > MAX_MEMBERS {
                    self.members.pop_last();
                }
                self.members.contains_key(&member.node)
            }
            Fact::Leaving(mark) => {
                let key = (mark.upstream.clone(), mark.source);
                let known = self.marks.get(&key);
                let stale = known.is_some_and(|known| known.rank() >= mark.rank());
                if stale || is_past(mark.since_millis, now_millis) {
                    return false;
                }
                self.marks.insert(key.clone(), mark.clone());
                if self.marks.len() > MAX_MARKS {
                    self.marks.pop_last();
                }
                self.marks.contains_key(&key)
            }
            Fact::Crash(crash) => {
                if is_past(crash.id.at_millis, now_millis) {
                    return false;
                }
                if let Some(known) = self.crashes.get_mut(&crash.id) {
                    let is_new = crash.cleared && !known.cleared;
                    known.cleared |= crash.cleared;
                    return is_new;
                }
                self.crashes.insert(crash.id.clone(), crash.clone());
                if self.crashes.len() > MAX_CRASHES {
                    self.crashes.pop_first();
                }
                self.crashes.contains_key(&crash.id)
            }
        }
    }
}

fn is_expired_member(member: &Member, now_millis: u64) -> bool {
    member.state != MemberState::Alive && is_past(member.since_millis, now_millis)
}

fn is_past(since_millis: u64, now_millis: u64) -> bool {
    since_millis.saturating_add(FACT_TTL_MILLIS) < now_millis
}
