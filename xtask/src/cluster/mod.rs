//! A router with its test doubles as separate processes on loopback.

mod process;

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    time::Duration,
};

use clock::{Clock, RuntimeClock};
use keyvalue::{
    HttpKeyValue, KeyValue,
    api::{Expected, PutReply},
};
use operators::api::{NodeStatus, Readiness};
use serde::Serialize;
use settings::{FleetConfig, ListenAddrs, LogSettings, NodeSettings, PlatformAddrs};
use standins::vms::VmsControl;
use transport::{Body, CallError, HttpClient, Timeouts};
use vms::api::{Vm, VmRole};

pub(crate) use process::Process;

/// Deadlines of calls that control a test double.
pub(crate) const CONTROL_TIMEOUTS: Timeouts = Timeouts::from_millis(1000, 5000);
/// Name of the key-value service's process.
pub(crate) const KEYVALUE: &str = "keyvalue";
/// Name of the process of the list of VMs.
pub(crate) const VMS: &str = "vms";
/// Key of the configuration in the key-value service.
const CONFIG_KEY: &str = "config/current";
/// Largest text with metrics that is read, in bytes.
const MAX_METRICS_BYTES: usize = 1 << 20;
/// Time that a cluster has to become ready.
const START_LIMIT: Duration = Duration::from_secs(20);

/// An engine to start.
#[derive(Clone, Debug)]
pub(crate) struct EngineSpec {
    pub(crate) name: String,
    pub(crate) domain: String,
    pub(crate) args: Vec<String>,
}

/// All processes of a cluster. They end when it is dropped.
pub(crate) struct Cluster {
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) directory: PathBuf,
    pub(crate) keyvalue: Process,
    pub(crate) vms: Process,
    pub(crate) weights: Process,
    pub(crate) services: Vec<Process>,
    pub(crate) engines: Vec<Process>,
    pub(crate) nodes: Vec<Process>,
    /// Relays that stand in for the addresses of other processes.
    pub(crate) relays: Vec<Process>,
    /// Relay before the key-value service, if there is one.
    pub(crate) keyvalue_relay: Option<SocketAddr>,
    /// Relay before the list of VMs, if there is one.
    pub(crate) vms_relay: Option<SocketAddr>,
}

impl Cluster {
    /// Starts the platform's test doubles.
    pub(crate) fn start(name: &str) -> Cluster {
        let directory = workspace_root().join("target/xtask").join(name);
        std::fs::create_dir_all(&directory).expect("run directory can be created");
        let standin = |name: &str, args: &[&str]| {
            Process::spawn(&program("standins"), name, args.iter().copied(), &directory)
        };
        let keyvalue = standin(KEYVALUE, &["keyvalue"]);
        let vms = standin(VMS, &["vms"]);
        let weights = standin("weights", &["weights"]);
        let clock = Rc::new(RuntimeClock::new());
        Cluster {
            clock,
            keyvalue,
            vms,
            weights,
            services: Vec::new(),
            engines: Vec::new(),
            nodes: Vec::new(),
            relays: Vec::new(),
            keyvalue_relay: None,
            vms_relay: None,
            directory,
        }
    }

    /// Starts an engine and puts it on the list of VMs.
    pub(crate) async fn add_engine(&mut self, spec: &EngineSpec) {
        let mut args = vec!["engine".to_owned(), "--name".into(), spec.name.clone()];
        args.extend(spec.args.iter().cloned());
        let process = Process::spawn(&program("standins"), &spec.name, args, &self.directory);
        self.list(&spec.name, process.addr(), &spec.domain, VmRole::Engine).await;
        self.engines.push(process);
    }

    /// Starts a replica of the service `registry` and puts it on the list of VMs.
    pub(crate) async fn add_service(&mut self, name: &str, domain: &str) {
        let process = Process::spawn(&program("standins"), name, ["service"], &self.directory);
        let role = VmRole::Service("registry".into());
        self.list(name, process.addr(), domain, role).await;
        self.services.push(process);
    }

    /// Starts a node and puts it on the list of VMs.
    pub(crate) async fn add_node(&mut self, name: &str, domain: &str) {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let file = self.write_settings(name, domain, [any; 3]);
        let args = ["serve".into(), "--settings".into(), file];
        let process = Process::spawn(&program("gypsumrack"), name, args, &self.directory);
        self.list(name, process.port("peers"), domain, VmRole::Node).await;
        self.nodes.push(process);
    }

    /// Starts an ended node again at its old addresses.
    pub(crate) fn restart_node(&self, index: usize, domain: &str) {
        let node = &self.nodes[index];
        node.kill();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let ports = ["callers", "operators", "peers"].map(|n| node.find_port(n).unwrap_or(any));
        self.write_settings(&node.name, domain, ports);
        node.relaunch(&[]);
    }

    /// Starts a relay before the key-value service and the list of VMs, and from now on before
    /// each engine and service that is listed.
    pub(crate) fn add_relays(&mut self) {
        self.keyvalue_relay = Some(self.add_relay(KEYVALUE, self.keyvalue.addr()));
        self.vms_relay = Some(self.add_relay(VMS, self.vms.addr()));
    }

    /// The relay before a process.
    pub(crate) fn relay(&self, name: &str) -> &Process {
        let name = relay_name(name);
        let found = self.relays.iter().find(|relay| relay.name == name);
        found.unwrap_or_else(|| panic!("there is no {name}"))
    }

    fn add_relay(&mut self, name: &str, target: SocketAddr) -> SocketAddr {
        let args = ["relay".into(), format!("--target={target}")];
        let name = relay_name(name);
        let process = Process::spawn(&program("standins"), &name, args, &self.directory);
        let addr = process.port("relay");
        self.relays.push(process);
        addr
    }

    /// Writes the first configuration.
    pub(crate) async fn configure(&self, config: &FleetConfig) {
        let store = self.store();
        let put = store.put(CONFIG_KEY, Expected::Absent, config.to_toml(), None).await;
        assert!(matches!(put, Ok(PutReply::Stored(_))), "configuration was written: {put:?}");
    }

    /// A client of the key-value service.
    pub(crate) fn store(&self) -> HttpKeyValue {
        HttpKeyValue::new(self.clock.clone(), self.keyvalue.addr(), CONTROL_TIMEOUTS)
    }

    /// Waits until every node is ready and knows `engines` engines as available.
    pub(crate) async fn wait_ready(&self, engines: usize) -> bool {
        let deadline = self.clock.now() + START_LIMIT;
        for node in &self.nodes {
            while self.available_engines(node).await < engines {
                if self.clock.now() > deadline {
                    return false;
                }
                self.clock.sleep(Duration::from_millis(50)).await;
            }
        }
        true
    }

    /// Sends a control message to a test double.
    pub(crate) async fn control<T: Serialize>(
        &self,
        process: &Process,
        message: &T,
    ) -> Result<(), CallError> {
        let client = HttpClient::new(self.clock.clone(), process.addr());
        client.post_json("/control", message, CONTROL_TIMEOUTS).await
    }

    /// Writes the settings file of a node that listens for callers, operators and peers.
    fn write_settings(&self, name: &str, domain: &str, ports: [SocketAddr; 3]) -> String {
        let [callers, operators, peers] = ports;
        let settings = NodeSettings {
            name: name.into(),
            domain: domain.into(),
            region: "demo".into(),
            drain_ms: 10_000,
            listen: ListenAddrs { callers, operators, peers },
            platform: PlatformAddrs {
                keyvalue: self.keyvalue_relay.unwrap_or(self.keyvalue.addr()),
                vms: self.vms_relay.unwrap_or(self.vms.addr()),
                weights: self.weights.addr(),
            },
            log: LogSettings::default(),
        };
        let file = self.directory.join(format!("{name}.toml"));
        let text = toml::to_string(&settings).expect("settings are serializable");
        std::fs::write(&file, text).expect("settings file can be written");
        file.to_string_lossy().into_owned()
    }

    /// The metrics of a node in the Prometheus text format; empty if they cannot be read.
    pub(crate) async fn metrics(&self, node: &Process) -> String {
        let client = HttpClient::new(self.clock.clone(), node.port("operators"));
        let request = http::Request::get("/metrics").header("host", "gypsumrack");
        let request = request.body(Body::empty()).expect("request is valid");
        let Ok(response) = client.send(request, CONTROL_TIMEOUTS).await else {
            return String::new();
        };
        let body = response.collect(MAX_METRICS_BYTES, CONTROL_TIMEOUTS.progress).await;
        String::from_utf8_lossy(&body.unwrap_or_default()).into_owned()
    }

    /// The state of a node, if it answers.
    pub(crate) async fn status(&self, node: &Process) -> Option<NodeStatus> {
        let client = HttpClient::new(self.clock.clone(), node.port("operators"));
        client.get_json("/status", CONTROL_TIMEOUTS).await.ok()
    }

    async fn available_engines(&self, node: &Process) -> usize {
        let Some(status) = self.status(node).await else { return 0 };
        if status.readiness != Readiness::Ready {
            return 0;
        }
        status.engines.iter().filter(|engine| engine.available).count()
    }

    async fn list(&mut self, name: &str, addr: SocketAddr, domain: &str, role: VmRole) {
        let addr = if self.vms_relay.is_some() { self.add_relay(name, addr) } else { addr };
        let vm = Vm { name: name.into(), addr, domain: domain.into(), role, leaving: false };
        let listed = self.control(&self.vms, &VmsControl::Put(vm)).await;
        assert!(listed.is_ok(), "VM was listed: {listed:?}");
    }
}

/// Root of the workspace.
pub(crate) fn workspace_root() -> PathBuf {
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR"));
    manifest.parent().unwrap_or(manifest).to_path_buf()
}

fn relay_name(name: &str) -> String {
    format!("relay-{name}")
}

/// Path of a binary of the workspace, which is built beside this one.
pub(crate) fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("own path is known");
    own.with_file_name(name)
}
