//! Leaving marks: what this node sees of upstreams that are leaving, and what it does with the
//! marks that any node has seen.
//!
//! A mark ends with a newer statement of its own source: a later version of the list of VMs, a new
//! incarnation of the engine, or a later revision of the configuration.

use std::collections::BTreeSet;

use fleet::{Fact, LeavingSource};
use types::UpstreamName;
use vms::api::{VmRole, VmSnapshot};

use crate::state::Node;

impl Node {
    /// Takes what the list of VMs says. A VM that is no longer listed is not leaving any more.
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

    /// Takes what an engine says about itself.
    pub(crate) fn record_engine_leaving(
        &self,
        name: &UpstreamName,
        incarnation: u64,
        leaving: bool,
    ) {
        let changes = self.record_leaving(name, LeavingSource::Engine, incarnation, leaving);
        self.broadcast(changes.into_iter().collect());
    }

    /// Takes the exceptions of the configuration in force. Returns the facts to spread.
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

    /// Merges facts and acts on those that are new.
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

    /// Whether an operator has marked an upstream, or any node has seen that it leaves.
    pub(crate) fn is_leaving(&self, name: &UpstreamName) -> bool {
        let configured = self.config.borrow().current();
        configured.is_some_and(|config| config.is_leaving(name))
            || self.fleet.borrow().is_leaving(name)
    }

    /// Sends facts to the peers at once.
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

    /// Keeps new work from the upstreams that are marked, and gives it to those whose marks have
    /// ended. What the list of VMs says is applied when the list is read.
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
