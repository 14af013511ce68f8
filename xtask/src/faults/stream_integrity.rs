//! Completions stay complete and correct while the engines of their stages fail.

use std::time::Duration;

use futures_util::{FutureExt, future::LocalBoxFuture, join};
use standins::{EngineFaults, reference};
use strum::IntoEnumIterator;
use transport::HttpClient;

use crate::{
    cluster::{CONTROL_TIMEOUTS, Process},
    faults::{
        Case, CaseReport, Context,
        case::Scenario,
        completions::{Position, TOKENS, completion},
        testbed::{Setup, Testbed},
    },
};

/// Longest time without a token that is allowed in a stream whose stage fails. The failure may be
/// noticed only after the limit for the first token of an attempt (2 s), and a new attempt follows.
const STALL_LIMIT: Duration = Duration::from_secs(4);
/// Completions that are sent until one runs on an engine that fails during its first run.
const MAX_TRIES: u32 = 24;

/// A fault of the engine that runs one stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
enum StageFault {
    Kill,
    Pause,
    Hang,
    SilentConnections,
    Slow,
    Stalled,
    DropsHandoffs,
    DuplicatesHandoffs,
    CrashInPrefill,
    CrashMidStream,
    CrashNearEnd,
    WrongReceipt,
}

/// A case that injects a fault into an engine at a position of the route.
struct StageCase {
    position: Position,
    fault: StageFault,
}

/// The cases of this module.
pub(crate) fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for fault in StageFault::iter() {
        for position in Position::iter() {
            let (requirement, class) = (fault.requirement(), fault.class());
            let name = format!("stages/{fault}-{position}");
            cases.push(Case::new(name, requirement, class, StageCase { position, fault }));
        }
    }
    cases.push(Case::new("stages/skipped-layer", "R1", "wrong answer", skipped_layer));
    cases.push(Case::new("stages/no-spare", "R2 R3", "F1", no_spare));
    cases.push(Case::new("stages/replaced", "R2", "F1", replaced));
    cases
}

impl StageFault {
    fn requirement(self) -> &'static str {
        match self {
            StageFault::WrongReceipt | StageFault::DuplicatesHandoffs => "R1 R2",
            _ => "R2",
        }
    }

    fn class(self) -> &'static str {
        match self {
            StageFault::Pause | StageFault::Hang | StageFault::Stalled => "stage stands still",
            StageFault::SilentConnections => "F9",
            StageFault::Slow => "stage slow",
            StageFault::DropsHandoffs | StageFault::DuplicatesHandoffs => {
                "handoffs lost or doubled"
            }
            StageFault::WrongReceipt => "wrong answer",
            _ => "F1",
        }
    }

    /// The settings that make an engine show the fault, or `None` if the process is killed or
    /// paused.
    fn engine_faults(self) -> Option<EngineFaults> {
        let no_faults = EngineFaults::default();
        let prompt_tokens = reference::tokenize(&completion(0).prompt).len() as u32;
        match self {
            StageFault::Kill | StageFault::Pause => None,
            StageFault::Hang => Some(EngineFaults { hang: true, ..no_faults }),
            StageFault::SilentConnections => Some(EngineFaults { silence_open: true, ..no_faults }),
            // A token then takes about 150 ms, less than the progress deadline of 400 ms.
            StageFault::Slow => Some(EngineFaults { slowdown: 40, ..no_faults }),
            // A step then takes about 3 s.
            StageFault::Stalled => Some(EngineFaults { slowdown: 1000, ..no_faults }),
            StageFault::DropsHandoffs => Some(EngineFaults { drop_every: 10, ..no_faults }),
            StageFault::DuplicatesHandoffs => Some(EngineFaults { duplicate: true, ..no_faults }),
            StageFault::CrashInPrefill => Some(EngineFaults { crash_after: Some(1), ..no_faults }),
            StageFault::CrashMidStream => Some(EngineFaults { crash_after: Some(8), ..no_faults }),
            StageFault::CrashNearEnd => {
                Some(EngineFaults { crash_after: Some(prompt_tokens + TOKENS - 2), ..no_faults })
            }
            StageFault::WrongReceipt => Some(EngineFaults { wrong_receipt: true, ..no_faults }),
        }
    }

    /// Whether a completion that runs on the faulty engine needs another attempt.
    fn requires_retry(self) -> bool {
        !matches!(self, StageFault::Slow | StageFault::DuplicatesHandoffs)
    }

    /// Whether the fault is set before completions are sent, not while they run.
    fn is_set_before(self) -> bool {
        matches!(
            self,
            StageFault::CrashInPrefill | StageFault::CrashNearEnd | StageFault::WrongReceipt
        )
    }
}

impl Scenario for StageCase {
    fn run(&self, context: Context) -> LocalBoxFuture<'static, CaseReport> {
        let (position, fault) = (self.position, self.fault);
        async move {
            let setup = Setup { nodes: 1, services: 0, replicas: 2, ..Setup::default() };
            let testbed = Testbed::start(&context, setup).await;
            if fault.is_set_before() {
                fault_before_completions(&testbed, position, fault).await;
            } else {
                let completions = testbed.completions(0);
                let (load, ()) = join!(
                    completions,
                    fault_during_completions(&testbed, &context, position, fault)
                );
                let longest = load.stalls.iter().max().copied().unwrap_or_default();
                testbed.check(longest < STALL_LIMIT, || {
                    format!("a caller waited {longest:?} for a token")
                });
                testbed.check(load.retried > 0 || !fault.requires_retry(), || {
                    "no completion was retried because of the fault".into()
                });
                testbed.set_note(format!(
                    "{} of {} completions retried",
                    load.retried, load.completions
                ));
            }
            testbed.finish().await
        }
        .boxed_local()
    }
}

/// Injects a fault into an engine while it runs completions.
async fn fault_during_completions(
    testbed: &Testbed,
    context: &Context,
    position: Position,
    fault: StageFault,
) {
    let engine = testbed.busy_engine(0, position).await;
    testbed.cluster.clock.sleep(context.around(120)).await;
    match fault.engine_faults() {
        Some(faults) => testbed.set_engine_faults(engine, faults).await,
        None if fault == StageFault::Kill => engine.kill(),
        None => engine.pause(),
    }
}

/// Sets a fault that an engine shows in its first run, and sends completions until one has run into
/// it.
async fn fault_before_completions(testbed: &Testbed, position: Position, fault: StageFault) {
    let engine = testbed.engine(&position.engine(0));
    let Some(faults) = fault.engine_faults() else { return };
    testbed.set_engine_faults(engine, faults).await;
    for number in 0..MAX_TRIES {
        let outcome = testbed.completion(0, &completion(number)).await;
        let occurred = match fault {
            StageFault::WrongReceipt => outcome.attempts > 1,
            _ => engine.exit_code().is_some(),
        };
        if occurred {
            let longest = super::completions::stall(&outcome);
            testbed.check(longest < STALL_LIMIT, || {
                format!("a caller waited {longest:?} for a token")
            });
            testbed.record_recovery(longest);
            if fault == StageFault::WrongReceipt {
                let counted = counts_violations(testbed, &testbed.cluster.nodes[0]).await;
                testbed
                    .check(counted, || "the wrong receipt was not counted in the metrics".into());
            }
            return;
        }
    }
    testbed.add_problem(format!("none of {MAX_TRIES} completions ran into the fault"));
}

/// Whether a node's metrics count tokens with wrong receipts.
async fn counts_violations(testbed: &Testbed, node: &Process) -> bool {
    let client = HttpClient::new(testbed.cluster.clock.clone(), node.port("operators"));
    let request = http::Request::get("/metrics")
        .header("host", "gypsumrack")
        .body(transport::Body::empty())
        .expect("request is valid");
    let Ok(response) = client.send_on_new_connection(request, CONTROL_TIMEOUTS).await else {
        return false;
    };
    let Ok(body) = response.collect(1 << 20, CONTROL_TIMEOUTS.progress).await else { return false };
    let text = String::from_utf8_lossy(&body).into_owned();
    let line = text.lines().find(|line| line.starts_with("gypsumrack_layer_violations_total "));
    line.is_some_and(|line| !line.ends_with(" 0"))
}

/// Guards the check of the answers itself: it has to notice that an engine skipped a layer and
/// reported nothing.
async fn skipped_layer(context: Context) -> CaseReport {
    let setup = Setup { nodes: 1, services: 0, replicas: 1, ..Setup::default() };
    let testbed = Testbed::start(&context, setup).await;
    for position in Position::iter() {
        let engine = testbed.engine(&position.engine(0));
        testbed
            .set_engine_faults(engine, EngineFaults { skip_layer: true, ..Default::default() })
            .await;
        let (outcome, correct) = testbed.try_completion(0, &completion(0)).await;
        testbed.check(!correct, || format!("a skipped layer was not noticed: {outcome:?}"));
        testbed.set_engine_faults(engine, EngineFaults::default()).await;
    }
    testbed.completion(0, &completion(1)).await;
    testbed.finish().await
}

/// With one engine for each stage there is no replacement, so the caller has to get an error with a
/// verdict when an engine is killed.
async fn no_spare(context: Context) -> CaseReport {
    let setup = Setup { nodes: 1, services: 0, replicas: 1, ..Setup::default() };
    let testbed = Testbed::start(&context, setup).await;
    let short_completion =
        loadgen::Completion { deadline: Duration::from_secs(3), ..completion(0) };
    let kill = async {
        let engine = testbed.busy_engine(0, Position::Middle).await;
        testbed.cluster.clock.sleep(context.around(120)).await;
        engine.kill();
        engine
    };
    let ((outcome, correct), engine) = join!(testbed.try_completion(0, &short_completion), kill);
    testbed.check(!correct && outcome.error.is_some() && outcome.verdict.is_some(), || {
        format!("expected an error with a verdict, got {outcome:?}")
    });
    engine.restart();
    let restarted = testbed.now();
    testbed.completion(0, &completion(1)).await;
    testbed.record_recovery(testbed.now().since(restarted));
    testbed.finish().await
}

/// An engine that was killed and restarted runs completions again.
async fn replaced(context: Context) -> CaseReport {
    let setup = Setup { nodes: 1, services: 0, replicas: 1, ..Setup::default() };
    let testbed = Testbed::start(&context, setup).await;
    for position in Position::iter() {
        let engine = testbed.engine(&position.engine(0));
        engine.kill();
        testbed.wait_available(0, &engine.name, false).await;
        engine.restart();
        let restarted = testbed.now();
        testbed.completion(0, &completion(0)).await;
        testbed.record_recovery(testbed.now().since(restarted));
    }
    testbed.finish().await
}
