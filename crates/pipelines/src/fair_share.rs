//! Max-min fair shares.

/// The largest amount that any demand gets when `capacity` is divided fairly: a demand below it is
/// met, and what it leaves goes to the others. Infinite if all demands can be met. The demands are
/// reordered.
pub fn fair_level(demands: &mut [u64], capacity: u64) -> f64 {
    demands.sort_unstable();
    let mut left = capacity;
    for (met, demand) in demands.iter().enumerate() {
        let unmet = (demands.len() - met) as u64;
        if demand.saturating_mul(unmet) > left {
            return left as f64 / unmet as f64;
        }
        left -= demand;
    }
    f64::INFINITY
}
