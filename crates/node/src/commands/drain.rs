//! `gypsumrack drain`: drains an upstream or a node.

use std::{net::SocketAddr, path::PathBuf};

use clap::{ArgGroup, Args};
use fleet::edit;
use settings::Scope;

use super::{
    Exit, client, config,
    config_args::{ChangeArgs, StoreArgs},
};

#[derive(Args)]
#[command(group = ArgGroup::new("what").required(true).args(["upstream", "node"]))]
#[command(group = ArgGroup::new("store").args(["settings", "keyvalue"]))]
pub(crate) struct DrainArgs {
    /// Upstream to drain: it gets no new work.
    #[arg(requires = "author", requires = "store")]
    upstream: Option<String>,
    /// Why the upstream is drained.
    #[arg(long, required_unless_present_any = ["undo", "node"], conflicts_with = "node")]
    reason: Option<String>,
    /// Ends the draining of the upstream, so that it gets new work again.
    #[arg(long, conflicts_with_all = ["reason", "node"])]
    undo: bool,
    /// Operators address of the node to shut down gracefully.
    #[arg(long, value_name = "ADDR")]
    node: Option<SocketAddr>,
    /// Settings file of a node, which gives the address of the key-value service.
    #[arg(long)]
    settings: Option<PathBuf>,
    /// Address of the key-value service.
    #[arg(long, value_name = "ADDR")]
    keyvalue: Option<SocketAddr>,
    /// Name of the operator who makes the change.
    #[arg(long)]
    author: Option<String>,
}

pub(crate) async fn run(args: DrainArgs) -> Result<Exit, String> {
    if let Some(node) = args.node {
        let answer: String = client::post(node, "/drain").await?;
        println!("node {node}: {answer}");
        return Ok(Exit::Success);
    }
    let (Some(upstream), Some(author)) = (args.upstream, args.author) else {
        eprintln!("an upstream needs --author and one of --settings and --keyvalue");
        return Ok(Exit::Usage);
    };
    let store = StoreArgs { settings: args.settings, keyvalue: args.keyvalue };
    let change = ChangeArgs { store, author };
    let reason = args.reason.unwrap_or_default();
    config::change_config(&change, |config| {
        Ok(if args.undo {
            edit::remove_exception(config, Scope::Upstream, &upstream)
        } else {
            edit::drain(config, &upstream, &reason)
        })
    })
    .await
}
