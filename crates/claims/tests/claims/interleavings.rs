//! Random interleavings of nodes that claim, are paused, release and retry while the key-value
//! service fails.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use crate::world::{Fault, RETENTION, TICK, TestNode, World, request, run};
use claims::{Admission, StoredResponse};
use clock::Clock;
use proptest::prelude::*;
use types::Verdict;

/// Deadline of each request.
const LIMIT: Duration = Duration::from_secs(2);
/// Time in which every request ends after the last step.
const END: Duration = Duration::from_secs(8);

/// What the holder of a claim does with it.
#[derive(Clone, Copy, Debug)]
enum Plan {
    Finish,
    Abandon,
    Release,
    /// Neither finishes nor releases the claim, as after a panic.
    Drop,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Send(usize, Plan),
    Pause(usize),
    Resume(usize),
    Wait(u8),
}

/// What happened to the key, in order.
#[derive(Default)]
struct Ledger {
    /// Whether a claim is granted and not released.
    granted: Cell<bool>,
    sent: Cell<u32>,
    answer: RefCell<Option<StoredResponse>>,
    problems: RefCell<Vec<String>>,
    open: Cell<u32>,
}

impl Ledger {
    fn check(&self, holds: bool, problem: &str) {
        if !holds {
            self.problems.borrow_mut().push(problem.into());
        }
    }

    fn not_run(&self, what: &str) {
        self.check(self.sent.get() == 0, &format!("not-run although the key was sent: {what}"));
    }
}

async fn send(world: Rc<World>, node: Rc<TestNode>, plan: Plan, first: bool, ledger: Rc<Ledger>) {
    let wanted = request(&node, first, LIMIT);
    let outcome = node.claims.admit(&wanted).await;
    match outcome {
        Ok(Admission::Run(claim)) => {
            ledger.check(!ledger.granted.get(), "two grants without a release");
            ledger.granted.set(true);
            world.clock.sleep(TICK).await;
            node.ready().await;
            match plan {
                Plan::Release => {
                    ledger.granted.set(false);
                    ledger.not_run("released claim");
                    claim.release().await;
                }
                _ if node.clock.now() >= wanted.deadline => {
                    ledger.granted.set(false);
                    ledger.not_run("deadline passed");
                    claim.release().await;
                }
                plan => {
                    ledger.sent.set(ledger.sent.get() + 1);
                    ledger.check(ledger.sent.get() == 1, "the key was sent twice");
                    world.clock.sleep(TICK * 5).await;
                    node.ready().await;
                    match plan {
                        Plan::Finish => {
                            let body = node.name.clone().into_bytes();
                            let answer = StoredResponse {
                                status: 201,
                                content_type: None,
                                body: Some(body),
                            };
                            *ledger.answer.borrow_mut() = Some(answer.clone());
                            claim.finish(answer, RETENTION).await;
                        }
                        Plan::Abandon => claim.abandon().await,
                        _ => drop(claim),
                    }
                }
            }
        }
        Ok(Admission::Replay(answer)) => {
            let equal = ledger.answer.borrow().as_ref() == Some(&answer);
            ledger.check(equal, "replayed another answer");
        }
        // A first send is told what became of itself; later sends run beside it.
        Err(failure) if failure.verdict == Verdict::NotRun && !first => {
            ledger.not_run("refused request");
        }
        Err(failure) => ledger.check(failure.verdict != Verdict::Ran, "failed with ran"),
    }
    ledger.open.set(ledger.open.get() - 1);
}

async fn play(nodes: usize, reachable: bool, script: Vec<Fault>, steps: Vec<Step>) -> Vec<String> {
    let world = World::new(script);
    let nodes: Vec<_> =
        (0..nodes).map(|index| world.add_node(&format!("node-{index}"), reachable)).collect();
    let ledger = Rc::new(Ledger::default());
    let mut first = true;
    for step in steps {
        match step {
            Step::Send(index, plan) => {
                let node = nodes[index % nodes.len()].clone();
                ledger.open.set(ledger.open.get() + 1);
                let task = send(world.clone(), node, plan, first, ledger.clone());
                compio::runtime::spawn(task).detach();
                first = false;
            }
            Step::Pause(index) => nodes[index % nodes.len()].pause(),
            Step::Resume(index) => nodes[index % nodes.len()].resume(),
            Step::Wait(ticks) => world.pass(TICK * u32::from(ticks)).await,
        }
    }
    nodes.iter().for_each(|node| node.resume());
    world.pass(END).await;
    ledger.check(ledger.open.get() == 0, "a request did not end");
    ledger.problems.take()
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => Just(Fault::None),
        1 => (1u8..10).prop_map(Fault::Slow),
        1 => Just(Fault::Unavailable),
        2 => Just(Fault::Lost),
        2 => Just(Fault::AnswerLost),
        2 => (1u8..60).prop_map(Fault::Late),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let plan = prop_oneof![
        2 => Just(Plan::Finish),
        1 => Just(Plan::Abandon),
        3 => Just(Plan::Release),
        1 => Just(Plan::Drop),
    ];
    prop_oneof![
        4 => (0usize..3, plan).prop_map(|(node, plan)| Step::Send(node, plan)),
        1 => (0usize..3).prop_map(Step::Pause),
        1 => (0usize..3).prop_map(Step::Resume),
        3 => (1u8..30).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..Default::default() })]

    /// Guards against a second grant of a key without a release, a second send, a changed answer
    /// and a `not-run` for a key that was sent.
    #[test]
    fn key_is_granted_once_and_verdicts_are_honest(
        nodes in 2usize..=3,
        reachable: bool,
        script in prop::collection::vec(fault(), 0..16),
        steps in prop::collection::vec(step(), 1..14),
    ) {
        let problems = run(play(nodes, reachable, script, steps));
        prop_assert!(problems.is_empty(), "{problems:?}");
    }
}
