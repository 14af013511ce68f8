use std::time::Duration;

use clock::timeout;
use engines::api::KvCache;
use futures_util::future::join_all;
use operators::api::Decision;
use types::Stage;

use super::{CompletionRun, Plan};
use crate::metrics::Gap;

/// Time that the export and the import of a KV cache may take together. A prefill of most prompts
/// is faster than a longer transfer.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(500);

impl CompletionRun {
    /// Moves a paused stream away from the leaving engines of its route, with their KV caches.
    /// `None` means that the next attempt needs a new route and a prefill.
    pub(super) async fn transfer(&mut self, route: &[Stage]) -> Option<Plan> {
        self.progress.gap = Some(Gap::Prefill);
        let now = self.node.clock.now();
        let request = self.route_request();
        let target = self.node.view.borrow().replace_leaving(route, &request, now)?;
        let moved: Vec<_> =
            route.iter().zip(&target).filter(|(old, new)| old.engine != new.engine).collect();
        let transfers = join_all(moved.iter().map(|(old, new)| self.transfer_cache(old, new)));
        let results = timeout(&*self.node.clock, TRANSFER_TIMEOUT, transfers).await;
        let results = results.unwrap_or_else(|_| vec![Err("the transfer timed out".into())]);
        if let Some(cause) = results.into_iter().find_map(Result::err) {
            let caller = &self.request.caller;
            tracing::info!(
                request = %caller.id,
                organisation = %caller.organisation,
                cause,
                "KV cache was not moved"
            );
            self.node.metrics.transfers_failed.inc();
            self.trace.record(Decision::TransferFailed { cause });
            return None;
        }
        self.progress.gap = Some(Gap::Transfer);
        for (old, new) in moved {
            let (from, to) = (old.engine.clone(), new.engine.clone());
            self.trace.record(Decision::Transferred { from, to });
        }
        Some(Plan { route: target.into(), resume: true })
    }

    /// The error is a sentence for the trace.
    async fn transfer_cache(&self, old: &Stage, new: &Stage) -> Result<(), String> {
        let gone = || "the engine left the fleet".to_owned();
        let from = self.node.engine(&old.engine).ok_or_else(gone)?;
        let to = self.node.engine(&new.engine).ok_or_else(gone)?;
        let cache = from.export_kv(&self.progress.session).await.map_err(|e| e.to_string())?;
        self.check_cache(&cache, old)?;
        to.import_kv(cache).await.map_err(|e| e.to_string())
    }

    /// A cache of another session, model or position would change the text.
    fn check_cache(&self, cache: &KvCache, stage: &Stage) -> Result<(), String> {
        let matches = cache.session == self.progress.session
            && cache.model == self.request.model
            && cache.version == self.model.version
            && cache.layers == stage.layers
            && Some(cache.positions) == self.progress.positions(self.given.len() as u32);
        if matches { Ok(()) } else { Err("the exported KV cache is not the expected one".into()) }
    }
}
