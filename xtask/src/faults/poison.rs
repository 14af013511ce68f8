//! Requests that crash every engine that runs them.

use std::cell::Cell;

use futures_util::join;
use loadgen::Draft;
use standins::EngineFaults;
use strum::IntoEnumIterator;

use crate::faults::{
    Case, Context, Report,
    bench::{Bench, Setup},
    drafts::{Position, draft},
};

/// Text of a prompt that ends the process of an engine.
const CRASH_TEXT: &str = "kilometre that crashes engines";
/// Engines that may end: the default of the setting `crash_limit`.
const CRASH_LIMIT: usize = 2;
const NODES: usize = 3;
const REPLICAS: u32 = 3;
/// Sends of the request, in turn through all nodes.
const SENDS: usize = 9;
/// Most drafts of the load beside it.
const MAX_DRAFTS: u32 = 200;

/// The cases of this module.
pub(crate) fn cases() -> Vec<Case> {
    vec![
        Case::new("poison/sent-again", "Q6", "F1", sent_again),
        Case::new("poison/beside-others", "Q6 R2", "F1", beside_others),
    ]
}

/// A caller sends the request again through all nodes, one send after the other.
async fn sent_again(context: Context) -> Report {
    let bench = start(&context).await;
    if send_all(&bench).await {
        for number in 0..NODES {
            bench.draft(number, &draft(number as u32)).await;
        }
    }
    bench.finish().await
}

/// Other drafts run on the same engines at the same time.
async fn beside_others(context: Context) -> Report {
    let bench = start(&context).await;
    let stop = Cell::new(false);
    let poison = async {
        bench.busy_engine(0, Position::First).await;
        bench.cluster.clock.sleep(context.around(120)).await;
        send_all(&bench).await;
        bench.sleep(500).await;
        stop.set(true);
    };
    let (load, ()) = join!(bench.load(&stop, MAX_DRAFTS), poison);
    bench.note(format!("{} of {} drafts retried", load.retried, load.drafts));
    bench.check(load.wrong == 0, || format!("{} drafts were not whole", load.wrong));
    bench.finish().await
}

async fn start(context: &Context) -> Bench {
    let setup = Setup { nodes: NODES, services: 0, replicas: REPLICAS, ..Setup::default() };
    let bench = Bench::start(context, setup).await;
    for position in Position::iter() {
        for replica in 0..REPLICAS {
            let faults =
                EngineFaults { crash_on: Some(CRASH_TEXT.into()), ..EngineFaults::default() };
            bench.engine_faults(bench.engine(&position.engine(replica)), faults).await;
        }
    }
    bench
}

/// Sends the request and checks that few engines end and that all nodes refuse it in the end.
/// Returns whether enough engines are left for other drafts.
async fn send_all(bench: &Bench) -> bool {
    let poison = Draft { prompt: format!("The {CRASH_TEXT}"), ..draft(0) };
    let mut ended = 0;
    for send in 0..SENDS {
        let (outcome, _) = bench.try_draft(send % NODES, &poison).await;
        bench.check(outcome.status == 422, || format!("send {send} was not refused: {outcome:?}"));
        let engines = &bench.cluster.engines;
        ended = engines.iter().filter(|engine| engine.exit_code().is_some()).count();
        if ended > CRASH_LIMIT {
            bench.problem(format!("{ended} engines ended"));
            return false;
        }
    }
    bench.check(ended > 0, || "no engine ended".into());
    true
}
