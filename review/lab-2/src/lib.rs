//! Stand-ins of the platform around `gypsumrack-edge`: its key-value service, workers, callers, and
//! the start of the nodes. Only the standard library is used.

pub mod drafts;
pub mod http;
pub mod json;
pub mod node;
pub mod plain;
pub mod record;
pub mod store;
pub mod worker;

use std::{env, panic, path::PathBuf, process, thread, time::Duration};

/// Bound of the pages within which calm machines are in touch again.
pub const CONTACT: Duration = Duration::from_millis(3000);

/// Whether the run has its disruption: all but `TROUBLE=0`.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The folder of the case, in which the record is written: the first argument.
pub fn case_folder() -> PathBuf {
    PathBuf::from(env::args().nth(1).expect("usage: case FOLDER"))
}

/// Ends the process if it still runs after `limit`, as a case may take 120 seconds at most, and if a
/// thread panics, with the verdict that the case could not run.
pub fn limit_run(limit: Duration) {
    panic::set_hook(Box::new(|info| {
        eprintln!("{info}");
        node::kill_all();
        process::exit(2);
    }));
    thread::spawn(move || {
        thread::sleep(limit);
        eprintln!("the case took too long");
        node::kill_all();
        process::exit(2);
    });
}

/// Ends the case with its verdict: 1 if the rule was broken, 0 if it held.
pub fn finish(record: &record::Record, broken: bool) -> ! {
    record.line(&format!("verdict: {}", if broken { "rule broken" } else { "rule held" }));
    node::kill_all();
    process::exit(i32::from(broken))
}

/// Ends the case because it could not run.
pub fn give_up(record: &record::Record, cause: &str) -> ! {
    record.line(&format!("the case could not run: {cause}"));
    node::kill_all();
    process::exit(2)
}
