//! Checks that names of the platform's protocol stand only in its adapter and its stand-in.

use std::{fs, path::Path};

use crate::cluster::workspace_root;

/// Names that only the platform's protocol uses.
const NAMES: [&str; 20] = [
    "kv-key",
    "kv-range",
    "kv-watch",
    "kv-txn",
    "kv-lease",
    "kv-keep",
    "attempt-id",
    "deadline-ms",
    "worker-signature",
    "expect-worker",
    "hop-count",
    "not-executed",
    "at-server",
    "length-hint",
    "token-count",
    "/v1/readyz",
    "http_routes",
    "tenant_list",
    "traffic_split",
    "stream_resume",
];
/// Folders of the sources, without the adapter's own.
const FOLDERS: [&str; 2] = ["crates", "xtask"];
/// Parts of paths that may hold the names: the stand-in and this list.
const ALLOWED: [&str; 2] = ["crates/standins/src/platform/", "xtask/src/names.rs"];

/// Looks for names outside the adapter. Returns whether there are none.
pub(crate) fn check() -> bool {
    let root = workspace_root();
    let mut found = Vec::new();
    for folder in FOLDERS {
        search(&root.join(folder), &mut found);
    }
    for place in &found {
        println!("{place}");
    }
    found.is_empty()
}

fn search(folder: &Path, found: &mut Vec<String>) {
    let entries = fs::read_dir(folder).expect("folder can be read");
    for entry in entries {
        let path = entry.expect("entry can be read").path();
        if path.is_dir() {
            search(&path, found);
            continue;
        }
        let text = path.to_string_lossy().into_owned();
        if !text.ends_with(".rs") || ALLOWED.iter().any(|allowed| text.contains(allowed)) {
            continue;
        }
        let source = fs::read_to_string(&path).expect("source can be read").to_lowercase();
        for name in NAMES.iter().filter(|name| has_name(&source, name)) {
            found.push(format!("{text}: {name} belongs into the platform's adapter"));
        }
    }
}

/// Whether a source has a name by itself. A longer name that ends with it is another one, such as
/// the product's own header for deadlines.
fn has_name(source: &str, name: &str) -> bool {
    source.match_indices(name).any(|(place, _)| {
        let before = source[..place].chars().next_back();
        before.is_none_or(|before| !before.is_ascii_alphanumeric() && before != '-')
    })
}
