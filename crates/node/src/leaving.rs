//! Leaving marks: what this node sees of upstreams that are leaving, and what it does with the
//! marks that any node has seen.
//!
//! A mark ends with a newer statement of its own source: a later version of the list of VMs, a new
//! incarnation of the engine, or a later revision of the configuration.

use std::collections::BTreeSet;

use fleet::{Fact, MarkSource};
use types::UpstreamName;
use vms::api::{VmRole, VmSnapshot};

use crate::state::Node;

impl Node {
    /// Takes what the list of VMs says. A VM that is no longer listed is not leaving any more.
    pub(crate) fn observe_list(&self, snapshot: &VmSnapshot) {
        let mut marked: BTreeSet<UpstreamName> =
            self.fleet.borrow().leaving_by(MarkSource::VmList).into_iter().collect();
        let mut news = Vec::new();
        for vm in snapshot.vms.iter().filter(|vm| vm.role != VmRole::Node) {
            let name = UpstreamName::from(vm.name.as_str());
            marked.remove(&name);
            news.extend(self.observe(&name, MarkSource::VmList, snapshot.version, vm.leaving));
        }
        for name in marked {
            news.extend(self.observe(&name, MarkSource::VmList, snapshot.version, false));
        }
        self.spread(news);
    }

    /// Takes what an engine says about itself.
    pub(crate) fn observe_engine(&self, name: &UpstreamName, incarnation: u64, leaving: bool) {
        let news = self.observe(name, MarkSource::Engine, incarnation, leaving);
        self.spread(news.into_iter().collect());
    }

    /// Takes the exceptions of the configuration in force. Returns the facts to spread.
    pub(crate) fn observe_exceptions(&self) -> Vec<Fact> {
        let Some(config) = self.config.borrow().current() else { return Vec::new() };
        let mut upstreams = self.fleet.borrow().leaving_by(MarkSource::Operator);
        let leaving = config.exceptions.iter().filter(|exception| exception.leaving);
        upstreams.extend(leaving.map(|exception| exception.name.as_str().into()));
        let mut news = Vec::new();
        for name in upstreams {
            let leaving = config.is_leaving(&name);
            news.extend(self.observe(&name, MarkSource::Operator, config.revision, leaving));
        }
        self.apply_marks();
        news
    }

    /// Merges facts and acts on those that are news.
    pub(crate) fn merge_facts(&self, facts: Vec<Fact>) -> Vec<Fact> {
        let now = self.clock.unix_millis();
        let news = self.fleet.borrow_mut().merge(facts, now);
        for fact in &news {
            if let Fact::Member(member) = fact {
                tracing::info!(peer = %member.node, state = ?member.state, "member has changed");
            }
        }
        if news.iter().any(|fact| matches!(fact, Fact::Leaving(_))) {
            self.apply_marks();
        }
        news
    }

    /// Whether an operator has marked an upstream, or any node has seen that it leaves.
    pub(crate) fn is_leaving(&self, name: &UpstreamName) -> bool {
        let configured = self.config.borrow().current();
        configured.is_some_and(|config| config.is_leaving(name))
            || self.fleet.borrow().is_leaving(name)
    }

    /// Sends facts to the peers at once.
    pub(crate) fn spread(&self, news: Vec<Fact>) {
        if news.is_empty() {
            return;
        }
        if news.iter().any(|fact| matches!(fact, Fact::Leaving(_))) {
            self.apply_marks();
        }
        self.peers.push(news);
    }

    fn observe(
        &self,
        name: &UpstreamName,
        source: MarkSource,
        sequence: u64,
        leaving: bool,
    ) -> Option<Fact> {
        let now = self.clock.unix_millis();
        self.fleet.borrow_mut().observe(name, source, sequence, leaving, now)
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
