//! Filings run at most once and get correct verdicts while nodes fail and callers repeat sends.

use std::time::Duration;

use futures_util::{future::join_all, join};
use loadgen::Filing;
use settings::ServiceConfig;
use standins::{keyvalue::KeyValueFaults, service::ServiceFaults};
use types::Verdict::{MayHaveRun, NotRun, Ran};

use crate::{
    faults::{
        Case, CaseReport, Context,
        filings::{filing, first_filing},
        testbed::{Setup, Testbed},
    },
    workload::DOMAINS,
};

/// Number of keys that are each sent through two nodes at the same time.
const RACED_KEYS: usize = 60;
/// Time that a slow service takes for a call.
const SLOW_MILLIS: u64 = 500;
/// Time after which the service has received the call but has not run it yet.
const SENT_MILLIS: u64 = 200;

/// The cases of this module.
pub(crate) fn cases() -> Vec<Case> {
    vec![
        Case::new("claims/node-killed-before-send", "R3 R4", "node killed", killed_before_send),
        Case::new("claims/node-killed-after-send", "R3 R4", "node killed", killed_after_send),
        Case::new("claims/node-killed-before-answer", "R3 R4", "node killed", killed_before_answer),
        Case::new("claims/node-restarted", "R4", "node killed", restarted),
        Case::new("claims/node-paused-before-send", "R3 R4", "F6", paused_before_send),
        Case::new("claims/node-paused-past-deadline", "R3 R4", "F6", paused_past_deadline),
        Case::new("claims/node-paused-after-send", "R3 R4", "F6", paused_after_send),
        Case::new("claims/racing-nodes", "R4", "repeated send", racing_nodes),
        Case::new(
            "claims/racing-nodes-slow-service",
            "R4",
            "repeated send",
            racing_nodes_slow_service,
        ),
        Case::new("claims/caller-hangs-up", "R2 R4", "repeated send", caller_hangs_up),
        Case::new(
            "claims/caller-gone-before-claim",
            "R3",
            "repeated send",
            caller_gone_before_claim,
        ),
        Case::new("claims/other-content", "R3", "repeated send", other_content),
        Case::new("claims/no-key", "R4", "answer lost", no_key),
    ]
}

async fn start_default(context: &Context) -> Testbed {
    Testbed::start(context, Setup::default()).await
}

fn slow_service() -> ServiceFaults {
    ServiceFaults { delay_millis: SLOW_MILLIS, ..ServiceFaults::default() }
}

/// Loses the answer to the write of the claim. The claim is stored, but the node does not know that
/// yet and has not sent the call to the service.
fn lost_claim_answer() -> KeyValueFaults {
    KeyValueFaults { lose_answers: 1, ..KeyValueFaults::default() }
}

async fn killed_before_send(context: Context) -> CaseReport {
    let testbed = start_default(&context).await;
    testbed.set_store_faults(lost_claim_answer()).await;
    let original = first_filing("key");
    let retry = async {
        testbed.wait_claim("key").await;
        testbed.cluster.nodes[0].kill();
        let first_retry = testbed.send(1, &filing("key")).await;
        testbed.expect("immediate retry", &first_retry, MayHaveRun);
    };
    join!(testbed.send(0, &original), retry);
    let later = testbed.send(1, &filing("key")).await;
    testbed.expect("later retry", &later, MayHaveRun);
    testbed.expect_runs("key", 0).await;
    testbed.finish().await
}

async fn killed_after_send(context: Context) -> CaseReport {
    let config =
        ServiceConfig { lookup: Some("/filings/by-key/{key}".into()), ..ServiceConfig::default() };
    let setup = Setup { config, ..Setup::default() };
    let testbed = Testbed::start(&context, setup).await;
    testbed.set_service_faults(0, slow_service()).await;
    let original = first_filing("key");
    let retry = async {
        testbed.sleep(SENT_MILLIS).await;
        testbed.cluster.nodes[0].kill();
        let short_retry = Filing { deadline: Duration::from_millis(100), ..filing("key") };
        let first_retry = testbed.send(1, &short_retry).await;
        testbed.expect("immediate retry", &first_retry, MayHaveRun);
    };
    join!(testbed.send(0, &original), retry);
    testbed.wait_run("key").await;
    testbed.set_service_faults(0, ServiceFaults::default()).await;
    let later = testbed.send(1, &filing("key")).await;
    testbed.expect("retry after the run, with a lookup", &later, Ran);
    testbed.expect_runs("key", 1).await;
    testbed.finish().await
}

async fn killed_before_answer(context: Context) -> CaseReport {
    let testbed = start_default(&context).await;
    let faults = ServiceFaults { lose_answers: 1, ..ServiceFaults::default() };
    testbed.set_service_faults(0, faults).await;
    let original = first_filing("key");
    let retry = async {
        testbed.wait_run("key").await;
        testbed.cluster.nodes[0].kill();
        let first_retry = testbed.send(1, &filing("key")).await;
        testbed.expect("immediate retry", &first_retry, MayHaveRun);
    };
    join!(testbed.send(0, &original), retry);
    let later = testbed.send(1, &filing("key")).await;
    testbed.expect("later retry", &later, MayHaveRun);
    testbed.expect_runs("key", 1).await;
    testbed.finish().await
}

/// A restarted node must not treat the claims of the earlier process of the same name as its own.
async fn restarted(context: Context) -> CaseReport {
    let testbed = start_default(&context).await;
    testbed.set_service_faults(0, slow_service()).await;
    let original = first_filing("key");
    let restart = async {
        testbed.sleep(SENT_MILLIS).await;
        testbed.cluster.restart_node(0, DOMAINS[0]);
        testbed.wait_service(&testbed.cluster.nodes[0]).await;
    };
    join!(testbed.send(0, &original), restart);
    testbed.wait_run("key").await;
    let retry = testbed.send(0, &filing("key")).await;
    testbed.expect("retry at the restarted node", &retry, MayHaveRun);
    testbed.send_until_ran(0, &first_filing("fresh")).await;
    testbed.expect_runs("key", 1).await;
    testbed.finish().await
}

async fn paused_before_send(context: Context) -> CaseReport {
    let testbed = start_default(&context).await;
    testbed.set_store_faults(lost_claim_answer()).await;
    pause_and_repeat(testbed, async |testbed| testbed.wait_claim("key").await).await
}

/// Sends a filing, pauses its node once `begun` has completed, and repeats the filing at another
/// node during the pause and after it.
async fn pause_and_repeat(testbed: Testbed, begun: impl AsyncFnOnce(&Testbed)) -> CaseReport {
    let original = Filing { deadline: Duration::from_secs(6), ..first_filing("key") };
    let retries = async {
        begun(&testbed).await;
        testbed.cluster.nodes[0].pause();
        let paused = testbed.send(1, &filing("key")).await;
        testbed.expect("retry during the pause", &paused, MayHaveRun);
        testbed.cluster.nodes[0].resume();
    };
    let (first, ()) = join!(testbed.send(0, &original), retries);
    testbed.expect("first send", &first, Ran);
    let after = testbed.send(1, &filing("key")).await;
    testbed.expect("retry after the pause", &after, Ran);
    testbed.expect_equal("replay", &first, &after);
    testbed.expect_runs("key", 1).await;
    testbed.finish().await
}

/// A node that was paused beyond the deadline of a request must not send it to the service.
async fn paused_past_deadline(context: Context) -> CaseReport {
    let testbed = start_default(&context).await;
    testbed.allow_late(Duration::from_secs(2));
    testbed.set_store_faults(lost_claim_answer()).await;
    let original = Filing { deadline: Duration::from_secs(1), ..first_filing("key") };
    let pause = async {
        testbed.wait_claim("key").await;
        testbed.cluster.nodes[0].pause();
        testbed.cluster.clock.sleep(context.around(2000)).await;
        testbed.cluster.nodes[0].resume();
    };
    let (first, ()) = join!(testbed.send(0, &original), pause);
    testbed.expect("first send", &first, NotRun);
    testbed.expect_runs("key", 0).await;
    testbed.send_until_ran(1, &filing("key")).await;
    testbed.expect_runs("key", 1).await;
    testbed.finish().await
}

async fn paused_after_send(context: Context) -> CaseReport {
    let testbed = start_default(&context).await;
    testbed.set_service_faults(0, slow_service()).await;
    pause_and_repeat(testbed, async |testbed| testbed.sleep(SENT_MILLIS).await).await
}

async fn racing_nodes(context: Context) -> CaseReport {
    race(context, ServiceFaults::default()).await
}

async fn racing_nodes_slow_service(context: Context) -> CaseReport {
    race(context, ServiceFaults { delay_millis: 100, ..ServiceFaults::default() }).await
}

/// Sends each key through two nodes at the same time. Both have to return the answer of one run.
async fn race(context: Context, faults: ServiceFaults) -> CaseReport {
    let setup = Setup { nodes: 3, services: 2, ..Setup::default() };
    let testbed = Testbed::start(&context, setup).await;
    testbed.set_service_faults(0, faults.clone()).await;
    testbed.set_service_faults(1, faults).await;
    let races = (0..RACED_KEYS).map(|number| {
        let testbed = &testbed;
        async move {
            let key = format!("key-{number}");
            let repeated = Filing { deadline: Duration::from_secs(5), ..filing(&key) };
            let (one, other) = join!(
                testbed.send(number % 3, &repeated),
                testbed.send((number + 1) % 3, &repeated)
            );
            testbed.expect("first of two sends", &one, Ran);
            testbed.expect("second of two sends", &other, Ran);
            testbed.expect_equal("answers of two sends", &one, &other);
        }
    });
    join_all(races).await;
    for number in 0..RACED_KEYS {
        testbed.expect_runs(&format!("key-{number}"), 1).await;
    }
    testbed.finish().await
}

async fn caller_hangs_up(context: Context) -> CaseReport {
    let testbed = start_default(&context).await;
    testbed.set_service_faults(0, slow_service()).await;
    let after = context.around(SENT_MILLIS);
    testbed.send_and_hang_up(0, &first_filing("key"), after).await;
    let other = testbed.send(1, &filing("key")).await;
    testbed.expect("retry at another node", &other, Ran);
    let same = testbed.send(0, &filing("key")).await;
    testbed.expect("retry at the same node", &same, Ran);
    testbed.expect_equal("replay", &other, &same);
    testbed.expect_runs("key", 1).await;
    testbed.finish().await
}

/// A send whose caller hung up before its claim was granted must not run: another send of the key
/// may have been answered with `not-run` in the meantime.
async fn caller_gone_before_claim(context: Context) -> CaseReport {
    let testbed = start_default(&context).await;
    testbed
        .set_store_faults(KeyValueFaults { delay_millis: 300, ..KeyValueFaults::default() })
        .await;
    testbed.send_and_hang_up(0, &first_filing("key"), Duration::from_millis(100)).await;
    testbed.sleep(1500).await;
    testbed.set_store_faults(KeyValueFaults::default()).await;
    testbed.expect_runs("key", 0).await;
    let again = testbed.send(1, &filing("key")).await;
    testbed.expect("repeated send", &again, Ran);
    testbed.expect_runs("key", 1).await;
    testbed.finish().await
}

async fn other_content(context: Context) -> CaseReport {
    let testbed = start_default(&context).await;
    let first = testbed.send(0, &first_filing("key")).await;
    testbed.expect("first send", &first, Ran);
    let changed = Filing { text: "Claim of another bar".into(), ..filing("key") };
    for node in 0..2 {
        let refused = testbed.send(node, &changed).await;
        testbed.expect("send with other content", &refused, NotRun);
    }
    let replayed = testbed.send(1, &filing("key")).await;
    testbed.expect("repeated send", &replayed, Ran);
    testbed.expect_equal("replay", &first, &replayed);
    testbed.expect_runs("key", 1).await;
    testbed.finish().await
}

/// Without a key, a repeated send cannot be recognised, so the router must never send such a call
/// to the service twice.
async fn no_key(context: Context) -> CaseReport {
    let setup = Setup { services: 2, ..Setup::default() };
    let testbed = Testbed::start(&context, setup).await;
    let lost = ServiceFaults { lose_answers: 1, ..ServiceFaults::default() };
    testbed.set_service_faults(0, lost.clone()).await;
    testbed.set_service_faults(1, lost).await;
    let unanswered = testbed.send(0, &filing("")).await;
    testbed.expect("send without a key whose answer is lost", &unanswered, MayHaveRun);
    testbed.expect_runs("", 1).await;
    testbed.set_service_faults(0, ServiceFaults::default()).await;
    testbed.set_service_faults(1, ServiceFaults::default()).await;
    let answered = testbed.send(0, &filing("")).await;
    testbed.expect("send without a key", &answered, Ran);
    testbed.expect_runs("", 2).await;
    testbed.finish().await
}
