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

/// Text in a prompt that makes an engine crash.
const CRASH_TEXT: &str = "kilometre that crashes engines";
/// Number of engines that one request may crash: the default of the setting `crash_limit`.
const CRASH_LIMIT: usize = 2;
const NODES: usize = 3;
const REPLICAS: u32 = 3;
/// Number of times that the request is sent, in turn through all nodes.
const SENDS: usize = 9;
/// Limit of the number of other completions that run at the same time.
const MAX_COMPLETIONS: u32 = 200;

/// The cases of this module.
pub(crate) fn cases() -> Vec<Case> {
    vec![
        Case::new("poison/sent-again", "Q6", "F1", sent_again),
        Case::new("poison/beside-others", "Q6 R2", "F1", beside_others),
    ]
}

/// A caller repeats the request through all nodes, one send after the other. Other completions are
/// still served afterwards.
async fn sent_again(context: Context) -> CaseReport {
    let testbed = start(&context).await;
    if send_all(&testbed).await {
        for number in 0..NODES {
            testbed.completion(number, &completion(number as u32)).await;
        }
    }
    testbed.finish().await
}

/// Other completions that run on the same engines at the same time stay complete and correct.
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
    let (load, ()) = join!(testbed.load(&stop, MAX_COMPLETIONS), poison);
    testbed.set_note(format!("{} of {} completions retried", load.retried, load.completions));
    testbed.check(load.wrong == 0, || {
        format!("{} completions were not complete and correct", load.wrong)
    });
    testbed.finish().await
}

/// Starts nodes and engines that crash on `CRASH_TEXT`.
async fn start(context: &Context) -> Testbed {
    let setup = Setup { nodes: NODES, services: 0, replicas: REPLICAS, ..Setup::default() };
    let testbed = Testbed::start(context, setup).await;
    for position in Position::iter() {
        for replica in 0..REPLICAS {
            let faults =
                EngineFaults { crash_on: Some(CRASH_TEXT.into()), ..EngineFaults::default() };
            testbed.set_engine_faults(testbed.engine(&position.engine(replica)), faults).await;
        }
    }
    testbed
}

/// Sends the request `SENDS` times. Checks that every send is refused with status 422 and that at
/// least one and at most `CRASH_LIMIT` engines crash. Returns whether that limit was kept, which
/// leaves an engine of each layer range for other completions.
async fn send_all(testbed: &Testbed) -> bool {
    let poison = Completion { prompt: format!("The {CRASH_TEXT}"), ..completion(0) };
    let mut crashed = 0;
    for send in 0..SENDS {
        let (outcome, _) = testbed.try_completion(send % NODES, &poison).await;
        testbed.check(outcome.status == 422, || {
            format!("send {send} was not refused with status 422: {outcome:?}")
        });
        let engines = &testbed.cluster.engines;
        crashed = engines.iter().filter(|engine| engine.exit_code().is_some()).count();
        if crashed > CRASH_LIMIT {
            testbed.add_problem(format!("{crashed} engines crashed, at most {CRASH_LIMIT} may"));
            return false;
        }
    }
    testbed.check(crashed > 0, || "no engine crashed".into());
    true
}
