//! `gypsumrack status` and `gypsumrack config status`.

use std::{collections::BTreeMap, net::SocketAddr};

use clap::Args;
use operators::api::{NodeStatus, Readiness};
use serde::Deserialize;
use types::NodeName;

use super::{Exit, client};

#[derive(Args)]
pub(crate) struct StatusArgs {
    /// Operators address of a node. May be given more than once.
    #[arg(long = "node", value_name = "ADDR", required = true)]
    pub(crate) nodes: Vec<SocketAddr>,
    /// Prints JSON.
    #[arg(long)]
    pub(crate) json: bool,
}

/// Prints the status of each node. If a node does not answer, the command fails after it has
/// printed the others.
pub(crate) async fn run(nodes: Vec<SocketAddr>, json: bool) -> Result<Exit, String> {
    let (statuses, errors) = fetch_statuses(&nodes).await;
    if json {
        println!("{}", serde_json::to_string_pretty(&statuses).map_err(|error| error.to_string())?);
    } else {
        statuses.iter().for_each(print_status);
        let (members, _) = fetch_members(&nodes).await;
        if members.len() > statuses.len() {
            println!();
            print_members(&members);
        }
    }
    Ok(exit_code(&errors))
}

/// The fields that the answers of `/fleet` and `/status` both have for a node. In `/fleet` they are
/// what the asked node knows about the others.
#[derive(Deserialize)]
struct Member {
    node: NodeName,
    incarnation: u64,
    readiness: Option<Readiness>,
    revision: u64,
}

/// Prints the revision in force on each node, and the number of nodes on which the newest one is in
/// force. Fails unless that is all of them.
pub(crate) async fn print_revisions(nodes: Vec<SocketAddr>) -> Result<Exit, String> {
    let (members, errors) = fetch_members(&nodes).await;
    let newest = members.values().map(|member| member.revision).max().unwrap_or(0);
    print_members(&members);
    let in_force = members.values().filter(|member| member.revision == newest).count();
    let total = members.len() + errors.len();
    println!("revision {newest} is in force on {in_force} of {total} nodes");
    Ok(if in_force == total { exit_code(&errors) } else { fail_with(&errors) })
}

/// All members that the given nodes know, and the errors of those that did not answer. If several
/// nodes know a member, the entry with the newest incarnation and revision is kept.
async fn fetch_members(nodes: &[SocketAddr]) -> (BTreeMap<NodeName, Member>, Vec<String>) {
    let mut members: BTreeMap<NodeName, Member> = BTreeMap::new();
    let mut errors = Vec::new();
    for node in nodes {
        match fetch_known_members(*node).await {
            Ok(known) => {
                for member in known {
                    let newer = |m: &Member| {
                        (m.incarnation, m.revision) < (member.incarnation, member.revision)
                    };
                    if members.get(&member.node).is_none_or(newer) {
                        members.insert(member.node.clone(), member);
                    }
                }
            }
            Err(message) => errors.push(message),
        }
    }
    (members, errors)
}

/// The members that a node knows. A node of an older version has no `/fleet`; it then counts as the
/// only member that it knows.
async fn fetch_known_members(node: SocketAddr) -> Result<Vec<Member>, String> {
    match client::get_optional(node, "/fleet").await? {
        Some(members) => Ok(members),
        None => Ok(vec![client::get(node, "/status").await?]),
    }
}

async fn fetch_statuses(nodes: &[SocketAddr]) -> (Vec<NodeStatus>, Vec<String>) {
    let mut statuses = Vec::new();
    let mut errors = Vec::new();
    for node in nodes {
        match client::get::<NodeStatus>(*node, "/status").await {
            Ok(status) => statuses.push(status),
            Err(message) => errors.push(message),
        }
    }
    (statuses, errors)
}

fn exit_code(errors: &[String]) -> Exit {
    if errors.is_empty() { Exit::Success } else { fail_with(errors) }
}

/// Prints the errors of the nodes that did not answer.
fn fail_with(errors: &[String]) -> Exit {
    errors.iter().for_each(|message| eprintln!("{message}"));
    Exit::Failure
}

fn print_status(status: &NodeStatus) {
    println!("node         {}", status.node);
    println!("incarnation  {}", status.incarnation);
    println!("readiness    {}", readiness_text(status.readiness));
    println!("revision     {}", status.revision);
    println!("running      {} requests", status.running);
    println!();
    println!("{:<24} {:<32} {:<10} {:<8} OUTSTANDING", "ENGINE", "LOADED", "AVAILABLE", "LEAVING");
    for engine in &status.engines {
        let yes_no = |value| if value { "yes" } else { "no" };
        println!(
            "{:<24} {:<32} {:<10} {:<8} {}",
            engine.engine.as_str(),
            engine.loaded,
            yes_no(engine.available),
            yes_no(engine.leaving),
            engine.outstanding
        );
    }
}

fn print_members(members: &BTreeMap<NodeName, Member>) {
    println!("{:<20} {:<16} {:<18} REVISION", "NODE", "INCARNATION", "READINESS");
    for Member { node, incarnation, readiness, revision } in members.values() {
        let readiness = readiness.map_or("unknown", readiness_text);
        println!("{:<20} {incarnation:<16} {readiness:<18} {revision}", node.as_str());
    }
}

fn readiness_text(readiness: Readiness) -> &'static str {
    match readiness {
        Readiness::Ready => "ready",
        Readiness::NoConfiguration => "no configuration",
        Readiness::Draining => "draining",
    }
}
