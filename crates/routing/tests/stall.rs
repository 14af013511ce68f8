//! Guards against suspecting engines that work, when a stream stalls and every engine answers
//! probes.

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
fn the_only_engine_without_progress_is_the_suspect() {
    let mut view = view();
    view.record_progress(&route(["a0", "b0"]), at(100));
    view.record_progress(&route(["a0", "b1"]), at(390));
    let diagnosis = view.diagnose_stall(&route(["a0", "b0"]), at(100), at(400));
    assert_eq!(diagnosis.suspects, ["b0".into()]);
}

#[test]
fn progress_early_in_a_stall_does_not_exclude_an_engine() {
    let mut view = view();
    view.record_progress(&route(["a0", "b1"]), at(105));
    let diagnosis = view.diagnose_stall(&route(["a0", "b0"]), at(100), at(400));
    assert_eq!(diagnosis.avoid, ["a0".into(), "b0".into()]);
    assert!(diagnosis.suspects.is_empty());
}

#[test]
fn the_engine_common_to_stalled_routes_is_the_suspect_until_the_stalls_decay() {
    let mut view = view();
    let suspects = |view: &mut LoadView, names, millis| {
        view.diagnose_stall(&route(names), at(millis - 300), at(millis)).suspects
    };
    assert!(suspects(&mut view, ["a0", "b0"], 1000).is_empty());
    assert_eq!(suspects(&mut view, ["a0", "b1"], 1100), ["a0".into()]);
    assert!(suspects(&mut view, ["a0", "b1"], 60_000).is_empty());
}
