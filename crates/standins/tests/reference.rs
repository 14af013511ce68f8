//! Tests the reference model: a layer or position that is skipped, repeated or swapped changes the
//! generated text, so that a caller can detect a wrong run.

use standins::reference::{completion, embed, run_layer, sample, tokenize, tokens};

const LAYERS: u32 = 6;
const PROMPT: &str = "gravel from the river bar";

/// Runs the prompt at the given positions with the layers in the given order, and returns the first
/// generated token.
fn first_token(order: &[u32], positions: &[usize]) -> u32 {
    let mut caches = [0; LAYERS as usize];
    let prompt = tokenize(PROMPT);
    let mut activation = 0;
    for &position in positions {
        activation = embed("permits", prompt[position], position as u32);
        for &layer in order {
            activation = run_layer(layer, &mut caches[layer as usize], activation);
        }
    }
    sample(activation)
}

#[test]
fn skipping_repeating_or_swapping_a_layer_changes_the_first_token() {
    let positions: Vec<usize> = (0..5).collect();
    let right: Vec<u32> = (0..LAYERS).collect();
    let expected = tokens("permits", LAYERS, PROMPT, 1)[0];
    assert_eq!(first_token(&right, &positions), expected);
    for layer in 0..LAYERS as usize {
        let mut skipped = right.clone();
        skipped.remove(layer);
        assert_ne!(first_token(&skipped, &positions), expected, "layer {layer} skipped");
        let mut repeated = right.clone();
        repeated.insert(layer, layer as u32);
        assert_ne!(first_token(&repeated, &positions), expected, "layer {layer} repeated");
        if layer > 0 {
            let mut swapped = right.clone();
            swapped.swap(layer - 1, layer);
            assert_ne!(first_token(&swapped, &positions), expected, "layer {layer} swapped");
        }
    }
}

#[test]
fn skipping_repeating_or_swapping_a_position_changes_the_first_token() {
    let layers: Vec<u32> = (0..LAYERS).collect();
    let expected = first_token(&layers, &[0, 1, 2, 3, 4]);
    for positions in [vec![0, 1, 3, 4], vec![0, 1, 1, 2, 3, 4], vec![0, 2, 1, 3, 4]] {
        assert_ne!(first_token(&layers, &positions), expected, "{positions:?}");
    }
}

#[test]
fn different_models_prompts_and_layer_counts_give_different_texts() {
    let text = completion("permits", LAYERS, PROMPT, 8);
    assert_ne!(text, completion("summaries", LAYERS, PROMPT, 8));
    assert_ne!(text, completion("permits", LAYERS, "gravel from the river", 8));
    assert_ne!(text, completion("permits", LAYERS + 1, PROMPT, 8));
}
