//! Counts of prompt tokens that are not prefilled yet.

use pipelines::{RequestSize, UnreadTable};
use proptest::prelude::*;
use types::{LayerRange, Stage};

fn stages() -> Vec<Stage> {
    let stage = |name: &str, start, end| Stage {
        engine: name.into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        layers: LayerRange { start, end },
    };
    vec![stage("one", 0, 30), stage("two", 30, 80)]
}

/// Guards against prompts of this node that are counted on the wrong engines or for too long.
#[test]
fn own_prompts_are_counted_until_the_first_event() {
    let mut table = UnreadTable::default();
    let size = RequestSize { prompt: 100, tokens: 300 };
    table.add(&stages(), size);
    assert_eq!(table.unread("one", 30.0 * 300.0, 0.1), 30.0 * 100.0);
    assert_eq!(table.unread("two", 50.0 * 300.0, 0.1), 50.0 * 100.0);
    table.record_first_event(&stages(), size);
    assert_eq!(table.unread("two", 50.0 * 300.0, 0.1), 0.0);
    let others = table.unread("two", 50.0 * 300.0 + 1000.0, 0.1);
    assert!(others > 0.0 && others <= 100.0, "{others}");
    table.remove(&stages(), size);
    assert!(table.is_empty());
    assert_eq!(table.unread("two", 1000.0, 0.1), 100.0, "others are estimated");
}

proptest! {
    /// Guards against counts that become negative, or that are left over when all requests have
    /// ended, in whatever order they are prefilled and end.
    #[test]
    fn counts_return_to_zero(
        requests in prop::collection::vec((0..3000_u32, 0..3000_u32, 0..9_u8, 0..9_u8), 0..30),
    ) {
        let mut table = UnreadTable::default();
        let mut expected = 0.0;
        for step in 0..20_u8 {
            for (prompt, output, start, length) in &requests {
                let size = RequestSize { prompt: *prompt, tokens: prompt + output };
                if step == *start {
                    table.add(&stages(), size);
                    expected += 30.0 * f64::from(*prompt);
                }
                if step == start + length {
                    table.record_first_event(&stages(), size);
                    expected -= 30.0 * f64::from(*prompt);
                }
                if step == start + length + 1 {
                    table.remove(&stages(), size);
                }
            }
            let unread = table.unread("one", 0.0, 1.0);
            prop_assert!(unread >= 0.0 && (unread - expected).abs() < 1e-3, "{unread} {expected}");
            let others = table.unread("none", 1e6, 0.5);
            prop_assert!((0.0..=1e6).contains(&others), "{others}");
        }
        prop_assert!(table.is_empty());
    }
}
