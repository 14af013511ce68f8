//! What a node asks other nodes.

use claims::{ClaimId, HolderQuery, HolderStatement};
use futures_util::{FutureExt, future::LocalBoxFuture};

/// Answers for nodes that cannot be asked.
pub(crate) struct NoPeers;

impl HolderQuery for NoPeers {
    fn ask(&self, _: &ClaimId) -> LocalBoxFuture<'_, HolderStatement> {
        std::future::ready(HolderStatement::Unknown).boxed_local()
    }
}
