//! Chooses the upstreams for an attempt, and waits for one while none has free capacity.

use std::{pin::pin, rc::Rc, sync::Arc, time::Duration};

use catalog::{ModelProfile, Upstream};
use clock::Timestamp;
use futures_util::future::select;
use pipelines::{Load, Path, PathCandidate, PathQuery, UpstreamLoad, choose_path};
use rand::Rng;
use types::{Stage, UpstreamName};

use crate::{Gateway, lifecycle::ActiveRequest, runs::RunGuard, wait_queue::QueueEntry};

/// Share of an engine's KV cache capacity, which is what the weights leave of its memory, that may
/// be reserved for requests. The rest is left for requests that other nodes have admitted since
/// their last beacon.
const MAX_FILL: f64 = 0.92;
/// Share of an engine's KV cache capacity that may be reserved when a resumed request is admitted.
const MAX_RESUME_FILL: f64 = 1.0;
/// Time for which a resumed request waits for capacity. Callers abandon a stream after two
/// seconds without an event.
const RESUME_WAIT: Duration = Duration::from_millis(1500);
/// Priority of a resumed request in the wait queue; lower numbers go first.
const RESUME_PRIORITY: u32 = 0;
/// Longest wait for capacity before a request is refused, as a share of the route's latency target.
const MAX_WAIT_SHARE: f64 = 0.5;
/// Time between two capacity checks while a request waits. No notification arrives when the load of
/// other nodes drops or when an engine has loaded its layers.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Time after which a caller may retry a request that was refused for lack of capacity.
pub(crate) const CAPACITY_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Name under which the load table counts requests that cross from one failure domain to another,
/// with the tokens that they carry across. It is not the name of an upstream. Under it,
/// `token_layers` is the number of tokens times crossings.
pub(crate) const CROSS_DOMAIN: &str = "(between domains)";
/// Share of the capacity of the links between failure domains that requests may use. When the links
/// are saturated, every stream that crosses them is delayed and occupies its engines for longer.
const MAX_CROSSING_SHARE: f64 = 0.8;
/// Share of that limit up to which every request may cross. Above it, requests are refused with a
/// probability that rises to 1 at the limit.
const UNTHROTTLED_SHARE: f64 = 0.5;
/// Typical time from the first to the last token of a request, in seconds.
const TYPICAL_LIFETIME_S: f64 = 3.0;

/// The constraints on the selection of the upstreams for an attempt.
#[derive(Clone, Copy, Default)]
pub(crate) struct SelectionQuery<'a> {
    /// Upstreams that must not be used.
    pub(crate) avoid: &'a [UpstreamName],
    /// The only upstreams that may be the entry upstream; empty if there is no such limit.
    pub(crate) allowed_entries: &'a [UpstreamName],
    /// Whether upstreams that are leaving may be used while they still serve.
    pub(crate) with_leaving: bool,
    /// Whether the request is resumed: the caller already has a part of the stream, or an earlier
    /// attempt may have run.
    pub(crate) is_resumed: bool,
}

/// The upstreams of one attempt.
pub(crate) struct Selection {
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) client: Rc<dyn upstreams::UpstreamClient>,
    pub(crate) stages: Vec<Stage>,
    /// Whether the attempt may be abandoned because an engine is very slow and a better path
    /// exists.
    pub(crate) may_leave_slow: bool,
    /// Whether the entry upstream has refused an earlier attempt of the request. It may send that
    /// refusal once more, which cannot be told from the response to another attempt.
    pub(crate) has_refused: bool,
    /// Counts the attempt as one that may crash its upstreams.
    pub(crate) run: RunGuard,
    /// Counts the request in the load table for as long as the selection exists.
    pub(crate) _reservation: Reservation,
}

/// Counts a request in the load of its upstreams until it is dropped.
pub(crate) struct Reservation {
    gateway: Rc<Gateway>,
    loads: Vec<UpstreamLoad>,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.gateway.load.borrow_mut().remove(&self.loads);
        self.gateway.wait_queue.wake_first();
    }
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoSelection {
    /// The upstreams have no free capacity.
    Full,
    /// No upstream can serve the request.
    NoUpstream,
    /// The request would crash its upstreams.
    Poison,
    /// No upstream can serve the request before this time, since some have asked for a pause.
    Paused(Timestamp),
}

impl ActiveRequest {
    /// Chooses the upstreams for an attempt, and waits for capacity if there is none.
    pub(crate) async fn admit(&self, query: SelectionQuery<'_>) -> Result<Selection, NoSelection> {
        self.wait_for_crash_check().await;
        if self.refusal().is_some() {
            return Err(NoSelection::Poison);
        }
        let selection = self.select(query).await?;
        // A part of the prompt may have been refused while the request waited.
        if self.refusal().is_some() {
            return Err(NoSelection::Poison);
        }
        Ok(selection)
    }

    async fn select(&self, query: SelectionQuery<'_>) -> Result<Selection, NoSelection> {
        let gateway = &self.gateway;
        let end = self.wait_end(query);
        self.check_pauses(query, end)?;
        if query.is_resumed || gateway.wait_queue.is_empty() {
            match self.choose(query) {
                Ok(selection) => return Ok(selection),
                Err(NoSelection::NoUpstream)
                    if self.model_profile().is_none() && self.paused_until(query).is_none() =>
                {
                    return Err(NoSelection::NoUpstream);
                }
                Err(_) => {}
            }
        }
        let priority = if query.is_resumed { RESUME_PRIORITY } else { self.priority + 1 };
        let entry = gateway.wait_queue.enqueue(priority);
        gateway.metrics.waiting.inc();
        let outcome = self.wait_for_capacity(&entry, query, end).await;
        gateway.metrics.waiting.dec();
        outcome
    }

    /// Until when a request that arrives now may wait for capacity.
    fn wait_end(&self, query: SelectionQuery<'_>) -> Timestamp {
        let limit = if query.is_resumed {
            RESUME_WAIT
        } else {
            self.route.latency_target.mul_f64(MAX_WAIT_SHARE)
        };
        (self.gateway.clock.now() + limit).min(self.deadline)
    }

    /// Fails if pauses of upstreams keep the request from being served until after `end`.
    fn check_pauses(&self, query: SelectionQuery<'_>, end: Timestamp) -> Result<(), NoSelection> {
        match self.paused_until(query) {
            Some(until) if until > end => Err(NoSelection::Paused(until)),
            _ => Ok(()),
        }
    }

    async fn wait_for_capacity(
        &self,
        entry: &QueueEntry<'_>,
        query: SelectionQuery<'_>,
        end: Timestamp,
    ) -> Result<Selection, NoSelection> {
        let clock = &self.gateway.clock;
        loop {
            self.check_pauses(query, end)?;
            let mut no_selection = NoSelection::Full;
            if entry.is_first() {
                match self.choose(query) {
                    Ok(selection) => return Ok(selection),
                    Err(reason) => no_selection = reason,
                }
            }
            let remaining = end.since(clock.now());
            if remaining.is_zero() {
                return Err(no_selection);
            }
            let pause = clock.sleep(remaining.min(CHECK_INTERVAL));
            select(pin!(entry.capacity_freed()), pause).await;
        }
    }

    /// Chooses the upstreams for an attempt from those that have capacity now. Upstreams that are
    /// leaving are chosen only if there are no others.
    fn choose(&self, query: SelectionQuery<'_>) -> Result<Selection, NoSelection> {
        match self.choose_now(query) {
            Err(NoSelection::NoUpstream) if self.gateway.has_last_uses(&self.service) => {
                self.choose_now(SelectionQuery { with_leaving: true, ..query })
            }
            chosen => chosen,
        }
    }

    fn choose_now(&self, query: SelectionQuery<'_>) -> Result<Selection, NoSelection> {
        match self.model_profile() {
            Some(profile) => self.choose_engines(&profile, query),
            None => self.choose_replica(query),
        }
    }

    /// Whether there is a replica of a plain service besides `current` and those to avoid.
    pub(crate) fn has_other_replica(&self, avoid: &[UpstreamName], current: &UpstreamName) -> bool {
        let gateway = &self.gateway;
        let catalog = gateway.catalog.borrow();
        catalog.upstreams().any(|upstream| {
            upstream.service == self.service
                && upstream.name != *current
                && !avoid.contains(&upstream.name)
                && gateway.is_usable(upstream)
        })
    }

    /// Whether some path has capacity now.
    pub(crate) fn has_path(&self, query: SelectionQuery<'_>) -> bool {
        self.model_profile().is_some_and(|profile| self.find_path(&profile, query).is_ok())
    }

    /// Whether some path has capacity now and contains no very slow engine.
    pub(crate) fn has_fast_path(&self, query: SelectionQuery<'_>) -> bool {
        let Some(profile) = self.model_profile() else { return false };
        let Ok(path) = self.find_path(&profile, query) else { return false };
        path.stages.iter().all(|stage| !self.gateway.is_very_slow(&stage.engine))
    }

    /// Chooses a path over engines that have capacity now.
    fn find_path(
        &self,
        profile: &ModelProfile,
        query: SelectionQuery<'_>,
    ) -> Result<Path, NoSelection> {
        let gateway = &self.gateway;
        let mut candidates = Vec::new();
        let may_cross;
        {
            let catalog = gateway.catalog.borrow();
            let load = gateway.load.borrow();
            let health = gateway.health.borrow();
            let now = gateway.clock.now();
            may_cross = may_cross_domains(profile, load.total(CROSS_DOMAIN).token_layers);
            for upstream in catalog.upstreams().filter(|upstream| upstream.service == self.service)
            {
                let (Some(accelerator_kind), Some(layers)) =
                    (&upstream.accelerator_kind, catalog.layers(upstream))
                else {
                    continue;
                };
                let Some(kind) = profile.accelerators.get(accelerator_kind) else { continue };
                let is_usable = gateway.is_usable(upstream)
                    || (query.with_leaving && gateway.is_in_last_use(upstream));
                if !is_usable {
                    continue;
                }
                let slowdown = health.slowdown(&upstream.name, upstream.incarnation, now);
                let reserved = load.total(&upstream.name);
                candidates.push(PathCandidate {
                    name: upstream.name.clone(),
                    addr: upstream.addr,
                    domain: upstream.domain.clone(),
                    layers,
                    step_factor: kind.step_factor * slowdown,
                    kv_capacity: profile.kv_capacity(accelerator_kind, layers.len()),
                    kv_reserved: reserved.token_layers,
                    can_be_entry: reserved.entered < upstream.capacity
                        && (query.allowed_entries.is_empty()
                            || query.allowed_entries.contains(&upstream.name)),
                });
            }
        }
        let max_fill = if query.is_resumed { MAX_RESUME_FILL } else { MAX_FILL };
        let avoid = query.avoid;
        let path_query =
            PathQuery { layers: profile.layers, tokens: self.tokens, max_fill, may_cross, avoid };
        choose_path(&candidates, &path_query, &mut rand::rng()).ok_or_else(|| {
            let held = candidates.iter().map(|candidate| candidate.layers);
            let covered = pipelines::covers_model(profile, held);
            if covered { NoSelection::Full } else { NoSelection::NoUpstream }
        })
    }

    fn choose_engines(
        &self,
        profile: &ModelProfile,
        query: SelectionQuery<'_>,
    ) -> Result<Selection, NoSelection> {
        let Path { stages, crossings } = self.find_path(profile, query)?;
        let mut loads: Vec<UpstreamLoad> = stages
            .iter()
            .enumerate()
            .map(|(index, stage)| UpstreamLoad {
                upstream: stage.engine.clone(),
                load: Load {
                    requests: 1,
                    entered: u32::from(index == 0),
                    token_layers: f64::from(stage.layers.len()) * f64::from(self.tokens),
                },
            })
            .collect();
        if crossings > 0 {
            let token_layers = f64::from(crossings) * f64::from(self.tokens);
            let load = Load { requests: 1, entered: 0, token_layers };
            loads.push(UpstreamLoad { upstream: CROSS_DOMAIN.into(), load });
        }
        self.reserve_path(stages, loads)
    }

    fn choose_replica(&self, query: SelectionQuery<'_>) -> Result<Selection, NoSelection> {
        let gateway = &self.gateway;
        let catalog = gateway.catalog.borrow();
        let replicas: Vec<&Arc<Upstream>> = catalog
            .upstreams()
            .filter(|upstream| upstream.service == self.service)
            .filter(|upstream| {
                upstream.phase == catalog::Phase::Serving
                    || (query.with_leaving && gateway.is_in_last_use(upstream))
            })
            .filter(|upstream| {
                !query.avoid.contains(&upstream.name) && !gateway.is_paused(upstream)
            })
            .collect();
        let usable: Vec<&Arc<Upstream>> =
            replicas.iter().copied().filter(|upstream| gateway.is_usable(upstream)).collect();
        // If all replicas are avoided, they may work nevertheless, so one of them is tried.
        let candidates = if usable.is_empty() { replicas } else { usable };
        let load = gateway.load.borrow();
        let mut rng = rand::rng();
        let utilization = |upstream: &Upstream| {
            f64::from(load.total(&upstream.name).requests) / f64::from(upstream.capacity.max(1))
        };
        let chosen = candidates
            .into_iter()
            .map(|upstream| (utilization(upstream) + rng.random::<f64>() * 1e-3, upstream))
            .min_by(|one, other| one.0.total_cmp(&other.0))
            .map(|(_, upstream)| upstream.clone());
        drop(load);
        drop(catalog);
        let chosen = chosen.ok_or(NoSelection::NoUpstream)?;
        let load = Load { requests: 1, entered: 1, token_layers: 0.0 };
        let loads = vec![UpstreamLoad { upstream: chosen.name.clone(), load }];
        Ok(self.reserve(chosen, Vec::new(), loads))
    }

    fn reserve_path(
        &self,
        stages: Vec<Stage>,
        loads: Vec<UpstreamLoad>,
    ) -> Result<Selection, NoSelection> {
        let first = stages.first().ok_or(NoSelection::NoUpstream)?;
        let upstream = self.gateway.catalog.borrow().upstream(&first.engine).cloned();
        let upstream = upstream.ok_or(NoSelection::NoUpstream)?;
        Ok(self.reserve(upstream, stages, loads))
    }

    fn reserve(
        &self,
        upstream: Arc<Upstream>,
        stages: Vec<Stage>,
        loads: Vec<UpstreamLoad>,
    ) -> Selection {
        let gateway = self.gateway.clone();
        gateway.load.borrow_mut().add(&loads);
        let client = gateway.client(&upstream);
        let run = self.start_run(&upstream, &stages);
        let _reservation = Reservation { gateway, loads };
        Selection {
            upstream,
            client,
            stages,
            may_leave_slow: false,
            has_refused: false,
            run,
            _reservation,
        }
    }
}

/// Whether a request may cross from one failure domain to another while requests in flight carry
/// `tokens` across. Nodes learn of each other's requests with a delay, so the probability decreases
/// gradually instead of dropping to 0 at a limit.
fn may_cross_domains(profile: &ModelProfile, tokens: f64) -> bool {
    let Some(per_second) = profile.crossing_rate else { return true };
    let limit = per_second * MAX_CROSSING_SHARE * TYPICAL_LIFETIME_S;
    let refusal_probability = (tokens / limit - UNTHROTTLED_SHARE) / (1.0 - UNTHROTTLED_SHARE);
    rand::rng().random::<f64>() >= refusal_probability
}
