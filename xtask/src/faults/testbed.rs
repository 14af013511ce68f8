//! The cluster of processes that a case runs against, and the case's report.

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

/// Organisation that the callers belong to.
pub(crate) const ORGANISATION: &str = "organisation-1";
/// Time within which a node has to reach the service.
const START_LIMIT: Duration = Duration::from_secs(10);

/// The processes that a case starts, and the configuration of its service.
pub(crate) struct Setup {
    pub(crate) nodes: usize,
    pub(crate) services: usize,
    pub(crate) config: ServiceConfig,
    /// Number of engines for each layer range.
    pub(crate) replicas: u32,
    /// Puts a relay between the nodes and every other process that they connect to.
    pub(crate) relays: bool,
}

/// The cluster of a case, the records of its callers and its report.
pub(crate) struct Testbed {
    pub(crate) cluster: Cluster,
    pub(super) callers: Vec<CallerClient>,
    /// Every send of a filing, with its outcome.
    pub(super) sends: RefCell<Vec<SendRecord>>,
    /// Runs of each key on replicas that have ended and lost their counts.
    pub(super) past_runs: RefCell<BTreeMap<String, u32>>,
    /// Additional time within which a filing may be answered after its deadline.
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
    /// Starts the processes and waits until every node reaches the service and knows all engines.
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

    /// Adds a problem to the report unless `holds`.
    pub(crate) fn check(&self, holds: bool, problem: impl FnOnce() -> String) {
        if !holds {
            self.add_problem(problem());
        }
    }

    /// Adds a problem to the report, which makes the case fail.
    pub(crate) fn add_problem(&self, problem: String) {
        self.report.borrow_mut().problems.push(problem);
    }

    /// Records a recovery time. The report keeps the longest one.
    pub(crate) fn record_recovery(&self, time: Duration) {
        let recovery = &mut self.report.borrow_mut().recovery;
        *recovery = Some(recovery.map_or(time, |longest| longest.max(time)));
    }

    /// Sets the measurement that is printed beside the verdict.
    pub(crate) fn set_note(&self, note: String) {
        self.report.borrow_mut().note = Some(note);
    }

    /// Sets the faults of the key-value service.
    pub(crate) async fn set_store_faults(&self, faults: KeyValueFaults) {
        self.control(&self.cluster.keyvalue, &faults).await;
    }

    /// Sets the faults of a replica of the service.
    pub(crate) async fn set_service_faults(&self, service: usize, faults: ServiceFaults) {
        self.control(&self.cluster.services[service], &faults).await;
    }

    /// Sets the faults of any test double.
    pub(crate) async fn control<T: Serialize>(&self, process: &Process, faults: &T) {
        if let Err(error) = self.cluster.control(process, faults).await {
            self.add_problem(format!("faults of {} cannot be set: {error}", process.name));
        }
    }

    /// Waits until a node forwards calls to the service.
    pub(crate) async fn wait_service(&self, node: &Process) {
        let index = self.cluster.nodes.iter().position(|other| other.name == node.name);
        let deadline = self.cluster.clock.now() + START_LIMIT;
        while !self.read_service(index.unwrap_or_default(), CONTROL_TIMEOUTS.progress).await {
            if self.cluster.clock.now() > deadline {
                return self.add_problem(format!("{} does not reach the service", node.name));
            }
            self.sleep(50).await;
        }
    }

    /// Sends an idempotent call to the service. Returns whether it was answered with status 200
    /// within `limit`.
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
