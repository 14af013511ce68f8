//! Filings run at most once and get correct verdicts while services fail.

use std::time::Duration;

use futures_util::join;
use loadgen::Filing;
use settings::ServiceConfig;
use standins::service::ServiceFaults;
use types::Verdict::{MayHaveRun, NotRun, Ran};

use crate::faults::{
    Case, CaseReport, Context,
    filings::{filing, first_filing},
    testbed::{Setup, Testbed},
};

/// Time that a slow service takes for a call.
const SLOW_MILLIS: u64 = 500;
/// Time after which the service has received the call but has not run it yet.
const SENT_MILLIS: u64 = 200;

/// The cases of this module.
pub(crate) fn cases() -> Vec<Case> {
    vec![
        Case::new("claims/answer-lost", "R3 R4", "answer lost", answer_lost),
        Case::new(
            "claims/answer-lost-with-lookup",
            "R3 R4",
            "answer lost",
            answer_lost_with_lookup,
        ),
        Case::new("claims/service-crashes-after-run", "R3 R4", "service killed", crashes_after_run),
        Case::new("claims/service-killed-before-run", "R3 R4", "service killed", killed_before_run),
        Case::new("claims/service-down", "R3 R4", "service killed", down),
        Case::new("claims/service-replica-down", "R4", "service killed", replica_down),
        Case::new("claims/service-hangs", "R3 R4", "F9", hangs),
        Case::new("claims/service-hangs-with-lookup", "R3 R4", "F9", hangs_with_lookup),
        Case::new("claims/lookup-of-other-organisation", "R2 R3", "F9", other_organisation),
        Case::new("claims/service-refuses", "R3 R4", "service refuses", refuses),
    ]
}

/// A service that can be asked for the answer of a key that it has run.
fn with_lookup() -> Setup {
    let config =
        ServiceConfig { lookup: Some("/filings/by-key/{key}".into()), ..ServiceConfig::default() };
    Setup { config, ..Setup::default() }
}

async fn answer_lost(context: Context) -> CaseReport {
    let testbed = Testbed::start(&context, Setup::default()).await;
    let faults = ServiceFaults { lose_answers: 1, ..ServiceFaults::default() };
    testbed.set_service_faults(0, faults).await;
    let first = testbed.send(0, &first_filing("key")).await;
    testbed.expect("first send", &first, MayHaveRun);
    testbed.finish_unknown().await
}

async fn answer_lost_with_lookup(context: Context) -> CaseReport {
    let testbed = Testbed::start(&context, with_lookup()).await;
    let faults = ServiceFaults { lose_answers: 1, ..ServiceFaults::default() };
    testbed.set_service_faults(0, faults).await;
    let first = testbed.send(0, &first_filing("key")).await;
    testbed.expect("first send", &first, Ran);
    for node in 0..2 {
        let again = testbed.send(node, &filing("key")).await;
        testbed.expect("repeated send", &again, Ran);
        testbed.expect_equal("replay", &first, &again);
    }
    testbed.expect_runs("key", 1).await;
    testbed.finish().await
}

async fn crashes_after_run(context: Context) -> CaseReport {
    let testbed = Testbed::start(&context, Setup::default()).await;
    let faults = ServiceFaults { crash_after: Some(1), ..ServiceFaults::default() };
    testbed.set_service_faults(0, faults).await;
    let first = testbed.send(0, &first_filing("key")).await;
    testbed.expect("first send", &first, MayHaveRun);
    testbed.add_past_run("key");
    testbed.cluster.services[0].restart();
    testbed.send_until_ran(0, &first_filing("other")).await;
    testbed.finish_unknown().await
}

async fn killed_before_run(context: Context) -> CaseReport {
    let testbed = Testbed::start(&context, Setup::default()).await;
    let faults = ServiceFaults { delay_millis: SLOW_MILLIS, ..ServiceFaults::default() };
    testbed.set_service_faults(0, faults).await;
    let original = first_filing("key");
    let kill = async {
        testbed.sleep(SENT_MILLIS).await;
        testbed.kill_service(0).await;
        testbed.cluster.services[0].restart();
    };
    let (first, ()) = join!(testbed.send(0, &original), kill);
    testbed.expect("first send", &first, MayHaveRun);
    testbed.send_until_ran(0, &first_filing("other")).await;
    for node in 0..2 {
        let again = testbed.send(node, &filing("key")).await;
        testbed.expect("repeated send", &again, MayHaveRun);
    }
    testbed.expect_runs("key", 0).await;
    testbed.finish().await
}

async fn down(context: Context) -> CaseReport {
    let testbed = Testbed::start(&context, Setup::default()).await;
    testbed.kill_service(0).await;
    let first = testbed.send(0, &first_filing("key")).await;
    testbed.expect("first send", &first, NotRun);
    let other = testbed.send(1, &filing("key")).await;
    testbed.expect("repeated send", &other, NotRun);
    testbed.cluster.services[0].restart();
    testbed.send_until_ran(1, &filing("key")).await;
    testbed.expect_runs("key", 1).await;
    testbed.finish().await
}

async fn replica_down(context: Context) -> CaseReport {
    let setup = Setup { services: 2, ..Setup::default() };
    let testbed = Testbed::start(&context, setup).await;
    testbed.kill_service(0).await;
    for number in 0..6 {
        let key = format!("key-{number}");
        let first = testbed.send(number % 2, &first_filing(&key)).await;
        testbed.expect("send while one of two replicas is down", &first, Ran);
        testbed.expect_runs(&key, 1).await;
    }
    testbed.finish().await
}

async fn hangs(context: Context) -> CaseReport {
    hang(context, Setup::default()).await
}

/// The lookup hangs too, since it goes to the same service. The caller has to be answered in time.
async fn hangs_with_lookup(context: Context) -> CaseReport {
    hang(context, with_lookup()).await
}

/// The service hangs until the deadline of two sends. The verdict stays `may-have-run` afterwards.
async fn hang(context: Context, setup: Setup) -> CaseReport {
    let testbed = Testbed::start(&context, setup).await;
    testbed.set_service_faults(0, ServiceFaults { hang: true, ..ServiceFaults::default() }).await;
    let short_deadline = Duration::from_millis(800);
    let first = Filing { deadline: short_deadline, ..first_filing("key") };
    let first = testbed.send(0, &first).await;
    testbed.expect("first send", &first, MayHaveRun);
    let again = testbed.send(1, &Filing { deadline: short_deadline, ..filing("key") }).await;
    testbed.expect("repeated send", &again, MayHaveRun);
    testbed.set_service_faults(0, ServiceFaults::default()).await;
    testbed.send_until_ran(0, &first_filing("other")).await;
    let later = testbed.send(1, &filing("key")).await;
    testbed.expect("later send", &later, MayHaveRun);
    testbed.expect_runs("key", 0).await;
    testbed.finish().await
}

/// A lookup must not return the answer of another organisation that used the same key.
async fn other_organisation(context: Context) -> CaseReport {
    let testbed = Testbed::start(&context, with_lookup()).await;
    let first = testbed.send(0, &first_filing("key")).await;
    testbed.expect("send of one organisation", &first, Ran);
    testbed.set_service_faults(0, ServiceFaults { hang: true, ..ServiceFaults::default() }).await;
    let organisation = "organisation-2".to_owned();
    let other = Filing { organisation, ..first_filing("key") };
    let unanswered = testbed.send(1, &other).await;
    testbed.expect("send of another organisation", &unanswered, MayHaveRun);
    testbed.set_service_faults(0, ServiceFaults::default()).await;
    let again = testbed.send(1, &Filing { first_send: false, ..other }).await;
    testbed.expect("repeated send of another organisation", &again, MayHaveRun);
    testbed.expect_runs("key", 1).await;
    testbed.finish().await
}

async fn refuses(context: Context) -> CaseReport {
    let config = ServiceConfig { refusals: vec![503], ..ServiceConfig::default() };
    let setup = Setup { config, ..Setup::default() };
    let testbed = Testbed::start(&context, setup).await;
    testbed.set_service_faults(0, ServiceFaults { refuse: true, ..ServiceFaults::default() }).await;
    let first = testbed.send(0, &first_filing("key")).await;
    testbed.expect("first send", &first, NotRun);
    testbed.set_service_faults(0, ServiceFaults::default()).await;
    testbed.send_until_ran(1, &filing("key")).await;
    testbed.expect_runs("key", 1).await;
    testbed.finish().await
}
