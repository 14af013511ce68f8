//! Whole answers while stages fail.

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

/// Longest stall of a stream that loses a stage: the wait for the first token of an attempt
/// (2 s) may pass once before the failure is noticed, and a new attempt follows.
const STALL_LIMIT: Duration = Duration::from_secs(4);
/// Completions within which one has to run on an engine that fails in its first run.
const MAX_TRIES: u32 = 24;

/// A fault of one stage.
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

/// A fault of a stage at a position.
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

    /// The control message of the fault, unless it is done to the process from outside.
    fn control(self) -> Option<EngineFaults> {
        let none = EngineFaults::default();
        let prompt = reference::tokenize(&completion(0).prompt).len() as u32;
        match self {
            StageFault::Kill | StageFault::Pause => None,
            StageFault::Hang => Some(EngineFaults { hang: true, ..none }),
            StageFault::SilentConnections => Some(EngineFaults { silence_open: true, ..none }),
            // A token then takes about 150 ms, less than the progress deadline of 400 ms.
            StageFault::Slow => Some(EngineFaults { slowdown: 40, ..none }),
            // A step then takes about 3 s.
            StageFault::Stalled => Some(EngineFaults { slowdown: 1000, ..none }),
            StageFault::DropsHandoffs => Some(EngineFaults { drop_every: 10, ..none }),
            StageFault::DuplicatesHandoffs => Some(EngineFaults { duplicate: true, ..none }),
            StageFault::CrashInPrefill => Some(EngineFaults { crash_after: Some(1), ..none }),
            StageFault::CrashMidStream => Some(EngineFaults { crash_after: Some(8), ..none }),
            StageFault::CrashNearEnd => {
                Some(EngineFaults { crash_after: Some(prompt + TOKENS - 2), ..none })
            }
            StageFault::WrongReceipt => Some(EngineFaults { wrong_receipt: true, ..none }),
        }
    }

    /// Whether a completion that meets the fault needs another attempt.
    fn ends_attempts(self) -> bool {
        !matches!(self, StageFault::Slow | StageFault::DuplicatesHandoffs)
    }

    /// Whether the fault is set before a completion is sent.
    fn is_early(self) -> bool {
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
            if fault.is_early() {
                early_fault(&testbed, position, fault).await;
            } else {
                let completions = testbed.completions(0);
                let (load, ()) =
                    join!(completions, late_fault(&testbed, &context, position, fault));
                let longest = load.stalls.iter().max().copied().unwrap_or_default();
                testbed.check(longest < STALL_LIMIT, || format!("a caller waited {longest:?}"));
                testbed.check(load.retried > 0 || !fault.ends_attempts(), || {
                    "no completion met the fault".into()
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

/// Injects a fault into a stage that runs completions.
async fn late_fault(testbed: &Testbed, context: &Context, position: Position, fault: StageFault) {
    let engine = testbed.busy_engine(0, position).await;
    testbed.cluster.clock.sleep(context.around(120)).await;
    match fault.control() {
        Some(faults) => testbed.set_engine_faults(engine, faults).await,
        None if fault == StageFault::Kill => engine.kill(),
        None => engine.pause(),
    }
}

/// Sets a fault that a stage shows in its first run, and runs completions until one has met it.
async fn early_fault(testbed: &Testbed, position: Position, fault: StageFault) {
    let engine = testbed.engine(&position.engine(0));
    let Some(faults) = fault.control() else { return };
    testbed.set_engine_faults(engine, faults).await;
    for number in 0..MAX_TRIES {
        let outcome = testbed.completion(0, &completion(number)).await;
        let met = match fault {
            StageFault::WrongReceipt => outcome.attempts > 1,
            _ => engine.exit_code().is_some(),
        };
        if met {
            let longest = super::completions::stall(&outcome);
            testbed.check(longest < STALL_LIMIT, || format!("a caller waited {longest:?}"));
            testbed.record_recovery(longest);
            if fault == StageFault::WrongReceipt {
                let counted = violations(testbed, &testbed.cluster.nodes[0]).await;
                testbed.check(counted, || "the violation was not counted".into());
            }
            return;
        }
    }
    testbed.add_problem(format!("no completion of {MAX_TRIES} met the fault"));
}

/// Whether a node has counted tokens with wrong receipts.
async fn violations(testbed: &Testbed, node: &Process) -> bool {
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

/// The check of the answers notices a layer that an engine skipped without saying so.
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

/// Without a spare the caller is told that its answer is not whole.
async fn no_spare(context: Context) -> CaseReport {
    let setup = Setup { nodes: 1, services: 0, replicas: 1, ..Setup::default() };
    let testbed = Testbed::start(&context, setup).await;
    let impatient = loadgen::Completion { deadline: Duration::from_secs(3), ..completion(0) };
    let kill = async {
        let engine = testbed.busy_engine(0, Position::Middle).await;
        testbed.cluster.clock.sleep(context.around(120)).await;
        engine.kill();
        engine
    };
    let ((outcome, correct), engine) = join!(testbed.try_completion(0, &impatient), kill);
    testbed.check(!correct && outcome.error.is_some() && outcome.verdict.is_some(), || {
        format!("expected an error with a verdict, got {outcome:?}")
    });
    engine.restart();
    let restarted = testbed.now();
    testbed.completion(0, &completion(1)).await;
    testbed.record_recovery(testbed.now().since(restarted));
    testbed.finish().await
}

/// An engine that was killed and started again gets new work.
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
