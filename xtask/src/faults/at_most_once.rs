//! At most once and honest verdicts while nodes fail and callers repeat themselves.

use std::time::Duration;

use futures_util::{future::join_all, join};
use loadgen::Filing;
use settings::ServiceConfig;
use standins::{keyvalue::KeyValueFaults, service::ServiceFaults};
use types::Verdict::{MayHaveRun, NotRun, Ran};

use crate::{
    faults::{
        Case, Context, Report,
        bench::{Bench, Setup},
        filings::{filing, first_filing},
    },
    workload::DOMAINS,
};

/// Keys that two nodes race for.
const RACED_KEYS: usize = 60;
/// Time that a slow service takes, in milliseconds.
const SLOW_MILLIS: u64 = 500;
/// Part of that time after which a call has certainly been sent, in milliseconds.
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
        Case::new("claims/racing-nodes-slow-service", "R4", "repeated send", racing_slowly),
        Case::new("claims/caller-hangs-up", "R2 R4", "repeated send", caller_hangs_up),
        Case::new("claims/caller-gone-before-claim", "R3", "repeated send", caller_gone),
        Case::new("claims/other-content", "R3", "repeated send", other_content),
        Case::new("claims/no-key", "R4", "answer lost", no_key),
    ]
}

async fn default_bench(context: &Context) -> Bench {
    Bench::start(context, Setup::default()).await
}

fn slow_service() -> ServiceFaults {
    ServiceFaults { delay_millis: SLOW_MILLIS, ..ServiceFaults::default() }
}

/// Loses the answer to the claim's write, so that the node holds a claim that it does not know
/// of yet and has not sent the call.
fn lost_claim_answer() -> KeyValueFaults {
    KeyValueFaults { lose_answers: 1, ..KeyValueFaults::default() }
}

async fn killed_before_send(context: Context) -> Report {
    let bench = default_bench(&context).await;
    bench.store_faults(lost_claim_answer()).await;
    let original = first_filing("key");
    let retry = async {
        bench.wait_claim("key").await;
        bench.cluster.nodes[0].kill();
        let at_once = bench.send(1, &filing("key")).await;
        bench.expect("retry at once", &at_once, MayHaveRun);
    };
    join!(bench.send(0, &original), retry);
    let later = bench.send(1, &filing("key")).await;
    bench.expect("later retry", &later, MayHaveRun);
    bench.expect_runs("key", 0).await;
    bench.finish().await
}

async fn killed_after_send(context: Context) -> Report {
    let config =
        ServiceConfig { lookup: Some("/filings/by-key/{key}".into()), ..ServiceConfig::default() };
    let setup = Setup { config, ..Setup::default() };
    let bench = Bench::start(&context, setup).await;
    bench.service_faults(0, slow_service()).await;
    let original = first_filing("key");
    let retry = async {
        bench.sleep(SENT_MILLIS).await;
        bench.cluster.nodes[0].kill();
        let impatient = Filing { deadline: Duration::from_millis(100), ..filing("key") };
        let at_once = bench.send(1, &impatient).await;
        bench.expect("retry at once", &at_once, MayHaveRun);
    };
    join!(bench.send(0, &original), retry);
    bench.wait_run("key").await;
    bench.service_faults(0, ServiceFaults::default()).await;
    let later = bench.send(1, &filing("key")).await;
    bench.expect("retry after the run, with a lookup", &later, Ran);
    bench.expect_runs("key", 1).await;
    bench.finish().await
}

async fn killed_before_answer(context: Context) -> Report {
    let bench = default_bench(&context).await;
    let faults = ServiceFaults { lose_answers: 1, ..ServiceFaults::default() };
    bench.service_faults(0, faults).await;
    let original = first_filing("key");
    let retry = async {
        bench.wait_run("key").await;
        bench.cluster.nodes[0].kill();
        let at_once = bench.send(1, &filing("key")).await;
        bench.expect("retry at once", &at_once, MayHaveRun);
    };
    join!(bench.send(0, &original), retry);
    let later = bench.send(1, &filing("key")).await;
    bench.expect("later retry", &later, MayHaveRun);
    bench.expect_runs("key", 1).await;
    bench.finish().await
}

/// A process of the same name must not take the claims of the earlier one for its own.
async fn restarted(context: Context) -> Report {
    let bench = default_bench(&context).await;
    bench.service_faults(0, slow_service()).await;
    let original = first_filing("key");
    let restart = async {
        bench.sleep(SENT_MILLIS).await;
        bench.cluster.restart_node(0, DOMAINS[0]);
        bench.wait_service(&bench.cluster.nodes[0]).await;
    };
    join!(bench.send(0, &original), restart);
    bench.wait_run("key").await;
    let retry = bench.send(0, &filing("key")).await;
    bench.expect("retry at the restarted node", &retry, MayHaveRun);
    bench.send_until_ran(0, &first_filing("fresh")).await;
    bench.expect_runs("key", 1).await;
    bench.finish().await
}

async fn paused_before_send(context: Context) -> Report {
    let bench = default_bench(&context).await;
    bench.store_faults(lost_claim_answer()).await;
    pause_and_repeat(bench, async |bench| bench.wait_claim("key").await).await
}

/// Pauses the node that has a filing once `begun` has completed, and repeats the filing at another
/// node during the pause and after it.
async fn pause_and_repeat(bench: Bench, begun: impl AsyncFnOnce(&Bench)) -> Report {
    let original = Filing { deadline: Duration::from_secs(6), ..first_filing("key") };
    let retries = async {
        begun(&bench).await;
        bench.cluster.nodes[0].pause();
        let paused = bench.send(1, &filing("key")).await;
        bench.expect("retry during the pause", &paused, MayHaveRun);
        bench.cluster.nodes[0].resume();
    };
    let (first, ()) = join!(bench.send(0, &original), retries);
    bench.expect("first send", &first, Ran);
    let after = bench.send(1, &filing("key")).await;
    bench.expect("retry after the pause", &after, Ran);
    bench.expect_equal("replay", &first, &after);
    bench.expect_runs("key", 1).await;
    bench.finish().await
}

/// A node that was paused until its request's deadline has passed must not send it any more.
async fn paused_past_deadline(context: Context) -> Report {
    let bench = default_bench(&context).await;
    bench.allow_late(Duration::from_secs(2));
    bench.store_faults(lost_claim_answer()).await;
    let original = Filing { deadline: Duration::from_secs(1), ..first_filing("key") };
    let pause = async {
        bench.wait_claim("key").await;
        bench.cluster.nodes[0].pause();
        bench.cluster.clock.sleep(context.around(2000)).await;
        bench.cluster.nodes[0].resume();
    };
    let (first, ()) = join!(bench.send(0, &original), pause);
    bench.expect("first send", &first, NotRun);
    bench.expect_runs("key", 0).await;
    bench.send_until_ran(1, &filing("key")).await;
    bench.expect_runs("key", 1).await;
    bench.finish().await
}

async fn paused_after_send(context: Context) -> Report {
    let bench = default_bench(&context).await;
    bench.service_faults(0, slow_service()).await;
    pause_and_repeat(bench, async |bench| bench.sleep(SENT_MILLIS).await).await
}

async fn racing_nodes(context: Context) -> Report {
    race(context, ServiceFaults::default()).await
}

async fn racing_slowly(context: Context) -> Report {
    race(context, ServiceFaults { delay_millis: 100, ..ServiceFaults::default() }).await
}

async fn race(context: Context, faults: ServiceFaults) -> Report {
    let setup = Setup { nodes: 3, services: 2, ..Setup::default() };
    let bench = Bench::start(&context, setup).await;
    bench.service_faults(0, faults.clone()).await;
    bench.service_faults(1, faults).await;
    let races = (0..RACED_KEYS).map(|number| {
        let bench = &bench;
        async move {
            let key = format!("key-{number}");
            let both = Filing { deadline: Duration::from_secs(5), ..filing(&key) };
            let (one, other) =
                join!(bench.send(number % 3, &both), bench.send((number + 1) % 3, &both));
            bench.expect("one of two sends", &one, Ran);
            bench.expect("other of two sends", &other, Ran);
            bench.expect_equal("answers of two sends", &one, &other);
        }
    });
    join_all(races).await;
    for number in 0..RACED_KEYS {
        bench.expect_runs(&format!("key-{number}"), 1).await;
    }
    bench.finish().await
}

async fn caller_hangs_up(context: Context) -> Report {
    let bench = default_bench(&context).await;
    bench.service_faults(0, slow_service()).await;
    let after = context.around(SENT_MILLIS);
    bench.send_and_hang_up(0, &first_filing("key"), after).await;
    let other = bench.send(1, &filing("key")).await;
    bench.expect("retry at another node", &other, Ran);
    let same = bench.send(0, &filing("key")).await;
    bench.expect("retry at the same node", &same, Ran);
    bench.expect_equal("replay", &other, &same);
    bench.expect_runs("key", 1).await;
    bench.finish().await
}

/// A send whose caller went away before its claim was granted must not run: another send of the key
/// may have been answered with `not-run` in the meantime.
async fn caller_gone(context: Context) -> Report {
    let bench = default_bench(&context).await;
    bench.store_faults(KeyValueFaults { delay_millis: 300, ..KeyValueFaults::default() }).await;
    bench.send_and_hang_up(0, &first_filing("key"), Duration::from_millis(100)).await;
    bench.sleep(1500).await;
    bench.store_faults(KeyValueFaults::default()).await;
    bench.expect_runs("key", 0).await;
    let again = bench.send(1, &filing("key")).await;
    bench.expect("repeated send", &again, Ran);
    bench.expect_runs("key", 1).await;
    bench.finish().await
}

async fn other_content(context: Context) -> Report {
    let bench = default_bench(&context).await;
    let first = bench.send(0, &first_filing("key")).await;
    bench.expect("first send", &first, Ran);
    let changed = Filing { text: "Claim of another bar".into(), ..filing("key") };
    for node in 0..2 {
        let refused = bench.send(node, &changed).await;
        bench.expect("send with other content", &refused, NotRun);
    }
    let replayed = bench.send(1, &filing("key")).await;
    bench.expect("repeated send", &replayed, Ran);
    bench.expect_equal("replay", &first, &replayed);
    bench.expect_runs("key", 1).await;
    bench.finish().await
}

/// Without a key nothing tells two sends apart, so the router must never send again.
async fn no_key(context: Context) -> Report {
    let setup = Setup { services: 2, ..Setup::default() };
    let bench = Bench::start(&context, setup).await;
    let lost = ServiceFaults { lose_answers: 1, ..ServiceFaults::default() };
    bench.service_faults(0, lost.clone()).await;
    bench.service_faults(1, lost).await;
    let unanswered = bench.send(0, &filing("")).await;
    bench.expect("send without a key whose answer is lost", &unanswered, MayHaveRun);
    bench.expect_runs("", 1).await;
    bench.service_faults(0, ServiceFaults::default()).await;
    bench.service_faults(1, ServiceFaults::default()).await;
    let answered = bench.send(0, &filing("")).await;
    bench.expect("send without a key", &answered, Ran);
    bench.expect_runs("", 2).await;
    bench.finish().await
}
