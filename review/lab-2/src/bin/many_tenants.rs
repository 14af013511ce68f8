//! Requests of several tenants share one part that crashes the workers.

use std::{thread, time::Duration};

use lab_2::{
    CONTACT, case_folder,
    drafts::{self, DEADLY},
    finish, give_up, has_trouble, limit_run,
    node::Node,
    record::Record,
    store::Store,
};

const COMMON: &str = "c0c0c0c0c0c0c0c0";
const SOUND: &str = "50005000500050";
const TENANTS: usize = 10;

fn main() {
    limit_run(Duration::from_secs(115));
    let record = Record::create(&case_folder());
    let store = Store::start();
    store.write("op/config", &drafts::config(TENANTS));
    let seen = drafts::start_workers(24, &store, &record);
    let zones = ["maule", "nuble", "biobio"];
    let nodes: Vec<Node> =
        (0..3).map(|number| Node::start(number, zones[number], store.addr)).collect();
    if !nodes.iter().all(|node| node.wait_ready(Duration::from_secs(15))) {
        give_up(&record, "the nodes did not become ready");
    }
    thread::sleep(Duration::from_secs(4));
    let addrs: Vec<_> = nodes.iter().map(|node| node.callers).collect();
    let trouble = has_trouble();
    let begun = record.now();
    let (mut count, mut sound, mut deadly) = (0, 0, 0);
    let send = |tenant: usize, part: &'static str, count: usize| {
        let (record, node) = (record.clone(), addrs[count % 3]);
        thread::spawn(move || drafts::send(&record, node, tenant, &[COMMON, part]));
    };
    loop {
        let now = record.now() - begun;
        while sound < (now * 5.0) as usize {
            count += 1;
            send(sound % TENANTS, SOUND, count);
            sound += 1;
        }
        let due = if trouble && now > 5.0 { (now - 5.0) as usize } else { 0 };
        while deadly < due {
            count += 1;
            send(deadly % TENANTS, DEADLY, count);
            deadly += 1;
        }
        if now > 35.0 {
            break;
        }
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(Duration::from_secs(2));
    let crashes = seen.crashes.lock().unwrap().clone();
    let arrivals = seen.deadly.lock().unwrap().clone();
    record.say(&format!(
        "crashes {}, requests with the part that reached workers {}",
        crashes.len(),
        arrivals.len()
    ));
    let mut late = 0;
    if let Some(fifth) = crashes.get(4) {
        let from = fifth + CONTACT.as_secs_f64();
        late = arrivals.values().filter(|times| times.iter().any(|time| *time > from)).count();
        record.say(&format!("after {from:.1} s: {late}, allowed 3"));
    }
    finish(&record, late > 3)
}
