//! Requests with one part crash the workers. They share their caller and their other parts with sound
//! requests, which must be served again soon.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use lab_2::{
    CONTACT, case_folder,
    drafts::{self, Attempt, DEADLY},
    finish, give_up, has_trouble, limit_run,
    node::Node,
    record::Record,
    store::Store,
};

/// The part of sound prompts where others have the one that crashes workers. All tenants share it.
const SOUND: &str = "50005000500050";
const TENANTS: usize = 3;
/// The tenant whose requests are judged.
const OWNER: usize = 0;
/// The owner's sound requests come in batches.
const BATCH: usize = 10;
const BATCH_S: f64 = 7.0;
/// From then on, two requests a second come that crash workers; the first ones come between two
/// batches.
const DEADLY_FROM_S: f64 = 19.0;

/// The first part of a tenant's prompts, and a later one.
fn first_part(tenant: usize) -> String {
    format!("f1457000{tenant}")
}

fn document(tenant: usize) -> String {
    format!("d0c0000{tenant}")
}

fn main() {
    limit_run(Duration::from_secs(115));
    let record = Record::create(&case_folder());
    let store = Store::start();
    store.write("op/config", &drafts::config(TENANTS));
    let seen = drafts::start_workers(10, &store, &record);
    let zones = ["maule", "nuble", "biobio"];
    let nodes: Vec<Node> =
        (0..3).map(|number| Node::start(number, zones[number], store.addr)).collect();
    if !nodes.iter().all(|node| node.wait_ready(Duration::from_secs(15))) {
        give_up(&record, "the nodes did not become ready");
    }
    thread::sleep(Duration::from_secs(4));
    let addrs: Vec<_> = nodes.iter().map(|node| node.callers).collect();
    let sound: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let send_sound = |tenant: usize, count: usize| {
        let (record, node, kept) = (record.clone(), addrs[count % 3], sound.clone());
        thread::spawn(move || {
            let (first, document) = (first_part(tenant), document(tenant));
            let attempt = drafts::send(&record, node, tenant, &[&first, SOUND, &document]);
            if tenant == OWNER {
                kept.lock().unwrap().push(attempt);
            }
        });
    };
    // The other tenants send all the time.
    let begun = record.now();
    let others = |seconds: f64| -> usize { (seconds * 3.0) as usize };
    let mut sent_others = 0;
    let mut count = 0;
    let trouble = has_trouble();
    let mut deadly_sent = 0;
    let mut sound_sent = 0;
    loop {
        let now = record.now() - begun;
        while sent_others < others(now) {
            count += 1;
            send_sound(1 + sent_others % (TENANTS - 1), count);
            sent_others += 1;
        }
        let due_sound = (1 + (now / BATCH_S) as usize) * BATCH;
        while sound_sent < due_sound {
            count += 1;
            send_sound(OWNER, count);
            sound_sent += 1;
        }
        let due_deadly = if trouble && now >= DEADLY_FROM_S {
            1 + ((now - DEADLY_FROM_S) * 2.0) as usize
        } else {
            0
        };
        while deadly_sent < due_deadly {
            count += 1;
            let (record, node) = (record.clone(), addrs[count % 3]);
            thread::spawn(move || {
                let (first, document) = (first_part(OWNER), document(OWNER));
                drafts::send(&record, node, OWNER, &[&first, DEADLY, &document]);
            });
            deadly_sent += 1;
        }
        if now > 45.0 {
            break;
        }
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(Duration::from_secs(3));
    let crashes = seen.crashes.lock().unwrap().clone();
    let sound = sound.lock().unwrap();
    let calm: Vec<&Attempt> = sound.iter().filter(|one| one.sent - begun < DEADLY_FROM_S).collect();
    // From twice the bound after the fifth crash, or after the last one if there are fewer.
    let from = match crashes.get(4).or(crashes.last()) {
        Some(crash) => crash + 2.0 * CONTACT.as_secs_f64(),
        None => begun + 20.0,
    };
    let later: Vec<&Attempt> = sound.iter().filter(|one| one.sent > from).collect();
    let share = |attempts: &[&Attempt]| {
        let begun = attempts.iter().filter(|one| one.has_begun()).count();
        (begun, attempts.len(), begun as f64 / attempts.len().max(1) as f64)
    };
    let (calm, later) = (share(&calm), share(&later));
    record.say(&format!("crashes of workers: {}", crashes.len()));
    record.say(&format!("sound requests in calm: {} of {} begin", calm.0, calm.1));
    record.say(&format!("sound requests from {from:.1} s on: {} of {} begin", later.0, later.1));
    if calm.1 < 20 || later.1 < 20 || (trouble && crashes.is_empty()) {
        give_up(&record, "too few requests, or no crash");
    }
    finish(&record, later.2 < calm.2 / 2.0)
}
