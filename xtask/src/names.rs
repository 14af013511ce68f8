//! Checks that names of the platform's protocol stand only in its adapter and its stand-in.

use std::{fs, path::Path};

use crate::cluster::workspace_root;

/// File with the names that only the platform's protocol uses, one in a line.
const NAMES: &str = "platform/wire-names.txt";
/// Folders of the sources, without the adapter's own.
const FOLDERS: [&str; 2] = ["crates", "xtask"];
/// Part of the paths that may hold the names: the stand-in's.
const ALLOWED: &str = "crates/standins/src/platform/";

/// Looks for names outside the adapter. Returns whether there are none.
pub(crate) fn check() -> bool {
    let root = workspace_root();
    let names = fs::read_to_string(root.join(NAMES)).expect("names can be read");
    let names: Vec<&str> = names.lines().collect();
    assert!(!names.is_empty(), "{NAMES} holds names");
    let mut found = Vec::new();
    for folder in FOLDERS {
        search(&root.join(folder), &names, &mut found);
    }
    for place in &found {
        println!("{place}");
    }
    found.is_empty()
}

fn search(folder: &Path, names: &[&str], found: &mut Vec<String>) {
    let entries = fs::read_dir(folder).expect("folder can be read");
    for entry in entries {
        let path = entry.expect("entry can be read").path();
        if path.is_dir() {
            search(&path, names, found);
            continue;
        }
        let text = path.to_string_lossy().into_owned();
        if !text.ends_with(".rs") || text.contains(ALLOWED) {
            continue;
        }
        let source = fs::read_to_string(&path).expect("source can be read").to_lowercase();
        for name in names.iter().filter(|name| has_name(&source, name)) {
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
