//! At most once and honest verdicts while the key-value service fails.

use std::time::Duration;

use futures_util::join;
use loadgen::Filing;
use standins::{keyvalue::KeyValueFaults, service::ServiceFaults};
use types::Verdict::{MayHaveRun, NotRun, Ran};

use crate::faults::{
    Case, CaseReport, Context,
    filings::{filing, first_filing},
    testbed::{Setup, Testbed},
};

/// The cases of this module.
pub(crate) fn cases() -> Vec<Case> {
    vec![
        Case::new("claims/store-refuses", "R3 R4", "F4", refuses),
        Case::new("claims/store-hangs", "R3 R4", "F4", hangs),
        Case::new("claims/store-paused", "R3 R4", "F4", paused),
        Case::new("claims/store-slow", "R4", "F4", slow),
        Case::new("claims/store-too-slow", "R3 R4", "F4 F5", too_slow),
        Case::new("claims/store-write-answer-lost", "R3 R4", "F5", write_answer_lost),
        Case::new("claims/store-write-lost", "R4", "F5", write_lost),
        Case::new("claims/store-stale-reads", "R4", "F5", stale_reads),
        Case::new("claims/store-down-at-final-write", "R2 R4", "F4", down_at_final_write),
        Case::new("claims/store-down-at-repeated-send", "R3 R4", "F4", down_at_repeated_send),
    ]
}

async fn refuses(context: Context) -> CaseReport {
    outage(context, KeyValueFaults { refuse: true, ..KeyValueFaults::default() }).await
}

async fn hangs(context: Context) -> CaseReport {
    outage(context, KeyValueFaults { hang: true, ..KeyValueFaults::default() }).await
}

async fn outage(context: Context, faults: KeyValueFaults) -> CaseReport {
    let testbed = Testbed::start(&context, Setup::default()).await;
    testbed.set_store_faults(faults).await;
    refused_sends(&testbed).await;
    testbed.cluster.clock.sleep(context.around(400)).await;
    testbed.set_store_faults(KeyValueFaults::default()).await;
    testbed.send_until_ran(1, &filing("key")).await;
    testbed.expect_runs("key", 1).await;
    testbed.finish().await
}

async fn paused(context: Context) -> CaseReport {
    let testbed = Testbed::start(&context, Setup::default()).await;
    testbed.cluster.keyvalue.pause();
    refused_sends(&testbed).await;
    testbed.cluster.keyvalue.resume();
    testbed.send_until_ran(1, &filing("key")).await;
    testbed.expect_runs("key", 1).await;
    testbed.finish().await
}

/// The first send can be refused with `not-run`. Of a repeated one only the record could tell.
async fn refused_sends(testbed: &Testbed) {
    let first = testbed.send(0, &first_filing("key")).await;
    testbed.expect("first send", &first, NotRun);
    for node in 0..2 {
        let again = testbed.send(node, &filing("key")).await;
        testbed.expect("repeated send", &again, MayHaveRun);
    }
    testbed.expect_runs("key", 0).await;
}

async fn slow(context: Context) -> CaseReport {
    let testbed = Testbed::start(&context, Setup::default()).await;
    let faults = KeyValueFaults { delay_millis: 300, ..KeyValueFaults::default() };
    testbed.set_store_faults(faults).await;
    let original = first_filing("key");
    let again = filing("key");
    let (first, other) = join!(testbed.send(0, &original), testbed.send(1, &again));
    testbed.expect("first send", &first, Ran);
    testbed.expect("second send", &other, Ran);
    testbed.expect_runs("key", 1).await;
    testbed.finish().await
}

/// Every call takes longer than the node waits, so each write takes effect after the node has
/// given it up.
async fn too_slow(context: Context) -> CaseReport {
    let testbed = Testbed::start(&context, Setup::default()).await;
    let faults = KeyValueFaults { delay_millis: 900, ..KeyValueFaults::default() };
    testbed.set_store_faults(faults).await;
    let patient = Filing { deadline: Duration::from_secs(4), ..first_filing("key") };
    let first = testbed.send(0, &patient).await;
    testbed.expect("first send", &first, NotRun);
    testbed.sleep(1000).await;
    testbed.expect_runs("key", 0).await;
    testbed.set_store_faults(KeyValueFaults::default()).await;
    testbed.send_until_ran(1, &filing("key")).await;
    testbed.expect_runs("key", 1).await;
    testbed.finish().await
}

async fn write_answer_lost(context: Context) -> CaseReport {
    lost(context, KeyValueFaults { lose_answers: 1, ..KeyValueFaults::default() }).await
}

async fn write_lost(context: Context) -> CaseReport {
    lost(context, KeyValueFaults { lose_writes: 1, ..KeyValueFaults::default() }).await
}

/// A read after the lost answer shows the state before the write.
async fn stale_reads(context: Context) -> CaseReport {
    let faults = KeyValueFaults { lose_answers: 1, stale_reads: true, ..KeyValueFaults::default() };
    lost(context, faults).await
}

/// Two nodes claim a key while a write is lost.
async fn lost(context: Context, faults: KeyValueFaults) -> CaseReport {
    let testbed = Testbed::start(&context, Setup::default()).await;
    for number in 0..4 {
        let key = format!("key-{number}");
        testbed.set_store_faults(faults.clone()).await;
        let original = Filing { deadline: Duration::from_secs(4), ..first_filing(&key) };
        let again = Filing { deadline: Duration::from_secs(4), ..filing(&key) };
        let (first, other) = if number % 2 == 0 {
            (testbed.send(0, &original).await, testbed.send(1, &again).await)
        } else {
            join!(testbed.send(0, &original), testbed.send(1, &again))
        };
        testbed.expect("first send", &first, Ran);
        testbed.expect("second send", &other, Ran);
        testbed.expect_equal("replay", &first, &other);
        testbed.expect_runs(&key, 1).await;
    }
    testbed.finish().await
}

/// The answer of a call that ran is given to its caller although it cannot be recorded yet.
async fn down_at_final_write(context: Context) -> CaseReport {
    let testbed = Testbed::start(&context, Setup::default()).await;
    let slow = ServiceFaults { delay_millis: 400, ..ServiceFaults::default() };
    testbed.set_service_faults(0, slow).await;
    let original = first_filing("key");
    let outage = async {
        testbed.wait_claim("key").await;
        testbed.sleep(50).await;
        testbed
            .set_store_faults(KeyValueFaults { refuse: true, ..KeyValueFaults::default() })
            .await;
    };
    let (first, ()) = join!(testbed.send(0, &original), outage);
    testbed.expect("first send", &first, Ran);
    let same = testbed.send(0, &filing("key")).await;
    testbed.expect("repeated send at the same node", &same, Ran);
    testbed.expect_equal("replay", &first, &same);
    let other = testbed.send(1, &filing("key")).await;
    testbed.expect("repeated send at another node", &other, MayHaveRun);
    testbed.set_store_faults(KeyValueFaults::default()).await;
    testbed.send_until_ran(1, &filing("key")).await;
    let after = testbed.send(1, &filing("key")).await;
    testbed.expect_equal("replay after the outage", &first, &after);
    testbed.expect_runs("key", 1).await;
    testbed.finish().await
}

/// A key that ran before must not be refused with `not-run` because its record cannot be read.
async fn down_at_repeated_send(context: Context) -> CaseReport {
    let testbed = Testbed::start(&context, Setup::default()).await;
    let first = testbed.send(0, &first_filing("key")).await;
    testbed.expect("first send", &first, Ran);
    for faults in [
        KeyValueFaults { refuse: true, ..KeyValueFaults::default() },
        KeyValueFaults { hang: true, ..KeyValueFaults::default() },
    ] {
        testbed.set_store_faults(faults).await;
        let again = testbed.send(1, &filing("key")).await;
        testbed.expect("repeated send", &again, MayHaveRun);
    }
    testbed.set_store_faults(KeyValueFaults::default()).await;
    testbed.send_until_ran(1, &filing("key")).await;
    testbed.expect_runs("key", 1).await;
    testbed.finish().await
}
