//! `gypsumrack explain`: prints the decisions about a request.

use std::net::SocketAddr;

use clap::Args;
use operators::api::{Decision, Trace};
use types::UpstreamName;

use super::{Exit, client};

#[derive(Args)]
pub(crate) struct ExplainArgs {
    /// Identifier of the request, from its `x-request-id` header.
    request: String,
    /// Operators address of a node.
    #[arg(long, value_name = "ADDR")]
    node: SocketAddr,
    /// Prints JSON.
    #[arg(long)]
    json: bool,
}

pub(crate) async fn run(args: ExplainArgs) -> Result<Exit, String> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    if args.request.is_empty() || !args.request.bytes().all(is_allowed) {
        eprintln!("a request's identifier holds only letters, digits, '-', '_', '.' and ':'");
        return Ok(Exit::Usage);
    }
    let traces: Vec<Trace> = client::get(args.node, &format!("/explain/{}", args.request)).await?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&traces).map_err(|error| error.to_string())?);
    } else {
        traces.iter().for_each(print_trace);
    }
    if traces.is_empty() {
        return Err(format!("no decisions about request {} are known", args.request));
    }
    Ok(Exit::Success)
}

fn print_trace(trace: &Trace) {
    let Trace { request, node, organisation, class, target, arrived_millis, .. } = trace;
    println!("request {request} of {organisation} ({class}) to {target}, on node {node}");
    println!("arrived {arrived_millis} ms after the Unix epoch");
    for step in &trace.steps {
        println!("{:>8} ms  {}", step.after_millis, describe(&step.decision));
    }
}

fn describe(decision: &Decision) -> String {
    match decision {
        Decision::NoRoute => "no available engines cover the model; waits".into(),
        Decision::Routed { attempt, stages, given } => {
            format!("attempt {attempt} on {}, {given} tokens given before", join_names(stages))
        }
        Decision::AttemptFailed { attempt, cause, suspects } if suspects.is_empty() => {
            format!("attempt {attempt} failed: {cause}")
        }
        Decision::AttemptFailed { attempt, cause, suspects } => {
            format!("attempt {attempt} failed: {cause}; suspects {}", join_names(suspects))
        }
        Decision::Transferred { from, to } => format!("KV cache moved from {from} to {to}"),
        Decision::TransferFailed { cause } => format!("KV cache was not moved: {cause}"),
        Decision::Claimed => "idempotency key claimed".into(),
        Decision::Replayed => "answer of an earlier send replayed".into(),
        Decision::Sent { upstream } => format!("sent to {upstream}"),
        Decision::CallFailed { upstream, cause } => format!("call to {upstream} failed: {cause}"),
        Decision::Answered { verdict } => format!("answered, {verdict}"),
        Decision::Failed { kind, verdict, message } => {
            format!("failed ({kind}, {verdict}): {message}")
        }
    }
}

fn join_names(names: &[UpstreamName]) -> String {
    let names: Vec<&str> = names.iter().map(|name| name.as_str()).collect();
    names.join(" > ")
}
