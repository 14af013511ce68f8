//! Scenarios that show faults of the system from outside: `lab CASE FOLDER`. The exit code is 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run.

mod crashes;
mod entries;
mod flood;
mod http;
mod json;
mod silence;
mod store;
mod world;

use std::{path::PathBuf, process::ExitCode, sync::Arc};

use crashes::Tainted;
use store::Store;
use world::{Node, Record, configure, free_addr};

/// What a scenario gets.
pub struct Lab {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub store_addr: std::net::SocketAddr,
    temporary: PathBuf,
    /// Whether the disruption happens.
    pub trouble: bool,
}

impl Lab {
    pub fn node(&self, number: usize) -> Node {
        self.node_at(number, self.store_addr)
    }

    /// A node that reaches the store at `store`.
    pub fn node_at(&self, number: usize, store: std::net::SocketAddr) -> Node {
        Node::start(number, store, &self.temporary, &self.record)
    }
}

/// Outcome of a scenario: whether the rule held, or why it could not run.
pub type Outcome = Result<bool, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: lab CASE FOLDER");
        return ExitCode::from(2);
    };
    world::limit_time(116.0);
    let temporary = std::env::temp_dir().join(format!("gypsumrack-review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("temporary folder can be made");
    let store_addr = free_addr();
    let store = Store::start(store_addr);
    configure(&store, 3);
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let lab = Lab { record, store, store_addr, temporary, trouble };
    let outcome = match case.as_str() {
        "flood" => flood::run(&lab),
        "parts" => crashes::tainted(&lab, Tainted { parts: 9, begins: false }),
        "few-parts" => crashes::tainted(&lab, Tainted { parts: 2, begins: false }),
        "begun" => crashes::tainted(&lab, Tainted { parts: 2, begins: true }),
        "entries" => entries::run(&lab),
        "silence" => silence::run(&lab),
        "roll" => crashes::roll(&lab),
        _ => Err(format!("there is no case {case}")),
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&lab.temporary);
    }
    match outcome {
        Ok(true) => {
            lab.record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            lab.record.say("the rule was broken");
            ExitCode::from(1)
        }
        Err(reason) => {
            lab.record.say(&format!("the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
