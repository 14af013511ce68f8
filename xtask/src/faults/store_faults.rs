//! At most once and honest verdicts while the key-value service fails.

use std::time::Duration;

use futures_util::join;
use loadgen::Filing;
use standins::{keyvalue::KeyValueFaults, service::ServiceFaults};
use types::Verdict::{MayHaveRun, NotRun, Ran};

use crate::faults::{
    Case, Context, Report,
    bench::{Bench, Setup},
    filings::{filing, first_filing},
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

async fn refuses(context: Context) -> Report {
    outage(context, KeyValueFaults { refuse: true, ..KeyValueFaults::default() }).await
}

async fn hangs(context: Context) -> Report {
    outage(context, KeyValueFaults { hang: true, ..KeyValueFaults::default() }).await
}

async fn outage(context: Context, faults: KeyValueFaults) -> Report {
    let bench = Bench::start(&context, Setup::default()).await;
    bench.store_faults(faults).await;
    refused_sends(&bench).await;
    bench.cluster.clock.sleep(context.around(400)).await;
    bench.store_faults(KeyValueFaults::default()).await;
    bench.send_until_ran(1, &filing("key")).await;
    bench.expect_runs("key", 1).await;
    bench.finish().await
}

async fn paused(context: Context) -> Report {
    let bench = Bench::start(&context, Setup::default()).await;
    bench.cluster.keyvalue.pause();
    refused_sends(&bench).await;
    bench.cluster.keyvalue.resume();
    bench.send_until_ran(1, &filing("key")).await;
    bench.expect_runs("key", 1).await;
    bench.finish().await
}

/// The first send can be refused with `not-run`. Of a repeated one only the record could tell.
async fn refused_sends(bench: &Bench) {
    let first = bench.send(0, &first_filing("key")).await;
    bench.expect("first send", &first, NotRun);
    for node in 0..2 {
        let again = bench.send(node, &filing("key")).await;
        bench.expect("repeated send", &again, MayHaveRun);
    }
    bench.expect_runs("key", 0).await;
}

async fn slow(context: Context) -> Report {
    let bench = Bench::start(&context, Setup::default()).await;
    let faults = KeyValueFaults { delay_millis: 300, ..KeyValueFaults::default() };
    bench.store_faults(faults).await;
    let original = first_filing("key");
    let again = filing("key");
    let (first, other) = join!(bench.send(0, &original), bench.send(1, &again));
    bench.expect("first send", &first, Ran);
    bench.expect("second send", &other, Ran);
    bench.expect_runs("key", 1).await;
    bench.finish().await
}

/// Every call takes longer than the node waits, so each write takes effect after the node has
/// given it up.
async fn too_slow(context: Context) -> Report {
    let bench = Bench::start(&context, Setup::default()).await;
    let faults = KeyValueFaults { delay_millis: 900, ..KeyValueFaults::default() };
    bench.store_faults(faults).await;
    let patient = Filing { deadline: Duration::from_secs(4), ..first_filing("key") };
    let first = bench.send(0, &patient).await;
    bench.expect("first send", &first, NotRun);
    bench.sleep(1000).await;
    bench.expect_runs("key", 0).await;
    bench.store_faults(KeyValueFaults::default()).await;
    bench.send_until_ran(1, &filing("key")).await;
    bench.expect_runs("key", 1).await;
    bench.finish().await
}

async fn write_answer_lost(context: Context) -> Report {
    lost(context, KeyValueFaults { lose_answers: 1, ..KeyValueFaults::default() }).await
}

async fn write_lost(context: Context) -> Report {
    lost(context, KeyValueFaults { lose_writes: 1, ..KeyValueFaults::default() }).await
}

/// A read after the lost answer shows the state before the write.
async fn stale_reads(context: Context) -> Report {
    let faults = KeyValueFaults { lose_answers: 1, stale_reads: true, ..KeyValueFaults::default() };
    lost(context, faults).await
}

/// Two nodes claim a key while a write is lost.
async fn lost(context: Context, faults: KeyValueFaults) -> Report {
    let bench = Bench::start(&context, Setup::default()).await;
    for number in 0..4 {
        let key = format!("key-{number}");
        bench.store_faults(faults.clone()).await;
        let original = Filing { deadline: Duration::from_secs(4), ..first_filing(&key) };
        let again = Filing { deadline: Duration::from_secs(4), ..filing(&key) };
        let (first, other) = if number % 2 == 0 {
            (bench.send(0, &original).await, bench.send(1, &again).await)
        } else {
            join!(bench.send(0, &original), bench.send(1, &again))
        };
        bench.expect("first send", &first, Ran);
        bench.expect("second send", &other, Ran);
        bench.expect_equal("replay", &first, &other);
        bench.expect_runs(&key, 1).await;
    }
    bench.finish().await
}

/// The answer of a call that ran is given to its caller although it cannot be recorded yet.
async fn down_at_final_write(context: Context) -> Report {
    let bench = Bench::start(&context, Setup::default()).await;
    let slow = ServiceFaults { delay_millis: 400, ..ServiceFaults::default() };
    bench.service_faults(0, slow).await;
    let original = first_filing("key");
    let outage = async {
        bench.wait_claim("key").await;
        bench.sleep(50).await;
        bench.store_faults(KeyValueFaults { refuse: true, ..KeyValueFaults::default() }).await;
    };
    let (first, ()) = join!(bench.send(0, &original), outage);
    bench.expect("first send", &first, Ran);
    let same = bench.send(0, &filing("key")).await;
    bench.expect("repeated send at the same node", &same, Ran);
    bench.expect_equal("replay", &first, &same);
    let other = bench.send(1, &filing("key")).await;
    bench.expect("repeated send at another node", &other, MayHaveRun);
    bench.store_faults(KeyValueFaults::default()).await;
    bench.send_until_ran(1, &filing("key")).await;
    let after = bench.send(1, &filing("key")).await;
    bench.expect_equal("replay after the outage", &first, &after);
    bench.expect_runs("key", 1).await;
    bench.finish().await
}

/// A key that ran before must not be refused with `not-run` because its record cannot be read.
async fn down_at_repeated_send(context: Context) -> Report {
    let bench = Bench::start(&context, Setup::default()).await;
    let first = bench.send(0, &first_filing("key")).await;
    bench.expect("first send", &first, Ran);
    for faults in [
        KeyValueFaults { refuse: true, ..KeyValueFaults::default() },
        KeyValueFaults { hang: true, ..KeyValueFaults::default() },
    ] {
        bench.store_faults(faults).await;
        let again = bench.send(1, &filing("key")).await;
        bench.expect("repeated send", &again, MayHaveRun);
    }
    bench.store_faults(KeyValueFaults::default()).await;
    bench.send_until_ran(1, &filing("key")).await;
    bench.expect_runs("key", 1).await;
    bench.finish().await
}
