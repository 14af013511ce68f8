//! Leaving marks: facts that say which upstreams are leaving. This module records those that this
//! node learns from a source, and keeps new work from all marked upstreams, whichever node learnt
//! of them.
//!
//! A mark has one of three sources: the list of VMs, the engine itself or an operator's exception
//! in the configuration. It ends when the same source no longer says that the upstream is leaving,
//! in a later version of the list, a new incarnation of the engine or a later revision.

use std::collections::BTreeSet;

use fleet::{Fact, LeavingSource};
use types::UpstreamName;
use vms::api::{VmRole, VmSnapshot};

use crate::state::Node;

impl Node {
    /// Records which upstreams are leaving according to the list of VMs. The mark of a VM that is
    /// no longer listed ends.
    pub(crate) fn record_vm_list(&self, snapshot: &VmSnapshot) {
        let mut marked: BTreeSet<UpstreamName> =
            self.fleet.borrow().leaving_upstreams(LeavingSource::VmList).into_iter().collect();
        let mut changes = Vec::new();
        for vm in snapshot.vms.iter().filter(|vm| vm.role != VmRole::Node) {
            let name = UpstreamName::from(vm.name.as_str());
            marked.remove(&name);
            changes.extend(self.record_leaving(
                &name,
                LeavingSource::VmList,
                snapshot.version,
                vm.leaving,
            ));
        }
        for name in marked {
            changes.extend(self.record_leaving(
                &name,
                LeavingSource::VmList,
                snapshot.version,
                false,
            ));
        }
        self.broadcast(changes);
    }

    /// Records whether an engine reports that it is leaving.
    pub(crate) fn record_engine_leaving(
        &self,
        name: &UpstreamName,
        incarnation: u64,
        leaving: bool,
    ) {
        let changes = self.record_leaving(name, LeavingSource::Engine, incarnation, leaving);
        self.broadcast(changes.into_iter().collect());
    }

    /// Records which upstreams are leaving according to the exceptions of the configuration in
    /// force. Returns the new facts, which have to be sent to the peers.
    pub(crate) fn record_exceptions(&self) -> Vec<Fact> {
        let Some(config) = self.config.borrow().current() else { return Vec::new() };
        let mut upstreams = self.fleet.borrow().leaving_upstreams(LeavingSource::Operator);
        let leaving = config.exceptions.iter().filter(|exception| exception.leaving);
        upstreams.extend(leaving.map(|exception| exception.name.as_str().into()));
        let mut changes = Vec::new();
        for name in upstreams {
            let leaving = config.is_leaving(&name);
            changes.extend(self.record_leaving(
                &name,
                LeavingSource::Operator,
                config.revision,
                leaving,
            ));
        }
        self.apply_marks();
        changes
    }

    /// Merges facts from a peer into the fleet table and applies the new ones. Returns the new
    /// facts.
    pub(crate) fn merge_facts(&self, facts: Vec<Fact>) -> Vec<Fact> {
        let now = self.clock.unix_millis();
        let changes = self.fleet.borrow_mut().merge(facts, now);
        for fact in &changes {
            if let Fact::Member(member) = fact {
                tracing::info!(peer = %member.node, state = ?member.state, "member has changed");
            }
        }
        if changes.iter().any(|fact| matches!(fact, Fact::Leaving(_))) {
            self.apply_marks();
        }
        changes
    }

    /// Whether an upstream is leaving, according to an exception of the configuration in force or
    /// to a mark in the fleet table.
    pub(crate) fn is_leaving(&self, name: &UpstreamName) -> bool {
        let configured = self.config.borrow().current();
        configured.is_some_and(|config| config.is_leaving(name))
            || self.fleet.borrow().is_leaving(name)
    }

    /// Sends new facts to the peers, and applies any leaving marks among them.
    pub(crate) fn broadcast(&self, changes: Vec<Fact>) {
        if changes.is_empty() {
            return;
        }
        if changes.iter().any(|fact| matches!(fact, Fact::Leaving(_))) {
            self.apply_marks();
        }
        self.peers.push(changes);
    }

    fn record_leaving(
        &self,
        name: &UpstreamName,
        source: LeavingSource,
        sequence: u64,
        leaving: bool,
    ) -> Option<Fact> {
        let now = self.clock.unix_millis();
        self.fleet.borrow_mut().record_leaving(name, source, sequence, leaving, now)
    }

    /// Updates `leaving` of all engines and replicas, which keeps new work from them. It leaves out
    /// what the local list of VMs says, which is applied each time the list is read.
    fn apply_marks(&self) {
        for (name, engine) in &mut self.view.borrow_mut().engines {
            engine.leaving = self.is_leaving(name);
        }
        for replicas in self.replicas.borrow_mut().by_service.values_mut() {
            for (name, replica) in replicas {
                replica.leaving = self.is_leaving(name);
            }
        }
    }
}
