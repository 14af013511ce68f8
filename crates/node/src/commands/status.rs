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

/// Prints the state of each node. A node that does not answer makes the command fail, after the
/// others have been printed.
pub(crate) async fn run(nodes: Vec<SocketAddr>, json: bool) -> Result<Exit, String> {
    let (known, failed) = ask(&nodes).await;
    if json {
        println!("{}", serde_json::to_string_pretty(&known).map_err(|error| error.to_string())?);
    } else {
        known.iter().for_each(print);
        let (members, _) = ask_members(&nodes).await;
        if members.len() > known.len() {
            println!();
            print_members(&members);
        }
    }
    Ok(exit(&failed))
}

/// A node as itself or another node sees it. Both `/fleet` and `/status` have these fields.
#[derive(Deserialize)]
struct Member {
    node: NodeName,
    incarnation: u64,
    readiness: Option<Readiness>,
    revision: u64,
}

/// Prints on how many nodes each revision is in force.
pub(crate) async fn revisions(nodes: Vec<SocketAddr>) -> Result<Exit, String> {
    let (members, failed) = ask_members(&nodes).await;
    let newest = members.values().map(|member| member.revision).max().unwrap_or(0);
    print_members(&members);
    let in_force = members.values().filter(|member| member.revision == newest).count();
    let total = members.len() + failed.len();
    println!("revision {newest} is in force on {in_force} of {total} nodes");
    Ok(if in_force == total { exit(&failed) } else { failure(&failed) })
}

/// The members that the nodes know. A node without `/fleet` tells only about itself.
async fn ask_members(nodes: &[SocketAddr]) -> (BTreeMap<NodeName, Member>, Vec<String>) {
    let mut members: BTreeMap<NodeName, Member> = BTreeMap::new();
    let mut failed = Vec::new();
    for node in nodes {
        match known_members(*node).await {
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
            Err(message) => failed.push(message),
        }
    }
    (members, failed)
}

async fn known_members(node: SocketAddr) -> Result<Vec<Member>, String> {
    match client::get_if_known(node, "/fleet").await? {
        Some(members) => Ok(members),
        None => Ok(vec![client::get(node, "/status").await?]),
    }
}

async fn ask(nodes: &[SocketAddr]) -> (Vec<NodeStatus>, Vec<String>) {
    let mut known = Vec::new();
    let mut failed = Vec::new();
    for node in nodes {
        match client::get::<NodeStatus>(*node, "/status").await {
            Ok(status) => known.push(status),
            Err(message) => failed.push(message),
        }
    }
    (known, failed)
}

fn exit(failed: &[String]) -> Exit {
    if failed.is_empty() { Exit::Success } else { failure(failed) }
}

fn failure(failed: &[String]) -> Exit {
    failed.iter().for_each(|message| eprintln!("{message}"));
    Exit::Failure
}

fn print(status: &NodeStatus) {
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
