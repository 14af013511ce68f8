//! A plain-text encoding of the routing table and of upstreams.

use std::{collections::BTreeMap, time::Duration};

use catalog::{
    AcceleratorKind, CatalogCodec, LatencyModel, ModelProfile, Phase, RetryPolicy, Route,
    RoutingTable, RoutingTableBuilder, Service, Upstream, WeightedService,
};
use types::{LayerRange, Organisation};

use super::{HOST, KEY};

/// Decodes a routing table from `VERSION [CHANGE]`, and an upstream from `SERVICE ADDR DOMAIN PHASE
/// START-END [INCARNATION]`, whose incarnation else is 1. A change is `empty`, which takes all
/// routes, services and keys away, `moved`, which sends all routes to a service without upstreams,
/// `short`, which lets requests take 10 ms, `long`, which lets them take 15 s, or `timed`, which
/// states how long engines take. An upstream in the domain `panic` makes the decoder
/// panic.
pub struct TextCodec;

impl CatalogCodec for TextCodec {
    fn table_key(&self) -> &'static str {
        "table"
    }

    fn upstream_prefix(&self) -> &'static str {
        "upstreams/"
    }

    fn decode_table(&self, value: &[u8]) -> Result<RoutingTable, String> {
        let text = std::str::from_utf8(value).map_err(|error| error.to_string())?;
        let (version, change) = text.split_once(' ').unwrap_or((text, ""));
        let version = version.parse().map_err(|_| format!("{version:?} is no version"))?;
        Ok(table(version, change))
    }

    fn decode_upstream(&self, name: &str, value: &[u8]) -> Result<Upstream, String> {
        let text = std::str::from_utf8(value).map_err(|error| error.to_string())?;
        let fields: Vec<&str> = text.split(' ').collect();
        let [service, addr, domain, phase, layers, ref rest @ ..] = fields[..] else {
            return Err("fewer than five fields".into());
        };
        assert_ne!(domain, "panic", "the decoder is to panic");
        let incarnation = rest.first().copied().unwrap_or("1");
        let layers = layers.split_once('-').map(|(start, end)| LayerRange {
            start: start.parse().unwrap_or_default(),
            end: end.parse().unwrap_or_default(),
        });
        Ok(Upstream {
            name: name.into(),
            incarnation: incarnation.parse().map_err(|_| "no incarnation".to_owned())?,
            service: service.into(),
            addr: addr.parse().map_err(|_| "no address".to_owned())?,
            domain: domain.into(),
            capacity: 8,
            phase: if phase == "up" { Phase::Serving } else { Phase::Leaving },
            accelerator_kind: (service == "drafts").then(|| "gpu".into()),
            layers,
        })
    }
}

/// Times of engines that meet all targets.
fn latency() -> LatencyModel {
    LatencyModel {
        step_ms: 0.1,
        sequence_ms: 0.01,
        context_ms: 0.01,
        read_rate: 100_000.0,
        pairs_ms: 0.0,
        chunk: 512.0,
        event_steps: 5.0,
        usual_prompt: 10.0,
        usual_answer: 10.0,
        crossing_ms: 0.5,
        transfer_ms: 0.0,
        read_factors: BTreeMap::from([("gpu".into(), 1.0)]),
    }
}

fn table(version: u64, change: &str) -> RoutingTable {
    if change == "empty" {
        let other = Organisation::from("other");
        return RoutingTableBuilder::new(version).organisation(&other, None, ["k".into()]).build();
    }
    let route = |prefix: &str, retry, service: &str| Route {
        name: prefix.into(),
        host: HOST.into(),
        path_prefix: prefix.into(),
        retry,
        timeout: Duration::from_millis(match change {
            "short" => 10,
            "long" => 15_000,
            _ => 1500,
        }),
        latency_target: Duration::from_millis(200),
        max_gap: Some(Duration::from_millis(50)),
        priority: 1,
        max_entries: 2,
        public: false,
        weighted_services: vec![WeightedService {
            service: if change == "moved" { "nowhere" } else { service }.into(),
            weight: 1,
        }],
    };
    let kind = AcceleratorKind { memory_mb: 1000.0, step_factor: 1.0 };
    let engine = ModelProfile {
        layers: 10,
        layer_mb: 50.0,
        kv_bytes: 10_000.0,
        // A single request of 20 tokens uses up what may cross between failure domains.
        crossing_rate: Some(8.0),
        latency: (change == "timed").then(latency),
        accelerators: BTreeMap::from([("gpu".into(), kind)]),
    };
    let drafts = Service { model_profile: Some(std::sync::Arc::new(engine)) };
    RoutingTableBuilder::new(version)
        .route(route("/once/", RetryPolicy::AtMostOnce, "registry"))
        .route(route("/any/", RetryPolicy::Idempotent, "registry"))
        .route(route("/drafts/", RetryPolicy::Stream { resumable: true }, "drafts"))
        .route(route("/single/", RetryPolicy::Stream { resumable: false }, "drafts"))
        .service("registry".into(), Service::default())
        .service("drafts".into(), drafts)
        .organisation(&Organisation::from("family"), None, [KEY.into()])
        .size_limits(1000, 1000)
        .build()
}
