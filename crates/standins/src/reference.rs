//! The computation of the test model, and the completion that a correct run generates.
//!
//! Each layer keeps one running value per session, which stands for its KV cache. A layer or
//! position that is skipped, repeated or swapped changes all later tokens.

use types::Digest;

/// Number of different tokens.
pub const VOCABULARY: u64 = 50_021;

/// Splits text into tokens, one per word.
pub fn tokenize(text: &str) -> Vec<u32> {
    text.split_whitespace()
        .map(|word| (Digest::of(&[word.as_bytes()]).0 as u64 % VOCABULARY) as u32)
        .collect()
}

/// Text of a generated token.
pub fn token_text(id: u32) -> String {
    format!(" t{id}")
}

/// The activation that enters layer 0 for a token at a position.
pub fn embed(model: &str, token: u32, position: u32) -> u64 {
    let model = Digest::of(&[model.as_bytes()]).0 as u64;
    mix(model, (u64::from(token) << 32) | u64::from(position))
}

/// Runs one layer for one position: updates the layer's cache value and returns its output.
pub fn run_layer(layer: u32, cache: &mut u64, activation: u64) -> u64 {
    *cache = mix(*cache ^ u64::from(layer), activation);
    mix(activation ^ u64::from(layer + 1), *cache)
}

/// Maps the output of the last layer to a token.
pub fn sample(output: u64) -> u32 {
    (output % VOCABULARY) as u32
}

/// The tokens that a correct run of `model` with `layers` layers generates.
pub fn tokens(model: &str, layers: u32, prompt: &str, max_tokens: u32) -> Vec<u32> {
    let mut caches = vec![0; layers as usize];
    let mut sequence = tokenize(prompt);
    let prompt_len = sequence.len();
    let mut position = 0;
    while sequence.len() < prompt_len + max_tokens as usize {
        let mut activation = embed(model, sequence[position], position as u32);
        for (layer, cache) in caches.iter_mut().enumerate() {
            activation = run_layer(layer as u32, cache, activation);
        }
        position += 1;
        if position == sequence.len() {
            sequence.push(sample(activation));
        }
    }
    sequence.split_off(prompt_len)
}

/// The text that a correct run generates.
pub fn completion(model: &str, layers: u32, prompt: &str, max_tokens: u32) -> String {
    tokens(model, layers, prompt, max_tokens).into_iter().map(token_text).collect()
}

/// Combines two values into a pseudo-random one.
fn mix(left: u64, right: u64) -> u64 {
    let mut value = left.rotate_left(23).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ right;
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
