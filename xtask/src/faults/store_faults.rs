//! Filings run at most once and get correct verdicts while the key-value service fails.

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

/// The key-value service fails for a while. The filing runs once it has recovered.
async fn outage(context: Context, faults: KeyValueFaults) -> CaseReport {
    let testbed = Testbed::start(&context, Setup::default()).await;
    testbed.set_store_faults(faults).await;
    send_during_outage(&testbed).await;
    testbed.cluster.clock.sleep(context.around(400)).await;
    testbed.set_store_faults(KeyValueFaults::default()).await;
    testbed.send_until_ran(1, &filing("key")).await;
    testbed.expect_runs("key", 1).await;
    testbed.finish().await
}

async fn paused(context: Context) -> CaseReport {
    let testbed = Testbed::start(&context, Setup::default()).await;
    testbed.cluster.keyvalue.pause();
    send_during_outage(&testbed).await;
    testbed.cluster.keyvalue.resume();
    testbed.send_until_ran(1, &filing("key")).await;
    testbed.expect_runs("key", 1).await;
    testbed.finish().await
}

/// Sends a filing several times. The first send has to be answered with `not-run`, the repeated
/// ones with `may-have-run`, since the record of the key cannot be read.
async fn send_during_outage(testbed: &Testbed) {
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

/// Every call takes longer than the node's timeout, so each write takes effect after the node has
/// stopped waiting for it.
async fn too_slow(context: Context) -> CaseReport {
    let testbed = Testbed::start(&context, Setup::default()).await;
    let faults = KeyValueFaults { delay_millis: 900, ..KeyValueFaults::default() };
    testbed.set_store_faults(faults).await;
    let long_send = Filing { deadline: Duration::from_secs(4), ..first_filing("key") };
    let first = testbed.send(0, &long_send).await;
    testbed.expect("first send", &first, NotRun);
    testbed.sleep(1000).await;
    testbed.expect_runs("key", 0).await;
    testbed.set_store_faults(KeyValueFaults::default()).await;
    testbed.send_until_ran(1, &filing("key")).await;
    testbed.expect_runs("key", 1).await;
    testbed.finish().await
}

async fn write_answer_lost(context: Context) -> CaseReport {
    claim_with_faults(context, KeyValueFaults { lose_answers: 1, ..KeyValueFaults::default() })
        .await
}

async fn write_lost(context: Context) -> CaseReport {
    claim_with_faults(context, KeyValueFaults { lose_writes: 1, ..KeyValueFaults::default() }).await
}

/// The answer to a write is lost, and the next reads return the state before that write.
async fn stale_reads(context: Context) -> CaseReport {
    let faults = KeyValueFaults { lose_answers: 1, stale_reads: true, ..KeyValueFaults::default() };
    claim_with_faults(context, faults).await
}

/// Two nodes claim the same key, one after the other or at the same time, while the key-value
/// service loses a write or an answer.
async fn claim_with_faults(context: Context, faults: KeyValueFaults) -> CaseReport {
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

/// The caller gets the answer of a call that ran even if the answer cannot be recorded yet.
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

/// A repeated send of a key that ran must not be answered with `not-run` when the record of the key
/// cannot be read.
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
