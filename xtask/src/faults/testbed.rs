//! The processes of one case.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    time::Duration,
};

use http::StatusCode;
use loadgen::CallerClient;
use serde::Serialize;
use settings::{FleetConfig, ServiceConfig};
use standins::{keyvalue::KeyValueFaults, service::ServiceFaults};
use transport::{HttpClient, Timeouts};

use crate::{
    cluster::{CONTROL_TIMEOUTS, Cluster, Process},
    faults::{CaseReport, Context, completions, filings::SendRecord},
    workload::{DOMAINS, fleet_config},
};

/// Organisation of the callers.
pub(crate) const ORGANISATION: &str = "organisation-1";
/// Time that nodes have to learn of the service.
const START_LIMIT: Duration = Duration::from_secs(10);

/// What a case starts.
pub(crate) struct Setup {
    pub(crate) nodes: usize,
    pub(crate) services: usize,
    pub(crate) config: ServiceConfig,
    /// Engines for each layer range.
    pub(crate) replicas: u32,
    /// Puts a relay before every other process that nodes talk to.
    pub(crate) relays: bool,
}

/// The cluster of a case and what its callers saw.
pub(crate) struct Testbed {
    pub(crate) cluster: Cluster,
    pub(super) callers: Vec<CallerClient>,
    /// Filings that were sent.
    pub(super) sends: RefCell<Vec<SendRecord>>,
    /// Runs that services had counted before they ended.
    pub(super) past_runs: RefCell<BTreeMap<String, u32>>,
    /// Time beyond which no answer is late, added to the deadline of each filing.
    pub(super) late: Cell<Duration>,
    pub(super) report: RefCell<CaseReport>,
}

impl Default for Setup {
    fn default() -> Setup {
        let config = ServiceConfig::default();
        Setup { nodes: 2, services: 1, config, replicas: 0, relays: false }
    }
}

impl Testbed {
    /// Starts the processes and waits until every node reaches the service.
    pub(crate) async fn start(context: &Context, setup: Setup) -> Testbed {
        let mut cluster = Cluster::start(&context.directory);
        if setup.relays {
            cluster.add_relays();
        }
        for index in 0..setup.services {
            cluster.add_service(&format!("registry-{index}"), DOMAINS[index % 3]).await;
        }
        for spec in completions::engine_specs(setup.replicas) {
            cluster.add_engine(&spec).await;
        }
        let services = BTreeMap::from([("registry".into(), setup.config)]);
        cluster.configure(&FleetConfig { services, ..fleet_config() }).await;
        for index in 0..setup.nodes {
            cluster.add_node(&format!("node-{index}"), DOMAINS[index % 3]).await;
        }
        let callers = cluster
            .nodes
            .iter()
            .map(|node| CallerClient::new(cluster.clock.clone(), node.port("callers")))
            .collect();
        let testbed = Testbed {
            cluster,
            callers,
            sends: RefCell::default(),
            late: Cell::default(),
            past_runs: RefCell::default(),
            report: RefCell::default(),
        };
        if setup.services > 0 {
            for node in &testbed.cluster.nodes {
                testbed.wait_service(node).await;
            }
        }
        let ready = testbed.cluster.wait_ready(testbed.cluster.engines.len()).await;
        testbed.check(ready, || "the nodes are not ready".into());
        testbed
    }

    /// Notes a problem unless `holds`.
    pub(crate) fn check(&self, holds: bool, problem: impl FnOnce() -> String) {
        if !holds {
            self.problem(problem());
        }
    }

    pub(crate) fn problem(&self, problem: String) {
        self.report.borrow_mut().problems.push(problem);
    }

    /// Notes the recovery time; the worst one counts.
    pub(crate) fn recovered(&self, time: Duration) {
        let recovery = &mut self.report.borrow_mut().recovery;
        *recovery = Some(recovery.map_or(time, |known| known.max(time)));
    }

    pub(crate) fn note(&self, note: String) {
        self.report.borrow_mut().note = Some(note);
    }

    /// Sets the faults of the key-value service.
    pub(crate) async fn store_faults(&self, faults: KeyValueFaults) {
        self.control(&self.cluster.keyvalue, &faults).await;
    }

    /// Sets the faults of a replica of the service.
    pub(crate) async fn service_faults(&self, service: usize, faults: ServiceFaults) {
        self.control(&self.cluster.services[service], &faults).await;
    }

    /// Sets the faults of any test double.
    pub(crate) async fn control<T: Serialize>(&self, process: &Process, faults: &T) {
        if let Err(error) = self.cluster.control(process, faults).await {
            self.problem(format!("faults of {} cannot be set: {error}", process.name));
        }
    }

    /// Waits until a node passes calls on to the service.
    pub(crate) async fn wait_service(&self, node: &Process) {
        let index = self.cluster.nodes.iter().position(|other| other.name == node.name);
        let deadline = self.cluster.clock.now() + START_LIMIT;
        while !self.read_service(index.unwrap_or_default(), CONTROL_TIMEOUTS.progress).await {
            if self.cluster.clock.now() > deadline {
                return self.problem(format!("{} does not reach the service", node.name));
            }
            self.sleep(50).await;
        }
    }

    /// Sends a call that may be repeated. Returns whether it was answered in time.
    pub(crate) async fn read_service(&self, node: usize, limit: Duration) -> bool {
        let addr = self.cluster.nodes[node].port("callers");
        let client = HttpClient::new(self.cluster.clock.clone(), addr);
        let request = http::Request::get("/services/registry/healthz")
            .header("host", "gypsumrack")
            .header("x-organisation", ORGANISATION)
            .header("x-deadline-ms", limit.as_millis().to_string())
            .body(transport::Body::empty())
            .expect("request is valid");
        let timeouts = Timeouts { progress: limit, ..CONTROL_TIMEOUTS };
        let response = client.send_on_new_connection(request, timeouts).await;
        response.is_ok_and(|response| response.status() == StatusCode::OK)
    }

    pub(crate) async fn sleep(&self, millis: u64) {
        self.cluster.clock.sleep(Duration::from_millis(millis)).await;
    }
}
