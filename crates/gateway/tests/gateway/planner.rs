//! Orders of the planner.

use std::{rc::Rc, time::Duration};

use crate::support::{Fixture, MemoryStore};

/// Guards against a first placement that covers only a part of the engines that start together,
/// because the node has not read the entries of the others yet: on a day of a large deployment the
/// copies of the model were then spread badly, and first events took half as long again.
#[compio::test]
async fn the_first_placement_waits_until_the_changes_were_read_again() {
    let fixture = Fixture::with_change_limit(Rc::new(MemoryStore::default()), 4000);
    fixture.store.write("table", Some("1"));
    fixture.store.write("upstreams/e1", Some("drafts 10.0.1.1:80 a up none"));
    fixture.start().await;
    compio::runtime::spawn(gateway::run_planner(fixture.gateway.clone())).detach();
    compio::time::sleep(Duration::from_millis(200)).await;
    fixture.store.write("upstreams/e2", Some("drafts 10.0.1.2:80 a up none"));
    let orders = || fixture.upstreams.orders.borrow().len();
    // The next read comes 1.6 s after the first one or later.
    compio::time::sleep(Duration::from_millis(1500)).await;
    assert_eq!(orders(), 0, "only one of two engines is known");
    compio::time::sleep(Duration::from_millis(4500)).await;
    assert!(orders() > 0, "the engines are ordered to load the model");
}
