//! Random interleavings of several nodes that handle requests with one idempotency key, while the
//! nodes are paused and the key-value service fails.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use crate::simulation::{Fault, RETENTION, Simulation, TICK, TestNode, request, run};
use claims::{ClaimOutcome, StoredResponse};
use clock::Clock;
use proptest::prelude::*;
use types::Verdict;

/// Time from the start of each request to its deadline.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which every request ends after the last step of a test.
const SETTLE_TIME: Duration = Duration::from_secs(8);

/// How the holder of a claim ends it.
#[derive(Clone, Copy, Debug)]
enum HolderAction {
    Finish,
    FinishUnknown,
    Release,
    /// Drops the claim without ending it, as a panic does.
    Drop,
}

/// A step of a test. The numbers in `Send`, `Pause` and `Resume` choose a node.
#[derive(Clone, Copy, Debug)]
enum Step {
    Send(usize, HolderAction),
    Pause(usize),
    Resume(usize),
    /// Advances the time by this number of ticks.
    Wait(u8),
}

/// What has happened so far to the requests with the key, and the violations that were found.
#[derive(Default)]
struct KeyHistory {
    /// Whether a claim has been granted and not been released since.
    is_granted: Cell<bool>,
    /// How often a request was sent to an upstream.
    sent: Cell<u32>,
    /// The response with which a claim was finished, if any.
    response: RefCell<Option<StoredResponse>>,
    violations: RefCell<Vec<String>>,
    /// Requests that are being handled.
    unfinished: Cell<u32>,
}

impl KeyHistory {
    fn check(&self, holds: bool, violation: &str) {
        if !holds {
            self.violations.borrow_mut().push(violation.into());
        }
    }

    /// Checks that the verdict `not-run`, given because of `reason`, is true.
    fn check_not_sent(&self, reason: &str) {
        self.check(self.sent.get() == 0, &format!("not-run although a request was sent: {reason}"));
    }
}

async fn send(
    simulation: Rc<Simulation>,
    node: Rc<TestNode>,
    action: HolderAction,
    first: bool,
    history: Rc<KeyHistory>,
) {
    let request = request(&node, first, REQUEST_TIMEOUT);
    let outcome = node.claims.claim_or_replay(&request).await;
    match outcome {
        Ok(ClaimOutcome::Run(claim)) => {
            history.check(!history.is_granted.get(), "two grants without a release");
            history.is_granted.set(true);
            simulation.clock.sleep(TICK).await;
            node.until_resumed().await;
            match action {
                HolderAction::Release => {
                    history.is_granted.set(false);
                    history.check_not_sent("released claim");
                    claim.release().await;
                }
                _ if node.clock.now() >= request.deadline => {
                    history.is_granted.set(false);
                    history.check_not_sent("deadline passed");
                    claim.release().await;
                }
                action => {
                    history.sent.set(history.sent.get() + 1);
                    history.check(history.sent.get() == 1, "the request was sent twice");
                    simulation.clock.sleep(TICK * 5).await;
                    node.until_resumed().await;
                    match action {
                        HolderAction::Finish => {
                            let body = node.name.clone().into_bytes();
                            let response = StoredResponse {
                                status: 201,
                                content_type: None,
                                body: Some(body),
                            };
                            *history.response.borrow_mut() = Some(response.clone());
                            claim.finish(response, RETENTION).await;
                        }
                        HolderAction::FinishUnknown => claim.finish_unknown().await,
                        _ => drop(claim),
                    }
                }
            }
        }
        Ok(ClaimOutcome::Replay(response)) => {
            let equal = history.response.borrow().as_ref() == Some(&response);
            history.check(equal, "replayed another response");
        }
        // The verdict of the first request is about that request alone, while later requests with
        // the key may run at the same time. So only those are checked.
        Err(failure) if failure.verdict == Verdict::NotRun && !first => {
            history.check_not_sent("refused request");
        }
        Err(failure) => history.check(
            failure.verdict != Verdict::Ran,
            "failure with the verdict that the request ran",
        ),
    }
    history.unfinished.set(history.unfinished.get() - 1);
}

async fn run_steps(
    nodes: usize,
    reachable: bool,
    faults: Vec<Fault>,
    steps: Vec<Step>,
) -> Vec<String> {
    let simulation = Simulation::new(faults);
    let nodes: Vec<_> =
        (0..nodes).map(|index| simulation.add_node(&format!("node-{index}"), reachable)).collect();
    let history = Rc::new(KeyHistory::default());
    let mut first = true;
    for step in steps {
        match step {
            Step::Send(index, action) => {
                let node = nodes[index % nodes.len()].clone();
                history.unfinished.set(history.unfinished.get() + 1);
                let task = send(simulation.clone(), node, action, first, history.clone());
                compio::runtime::spawn(task).detach();
                first = false;
            }
            Step::Pause(index) => nodes[index % nodes.len()].pause(),
            Step::Resume(index) => nodes[index % nodes.len()].resume(),
            Step::Wait(ticks) => simulation.advance(TICK * u32::from(ticks)).await,
        }
    }
    nodes.iter().for_each(|node| node.resume());
    simulation.advance(SETTLE_TIME).await;
    history.check(history.unfinished.get() == 0, "a request did not end");
    history.violations.take()
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
    let action = prop_oneof![
        2 => Just(HolderAction::Finish),
        1 => Just(HolderAction::FinishUnknown),
        3 => Just(HolderAction::Release),
        1 => Just(HolderAction::Drop),
    ];
    prop_oneof![
        4 => (0usize..3, action).prop_map(|(node, action)| Step::Send(node, action)),
        1 => (0usize..3).prop_map(Step::Pause),
        1 => (0usize..3).prop_map(Step::Resume),
        3 => (1u8..30).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..Default::default() })]

    /// Guards against a second claim that is granted without a release of the first, a request that
    /// is sent twice, a replay of another response, and the verdict `not-run` for a request that
    /// was sent.
    #[test]
    fn request_is_sent_at_most_once_and_verdicts_are_true(
        nodes in 2usize..=3,
        reachable: bool,
        faults in prop::collection::vec(fault(), 0..16),
        steps in prop::collection::vec(step(), 1..14),
    ) {
        let violations = run(run_steps(nodes, reachable, faults, steps));
        prop_assert!(violations.is_empty(), "{violations:?}");
    }
}
