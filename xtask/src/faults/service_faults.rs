//! At most once and honest verdicts while plain services fail.

use std::time::Duration;

use futures_util::join;
use loadgen::Filing;
use settings::ServiceConfig;
use standins::service::ServiceFaults;
use types::Verdict::{MayHaveRun, NotRun, Ran};

use crate::faults::{
    Case, Context, Report,
    bench::{Bench, Setup},
    filings::{filing, first_filing},
};

/// Time that a slow service takes, in milliseconds.
const SLOW_MILLIS: u64 = 500;
/// Part of that time after which a call has certainly been sent, in milliseconds.
const SENT_MILLIS: u64 = 200;

/// The cases of this module.
pub(crate) fn cases() -> Vec<Case> {
    vec![
        Case::new("claims/answer-lost", "R3 R4", "answer lost", answer_lost),
        Case::new("claims/answer-lost-with-lookup", "R3 R4", "answer lost", answer_looked_up),
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

fn with_lookup() -> Setup {
    let config =
        ServiceConfig { lookup: Some("/filings/by-key/{key}".into()), ..ServiceConfig::default() };
    Setup { config, ..Setup::default() }
}

async fn answer_lost(context: Context) -> Report {
    let bench = Bench::start(&context, Setup::default()).await;
    let faults = ServiceFaults { lose_answers: 1, ..ServiceFaults::default() };
    bench.service_faults(0, faults).await;
    let first = bench.send(0, &first_filing("key")).await;
    bench.expect("first send", &first, MayHaveRun);
    bench.finish_unknown().await
}

async fn answer_looked_up(context: Context) -> Report {
    let bench = Bench::start(&context, with_lookup()).await;
    let faults = ServiceFaults { lose_answers: 1, ..ServiceFaults::default() };
    bench.service_faults(0, faults).await;
    let first = bench.send(0, &first_filing("key")).await;
    bench.expect("first send", &first, Ran);
    for node in 0..2 {
        let again = bench.send(node, &filing("key")).await;
        bench.expect("repeated send", &again, Ran);
        bench.expect_equal("replay", &first, &again);
    }
    bench.expect_runs("key", 1).await;
    bench.finish().await
}

async fn crashes_after_run(context: Context) -> Report {
    let bench = Bench::start(&context, Setup::default()).await;
    let faults = ServiceFaults { crash_after: Some(1), ..ServiceFaults::default() };
    bench.service_faults(0, faults).await;
    let first = bench.send(0, &first_filing("key")).await;
    bench.expect("first send", &first, MayHaveRun);
    bench.add_past_run("key");
    bench.cluster.services[0].restart();
    bench.send_until_ran(0, &first_filing("other")).await;
    bench.finish_unknown().await
}

async fn killed_before_run(context: Context) -> Report {
    let bench = Bench::start(&context, Setup::default()).await;
    let faults = ServiceFaults { delay_millis: SLOW_MILLIS, ..ServiceFaults::default() };
    bench.service_faults(0, faults).await;
    let original = first_filing("key");
    let kill = async {
        bench.sleep(SENT_MILLIS).await;
        bench.kill_service(0).await;
        bench.cluster.services[0].restart();
    };
    let (first, ()) = join!(bench.send(0, &original), kill);
    bench.expect("first send", &first, MayHaveRun);
    bench.send_until_ran(0, &first_filing("other")).await;
    for node in 0..2 {
        let again = bench.send(node, &filing("key")).await;
        bench.expect("repeated send", &again, MayHaveRun);
    }
    bench.expect_runs("key", 0).await;
    bench.finish().await
}

async fn down(context: Context) -> Report {
    let bench = Bench::start(&context, Setup::default()).await;
    bench.kill_service(0).await;
    let first = bench.send(0, &first_filing("key")).await;
    bench.expect("first send", &first, NotRun);
    let other = bench.send(1, &filing("key")).await;
    bench.expect("repeated send", &other, NotRun);
    bench.cluster.services[0].restart();
    bench.send_until_ran(1, &filing("key")).await;
    bench.expect_runs("key", 1).await;
    bench.finish().await
}

async fn replica_down(context: Context) -> Report {
    let setup = Setup { services: 2, ..Setup::default() };
    let bench = Bench::start(&context, setup).await;
    bench.kill_service(0).await;
    for number in 0..6 {
        let key = format!("key-{number}");
        let first = bench.send(number % 2, &first_filing(&key)).await;
        bench.expect("send beside a dead replica", &first, Ran);
        bench.expect_runs(&key, 1).await;
    }
    bench.finish().await
}

async fn hangs(context: Context) -> Report {
    hang(context, Setup::default()).await
}

/// The lookup goes to the service that hangs; the caller still has to be answered in time.
async fn hangs_with_lookup(context: Context) -> Report {
    hang(context, with_lookup()).await
}

async fn hang(context: Context, setup: Setup) -> Report {
    let bench = Bench::start(&context, setup).await;
    bench.service_faults(0, ServiceFaults { hang: true, ..ServiceFaults::default() }).await;
    let impatient = Duration::from_millis(800);
    let first = Filing { deadline: impatient, ..first_filing("key") };
    let first = bench.send(0, &first).await;
    bench.expect("first send", &first, MayHaveRun);
    let again = bench.send(1, &Filing { deadline: impatient, ..filing("key") }).await;
    bench.expect("repeated send", &again, MayHaveRun);
    bench.service_faults(0, ServiceFaults::default()).await;
    bench.send_until_ran(0, &first_filing("other")).await;
    let later = bench.send(1, &filing("key")).await;
    bench.expect("later send", &later, MayHaveRun);
    bench.expect_runs("key", 0).await;
    bench.finish().await
}

/// The answer that a lookup finds must not be that of another organisation with the same key.
async fn other_organisation(context: Context) -> Report {
    let bench = Bench::start(&context, with_lookup()).await;
    let first = bench.send(0, &first_filing("key")).await;
    bench.expect("send of one organisation", &first, Ran);
    bench.service_faults(0, ServiceFaults { hang: true, ..ServiceFaults::default() }).await;
    let organisation = "organisation-2".to_owned();
    let other = Filing { organisation, ..first_filing("key") };
    let unanswered = bench.send(1, &other).await;
    bench.expect("send of another organisation", &unanswered, MayHaveRun);
    bench.service_faults(0, ServiceFaults::default()).await;
    let again = bench.send(1, &Filing { first_send: false, ..other }).await;
    bench.expect("repeated send of another organisation", &again, MayHaveRun);
    bench.expect_runs("key", 1).await;
    bench.finish().await
}

async fn refuses(context: Context) -> Report {
    let config = ServiceConfig { refusals: vec![503], ..ServiceConfig::default() };
    let setup = Setup { config, ..Setup::default() };
    let bench = Bench::start(&context, setup).await;
    bench.service_faults(0, ServiceFaults { refuse: true, ..ServiceFaults::default() }).await;
    let first = bench.send(0, &first_filing("key")).await;
    bench.expect("first send", &first, NotRun);
    bench.service_faults(0, ServiceFaults::default()).await;
    bench.send_until_ran(1, &filing("key")).await;
    bench.expect_runs("key", 1).await;
    bench.finish().await
}
