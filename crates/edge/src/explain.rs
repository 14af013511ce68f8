//! The command that asks a running node what it would do with a request.

use std::{net::SocketAddr, process::ExitCode, rc::Rc};

use callers::{Candidate, ExplainQuery, Explanation, Outcome, PathRules, ServiceOutcome};
use clap::Args;
use clock::{Clock, RuntimeClock};

/// Exit code if the request would be refused.
const REFUSED: u8 = 3;

#[derive(Args)]
pub(crate) struct ExplainArgs {
    /// Health address of the node.
    #[arg(long)]
    health: SocketAddr,
    /// Host name of the request.
    #[arg(long)]
    host: String,
    /// Path of the request.
    #[arg(long)]
    path: String,
    /// API key of the request.
    #[arg(long)]
    key: Option<String>,
    /// Number of prompt tokens.
    #[arg(long)]
    prompt: Option<u32>,
    /// Maximum number of output tokens.
    #[arg(long, default_value_t = 0)]
    output: u32,
    /// Priority, instead of that of the API key or the route.
    #[arg(long)]
    priority: Option<u32>,
    /// Time that the caller waits, in milliseconds.
    #[arg(long)]
    deadline_ms: Option<u64>,
    /// Prints the node's answer as JSON.
    #[arg(long)]
    json: bool,
}

/// Asks the node and prints its answer.
pub(crate) fn explain(args: &ExplainArgs) -> Result<ExitCode, String> {
    let query = ExplainQuery {
        host: args.host.clone(),
        path: args.path.clone(),
        key: args.key.clone(),
        prompt: args.prompt,
        output: args.output,
        priority: args.priority,
        deadline_ms: args.deadline_ms,
    };
    let runtime = compio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    let clock: Rc<dyn Clock> = Rc::new(RuntimeClock::new());
    let answer = runtime.block_on(platform::fetch_explanation(clock, args.health, &query));
    let explanation = answer.map_err(|error| format!("{}: {error}", args.health))?;
    let text = if args.json {
        let json = serde_json::to_string_pretty(&explanation);
        json.map_err(|error| error.to_string())?
    } else {
        lines(&explanation).join("\n")
    };
    println!("{text}");
    Ok(if is_refused(&explanation) { ExitCode::from(REFUSED) } else { ExitCode::SUCCESS })
}

/// Whether no service of the route would take the request.
fn is_refused(explanation: &Explanation) -> bool {
    explanation.services.iter().all(|service| matches!(service.outcome, Outcome::Refuse { .. }))
}

/// The answer as text.
fn lines(explanation: &Explanation) -> Vec<String> {
    let Explanation { node, configuration, route, priority, time_ms, load, .. } = explanation;
    let organisation = explanation.organisation.as_deref().unwrap_or("none");
    let mut lines = vec![
        format!("node {node}{}", if explanation.stopping { ", shutting down" } else { "" }),
        format!(
            "configuration version {}, in force for {} ms",
            configuration.version, configuration.age_ms
        ),
        format!(
            "route {route}, organisation {organisation}, priority {priority}, {time_ms} ms to the \
             deadline"
        ),
        match (load.newest_ms, load.oldest_ms) {
            (Some(newest), Some(oldest)) => format!(
                "load known of {} of {} other nodes, {newest} to {oldest} ms old",
                load.heard, load.nodes
            ),
            _ => format!("load known of none of {} other nodes", load.nodes),
        },
    ];
    explanation.services.iter().for_each(|service| lines.extend(service_lines(service)));
    lines
}

fn service_lines(service: &ServiceOutcome) -> Vec<String> {
    let ServiceOutcome { service: name, share, outcome, path_rules, candidates, excluded } =
        service;
    let mut lines = vec![format!("service {name}, {:.0} % of the requests", share * 100.0)];
    lines.push(format!("  {}", outcome_text(outcome)));
    lines.extend(path_rules.iter().map(|rules| format!("  {}", rules_text(rules))));
    lines.extend(candidates.iter().map(|candidate| format!("  {}", candidate_text(candidate))));
    lines.extend(excluded.iter().map(|item| format!("  not {}: {}", item.upstream, item.reason)));
    lines
}

fn outcome_text(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Send => "would be sent now".into(),
        Outcome::Wait { expected_ms: Some(expected), limit_ms } => {
            format!("would wait, about {expected} ms, at most {limit_ms} ms")
        }
        Outcome::Wait { expected_ms: None, limit_ms } => {
            format!("would wait, at most {limit_ms} ms")
        }
        Outcome::Refuse { reason, retry_ms } => {
            let retry = retry_ms.map_or(String::new(), |after| format!(", Retry-After {after} ms"));
            format!("would be refused{retry}: {reason}")
        }
    }
}

fn rules_text(rules: &PathRules) -> String {
    let PathRules { draw, max_fill, fill_range: [least, most], crossing_factor, .. } = rules;
    let mut parts = vec![
        format!("engines may be filled to {max_fill:.2} ({least:.2} to {most:.2}; draw {draw})"),
        format!("crossings cost {crossing_factor:.2} times as much as usual"),
    ];
    if rules.over_share {
        parts.push("the organisation uses more than its fair share".into());
    }
    if let Some(share) = rules.own_part {
        parts.push(format!("uses {:.0} % of the node's own part", share * 100.0));
    }
    if !rules.may_cross {
        parts.push("may not cross domains".into());
    }
    parts.extend(rules.gap_ms.map(|gap| format!("events within {gap:.0} ms")));
    parts.extend(rules.first_ms.map(|first| format!("first event within {first:.0} ms")));
    parts.join(", ")
}

fn candidate_text(candidate: &Candidate) -> String {
    let Candidate { upstreams, eligible, cost, terms, times } = candidate;
    let times = times.map_or(String::new(), |times| {
        format!(", events in {:.0} ms, the first in {:.0} ms", times.event_ms, times.first_ms)
    });
    let terms: Vec<String> =
        terms.iter().map(|(name, value)| format!("{name} {value:.3}")).collect();
    let rank = if *eligible { "may be chosen" } else { "less preferred" };
    format!("{}: cost {cost:.3} ({}){times}, {rank}", upstreams.join(" > "), terms.join(" + "))
}
