//! Guards the verdict of a refusal that happens before the idempotency key was looked up. An
//! earlier send of the key through another node may have run, so the node must not answer
//! `not-run`.

use std::{net::SocketAddr, rc::Rc};

use callers::{RequestContext, RequestHandler, ServiceRequest};
use clock::ManualClock;
use node::NodeBuilder;
use settings::{ListenAddrs, LogSettings, NodeSettings, PlatformAddrs};
use types::{Class, Verdict};

fn settings() -> NodeSettings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    NodeSettings {
        name: "node-0".into(),
        domain: "north".into(),
        region: "home".into(),
        drain_ms: 1000,
        listen: ListenAddrs { callers: any, operators: any, peers: any },
        platform: PlatformAddrs { keyvalue: any, vms: any, weights: any },
        log: LogSettings::default(),
    }
}

fn filing(key: Option<&str>, first_send: bool) -> ServiceRequest {
    let organisation = "organisation".into();
    ServiceRequest {
        caller: RequestContext {
            id: "r".into(),
            organisation,
            class: Class::Interactive,
            deadline: None,
        },
        service: "registry".into(),
        method: http::Method::POST,
        path: "/filings".into(),
        headers: http::HeaderMap::new(),
        body: bytes::Bytes::new(),
        key: key.map(Into::into),
        first_send,
    }
}

#[test]
fn without_configuration_a_repeated_send_with_a_key_is_refused_as_may_have_run() {
    let runtime = compio::runtime::Runtime::new().expect("runtime can be created");
    runtime.block_on(async {
        let node = NodeBuilder::new(Rc::new(ManualClock::new()), settings()).build();
        let sends = [
            (filing(Some("key"), false), Verdict::MayHaveRun),
            (filing(Some("key"), true), Verdict::NotRun),
            (filing(None, false), Verdict::NotRun),
        ];
        for (request, expected) in sends {
            let failure = node.clone().call_service(request).await.expect_err("it is refused");
            assert_eq!(failure.verdict, expected, "{failure}");
        }
    });
}
