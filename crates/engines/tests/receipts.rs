//! Guards against passing on tokens for which a layer was skipped, repeated or run out of order, or
//! which belong to another attempt or session.

use std::net::SocketAddr;

use engines::{
    ReceiptCheck,
    api::{Generate, Receipt, Token},
};
use proptest::{prelude::*, sample::Index};
use types::{Class, LayerRange, Stage};

/// An attempt that has to pass the check: its request and the tokens that it generated.
#[derive(Clone, Debug)]
struct ValidRun {
    request: Generate,
    layer_count: u32,
    tokens: Vec<Token>,
}

/// A change to one token or receipt of a valid run, after which the run must not pass the check.
#[derive(Clone, Debug)]
enum Mutation {
    TokenSession,
    TokenAttempt(u32),
    TokenIndex(u32),
    DropToken,
    RepeatToken,
    DropReceipt,
    RepeatReceipt,
    SwapReceipts,
    ReceiptEngine,
    ReceiptVersion,
    ReceiptAttempt(u32),
    LayerStart(u32),
    LayerEnd(u32),
    FirstPosition(u32),
    EndPosition(u32),
}

fn valid_runs() -> impl Strategy<Value = ValidRun> {
    let widths = prop::collection::vec(1..5_u32, 2..5);
    (widths, 1..6_u32, 0..5_u32, 1..9_u32, 2..6_u32, any::<bool>()).prop_map(
        |(widths, attempt, given, prompt_tokens, count, resume)| {
            let mut layer_count = 0;
            let mut route = Vec::new();
            for (index, width) in widths.into_iter().enumerate() {
                let addr = SocketAddr::from(([127, 0, 0, 1], 1));
                let range = LayerRange { start: layer_count, end: layer_count + width };
                route.push(Stage { engine: format!("e{index}").into(), addr, layers: range });
                layer_count += width;
            }
            let request = Generate {
                session: "s".into(),
                attempt,
                model: "m".into(),
                version: "1".into(),
                class: Class::Interactive,
                prompt: "p".into(),
                given: vec![7; given as usize],
                max_tokens: given + count,
                route: route.into(),
                resume,
            };
            let tokens = (0..count).map(|step| token(&request, prompt_tokens, step)).collect();
            ValidRun { request, layer_count, tokens }
        },
    )
}

/// The token that step `step` of the attempt generates, with the receipts of all stages.
fn token(request: &Generate, prompt_tokens: u32, step: u32) -> Token {
    let index = request.given.len() as u32 + step;
    let end = prompt_tokens + index;
    let first = if step == 0 && !request.resume { 0 } else { end - 1 };
    let receipt = |stage: &Stage| Receipt {
        engine: stage.engine.clone(),
        version: request.version.clone(),
        layers: stage.layers,
        attempt: request.attempt,
        first,
        end,
    };
    let receipts = request.route.iter().map(receipt).collect();
    let (session, attempt) = (request.session.clone(), request.attempt);
    Token { session, attempt, index, id: 7, text: " t7".into(), receipts }
}

fn mutations() -> impl Strategy<Value = Mutation> {
    use Mutation::*;
    prop_oneof![
        prop::sample::select(vec![
            TokenSession,
            DropToken,
            RepeatToken,
            DropReceipt,
            RepeatReceipt,
            SwapReceipts,
            ReceiptEngine,
            ReceiptVersion,
        ]),
        (1..4_u32).prop_map(TokenAttempt),
        (1..4_u32).prop_map(TokenIndex),
        (1..4_u32).prop_map(ReceiptAttempt),
        (1..4_u32).prop_map(LayerStart),
        (1..4_u32).prop_map(LayerEnd),
        (1..4_u32).prop_map(FirstPosition),
        (1..4_u32).prop_map(EndPosition),
    ]
}

/// Applies `mutation` to one token or one of its receipts. It never drops the last token, because
/// the remaining tokens would still be valid.
fn mutate(run: &mut ValidRun, mutation: &Mutation, token_index: &Index, stage_index: &Index) {
    let choices = run.tokens.len() - usize::from(matches!(mutation, Mutation::DropToken));
    let token_index = token_index.index(choices);
    let stage_index = stage_index.index(run.request.route.len());
    if let Mutation::DropToken = mutation {
        run.tokens.remove(token_index);
        return;
    }
    if let Mutation::RepeatToken = mutation {
        let copy = run.tokens[token_index].clone();
        run.tokens.insert(token_index, copy);
        return;
    }
    let token = &mut run.tokens[token_index];
    let receipt = &mut token.receipts[stage_index];
    match mutation {
        Mutation::TokenSession => token.session = "other".into(),
        Mutation::TokenAttempt(increment) => token.attempt += increment,
        Mutation::TokenIndex(increment) => token.index += increment,
        Mutation::ReceiptEngine => receipt.engine = "other".into(),
        Mutation::ReceiptVersion => receipt.version = "2".into(),
        Mutation::ReceiptAttempt(increment) => receipt.attempt += increment,
        Mutation::LayerStart(increment) => receipt.layers.start += increment,
        Mutation::LayerEnd(increment) => receipt.layers.end += increment,
        Mutation::FirstPosition(increment) => receipt.first += increment,
        Mutation::EndPosition(increment) => receipt.end += increment,
        Mutation::DropReceipt => drop(token.receipts.remove(stage_index)),
        Mutation::RepeatReceipt => {
            let copy = receipt.clone();
            token.receipts.insert(stage_index, copy);
        }
        Mutation::SwapReceipts => {
            let other = (stage_index + 1) % token.receipts.len();
            token.receipts.swap(stage_index, other);
        }
        Mutation::DropToken | Mutation::RepeatToken => {}
    }
}

fn passes_check(run: &ValidRun) -> bool {
    let mut check = ReceiptCheck::new(&run.request, run.layer_count);
    run.tokens.iter().all(|token| check.check(token).is_ok())
}

proptest! {
    #[test]
    fn check_accepts_valid_run_and_rejects_each_mutation(
        run in valid_runs(),
        mutation in mutations(),
        token_index in any::<Index>(),
        stage_index in any::<Index>(),
    ) {
        prop_assert!(passes_check(&run));
        let mut mutated = run;
        mutate(&mut mutated, &mutation, &token_index, &stage_index);
        prop_assert!(!passes_check(&mutated), "the check did not reject {mutation:?}");
    }
}

/// Guards against a panic because an engine states the largest possible position.
#[test]
fn token_after_the_largest_position_does_not_pass_the_check() {
    let stage = Stage {
        engine: "e".into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        layers: LayerRange { start: 0, end: 1 },
    };
    let request = Generate {
        session: "s".into(),
        attempt: 1,
        model: "m".into(),
        version: "1".into(),
        class: Class::Interactive,
        prompt: "p".into(),
        given: Vec::new(),
        max_tokens: 2,
        route: [stage].into(),
        resume: false,
    };
    let mut check = ReceiptCheck::new(&request, 1);
    assert!(check.check(&token(&request, u32::MAX, 0)).is_ok());
    for end in [0, u32::MAX] {
        let mut next = token(&request, 1, 1);
        (next.receipts[0].first, next.receipts[0].end) = (u32::MAX, end);
        assert!(check.check(&next).is_err());
    }
}
