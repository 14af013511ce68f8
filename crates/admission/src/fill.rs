//! How full an engine may be for a request to be admitted.

/// Fill limit of a resumed request. Its caller already has a part of the answer, which is lost if
/// the request is not admitted.
const RESUMED_LIMIT: f64 = 1.0;
/// Lowest fill limit. Below it, requests could be refused while less than half of an engine's memory
/// is in use.
const LOWEST_LIMIT: f64 = 0.55;

/// The range of fill limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FillRange {
    /// Highest fill limit of a request that is not resumed, as a share of an engine's capacity.
    pub max_fill: f64,
    /// Width of the range of limits of the most urgent requests, which ends at `max_fill`.
    pub taper: f64,
    /// Additional width of the range of the least urgent requests that are late or whose organisation
    /// uses more than its fair share. The ranks before have a part of this.
    pub rank_spread: f64,
}

impl Default for FillRange {
    fn default() -> FillRange {
        FillRange { max_fill: 0.98, taper: 0.08, rank_spread: 0.3 }
    }
}

/// What a request's fill limit depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Position of its priority among those of the routes to the same service; 0 is the most urgent.
    pub rank: u32,
    /// Number of different priorities of the routes to the same service.
    pub ranks: u32,
    /// Whether its organisation uses more than its fair share while capacity is scarce.
    pub over_share: bool,
    /// Whether it can no longer meet its latency target.
    pub late: bool,
    /// Whether it is resumed.
    pub resumed: bool,
}

impl Standing {
    /// Position from 0, the most urgent rank, to 1, which is below the least urgent one. A late
    /// request and one above its fair share have the position of the next rank.
    fn position(self) -> f64 {
        let ranks = self.ranks.max(1);
        let lowered = u32::from(self.over_share || self.late);
        let rank = self.rank.min(ranks - 1) + lowered;
        f64::from(rank) / f64::from(ranks)
    }
}

/// The share of an engine's capacity up to which a request may be admitted. `draw` is a random
/// number from 0 to 1.
///
/// A node knows the load of the others with a delay, so with one limit for all, every node would
/// fill the same engine until it learns that the engine is full, and then all would stop. With a
/// limit that differs from request to request, fewer are admitted the fuller the engine is believed
/// to be.
///
/// All ranges end at the same limit, and those of less urgent requests begin lower. So the least
/// urgent requests are the first that stop, and yet some of them are admitted whenever more urgent
/// ones are.
pub fn fill_limit(range: &FillRange, standing: Standing, draw: f64) -> f64 {
    if standing.resumed {
        return RESUMED_LIMIT;
    }
    let highest = unit(range.max_fill);
    let width = unit(range.taper) + unit(range.rank_spread) * standing.position();
    let limit = highest - width * (1.0 - unit(draw));
    limit.max(LOWEST_LIMIT.min(highest))
}

/// The part of the whole capacity that a node may use for its own requests while it does not know
/// the load of the others: an equal part of the capacity up to `limit` for each of `nodes` nodes.
pub fn own_part(capacity: f64, limit: f64, nodes: usize) -> f64 {
    let capacity = if capacity.is_finite() { capacity.max(0.0) } else { 0.0 };
    capacity * unit(limit) / nodes.max(1) as f64
}

/// `value` as a share from 0 to 1. A value that is not a number counts as 0.
fn unit(value: f64) -> f64 {
    if value.is_nan() { 0.0 } else { value.clamp(0.0, 1.0) }
}
