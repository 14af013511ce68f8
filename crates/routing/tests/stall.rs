//! Guards against blaming engines that work when a stream stalls and every engine answers probes.

use std::{net::SocketAddr, time::Duration};

use clock::Timestamp;
use routing::{EngineState, LoadView};
use types::{LayerRange, Stage};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_origin(Duration::from_millis(millis))
}

fn route(names: [&str; 2]) -> Vec<Stage> {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    let stage =
        |name: &str| Stage { engine: name.into(), addr, layers: LayerRange { start: 0, end: 1 } };
    names.map(stage).to_vec()
}

fn view() -> LoadView {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    let names = ["a0", "a1", "b0", "b1"];
    let engines = names.map(|name| (name.into(), EngineState::new(addr, "d".into())));
    LoadView { engines: engines.into(), ..LoadView::default() }
}

#[test]
fn engine_without_progress_is_the_suspect() {
    let mut view = view();
    view.record_progress(&route(["a0", "b0"]), at(100));
    view.record_progress(&route(["a0", "b1"]), at(390));
    let diagnosis = view.diagnose_stall(&route(["a0", "b0"]), at(100), at(400));
    assert_eq!(diagnosis.suspects, ["b0".into()]);
}

#[test]
fn token_that_was_under_way_does_not_clear_the_stalled_engine() {
    let mut view = view();
    view.record_progress(&route(["a0", "b1"]), at(105));
    let diagnosis = view.diagnose_stall(&route(["a0", "b0"]), at(100), at(400));
    assert_eq!(diagnosis.avoid, ["a0".into(), "b0".into()]);
    assert!(diagnosis.suspects.is_empty());
}

#[test]
fn engine_common_to_stalled_routes_is_the_suspect_until_stalls_are_old() {
    let mut view = view();
    let stalls = |view: &mut LoadView, names, millis| {
        view.diagnose_stall(&route(names), at(millis - 300), at(millis)).suspects
    };
    assert!(stalls(&mut view, ["a0", "b0"], 1000).is_empty());
    assert_eq!(stalls(&mut view, ["a0", "b1"], 1100), ["a0".into()]);
    assert!(stalls(&mut view, ["a0", "b1"], 60_000).is_empty());
}
