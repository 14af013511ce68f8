//! Moves a paused stream from leaving engines to others, with its KV cache.

use std::time::Duration;

use clock::timeout;
use engines::api::KvCache;
use futures_util::future::join_all;
use operators::api::Decision;
use types::Stage;

use super::{CompletionRun, Plan};
use crate::metrics::Interruption;

/// Time for the export and the import of a KV cache together. Beyond it, a new prefill would have
/// been faster for most prompts.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(500);

impl CompletionRun {
    /// Transfers the KV caches of a paused stream from the leaving engines of its route to their
    /// replacements. Returns the plan of the next attempt, or `None` if that needs a new route and
    /// a prefill.
    pub(super) async fn transfer(&mut self, route: &[Stage]) -> Option<Plan> {
        self.progress.interruption = Some(Interruption::Prefill);
        let now = self.node.clock.now();
        let request = self.route_request();
        let target = self.node.view.borrow().replace_leaving(route, &request, now)?;
        let replaced: Vec<_> =
            route.iter().zip(&target).filter(|(old, new)| old.engine != new.engine).collect();
        let transfers = join_all(replaced.iter().map(|(old, new)| self.transfer_cache(old, new)));
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
        self.progress.interruption = Some(Interruption::Transfer);
        for (old, new) in replaced {
            let (from, to) = (old.engine.clone(), new.engine.clone());
            self.trace.record(Decision::Transferred { from, to });
        }
        Some(Plan { route: target.into(), resume: true })
    }

    /// Transfers the KV cache of one stage. The error is a text for the trace and the log.
    async fn transfer_cache(&self, old: &Stage, new: &Stage) -> Result<(), String> {
        let gone = || "the engine left the fleet".to_owned();
        let from = self.node.engine(&old.engine).ok_or_else(gone)?;
        let to = self.node.engine(&new.engine).ok_or_else(gone)?;
        let cache = from.export_kv(&self.progress.session).await.map_err(|e| e.to_string())?;
        self.check_cache(&cache, old)?;
        to.import_kv(cache).await.map_err(|e| e.to_string())
    }

    /// Checks that an exported cache is of this session, model and position. Another one would
    /// change the generated text.
    fn check_cache(&self, cache: &KvCache, stage: &Stage) -> Result<(), String> {
        let matches = cache.session == self.progress.session
            && cache.model == self.request.model
            && cache.version == self.model.version
            && cache.layers == stage.layers
            && Some(cache.positions) == self.progress.positions(self.output_tokens.len() as u32);
        if matches { Ok(()) } else { Err("the exported KV cache is not the expected one".into()) }
    }
}
