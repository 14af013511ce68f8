//! How much KV cache a request reserves.

use admission::SizeHints;
use proptest::prelude::*;

const USUAL: SizeHints =
    SizeHints { prompt: 800, max_output: 700, estimate: None, usual_output: 220.0 };

/// Guards against memory that stays unused because each request reserves its largest output, which
/// few requests reach.
#[test]
fn the_usual_output_counts_instead_of_the_largest() {
    assert_eq!(USUAL.expected_tokens(), 910);
    assert_eq!(SizeHints { max_output: 100, ..USUAL }.expected_tokens(), 850);
}

/// Guards against a caller that reserves no memory, or all of it, by an estimate far off.
#[test]
fn estimates_far_off_are_limited() {
    let with = |estimate| SizeHints { estimate: Some(estimate), ..USUAL }.expected_tokens();
    assert_eq!((with(0), with(300), with(u32::MAX)), (855, 950, 1020));
}

proptest! {
    /// Guards against a panic, or a size beyond the largest possible one, for absurd values.
    #[test]
    fn the_size_is_within_prompt_and_largest_output(
        prompt: u32,
        max_output: u32,
        estimate: Option<u32>,
        usual_output: f64,
    ) {
        let size = SizeHints { prompt, max_output, estimate, usual_output }.expected_tokens();
        prop_assert!(size >= prompt && size <= prompt.saturating_add(max_output.max(1)));
    }
}
