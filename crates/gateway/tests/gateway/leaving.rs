//! Upstreams that say in their answers that they are leaving.

use std::{net::SocketAddr, time::Duration};

use callers::RoutedResponse;
use peers::{Datagram, DatagramSocket};
use types::Verdict;

use crate::support::{Fixture, Step, bind, body, event};

/// Longer than the time for which an upstream that has said that it is leaving may still be used if
/// there is no other one: half of the shortest change limit.
const LAST_USE: Duration = Duration::from_millis(500);
/// Time within which the gateway has read a change from the key-value service.
const READ_TIME: Duration = Duration::from_millis(700);
/// Time within which a datagram arrives and is applied.
const DATAGRAM_TIME: Duration = Duration::from_millis(60);

impl Fixture {
    /// Makes an upstream say in all its answers that it is leaving.
    fn leave(&self, name: &str) {
        self.upstreams.leaving.borrow_mut().push(name.into());
    }

    /// Sends requests until `name` was called, each answered as `step` says.
    async fn call(&self, path: &str, name: &str, step: &Step) {
        for _ in 0..64 {
            // A refused or failed request may be sent again.
            self.upstreams.steps.borrow_mut().clear();
            self.push_steps([step.clone(), step.clone(), step.clone(), step.clone()]);
            let count = self.called_upstreams().len();
            if let Ok(response) = self.send(path).await {
                drop(response);
            }
            if self.called_upstreams()[count..].iter().any(|called| called == name) {
                self.upstreams.steps.borrow_mut().clear();
                self.upstreams.calls.borrow_mut().clear();
                return;
            }
        }
        panic!("{name} was never called");
    }

    /// Sends requests to the plain service, and returns the upstreams that were called.
    async fn call_replicas(&self) -> Vec<String> {
        self.upstreams.calls.borrow_mut().clear();
        self.push_steps(vec![Step::Answer(200, "done"); 8]);
        for _ in 0..8 {
            self.send("/any/1").await.expect("a replica is left");
        }
        self.called_upstreams()
    }

    /// Sends requests for streams, and returns the engines of their paths.
    async fn call_engines(&self) -> Vec<String> {
        self.upstreams.calls.borrow_mut().clear();
        for _ in 0..8 {
            self.push_steps([Step::Events(vec![0])]);
            body(self.send("/drafts/x").await.expect("a path is left")).await;
        }
        let calls = self.upstreams.calls.borrow();
        calls.iter().flat_map(|(_, call)| stage_names(call)).collect()
    }
}

fn stage_names(call: &upstreams::Call) -> Vec<String> {
    call.stages.iter().map(|stage| stage.engine.to_string()).collect()
}

/// Guards against calls to a worker that serves for two seconds after an answer of its own says
/// that it is leaving, whatever kind of answer that is.
#[compio::test]
async fn an_upstream_that_says_in_any_answer_that_it_leaves_gets_no_new_calls() {
    for step in [
        Step::Answer(200, "done"),
        Step::Answer(404, "no"),
        Step::Answer(500, "no"),
        Step::Unsigned(200),
        Step::Refuse(503),
    ] {
        let fixture = Fixture::ready().await;
        fixture.leave("r1");
        fixture.call("/any/x", "r1", &step).await;
        // Failures and refusals make the gateway avoid an upstream for a while anyway.
        compio::time::sleep(Duration::from_millis(1100)).await;
        assert_eq!(fixture.call_replicas().await, ["r2"; 8], "{step:?}");
    }
}

/// Guards against a leaving worker that stays in use because the key-value service is away, or
/// because its entry still says that it serves, or says so again later.
#[compio::test]
async fn an_upstream_that_leaves_stays_out_whatever_the_key_value_service_says() {
    let fixture = Fixture::ready().await;
    fixture.leave("r1");
    fixture.store.is_down.set(true);
    fixture.call("/any/x", "r1", &Step::Answer(200, "done")).await;
    assert_eq!(fixture.call_replicas().await, ["r2"; 8], "the service is away");
    fixture.store.is_down.set(false);
    fixture.store.write("upstreams/r1", Some("registry 10.0.0.1:80 a up -"));
    compio::time::sleep(READ_TIME * 2).await;
    assert_eq!(fixture.call_replicas().await, ["r2"; 8], "its entry says that it serves");
    fixture.store.history_gone.set(true);
    compio::time::sleep(READ_TIME * 2).await;
    assert_eq!(fixture.call_replicas().await, ["r2"; 8], "everything was read again");
}

/// Guards against a worker whose entry lapses and comes back, and that gets calls again although
/// the process is still the one that is leaving.
#[compio::test]
async fn a_leaving_upstream_whose_entry_comes_back_is_still_leaving() {
    let fixture = Fixture::ready().await;
    fixture.leave("r1");
    fixture.call("/any/x", "r1", &Step::Answer(200, "done")).await;
    fixture.store.write("upstreams/r1", None);
    compio::time::sleep(READ_TIME).await;
    fixture.store.write("upstreams/r1", Some("registry 10.0.0.1:80 a up -"));
    compio::time::sleep(READ_TIME).await;
    assert_eq!(fixture.call_replicas().await, ["r2"; 8]);
}

/// Guards against a worker that restarts under its name and is shut out for ever.
#[compio::test]
async fn an_upstream_that_restarts_after_leaving_is_used_again() {
    let fixture = Fixture::ready().await;
    fixture.leave("r1");
    fixture.call("/any/x", "r1", &Step::Answer(200, "done")).await;
    fixture.upstreams.leaving.borrow_mut().clear();
    fixture.store.write("upstreams/r2", None);
    fixture.store.write("upstreams/r1", Some("registry 10.0.0.1:80 a up - 2"));
    compio::time::sleep(READ_TIME).await;
    assert_eq!(fixture.call_replicas().await, ["r1"; 8]);
}

/// Guards against a leaving engine on new paths, and against a stream that leaves it: what runs on
/// it is finished there.
#[compio::test]
async fn a_stream_that_says_its_engine_leaves_goes_on_while_new_paths_avoid_the_engine() {
    let fixture = Fixture::ready().await;
    fixture.leave("e1");
    fixture.leave("e3");
    let step = Step::EventsAroundPause {
        before: vec![0],
        pause: Duration::from_millis(20),
        after: vec![1],
    };
    fixture.push_steps([step]);
    let running = fixture.send("/drafts/x").await.expect("the stream begins");
    let leaving = fixture.called_upstreams()[0].clone();
    fixture.upstreams.leaving.borrow_mut().clear();
    assert!(!fixture.call_engines().await.contains(&leaving));
    assert_eq!(body(running).await, Some(event(0) + &event(1)));
}

/// Guards against an answer that is forgotten because its caller disconnects before its end.
#[compio::test]
async fn the_head_of_a_stream_counts_although_its_caller_disconnects() {
    let fixture = Fixture::ready().await;
    fixture.leave("e1");
    let step = Step::EventsThenSilence(vec![0]);
    fixture.call("/drafts/x", "e1", &step).await;
    assert!(!fixture.call_engines().await.contains(&"e1".to_owned()));
}

/// Guards against an order to an engine that has just said in its report that it is leaving.
#[compio::test]
async fn an_engine_that_says_in_its_report_that_it_leaves_gets_no_order() {
    let fixture = Fixture::ready().await;
    fixture.leave("e5");
    fixture.store.write("upstreams/e3", None);
    fixture.store.write("upstreams/e5", Some("drafts 10.0.1.5:80 b up none"));
    compio::runtime::spawn(gateway::run_planner(fixture.gateway.clone())).detach();
    compio::time::sleep(READ_TIME * 2).await;
    assert_eq!(ordered(&fixture), Vec::<String>::new(), "it is leaving");
    fixture.store.write("upstreams/e6", Some("drafts 10.0.1.6:80 b up none"));
    compio::time::sleep(READ_TIME * 2).await;
    assert_eq!(ordered(&fixture), ["e6"], "the order goes to another engine");
}

/// The engines that were ordered to load layers, in the order of the orders.
fn ordered(fixture: &Fixture) -> Vec<String> {
    fixture.upstreams.orders.borrow().iter().map(|(name, _)| name.clone()).collect()
}

/// Guards against a planner that counts on the layers of a leaving engine until its entry says so,
/// and against one that orders the same layers again and again when several copies of them leave at
/// the same moment.
#[compio::test]
async fn the_planner_replaces_engines_once_as_soon_as_they_say_that_they_leave() {
    let fixture = Fixture::ready().await;
    compio::runtime::spawn(gateway::run_planner(fixture.gateway.clone())).detach();
    for (name, domain) in [("e5", "a"), ("e6", "b")] {
        let entry = format!("drafts 10.0.1.{}:80 {domain} up none", &name[1..]);
        fixture.store.write(&format!("upstreams/{name}"), Some(&entry));
    }
    compio::time::sleep(READ_TIME * 2).await;
    fixture.upstreams.orders.borrow_mut().clear();
    fixture.leave("e1");
    fixture.leave("e3");
    fixture.call("/drafts/x", "e1", &Step::Events(vec![0])).await;
    fixture.call("/drafts/x", "e3", &Step::Events(vec![0])).await;
    compio::time::sleep(READ_TIME).await;
    let mut first = ordered(&fixture);
    first.sort_unstable();
    assert_eq!(first, ["e5", "e6"], "each copy is completed by one engine of its domain");
    compio::time::sleep(READ_TIME * 3).await;
    assert_eq!(ordered(&fixture).len(), 2, "no order is repeated");
}

/// Guards against a refusal of all requests when all copies of a layer range leave at the same
/// moment, and against requests that reach them after the time for which they still serve.
#[compio::test]
async fn engines_that_leave_together_serve_for_a_while_and_then_get_no_requests() {
    let fixture = Fixture::ready().await;
    fixture.leave("e1");
    fixture.leave("e3");
    fixture.call("/drafts/x", "e1", &Step::Events(vec![0])).await;
    fixture.call("/drafts/x", "e3", &Step::Events(vec![0])).await;
    assert!(!fixture.call_engines().await.is_empty(), "they still serve");
    compio::time::sleep(LAST_USE).await;
    fixture.upstreams.calls.borrow_mut().clear();
    for _ in 0..4 {
        let refusal = fixture.send("/drafts/x").await.err().expect("no engine is left");
        assert_eq!(refusal.failure.verdict, Verdict::NotRun);
    }
    assert_eq!(fixture.called_upstreams(), Vec::<String>::new());
}

/// A gateway that exchanges datagrams with sockets that are registered as nodes of the given
/// domains, and the address of the gateway's own socket.
async fn fixture_with_peers(domains: &[&str]) -> (Fixture, Vec<DatagramSocket>, SocketAddr) {
    let own = bind().await;
    let addr = own.local_addr().expect("the socket is bound");
    let fixture = Fixture::ready().await;
    let mut peers = Vec::new();
    for (number, domain) in domains.iter().enumerate() {
        let peer = bind().await;
        let peer_addr = peer.local_addr().expect("the socket is bound");
        fixture
            .store
            .write(&format!("gypsumrack/nodes/{number}"), Some(&format!("{peer_addr} {domain}")));
        peers.push(peer);
    }
    compio::runtime::spawn(gateway::exchange_datagrams(fixture.gateway.clone(), own)).detach();
    compio::time::sleep(READ_TIME).await;
    (fixture, peers, addr)
}

/// The datagrams about leaving upstreams that a socket has received.
async fn received(socket: &DatagramSocket) -> Vec<Datagram> {
    let mut updates = Vec::new();
    while let Ok(received) = compio::time::timeout(DATAGRAM_TIME, socket.receive()).await {
        if let Some(update @ (Datagram::Leaving(_) | Datagram::RelayLeaving(_))) =
            received.expect("the socket is bound")
        {
            updates.push(update);
        }
    }
    updates
}

/// Guards against nodes that each find out by themselves that an upstream is leaving, and against
/// one that tells the others again with every answer.
#[compio::test]
async fn the_other_nodes_are_told_once_that_an_upstream_is_leaving() {
    let (fixture, peers, _) = fixture_with_peers(&["b"]).await;
    fixture.leave("r1");
    let slow = Step::AnswerAfter { pause: Duration::from_millis(50), body: "done" };
    fixture.push_steps(vec![slow; 8]);
    let calls = (0..8).map(|_| fixture.send("/any/x"));
    for answer in futures_util::future::join_all(calls).await {
        drop::<RoutedResponse>(answer.expect("a replica answers"));
    }
    assert_eq!(received(&peers[0]).await, [Datagram::Leaving(vec![("r1".into(), 1)])]);
}

/// Guards against a node that does not believe another one, or that passes nothing on within its
/// domain, or passes on the same news again.
#[compio::test]
async fn what_another_node_says_about_a_leaving_engine_is_believed_and_passed_on_once() {
    let (fixture, peers, addr) = fixture_with_peers(&["b", "a"]).await;
    let news = vec![("e2".into(), 1), ("e4".into(), 7)];
    for _ in 0..2 {
        peers[0].send(&Datagram::RelayLeaving(news.clone()), &[addr]).await;
    }
    assert_eq!(received(&peers[1]).await, [Datagram::Leaving(news)]);
    assert_eq!(received(&peers[0]).await, []);
    let engines = fixture.call_engines().await;
    assert!(!engines.contains(&"e2".to_owned()), "{engines:?}");
    // The incarnation that leaves is not known yet.
    assert!(engines.contains(&"e4".to_owned()), "{engines:?}");
    fixture.store.write("upstreams/e2", Some("drafts 10.0.1.2:80 a up 5-10 2"));
    fixture.store.write("upstreams/e4", Some("drafts 10.0.1.4:80 b up 5-10 7"));
    compio::time::sleep(READ_TIME).await;
    assert!(!fixture.call_engines().await.contains(&"e4".to_owned()));
}
