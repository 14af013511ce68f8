//! Finds out whether the links between failure domains have become slow, from the gaps between the
//! events of this node's streams.

use std::{collections::HashMap, time::Duration};

use clock::Timestamp;

/// Time for which the last gap of a stream is compared with those of others.
const GAP_LIFETIME: Duration = Duration::from_secs(2);
/// Least number of streams of each kind that are compared.
const MIN_STREAMS: usize = 3;
/// Largest factor by which a stream counts as slower or faster than predicted. With it, a single
/// one of [`MIN_STREAMS`] streams does not reach [`MIN_RATIO`].
const MAX_DEVIATION: f64 = 4.0;
/// Least ratio of the gaps at which the links count as slow.
const MIN_RATIO: f64 = 2.0;
/// Time in which the extra cost of slow links falls to about a third. Once the cost keeps streams
/// from crossing, there are no gaps to compare, so it must fall by itself.
const DECAY_TIME: Duration = Duration::from_secs(3);

/// Compares the gaps of streams that cross from one failure domain to another with those of streams
/// that do not.
#[derive(Debug, Default)]
pub struct CrossingGaps {
    streams: HashMap<u64, StreamGap>,
    next_stream: u64,
    /// Ratio of the gaps when the links were last found to be slow.
    ratio: f64,
    /// Time at which `ratio` was found.
    found: Timestamp,
}

/// The last gap of a stream.
#[derive(Clone, Copy, Debug)]
struct StreamGap {
    crosses: bool,
    /// Natural logarithm of the gap as a multiple of the predicted one.
    deviation: f64,
    /// Time at which the gap ended.
    at: Timestamp,
}

impl CrossingGaps {
    /// A number for a new stream.
    pub fn start_stream(&mut self) -> u64 {
        self.next_stream += 1;
        self.next_stream
    }

    /// Records a gap of a stream, as a multiple of the predicted one. Returns the ratio if it shows
    /// that the links have become slow and they were not known to be.
    pub fn record(&mut self, stream: u64, crosses: bool, gap: f64, now: Timestamp) -> Option<f64> {
        let deviation = gap.clamp(1.0 / MAX_DEVIATION, MAX_DEVIATION).ln();
        if !deviation.is_finite() {
            return None;
        }
        self.streams.retain(|_, known| now.since(known.at) < GAP_LIFETIME);
        self.streams.insert(stream, StreamGap { crosses, deviation, at: now });
        // Gaps of streams that do not cross cannot show that a link is slow.
        if !crosses {
            return None;
        }
        let ratio = (self.mean(true)? - self.mean(false)?).exp();
        let known = self.cost_factor(now);
        if ratio < MIN_RATIO || ratio <= known {
            return None;
        }
        (self.ratio, self.found) = (ratio, now);
        (known < MIN_RATIO).then_some(ratio)
    }

    /// Removes a stream that has ended.
    pub fn end_stream(&mut self, stream: u64) {
        self.streams.remove(&stream);
    }

    /// Factor on the cost of crossings; 1 if the links are not slow.
    pub fn cost_factor(&self, now: Timestamp) -> f64 {
        let age = now.since(self.found).as_secs_f64() / DECAY_TIME.as_secs_f64();
        1.0 + (self.ratio - 1.0).max(0.0) * (-age).exp()
    }

    /// Mean deviation of the streams that cross, or of those that do not. Each stream counts once,
    /// however many events it has.
    fn mean(&self, crosses: bool) -> Option<f64> {
        let streams = self.streams.values().filter(|stream| stream.crosses == crosses);
        let deviations: Vec<f64> = streams.map(|stream| stream.deviation).collect();
        let is_enough = deviations.len() >= MIN_STREAMS;
        is_enough.then(|| deviations.iter().sum::<f64>() / deviations.len() as f64)
    }
}
