//! Chooses the path of an attempt: the engines that together run the whole model.

use admission::{FillRange, fill_limit, own_part};
use catalog::ModelProfile;
use pipelines::{Load, Path, PathCandidate, PathQuery, UpstreamLoad, choose_path, unread_share};
use rand::Rng;
use types::UpstreamName;

use crate::{
    event_gaps::GapWatch,
    lifecycle::ActiveRequest,
    selection::{NoSelection, Selection, SelectionQuery},
};

/// Share of an engine's KV cache capacity, which is what the weights leave of its memory, that may
/// be reserved for requests. The rest is left for requests that other nodes have admitted since
/// their last beacon.
const MAX_FILL: f64 = 0.92;
/// Share of an engine's KV cache capacity that may be reserved when a resumed request is admitted.
const MAX_RESUME_FILL: f64 = 1.0;

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

impl ActiveRequest {
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
    pub(crate) fn find_path(
        &self,
        profile: &ModelProfile,
        query: SelectionQuery<'_>,
    ) -> Result<Path, NoSelection> {
        let (candidates, path_query) = self.path_problem(profile, query);
        if !query.is_resumed && self.exceeds_own_part(profile, &candidates, path_query.max_fill) {
            return Err(NoSelection::Full);
        }
        choose_path(&candidates, &path_query, &mut rand::rng()).ok_or_else(|| {
            let held = candidates.iter().map(|candidate| candidate.layers);
            if pipelines::covers_model(profile, held) {
                return NoSelection::Full;
            }
            self.gateway.log_unusable_upstreams(&self.service);
            NoSelection::NoUpstream
        })
    }

    /// The engines that may be on a path now, and what is required of the path.
    pub(crate) fn path_problem<'a>(
        &self,
        profile: &'a ModelProfile,
        query: SelectionQuery<'a>,
    ) -> (Vec<PathCandidate>, PathQuery<'a>) {
        let gateway = &self.gateway;
        let targets = self.path_targets(profile, query);
        let mut candidates = Vec::new();
        let may_cross;
        let crossing_factor;
        {
            let catalog = gateway.catalog.borrow();
            let load = gateway.load.borrow();
            let health = gateway.health.borrow();
            let unread = gateway.unread.borrow();
            let now = gateway.clock.now();
            crossing_factor = gateway.crossing_gaps.borrow().cost_factor(now);
            may_cross =
                may_cross_domains(profile, load.total_estimate(CROSS_DOMAIN, now).token_layers);
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
                // Resumed requests are few, so other nodes hardly admit the same ones meanwhile.
                let reserved = if query.is_resumed {
                    load.total(&upstream.name)
                } else {
                    load.total_estimate(&upstream.name, now)
                };
                let read_factor = profile.read_factor(accelerator_kind);
                let waiting = targets.map_or(0.0, |targets| {
                    let share = unread_share(targets.model, kind.step_factor, read_factor);
                    unread.unread(&upstream.name, reserved.token_layers, share)
                });
                candidates.push(PathCandidate {
                    name: upstream.name.clone(),
                    addr: upstream.addr,
                    domain: upstream.domain.clone(),
                    layers,
                    step_factor: kind.step_factor * slowdown,
                    kv_capacity: profile.kv_capacity(accelerator_kind, layers.len()),
                    kv_reserved: reserved.token_layers,
                    requests: reserved.requests,
                    unread: waiting,
                    read_factor: read_factor * slowdown,
                    can_be_entry: reserved.entered < upstream.capacity
                        && gateway.has_rate_left(upstream)
                        && (query.allowed_entries.is_empty()
                            || query.allowed_entries.contains(&upstream.name)),
                });
            }
        }
        let path_query = PathQuery {
            layers: profile.layers,
            tokens: self.tokens,
            max_fill: self.max_fill(query),
            may_cross,
            crossing_factor,
            avoid: query.avoid,
            targets,
        };
        (candidates, path_query)
    }

    /// Share of an engine's KV cache capacity up to which the request may be admitted.
    pub(crate) fn max_fill(&self, query: SelectionQuery<'_>) -> f64 {
        self.fill_limit(query, self.draw)
    }

    /// The same for another random number.
    pub(crate) fn fill_limit(&self, query: SelectionQuery<'_>, draw: f64) -> f64 {
        match &self.gateway.settings.overload {
            Some(overload) => {
                let range = FillRange {
                    max_fill: overload.max_fill,
                    taper: overload.fill_taper,
                    rank_spread: overload.fill_spread,
                };
                fill_limit(&range, self.standing(query.is_resumed), draw)
            }
            None if query.is_resumed => MAX_RESUME_FILL,
            None => MAX_FILL,
        }
    }

    /// Whether the request would take more than this node's part of the capacity.
    fn exceeds_own_part(
        &self,
        profile: &ModelProfile,
        candidates: &[PathCandidate],
        max_fill: f64,
    ) -> bool {
        self.own_part_use(profile, candidates, max_fill).is_some_and(|in_use| in_use > 1.0)
    }

    /// Share of this node's part of the capacity that its requests would use with this one. `None`
    /// if that does not limit the request: the node knows the load of the others, or has no other
    /// request.
    pub(crate) fn own_part_use(
        &self,
        profile: &ModelProfile,
        candidates: &[PathCandidate],
        max_fill: f64,
    ) -> Option<f64> {
        let gateway = &self.gateway;
        if gateway.settings.overload.is_none() || gateway.knows_fleet_load() {
            return None;
        }
        let capacity = candidates.iter().map(|candidate| candidate.kv_capacity).sum();
        let is_candidate =
            |name: &UpstreamName| candidates.iter().any(|candidate| candidate.name == *name);
        let load = gateway.load.borrow();
        let own = load.own().filter(|(name, _)| is_candidate(name));
        let in_use: f64 = own.map(|(_, load)| load.token_layers).sum();
        let added = f64::from(profile.layers) * f64::from(self.tokens);
        let part = own_part(capacity, max_fill, gateway.sharing_nodes());
        (in_use > 0.0).then(|| (in_use + added) / part)
    }

    pub(crate) fn choose_engines(
        &self,
        profile: &ModelProfile,
        query: SelectionQuery<'_>,
    ) -> Result<Selection, NoSelection> {
        let path = self.find_path(profile, query)?;
        let (stages, crossings) = (&path.stages, path.crossings);
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
        self.reserve_path(path, loads)
    }

    fn reserve_path(&self, path: Path, loads: Vec<UpstreamLoad>) -> Result<Selection, NoSelection> {
        let first = path.stages.first().ok_or(NoSelection::NoUpstream)?;
        let upstream = self.gateway.catalog.borrow().upstream(&first.engine).cloned();
        let upstream = upstream.ok_or(NoSelection::NoUpstream)?;
        if self.gateway.settings.overload.is_some() {
            let prediction = if path.times.is_some() { "in-time" } else { "late-or-unknown" };
            self.gateway.metrics.paths.with_label_values(&[prediction]).inc();
            let (event_ms, first_ms) = path
                .times
                .map_or((None, None), |times| (Some(times.event_ms), Some(times.first_event_ms())));
            tracing::debug!(request = %self.id, prediction, event_ms, first_ms,
                stages = path.stages.len(), crossings = path.crossings, "path is chosen");
        }
        let gap_watch = GapWatch::start(self.gateway.clone(), &path);
        Ok(Selection { gap_watch, ..self.reserve(upstream, path.stages, loads) })
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
