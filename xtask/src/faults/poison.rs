//! Requests that crash every engine that runs them.

use std::cell::Cell;

use futures_util::join;
use loadgen::Completion;
use standins::EngineFaults;
use strum::IntoEnumIterator;

use crate::faults::{
    Case, CaseReport, Context,
    completions::{Position, completion},
    testbed::{Setup, Testbed},
};

/// Text of a prompt that ends the process of an engine.
const CRASH_TEXT: &str = "kilometre that crashes engines";
/// Engines that may end: the default of the setting `crash_limit`.
const CRASH_LIMIT: usize = 2;
const NODES: usize = 3;
const REPLICAS: u32 = 3;
/// Sends of the request, in turn through all nodes.
const SENDS: usize = 9;
/// Most completions of the load beside it.
const MAX_DRAFTS: u32 = 200;

/// The cases of this module.
pub(crate) fn cases() -> Vec<Case> {
    vec![
        Case::new("poison/sent-again", "Q6", "F1", sent_again),
        Case::new("poison/beside-others", "Q6 R2", "F1", beside_others),
    ]
}

/// A caller sends the request again through all nodes, one send after the other.
async fn sent_again(context: Context) -> CaseReport {
    let testbed = start(&context).await;
    if send_all(&testbed).await {
        for number in 0..NODES {
            testbed.completion(number, &completion(number as u32)).await;
        }
    }
    testbed.finish().await
}

/// Other completions run on the same engines at the same time.
async fn beside_others(context: Context) -> CaseReport {
    let testbed = start(&context).await;
    let stop = Cell::new(false);
    let poison = async {
        testbed.busy_engine(0, Position::First).await;
        testbed.cluster.clock.sleep(context.around(120)).await;
        send_all(&testbed).await;
        testbed.sleep(500).await;
        stop.set(true);
    };
    let (load, ()) = join!(testbed.load(&stop, MAX_DRAFTS), poison);
    testbed.note(format!("{} of {} completions retried", load.retried, load.completions));
    testbed.check(load.wrong == 0, || format!("{} completions were not whole", load.wrong));
    testbed.finish().await
}

async fn start(context: &Context) -> Testbed {
    let setup = Setup { nodes: NODES, services: 0, replicas: REPLICAS, ..Setup::default() };
    let testbed = Testbed::start(context, setup).await;
    for position in Position::iter() {
        for replica in 0..REPLICAS {
            let faults =
                EngineFaults { crash_on: Some(CRASH_TEXT.into()), ..EngineFaults::default() };
            testbed.engine_faults(testbed.engine(&position.engine(replica)), faults).await;
        }
    }
    testbed
}

/// Sends the request and checks that few engines end and that all nodes refuse it in the end.
/// Returns whether enough engines are left for other completions.
async fn send_all(testbed: &Testbed) -> bool {
    let poison = Completion { prompt: format!("The {CRASH_TEXT}"), ..completion(0) };
    let mut ended = 0;
    for send in 0..SENDS {
        let (outcome, _) = testbed.try_completion(send % NODES, &poison).await;
        testbed
            .check(outcome.status == 422, || format!("send {send} was not refused: {outcome:?}"));
        let engines = &testbed.cluster.engines;
        ended = engines.iter().filter(|engine| engine.exit_code().is_some()).count();
        if ended > CRASH_LIMIT {
            testbed.problem(format!("{ended} engines ended"));
            return false;
        }
    }
    testbed.check(ended > 0, || "no engine ended".into());
    true
}
