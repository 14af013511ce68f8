use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    hash::{Hash, Hasher},
    time::Duration,
};

use crashes::CrashedRuns;
use types::{Digest, NodeName, UpstreamName};
use xxhash_rust::xxh3::Xxh3;

use crate::{Crash, CrashId, Fact, LeavingMark, LeavingSource, Member, MemberState, RunTime};

/// Largest number of members in a table; a full table drops those whose names are last in order.
/// The fleet is designed for 400 nodes.
pub const MAX_MEMBERS: usize = 1024;
/// Largest number of leaving marks in a table; a full table drops those whose upstreams' names are
/// last in order.
pub const MAX_LEAVING_MARKS: usize = 4096;
/// Largest number of crashes in a table; a full table drops the oldest.
pub const MAX_CRASHES: usize = 4096;
/// Time after which crashes, leaving marks, and members that are not alive are dropped, in
/// milliseconds. For an upstream that is still leaving then, the nodes that read the source of the
/// mark state it again.
pub const FACT_TTL_MILLIS: u64 = 3_600_000;

/// The facts that a node has received or stated. The result of merging depends neither on the order
/// of the facts nor on repetitions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetTable {
    members: BTreeMap<NodeName, Member>,
    marks: BTreeMap<(UpstreamName, LeavingSource), LeavingMark>,
    crashes: BTreeMap<CrashId, Crash>,
    /// Run times in microseconds, by crash. A run time may arrive before its crash.
    run_times: BTreeMap<CrashId, u64>,
}

impl FleetTable {
    /// Merges facts. Returns those that were new; the caller has to forward them to other nodes.
    pub fn merge(&mut self, facts: impl IntoIterator<Item = Fact>, now_millis: u64) -> Vec<Fact> {
        facts.into_iter().filter(|fact| self.merge_fact(fact, now_millis)).collect()
    }

    /// All facts.
    pub fn facts(&self) -> Vec<Fact> {
        let members = self.members.values().cloned().map(Fact::Member);
        let marks = self.marks.values().cloned().map(Fact::Leaving);
        let crashes = self.crashes.values().cloned().map(Fact::Crash);
        let run_times = self.run_times.iter().map(|(crash, micros)| {
            Fact::RunTime(RunTime { crash: crash.clone(), micros: *micros })
        });
        members.chain(marks).chain(crashes).chain(run_times).collect()
    }

    /// Hash (xxh3) of all facts, by which nodes find that their facts differ; it is not a
    /// [`types::Digest`]. Nodes with the same facts have the same digest.
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        self.members.values().for_each(|member| member.hash(&mut hasher));
        self.marks.values().for_each(|mark| mark.hash(&mut hasher));
        self.crashes.values().for_each(|crash| crash.hash(&mut hasher));
        self.run_times.iter().for_each(|run_time| run_time.hash(&mut hasher));
        hasher.finish()
    }

    /// Drops the facts that are older than [`FACT_TTL_MILLIS`], except members that are alive.
    pub fn expire(&mut self, now_millis: u64) {
        self.members.retain(|_, member| !is_expired_member(member, now_millis));
        self.marks.retain(|_, mark| !is_expired(mark.since_millis, now_millis));
        self.crashes.retain(|id, _| !is_expired(id.at_millis, now_millis));
        self.run_times.retain(|id, _| !is_expired(id.at_millis, now_millis));
    }

    /// The members that are alive: neither suspect nor left.
    pub fn live_members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.state == MemberState::Alive)
    }

    /// The member fact of a node, if there is one.
    pub fn member(&self, node: &str) -> Option<&Member> {
        self.members.get(node)
    }

    /// Marks a member as suspect because its heartbeats are missing. Returns the fact if it is new.
    pub fn mark_suspect(&mut self, node: &str, now_millis: u64) -> Option<Fact> {
        let member = self.members.get(node)?;
        if member.state != MemberState::Alive {
            return None;
        }
        let state = MemberState::Suspect;
        let fact = Fact::Member(Member { state, since_millis: now_millis, ..member.clone() });
        self.merge_fact(&fact, now_millis).then_some(fact)
    }

    /// Refutes that this node, whose member fact is `own`, is suspect. Returns the new member fact,
    /// or `None` if the node is not suspect.
    pub fn refute(&mut self, own: &Member, now_millis: u64) -> Option<Member> {
        let known = self.members.get(&own.node)?;
        if known.incarnation != own.incarnation || known.state != MemberState::Suspect {
            return None;
        }
        let refutations = known.refutations + 1;
        let refuted = Member { refutations, since_millis: now_millis, ..own.clone() };
        self.merge_fact(&Fact::Member(refuted.clone()), now_millis);
        Some(refuted)
    }

    /// Records a heartbeat of `node`. Returns a new fact if the heartbeat refutes that the node is
    /// suspect. A heartbeat of another incarnation is ignored, because it lacks the address; a new
    /// process sends its own member fact.
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
        let refuted = Member { refutations, state, since_millis, ..member.clone() };
        let fact = Fact::Member(refuted);
        self.merge_fact(&fact, now_millis).then_some(fact)
    }

    /// Records whether `source` states that an upstream is leaving. Returns the fact if it is new.
    /// If the source has never stated that the upstream is leaving, nothing is recorded until it
    /// does.
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
        self.merge_fact(&fact, now_millis).then_some(fact)
    }

    /// Whether any source states that an upstream is leaving.
    pub fn is_leaving(&self, upstream: &UpstreamName) -> bool {
        [LeavingSource::VmList, LeavingSource::Engine, LeavingSource::Operator].into_iter().any(
            |source| self.marks.get(&(upstream.clone(), source)).is_some_and(|mark| mark.leaving),
        )
    }

    /// The upstreams that are leaving according to `source`.
    pub fn leaving_upstreams(&self, source: LeavingSource) -> Vec<UpstreamName> {
        let marks = self.marks.values().filter(|mark| mark.source == source && mark.leaving);
        marks.map(|mark| mark.upstream.clone()).collect()
    }

    /// Records that an engine crashed while it ran the request with `fingerprint`.
    /// `engine_incarnation` is the incarnation of the engine that crashed. Returns the fact to send
    /// to other nodes.
    pub fn record_crash(
        &mut self,
        id: CrashId,
        fingerprint: Digest,
        (engine, engine_incarnation): (UpstreamName, u64),
    ) -> Fact {
        let now_millis = id.at_millis;
        let fact =
            Fact::Crash(Crash { id, fingerprint, engine, engine_incarnation, cleared: false });
        self.merge_fact(&fact, now_millis);
        fact
    }

    /// Records how long the request of a crash had run on the engine. Returns the fact to send to
    /// other nodes.
    pub fn record_run_time(&mut self, crash: CrashId, run_time: Duration) -> Fact {
        let micros = u64::try_from(run_time.as_micros()).unwrap_or(u64::MAX);
        let now_millis = crash.at_millis;
        let fact = Fact::RunTime(RunTime { crash, micros });
        self.merge_fact(&fact, now_millis);
        fact
    }

    /// Clears all crashes during a request after the request has succeeded. Returns the facts to
    /// send to other nodes.
    pub fn clear_crashes(&mut self, fingerprint: Digest) -> Vec<Fact> {
        let crashes = self.crashes.values_mut();
        crashes
            .filter(|crash| crash.fingerprint == fingerprint && !crash.cleared)
            .map(|crash| {
                crash.cleared = true;
                Fact::Crash(crash.clone())
            })
            .collect()
    }

    /// Number of engine processes that crashed while they ran a request, without the crashes that
    /// are cleared. If several copies of the request ran on one process, its crash counts once.
    pub fn crash_count(&self, fingerprint: Digest) -> usize {
        let uncleared =
            self.crashes.values().filter(|c| c.fingerprint == fingerprint && !c.cleared);
        uncleared
            .map(|crash| (&crash.engine, crash.engine_incarnation))
            .collect::<BTreeSet<_>>()
            .len()
    }

    /// Whether a request is to be refused because engines crashed while they ran it, and no other
    /// request explains these crashes. `limit` is the number of crashes from which a request may be
    /// refused.
    pub fn is_poison(&self, fingerprint: Digest, limit: usize) -> bool {
        crashes::is_poison(&self.crashed_runs(), fingerprint, limit)
    }

    /// Whether another request ran on an engine process that crashed during this one.
    pub fn shares_crash(&self, fingerprint: Digest) -> bool {
        crashes::shares_crash(&self.crashed_runs(), fingerprint)
    }

    /// When the newest crash of a request that is not cleared was recorded, in milliseconds since
    /// the Unix epoch.
    pub fn last_crash_millis(&self, fingerprint: Digest) -> Option<u64> {
        let own = self.crashes.values().filter(|c| c.fingerprint == fingerprint && !c.cleared);
        own.map(|crash| crash.id.at_millis).max()
    }

    /// The crashes that are not cleared, by request.
    fn crashed_runs(&self) -> HashMap<Digest, CrashedRuns> {
        let mut runs: HashMap<Digest, CrashedRuns> = HashMap::new();
        for crash in self.crashes.values().filter(|crash| !crash.cleared) {
            let run_time =
                self.run_times.get(&crash.id).map(|micros| Duration::from_micros(*micros));
            runs.entry(crash.fingerprint)
                .or_default()
                .add((crash.engine.clone(), crash.engine_incarnation), run_time);
        }
        runs
    }

    /// Whether a request is suspected of crashing engines: it has a crash that is not cleared.
    pub fn is_suspect_request(&self, fingerprint: Digest) -> bool {
        self.crashes.values().any(|crash| crash.fingerprint == fingerprint && !crash.cleared)
    }

    /// Merges a fact. Returns whether it was new.
    fn merge_fact(&mut self, fact: &Fact, now_millis: u64) -> bool {
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
                if stale || is_expired(mark.since_millis, now_millis) {
                    return false;
                }
                self.marks.insert(key.clone(), mark.clone());
                if self.marks.len() > MAX_LEAVING_MARKS {
                    self.marks.pop_last();
                }
                self.marks.contains_key(&key)
            }
            Fact::Crash(crash) => {
                if is_expired(crash.id.at_millis, now_millis) {
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
            Fact::RunTime(RunTime { crash, micros }) => {
                let is_known = self.run_times.get(crash).is_some_and(|known| known <= micros);
                if is_known || is_expired(crash.at_millis, now_millis) {
                    return false;
                }
                self.run_times.insert(crash.clone(), *micros);
                if self.run_times.len() > MAX_CRASHES {
                    self.run_times.pop_first();
                }
                self.run_times.contains_key(crash)
            }
        }
    }
}

fn is_expired_member(member: &Member, now_millis: u64) -> bool {
    member.state != MemberState::Alive && is_expired(member.since_millis, now_millis)
}

fn is_expired(since_millis: u64, now_millis: u64) -> bool {
    since_millis.saturating_add(FACT_TTL_MILLIS) < now_millis
}
