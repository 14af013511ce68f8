//! Guards against tokens that reach a caller although a layer was skipped, repeated or run out of
//! order, or that belong to another attempt or session.

use std::net::SocketAddr;

use engines::{
    ReceiptCheck,
    api::{Generate, Receipt, Token},
};
use proptest::{prelude::*, sample::Index};
use types::{Class, LayerRange, Stage};

/// A valid run: the request and its tokens.
#[derive(Clone, Debug)]
struct Run {
    request: Generate,
    layers: u32,
    tokens: Vec<Token>,
}

/// One change of a valid run.
#[derive(Clone, Debug)]
enum Mutation {
    Session,
    TokenAttempt(u32),
    TokenIndex(u32),
    DropToken,
    RepeatToken,
    DropReceipt,
    RepeatReceipt,
    SwapReceipts,
    Engine,
    Version,
    ReceiptAttempt(u32),
    LayerStart(u32),
    LayerEnd(u32),
    First(u32),
    End(u32),
}

fn runs() -> impl Strategy<Value = Run> {
    let widths = prop::collection::vec(1..5_u32, 2..5);
    (widths, 1..6_u32, 0..5_u32, 1..9_u32, 2..6_u32, any::<bool>()).prop_map(
        |(widths, attempt, given, prompt, count, resume)| {
            let mut layers = 0;
            let mut route = Vec::new();
            for (number, width) in widths.into_iter().enumerate() {
                let addr = SocketAddr::from(([127, 0, 0, 1], 1));
                let range = LayerRange { start: layers, end: layers + width };
                route.push(Stage { engine: format!("e{number}").into(), addr, layers: range });
                layers += width;
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
            let tokens = (0..count).map(|n| token(&request, prompt, n)).collect();
            Run { request, layers, tokens }
        },
    )
}

fn token(request: &Generate, prompt: u32, number: u32) -> Token {
    let index = request.given.len() as u32 + number;
    let end = prompt + index;
    let first = if number == 0 && !request.resume { 0 } else { end - 1 };
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
            Session,
            DropToken,
            RepeatToken,
            DropReceipt,
            RepeatReceipt,
            SwapReceipts,
            Engine,
            Version,
        ]),
        (1..4_u32).prop_map(TokenAttempt),
        (1..4_u32).prop_map(TokenIndex),
        (1..4_u32).prop_map(ReceiptAttempt),
        (1..4_u32).prop_map(LayerStart),
        (1..4_u32).prop_map(LayerEnd),
        (1..4_u32).prop_map(First),
        (1..4_u32).prop_map(End),
    ]
}

/// Changes one token, or one of its receipts. A dropped token is never the last one, whose absence
/// only the count of tokens shows.
fn mutate(run: &mut Run, mutation: &Mutation, at: &Index, stage: &Index) {
    let choices = run.tokens.len() - usize::from(matches!(mutation, Mutation::DropToken));
    let at = at.index(choices);
    let stage = stage.index(run.request.route.len());
    if let Mutation::DropToken = mutation {
        run.tokens.remove(at);
        return;
    }
    if let Mutation::RepeatToken = mutation {
        let again = run.tokens[at].clone();
        run.tokens.insert(at, again);
        return;
    }
    let token = &mut run.tokens[at];
    let receipt = &mut token.receipts[stage];
    match mutation {
        Mutation::Session => token.session = "other".into(),
        Mutation::TokenAttempt(by) => token.attempt += by,
        Mutation::TokenIndex(by) => token.index += by,
        Mutation::Engine => receipt.engine = "other".into(),
        Mutation::Version => receipt.version = "2".into(),
        Mutation::ReceiptAttempt(by) => receipt.attempt += by,
        Mutation::LayerStart(by) => receipt.layers.start += by,
        Mutation::LayerEnd(by) => receipt.layers.end += by,
        Mutation::First(by) => receipt.first += by,
        Mutation::End(by) => receipt.end += by,
        Mutation::DropReceipt => drop(token.receipts.remove(stage)),
        Mutation::RepeatReceipt => {
            let again = receipt.clone();
            token.receipts.insert(stage, again);
        }
        Mutation::SwapReceipts => {
            let other = (stage + 1) % token.receipts.len();
            token.receipts.swap(stage, other);
        }
        Mutation::DropToken | Mutation::RepeatToken => {}
    }
}

fn passes(run: &Run) -> bool {
    let mut check = ReceiptCheck::new(&run.request, run.layers);
    run.tokens.iter().all(|token| check.check(token).is_ok())
}

proptest! {
    #[test]
    fn only_unchanged_runs_pass(
        run in runs(),
        mutation in mutations(),
        at in any::<Index>(),
        stage in any::<Index>(),
    ) {
        prop_assert!(passes(&run));
        let mut changed = run;
        mutate(&mut changed, &mutation, &at, &stage);
        prop_assert!(!passes(&changed), "{mutation:?} was not noticed");
    }
}
