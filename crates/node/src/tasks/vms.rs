//! Follows the platform's list of VMs: adds and removes engines, replicas of plain services and
//! other nodes.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use clock::supervise;
use routing::EngineState;
use types::{NodeName, ServiceName, UpstreamName};
use vms::api::{Vm, VmRole, VmSnapshot};

use super::engine::poll_engine;
use crate::{replicas::Replica, state::Node};

/// Interval at which the list of VMs is read. Together with the delay of the list itself it bounds
/// how long a leaving upstream still gets new work.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Delay of the second read after a first failed one. The second uses a new connection.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Reads the list of VMs at intervals and applies its changes.
pub(crate) async fn poll_vms(node: Rc<Node>) {
    let mut failed = false;
    while !node.stop.is_raised() {
        let failed_before = failed;
        match node.vm_list.list().await {
            Ok(snapshot) => {
                node.apply_vms(&snapshot);
                failed = false;
            }
            Err(error) => {
                tracing::warn!(%error, "list of VMs cannot be read; the last one is kept");
                failed = true;
            }
        }
        node.maintain_members();
        // Only the first of several failures is retried early: that suffices for a connection that
        // went silent, and a list that is down is not polled faster than one that works.
        let pause = if failed && !failed_before { RETRY_DELAY } else { POLL_INTERVAL };
        node.clock.sleep(pause).await;
    }
}

impl Node {
    fn apply_vms(self: &Rc<Self>, snapshot: &VmSnapshot) {
        let mut engines = BTreeSet::new();
        let mut replicas = BTreeSet::new();
        let mut nodes = BTreeMap::new();
        self.record_vm_list(snapshot);
        for vm in &snapshot.vms {
            let name = UpstreamName::from(vm.name.as_str());
            match &vm.role {
                VmRole::Engine => {
                    self.apply_engine(&name, vm);
                    engines.insert(name);
                }
                VmRole::Service(service) => {
                    self.apply_replica(service, &name, vm);
                    replicas.insert(name);
                }
                VmRole::Node if vm.leaving || vm.name == *self.settings.name => {}
                VmRole::Node => {
                    nodes.insert(NodeName::from(vm.name.as_str()), vm.addr);
                }
            }
        }
        self.listed_nodes.replace(nodes);
        self.engines.borrow_mut().retain(|name, _| engines.contains(name));
        self.view.borrow_mut().engines.retain(|name, _| engines.contains(name));
        for known in self.replicas.borrow_mut().by_service.values_mut() {
            known.retain(|name, _| replicas.contains(name));
        }
    }

    fn apply_engine(self: &Rc<Self>, name: &UpstreamName, vm: &Vm) {
        let leaving = vm.leaving || self.is_leaving(name);
        let known = self.view.borrow().engines.get(name).map(|state| state.addr);
        if known != Some(vm.addr) {
            tracing::info!(upstream = %name, addr = %vm.addr, "engine joined");
            let client = self.connector.engine(vm.addr);
            let state = EngineState::new(vm.addr, vm.domain.clone());
            self.view.borrow_mut().engines.insert(name.clone(), state);
            self.engines.borrow_mut().insert(name.clone(), client.clone());
            let (node, name) = (self.clone(), name.clone());
            compio::runtime::spawn(async move {
                let poll = || poll_engine(node.clone(), name.clone(), client.clone());
                supervise(&*node.clock, "engine", poll).await;
            })
            .detach();
        }
        if let Some(state) = self.view.borrow_mut().engines.get_mut(name) {
            state.leaving = leaving;
        }
    }

    fn apply_replica(&self, service: &ServiceName, name: &UpstreamName, vm: &Vm) {
        let leaving = vm.leaving || self.is_leaving(name);
        let mut replicas = self.replicas.borrow_mut();
        let known = replicas.by_service.entry(service.clone()).or_default();
        match known.get_mut(name) {
            Some(replica) if replica.addr == vm.addr => replica.leaving = leaving,
            _ => {
                tracing::info!(%service, upstream = %name, addr = %vm.addr, "replica joined");
                let client = self.connector.service(vm.addr);
                let replica = Replica { client, addr: vm.addr, leaving, suspect_until: None };
                known.insert(name.clone(), replica);
            }
        }
    }
}
