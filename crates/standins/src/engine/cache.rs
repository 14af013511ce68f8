use std::collections::{HashMap, VecDeque};

use types::Digest;

/// Positions in one block of the prefix cache.
const BLOCK_POSITIONS: usize = 16;

/// Prefix cache that holds the hashes of blocks, up to a number of blocks. It determines how many
/// positions of a prefill take time. The least recently used block is evicted first.
pub(crate) struct PrefixCache {
    capacity: usize,
    /// Number of the last use of each block, by the block's hash.
    blocks: HashMap<u64, u64>,
    /// All uses of blocks in order: the block's hash and the number of the use. An entry is
    /// outdated if the block has been used again since.
    order: VecDeque<(u64, u64)>,
    /// Number of uses of blocks so far.
    uses: u64,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize) -> PrefixCache {
        PrefixCache { capacity, blocks: HashMap::new(), order: VecDeque::new(), uses: 0 }
    }

    /// Returns how many leading positions of a prefill are cached, and stores all its full blocks.
    pub(crate) fn lookup_and_store(&mut self, activations: &[u64]) -> usize {
        let mut hash = 0;
        let mut cached = 0;
        let mut leading = true;
        for block in activations.chunks_exact(BLOCK_POSITIONS) {
            hash = hash_block(hash, block);
            leading &= self.blocks.contains_key(&hash);
            if leading {
                cached += BLOCK_POSITIONS;
            }
            self.touch(hash);
        }
        self.evict();
        cached
    }

    /// Stores a block, or marks it as used if it is stored already.
    fn touch(&mut self, hash: u64) {
        self.uses += 1;
        self.blocks.insert(hash, self.uses);
        self.order.push_back((hash, self.uses));
    }

    fn evict(&mut self) {
        while self.blocks.len() > self.capacity {
            let Some((hash, used)) = self.order.pop_front() else { return };
            // An outdated queue entry is skipped: the block has been used again since.
            if self.blocks.get(&hash) == Some(&used) {
                self.blocks.remove(&hash);
            }
        }
    }
}

/// Hashes a block together with the hash of the blocks before it.
fn hash_block(previous: u64, block: &[u64]) -> u64 {
    let bytes: Vec<u8> = block.iter().flat_map(|value| value.to_le_bytes()).collect();
    Digest::of(&[&previous.to_le_bytes(), &bytes]).0 as u64
}
