//! Explains what this node would do with a request, by the decision functions that a request uses.
//! Nothing is reserved, sent, counted or logged.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use admission::Enqueued;
use bytes::Bytes;
use callers::{
    Candidate, Configuration, Excluded, ExplainQuery, Explanation, GenerationSize, LoadAge,
    Outcome, PathRules, PredictedTimes, RoutedFailure, ServiceOutcome,
};
use catalog::{Access, ModelProfile, Route, RoutingTable, Upstream};
use http::{HeaderMap, Method};
use pipelines::{CostedPath, PathCandidate, PathQuery, costed_paths, reason_against};
use transport::CallerMemory;
use types::{FailureKind, RequestId, ServiceName};

use crate::{
    Gateway,
    admission::START_SHARE,
    buffered::UNAVAILABLE_RETRY_AFTER,
    crashes::request_parts,
    lifecycle::{ActiveRequest, check_key, time_limits},
    outcome::OutcomeLog,
    selection::{NoSelection, SelectionQuery},
};

/// Identifier of a request that is only explained.
const EXPLAINED_ID: &str = "explain";
/// Random number that is assumed instead of one that is drawn for each request: the middle of its
/// range.
const EXPLAINED_DRAW: f64 = 0.5;

impl Gateway {
    /// What this node would do with a request now. Its body is not known, so that a refusal of what
    /// it contains is not considered.
    pub(crate) fn explain_request(
        self: Rc<Self>,
        query: &ExplainQuery,
    ) -> Result<Explanation, RoutedFailure> {
        let (table, route) = self.find_route(&query.host.to_ascii_lowercase(), &query.path)?;
        let access = check_key(&table, &route, query.key.as_deref())?;
        let (_, usable) = time_limits(&route, query.deadline_ms.map(Duration::from_millis));
        let weights = route.weighted_services.iter().map(|weighted| f64::from(weighted.weight));
        let sum: f64 = weights.sum();
        let weighted = route.weighted_services.iter().filter(|weighted| weighted.weight > 0);
        let services = weighted.map(|weighted| {
            let request =
                self.hypothetical(&table, &route, &weighted.service, access.as_ref(), query);
            request.explain_service(f64::from(weighted.weight) / sum)
        });
        let services = services.collect();
        let age = self.table_since.get().map(|since| self.clock.now().since(since));
        Ok(Explanation {
            node: self.settings.name.to_string(),
            stopping: self.stop.is_raised(),
            configuration: Configuration {
                version: table.version(),
                age_ms: millis(age.unwrap_or_default()),
            },
            route: route.name.to_string(),
            organisation: access.as_ref().map(|access| access.organisation.to_string()),
            priority: priority(query, access.as_ref(), &route),
            time_ms: millis(usable),
            load: self.load_age(),
            services,
        })
    }

    /// A request that is neither counted nor logged.
    fn hypothetical(
        self: &Rc<Self>,
        table: &Arc<RoutingTable>,
        route: &Arc<Route>,
        service: &ServiceName,
        access: Option<&Access>,
        query: &ExplainQuery,
    ) -> ActiveRequest {
        let id = RequestId::from(EXPLAINED_ID);
        let organisation = access.map(|access| access.organisation.clone());
        let (_, usable) = time_limits(route, query.deadline_ms.map(Duration::from_millis));
        let (output, output_hint) = (query.output, None);
        let size = query.prompt.map(|prompt| GenerationSize { prompt, output, output_hint });
        let body = Bytes::new();
        let now = self.clock.now();
        ActiveRequest {
            log: OutcomeLog::new(self.clone(), &id, route, organisation.as_ref()),
            gateway: self.clone(),
            id,
            priority: priority(query, access, route),
            max_entries: route.max_entries,
            is_relayed: false,
            route: route.clone(),
            table: table.clone(),
            service: service.clone(),
            parts: request_parts(organisation.as_ref(), Arc::default(), &query.path, &body),
            organisation,
            method: Method::POST,
            target: query.path.as_str().into(),
            headers: HeaderMap::new(),
            body,
            memory: CallerMemory::default(),
            tokens: size.map_or(0, |size| self.reserved_tokens(table, service, size)),
            prompt: query.prompt.unwrap_or_default(),
            draw: EXPLAINED_DRAW,
            resume_after: None,
            deadline: now + usable,
            start_by: now + route.latency_target.mul_f64(START_SHARE),
            has_begun: Cell::new(false),
            crash_check: RefCell::default(),
        }
    }

    fn load_age(&self) -> LoadAge {
        let load = self.load.borrow();
        let ages: Vec<Duration> = load.peer_ages(self.clock.now()).collect();
        LoadAge {
            nodes: self.members.borrow().len(),
            heard: ages.len(),
            newest_ms: ages.iter().min().copied().map(millis),
            oldest_ms: ages.iter().max().copied().map(millis),
        }
    }
}

impl ActiveRequest {
    fn explain_service(&self, share: f64) -> ServiceOutcome {
        let mut query = SelectionQuery::default();
        if self.check_capacity(query) == Err(NoSelection::NoUpstream)
            && self.gateway.has_last_uses(&self.service)
        {
            query.with_leaving = true;
        }
        let outcome = self.explain_admission(query);
        let ((candidates, excluded), path_rules) = match self.model_profile() {
            Some(profile) => {
                let (engines, path_query) = self.path_problem(&profile, query);
                let has_rules = self.gateway.settings.overload.is_some();
                let rules = || self.path_rules(&profile, &engines, &path_query, query);
                let rules = has_rules.then(rules);
                (self.explain_paths(&profile, &engines, &path_query, query), rules)
            }
            None => (self.explain_replicas(query), None),
        };
        let service = self.service.to_string();
        ServiceOutcome { service, share, outcome, path_rules, candidates, excluded }
    }

    /// Whether upstreams have capacity for the request now.
    fn check_capacity(&self, query: SelectionQuery<'_>) -> Result<(), NoSelection> {
        match self.model_profile() {
            Some(profile) => self.find_path(&profile, query).map(|_| ()),
            None => match self.gateway.replica_candidates(&self.service, query)?.is_empty() {
                true => Err(NoSelection::NoUpstream),
                false => Ok(()),
            },
        }
    }

    /// What [`admit`](Self::admit) would do, in the same order.
    fn explain_admission(&self, query: SelectionQuery<'_>) -> Outcome {
        let gateway = &self.gateway;
        let end = self.wait_end(query);
        if let Err(reason) = self.check_pauses(query, end) {
            return self.explain_refusal(reason);
        }
        let wait_queue = gateway.wait_queue(&self.service);
        if wait_queue.order().is_empty() {
            match self.check_capacity(query) {
                Ok(()) => return Outcome::Send,
                Err(reason) if self.is_without_upstream(reason, query) => {
                    return self.explain_refusal(reason);
                }
                Err(_) => {}
            }
        }
        let waiting = self.waiting(query, end);
        let wait = self.expected_wait(&wait_queue, &waiting, query);
        let now = gateway.clock.now();
        let enqueued = wait_queue.order().preview(&waiting, wait.unwrap_or_default(), now);
        match enqueued {
            Enqueued::Late => self.explain_refusal(NoSelection::Late),
            Enqueued::Full => self.explain_refusal(NoSelection::QueueFull),
            Enqueued::Waiting(_) | Enqueued::Replaced { .. } => {
                Outcome::Wait { expected_ms: wait.map(millis), limit_ms: millis(end.since(now)) }
            }
        }
    }

    /// The refusal that [`no_selection_failure`](Self::no_selection_failure) would make of a request
    /// that was not sent. It is not counted.
    fn explain_refusal(&self, reason: NoSelection) -> Outcome {
        let (kind, message) = reason.failure();
        let delay = match reason {
            NoSelection::Paused(until) => until.since(self.gateway.clock.now()),
            _ if kind == FailureKind::Overloaded => self.preview_retry_after(self.draw),
            _ => UNAVAILABLE_RETRY_AFTER,
        };
        Outcome::Refuse { reason: message.into(), retry_ms: Some(millis(delay)) }
    }

    fn path_rules(
        &self,
        profile: &ModelProfile,
        engines: &[PathCandidate],
        path_query: &PathQuery<'_>,
        query: SelectionQuery<'_>,
    ) -> PathRules {
        let targets = path_query.targets;
        let max_fill = path_query.max_fill;
        PathRules {
            draw: self.draw,
            max_fill,
            fill_range: [0.0, 1.0].map(|draw| self.fill_limit(query, draw)),
            over_share: self.standing(query.is_resumed).over_share,
            own_part: self.own_part_use(profile, engines, max_fill),
            may_cross: path_query.may_cross,
            crossing_factor: path_query.crossing_factor,
            gap_ms: targets.map(|targets| targets.gap_ms).filter(|gap| gap.is_finite()),
            first_ms: targets.map(|targets| targets.first_event_ms),
        }
    }

    fn explain_paths(
        &self,
        profile: &ModelProfile,
        engines: &[PathCandidate],
        path_query: &PathQuery<'_>,
        query: SelectionQuery<'_>,
    ) -> (Vec<Candidate>, Vec<Excluded>) {
        let paths = costed_paths(engines, path_query);
        let candidates = paths.iter().map(|path| Candidate {
            upstreams: path.path.stages.iter().map(|stage| stage.engine.to_string()).collect(),
            eligible: path.is_eligible(&paths),
            cost: path.cost(),
            terms: terms(path, path_query.targets.is_some()),
            times: path.path.times.map(|times| PredictedTimes {
                event_ms: times.event_ms,
                first_ms: times.first_event_ms(),
            }),
        });
        let mut excluded = self.unusable_upstreams(query, |upstream| {
            let has_kind = |kind: &Arc<str>| profile.accelerators.contains_key(kind);
            if !upstream.accelerator_kind.as_ref().is_some_and(has_kind) {
                return Some("the model does not run on its accelerator");
            }
            let catalog = self.gateway.catalog.borrow();
            catalog.layers(upstream).is_none().then_some("it holds no layers")
        });
        let is_used = |name: &str| {
            paths.iter().any(|path| path.path.stages.iter().any(|stage| &*stage.engine == name))
        };
        let unused = engines.iter().filter(|engine| !is_used(&engine.name));
        excluded.extend(unused.map(|engine| Excluded {
            upstream: engine.name.to_string(),
            reason: reason_against(engine, path_query).into(),
        }));
        (candidates.collect(), excluded)
    }

    fn explain_replicas(&self, query: SelectionQuery<'_>) -> (Vec<Candidate>, Vec<Excluded>) {
        let gateway = &self.gateway;
        let replicas = gateway.replica_candidates(&self.service, query).unwrap_or_default();
        let lowest = replicas.iter().map(|replica| gateway.utilization(replica));
        let lowest = lowest.fold(f64::INFINITY, f64::min);
        let mut candidates: Vec<Candidate> = replicas
            .iter()
            .map(|replica| {
                let cost = gateway.utilization(replica);
                Candidate {
                    upstreams: vec![replica.name.to_string()],
                    eligible: cost <= lowest,
                    cost,
                    terms: vec![("utilization".into(), cost)],
                    times: None,
                }
            })
            .collect();
        candidates.sort_by(|one, other| one.cost.total_cmp(&other.cost));
        let is_candidate =
            |upstream: &Upstream| replicas.iter().any(|replica| replica.name == upstream.name);
        let excluded = self.unusable_upstreams(query, |upstream| {
            if is_candidate(upstream) {
                return None;
            }
            if !gateway.has_rate_left(upstream) {
                return Some("this node's part of the rate that it takes is used up");
            }
            let is_full = gateway.is_replica_full(upstream);
            is_full.then_some("this node's limit on requests at it is reached")
        });
        // If all replicas are avoided, one of them is tried nevertheless.
        let is_tried = |excluded: &Excluded| {
            replicas.iter().any(|replica| *replica.name == *excluded.upstream)
        };
        let excluded = excluded.into_iter().filter(|excluded| !is_tried(excluded)).collect();
        (candidates, excluded)
    }

    /// The upstreams of the service that get no request now, or that `reason` speaks against.
    fn unusable_upstreams(
        &self,
        query: SelectionQuery<'_>,
        reason: impl Fn(&Upstream) -> Option<&'static str>,
    ) -> Vec<Excluded> {
        let catalog = self.gateway.catalog.borrow();
        let upstreams = catalog.upstreams().filter(|upstream| upstream.service == self.service);
        let excluded = upstreams.filter_map(|upstream| {
            let unusable = self.gateway.unusable_reason(upstream, query);
            let first = unusable.map(<&str>::from).or_else(|| reason(upstream))?;
            Some(Excluded { upstream: upstream.name.to_string(), reason: first.into() })
        });
        excluded.collect()
    }
}

/// The terms of the cost of a path; that of the predicted time only with latency targets.
fn terms(path: &CostedPath, has_targets: bool) -> Vec<(String, f64)> {
    let time = has_targets.then_some(("time", path.time));
    let terms = [("decoding", path.decoding), ("load", path.load)].into_iter().chain(time);
    let terms = terms.chain([("crossing", path.crossing)]);
    terms.map(|(name, value)| (name.to_owned(), value)).collect()
}

fn priority(query: &ExplainQuery, access: Option<&Access>, route: &Route) -> u32 {
    let of_key = access.and_then(|access| access.priority);
    query.priority.or(of_key).unwrap_or(route.priority)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
