use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;
use settings::{FleetConfig, ModelConfig, ServiceConfig};
use standins::keyvalue::KeyValueCalls;
use transport::HttpClient;

use super::{
    report::{BenchReport, Expectation, Row},
    usage,
};
use crate::{
    cluster::{CONTROL_TIMEOUTS, Cluster, EngineSpec, Process},
    workload::DOMAINS,
};

/// Nodes and engines of the fleets that run at the same time. Two groups keep the row under 100 s.
const GROUPS: [[(usize, usize); 3]; 2] = [[(3, 8), (6, 8), (24, 8)], [(12, 8), (12, 16), (12, 32)]];
const SETTLE: Duration = Duration::from_secs(5);
const LENGTH: Duration = Duration::from_secs(10);
const MODEL: &str = "permits";
const LAYERS: usize = 24;
const STAGES: usize = 4;
/// Metric of the nodes that counts bytes between them.
const PEER_BYTES: &str = "gypsumrack_peer_bytes_total{";
/// Targets for each node: percent of a core, MB and bytes per second.
const MAX_CPU: f64 = 2.7;
const MAX_MEMORY: f64 = 32.0;
const MAX_BYTES: f64 = 4000.0;

/// Control cost of a fleet without requests.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Point {
    pub(crate) nodes: usize,
    pub(crate) engines: usize,
    /// Percent of a core.
    pub(crate) cpu: Cost,
    /// MB.
    pub(crate) memory: Cost,
    /// Bytes per second between nodes, sent and received.
    pub(crate) bytes: Cost,
    /// Calls of the key-value service per second, of all nodes together.
    pub(crate) calls: CallRates,
}

/// Cost over the nodes of a fleet.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Cost {
    pub(crate) mean: f64,
    pub(crate) worst: f64,
}

/// Calls per second by kind.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct CallRates {
    reads: f64,
    writes: f64,
    watches: f64,
}

/// Counters of a fleet at one time.
struct Counters {
    /// Seconds of CPU of each node.
    cpu: Vec<f64>,
    /// Bytes of each node.
    bytes: Vec<f64>,
    calls: KeyValueCalls,
}

/// Measures what nodes cost while there are no requests.
pub(crate) async fn run(report: &mut BenchReport) {
    for group in GROUPS {
        measure(&group, &mut report.control).await;
    }
    report.control.sort_by_key(|point| (point.nodes, point.engines));
    for point in report.control.clone() {
        print(&point);
        let name = format!("control, {} nodes, {} engines", point.nodes, point.engines);
        for (cost, unit, kind, target) in [
            (point.cpu, "% of a core", "CPU", MAX_CPU),
            (point.memory, "MB", "memory", MAX_MEMORY),
            (point.bytes, "B/s", "bytes", MAX_BYTES),
        ] {
            report.add(Row {
                name: format!("{name}, {kind} of the worst node"),
                unit,
                figure: cost.worst,
                baseline: target,
                baseline_name: "target".into(),
                target: Expectation::AtMost(1.0),
            });
        }
    }
    print_slopes(&report.control);
}

async fn measure(sizes: &[(usize, usize)], points: &mut Vec<Point>) {
    let mut clusters = Vec::new();
    for (nodes, engines) in sizes {
        clusters.push(start(*nodes, *engines).await);
    }
    let Some(clock) = clusters.first().map(|cluster| cluster.clock.clone()) else { return };
    clock.sleep(SETTLE).await;
    let mut before = Vec::new();
    for cluster in &clusters {
        before.push((clock.now(), counters(cluster).await));
    }
    clock.sleep(LENGTH).await;
    for (cluster, (start, before)) in clusters.iter().zip(before) {
        let seconds = clock.now().since(start).as_secs_f64();
        points.push(point(cluster, &before, &counters(cluster).await, seconds));
    }
}

async fn start(nodes: usize, engines: usize) -> Cluster {
    let mut cluster = Cluster::start(&format!("bench-control-{nodes}-{engines}"));
    cluster.add_service("registry-0", DOMAINS[0]).await;
    for index in 0..engines {
        cluster.add_engine(&engine(index)).await;
    }
    cluster.configure(&config()).await;
    for index in 0..nodes {
        cluster.add_node(&format!("node-{index}"), DOMAINS[index % DOMAINS.len()]).await;
    }
    assert!(cluster.wait_ready(engines).await, "{nodes} nodes are ready");
    cluster
}

fn engine(index: usize) -> EngineSpec {
    let (stage, replica) = (index % STAGES, index / STAGES);
    let layers = LAYERS / STAGES;
    EngineSpec {
        name: format!("{MODEL}-{stage}-{replica}"),
        domain: DOMAINS[replica % DOMAINS.len()].into(),
        args: vec![
            format!("--model={MODEL}"),
            format!("--first-layer={}", stage * layers),
            format!("--end-layer={}", (stage + 1) * layers),
        ],
    }
}

fn config() -> FleetConfig {
    let model = ModelConfig {
        version: "1".into(),
        layers: LAYERS as u32,
        replicas: 2,
        stages: Some(STAGES as u32),
    };
    FleetConfig {
        revision: 1,
        author: "xtask".into(),
        models: BTreeMap::from([(MODEL.into(), model)]),
        services: BTreeMap::from([("registry".into(), ServiceConfig::default())]),
        ..FleetConfig::default()
    }
}

async fn counters(cluster: &Cluster) -> Counters {
    // CPU is read before the metrics, so one reading of the metrics is counted.
    let cpu = cluster.nodes.iter().map(|node| usage::cpu_seconds(node.id())).collect();
    let mut bytes = Vec::new();
    for node in &cluster.nodes {
        bytes.push(peer_bytes(cluster, node).await);
    }
    let client = HttpClient::new(cluster.clock.clone(), cluster.keyvalue.addr());
    let calls = client.get_json("/control/calls", CONTROL_TIMEOUTS).await;
    Counters { cpu, bytes, calls: calls.expect("calls can be read") }
}

async fn peer_bytes(cluster: &Cluster, node: &Process) -> f64 {
    let text = cluster.metrics(node).await;
    assert!(text.contains(PEER_BYTES), "{} counts its bytes", node.name);
    let lines = text.lines().filter(|line| line.starts_with(PEER_BYTES));
    lines.filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok()).sum()
}

fn point(cluster: &Cluster, before: &Counters, after: &Counters, seconds: f64) -> Point {
    let rate = |before: u64, after: u64| after.saturating_sub(before) as f64 / seconds;
    let cpu: Vec<_> = rates(&before.cpu, &after.cpu, seconds).map(|rate| 100.0 * rate).collect();
    let bytes: Vec<_> = rates(&before.bytes, &after.bytes, seconds).collect();
    let memory: Vec<_> =
        cluster.nodes.iter().map(|node| usage::resident_megabytes(node.id())).collect();
    Point {
        nodes: cluster.nodes.len(),
        engines: cluster.engines.len(),
        cpu: Cost::of(&cpu),
        memory: Cost::of(&memory),
        bytes: Cost::of(&bytes),
        calls: CallRates {
            reads: rate(before.calls.reads, after.calls.reads),
            writes: rate(before.calls.writes, after.calls.writes),
            watches: rate(before.calls.watches, after.calls.watches),
        },
    }
}

fn rates(before: &[f64], after: &[f64], seconds: f64) -> impl Iterator<Item = f64> {
    before.iter().zip(after).map(move |(before, after)| (after - before) / seconds)
}

impl Cost {
    fn of(values: &[f64]) -> Cost {
        let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
        Cost { mean, worst: values.iter().copied().fold(0.0, f64::max) }
    }
}

fn print(point: &Point) {
    println!(
        "     control, {} nodes, {} engines, mean: {:.2} % of a core, {:.1} MB, {:.0} B/s; key-value service: {:.1} reads/s, {:.1} writes/s, {:.1} watches/s",
        point.nodes,
        point.engines,
        point.cpu.mean,
        point.memory.mean,
        point.bytes.mean,
        point.calls.reads,
        point.calls.writes,
        point.calls.watches
    );
}

fn print_slopes(points: &[Point]) {
    let by_nodes: Vec<_> = points.iter().filter(|point| point.engines == 8).collect();
    let by_engines: Vec<_> = points.iter().filter(|point| point.nodes == 12).collect();
    for (name, points, size) in [
        ("node", by_nodes, (|point| point.nodes as f64) as fn(&Point) -> f64),
        ("engine", by_engines, |point| point.engines as f64),
    ] {
        let slope = |cost: fn(&Point) -> f64| {
            slope(&points.iter().map(|point| (size(point), cost(point))).collect::<Vec<_>>())
        };
        println!(
            "     control, mean cost of a node for each further {name}: {:.4} % of a core, {:.3} MB, {:.2} B/s",
            slope(|point| point.cpu.mean),
            slope(|point| point.memory.mean),
            slope(|point| point.bytes.mean)
        );
    }
}

/// Slope of the least-squares line.
fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let x_mean = points.iter().map(|point| point.0).sum::<f64>() / count;
    let y_mean = points.iter().map(|point| point.1).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - x_mean) * (y - y_mean)).sum();
    covariance / points.iter().map(|(x, _)| (x - x_mean).powi(2)).sum::<f64>()
}
