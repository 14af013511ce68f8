use std::collections::{HashMap, VecDeque};

use types::Digest;

/// Positions in one block of the prefix cache.
const BLOCK_POSITIONS: usize = 16;

/// Prefix cache of bounded size. It decides how much prefill time is charged; the oldest block
/// goes first.
pub(crate) struct PrefixCache {
    capacity: usize,
    blocks: HashMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
    uses: u64,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize) -> PrefixCache {
        PrefixCache { capacity, blocks: HashMap::new(), order: VecDeque::new(), uses: 0 }
    }

    /// Counts the leading positions of a prefill that are cached, and stores all its blocks.
    pub(crate) fn lookup_and_store(&mut self, activations: &[u64]) -> usize {
        let mut hash = 0;
        let mut cached = 0;
        let mut leading = true;
        for block in activations.chunks_exact(BLOCK_POSITIONS) {
            hash = chain(hash, block);
            leading &= self.blocks.contains_key(&hash);
            if leading {
                cached += BLOCK_POSITIONS;
            }
            self.touch(hash);
        }
        self.evict();
        cached
    }

    fn touch(&mut self, hash: u64) {
        self.uses += 1;
        self.blocks.insert(hash, self.uses);
        self.order.push_back((hash, self.uses));
    }

    fn evict(&mut self) {
        while self.blocks.len() > self.capacity {
            let Some((hash, used)) = self.order.pop_front() else { return };
            // An entry of the queue is outdated if the block was used again later.
            if self.blocks.get(&hash) == Some(&used) {
                self.blocks.remove(&hash);
            }
        }
    }
}

fn chain(previous: u64, block: &[u64]) -> u64 {
    let bytes: Vec<u8> = block.iter().flat_map(|value| value.to_le_bytes()).collect();
    Digest::of(&[&previous.to_le_bytes(), &bytes]).0 as u64
}
