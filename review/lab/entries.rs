//! A resumable stream runs on more workers than its route allows.

use std::{
    collections::BTreeMap,
    net::TcpStream,
    sync::{Arc, Mutex},
    thread,
};

use crate::{
    Lab, Outcome,
    crashes::{draft, start_nodes},
    http::Message,
    world::{Worker, sleep},
};

/// Entry workers that a request may run on (`max_attempts`).
const MAX_ATTEMPTS: usize = 2;
/// Requests that may run on more.
const ALLOWED: usize = 3;

/// An engine leaves without saying so: its entry goes, and it goes on serving. Twice meanwhile,
/// connections between the system and the engines are reset.
pub fn run(lab: &Lab) -> Outcome {
    let runs: Arc<Mutex<BTreeMap<String, Vec<usize>>>> = Arc::default();
    let workers: Vec<Arc<Worker>> = (0..5)
        .map(|number| {
            let runs = runs.clone();
            let serve = move |worker: &Arc<Worker>, request: &Message, stream: &mut TcpStream| {
                let id = request.header("attempt-id").unwrap_or_default().to_owned();
                worker.record.note(&format!("request {id} runs on worker {}", worker.id()));
                let mut all = runs.lock().unwrap();
                let entries = all.entry(id).or_default();
                if !entries.contains(&number) {
                    entries.push(number);
                }
                drop(all);
                worker.answer_events(request, stream, 120, 50)
            };
            Worker::start(number, "drafts", &lab.store, &lab.record, Box::new(serve))
        })
        .collect();
    let nodes = start_nodes(lab, 3)?;
    sleep(6.0);
    let threads: Vec<_> = (0..120_u64)
        .map(|number| {
            let (node, record) = (nodes[(number % 3) as usize].clone(), lab.record.clone());
            thread::spawn(move || draft(&node, &record, "600d0001", 2, number + 1))
        })
        .collect();
    sleep(1.5);
    if lab.trouble {
        lab.record.say("half of the connections are reset; worker 0 leaves without saying so");
        workers.iter().for_each(|worker| worker.reset_connections(2));
        workers[0].unregister();
        sleep(1.5);
        lab.record.say("half of the connections are reset");
        workers.iter().for_each(|worker| worker.reset_connections(2));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let runs = runs.lock().unwrap();
    let over = runs.values().filter(|entries| entries.len() > MAX_ATTEMPTS).count();
    lab.record.say(&format!(
        "{over} of {} requests ran on more than {MAX_ATTEMPTS} workers; {ALLOWED} may",
        runs.len()
    ));
    Ok(over <= ALLOWED)
}
