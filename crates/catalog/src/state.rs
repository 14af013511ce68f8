use std::{collections::BTreeMap, sync::Arc};

use types::{LayerRange, UpstreamName};

use crate::{LeavingMark, Phase, RoutingTable, Upstream, leaving::LeavingMarks};

/// Result of applying a revision of the configuration or of an upstream's entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// It was newer than the known one and replaced it.
    Applied,
    /// It was ignored because it was not newer than the known one. Reported layers are also ignored
    /// if the upstream is unknown, if they belong to another incarnation of it, or if its entry
    /// already contains layers.
    Ignored,
}

/// The newest configuration and upstream entries that a node has received.
#[derive(Default)]
pub struct CatalogState {
    table: Option<Arc<RoutingTable>>,
    upstreams: BTreeMap<UpstreamName, KnownEntry>,
    /// Layers that engines have reported but their registry entries do not contain yet, with the
    /// incarnation of the engine.
    reported: BTreeMap<UpstreamName, (u64, LayerRange)>,
    /// Upstreams that are leaving, whatever their entries say.
    leaving: LeavingMarks,
    /// Whether a list of all registered upstreams has been applied.
    has_list: bool,
}

/// The newest known entry of an upstream.
struct KnownEntry {
    /// `None` if the entry was deleted or is invalid. Its phase is that of the entry, unless the
    /// upstream is marked as leaving.
    upstream: Option<Arc<Upstream>>,
    /// Phase according to the entry itself.
    registered_phase: Option<Phase>,
    /// Revision of the registry at which the entry was written.
    revision: u64,
}

impl CatalogState {
    /// The newest configuration.
    pub fn table(&self) -> Option<&Arc<RoutingTable>> {
        self.table.as_ref()
    }

    /// Applies a configuration if its version is higher than that of the known one.
    pub fn apply_table(&mut self, table: RoutingTable) -> UpdateOutcome {
        if self.table.as_ref().is_some_and(|known| known.version() >= table.version()) {
            return UpdateOutcome::Ignored;
        }
        self.table = Some(Arc::new(table));
        UpdateOutcome::Applied
    }

    /// Whether the list of all registered upstreams has been read at least once.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// All registered upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.upstreams.values().filter_map(|known| known.upstream.as_ref())
    }

    /// The registered upstream called `name`. Its phase is [`Phase::Leaving`] if its entry says so
    /// or if it is marked as leaving.
    pub fn upstream(&self, name: &str) -> Option<&Arc<Upstream>> {
        self.upstreams.get(name)?.upstream.as_ref()
    }

    /// The phase of an upstream according to its entry alone.
    pub fn registered_phase(&self, name: &str) -> Option<Phase> {
        self.upstreams.get(name)?.registered_phase
    }

    /// The mark of an incarnation of an upstream as leaving.
    pub fn leaving_mark(&self, name: &UpstreamName, incarnation: u64) -> Option<&LeavingMark> {
        self.leaving.get(name, incarnation)
    }

    /// The mark of an upstream whose entry says that it serves, but that is marked as leaving.
    pub fn mark_against_entry(&self, upstream: &Upstream) -> Option<&LeavingMark> {
        let mark = self.leaving_mark(&upstream.name, upstream.incarnation)?;
        (self.registered_phase(&upstream.name) == Some(Phase::Serving)).then_some(mark)
    }

    /// Marks an incarnation of an upstream as leaving, also while it has no entry. The outcome is
    /// `Ignored` if the other nodes need not be told: the incarnation is already known to leave, or
    /// a later one is registered.
    pub fn mark_leaving(
        &mut self,
        name: &UpstreamName,
        incarnation: u64,
        mark: LeavingMark,
    ) -> UpdateOutcome {
        let known = self.upstreams.get_mut(name).and_then(|known| known.upstream.as_mut());
        if self.leaving.get(name, incarnation).is_some() {
            return UpdateOutcome::Ignored;
        }
        let mut outcome = UpdateOutcome::Applied;
        if let Some(known) = known {
            let is_known = known.incarnation == incarnation && known.phase == Phase::Leaving;
            if is_known || known.incarnation > incarnation {
                outcome = UpdateOutcome::Ignored;
            }
            if known.incarnation == incarnation {
                Arc::make_mut(known).phase = Phase::Leaving;
            }
        }
        let upstreams = &self.upstreams;
        let is_registered = |name: &UpstreamName, incarnation| {
            let known = upstreams.get(name).and_then(|known| known.upstream.as_ref());
            known.is_some_and(|known| known.incarnation == incarnation)
        };
        self.leaving.insert(name, incarnation, mark, is_registered);
        outcome
    }

    /// The layers that an engine holds according to the registry or, if its entry contains none,
    /// to the engine's own report.
    pub fn layers(&self, upstream: &Upstream) -> Option<LayerRange> {
        let reported = self
            .reported
            .get(&upstream.name)
            .filter(|(incarnation, _)| *incarnation == upstream.incarnation);
        upstream.layers.or(reported.map(|(_, layers)| *layers))
    }

    /// Records the layers that `incarnation` of an engine has reported. They are used while the
    /// registry is unreachable and the engine's entry cannot be updated.
    pub fn apply_layers(
        &mut self,
        name: &UpstreamName,
        incarnation: u64,
        layers: LayerRange,
    ) -> UpdateOutcome {
        let lacks_layers =
            |known: &Arc<Upstream>| known.incarnation == incarnation && known.layers.is_none();
        if !self.upstream(name).is_some_and(lacks_layers)
            || self.reported.insert(name.clone(), (incarnation, layers))
                == Some((incarnation, layers))
        {
            return UpdateOutcome::Ignored;
        }
        UpdateOutcome::Applied
    }

    /// Applies the entry of an upstream that was written at `revision`. `None` means that the entry
    /// was deleted or is invalid.
    pub fn apply_upstream(
        &mut self,
        name: &UpstreamName,
        upstream: Option<Upstream>,
        revision: u64,
    ) -> UpdateOutcome {
        if self.upstreams.get(name).is_some_and(|known| known.revision >= revision) {
            return UpdateOutcome::Ignored;
        }
        if upstream.as_ref().is_none_or(|upstream| upstream.layers.is_some()) {
            self.reported.remove(name);
        }
        let registered_phase = upstream.as_ref().map(|upstream| upstream.phase);
        let upstream = upstream.map(|mut upstream| {
            if self.leaving.get(name, upstream.incarnation).is_some() {
                upstream.phase = Phase::Leaving;
            }
            Arc::new(upstream)
        });
        let known = KnownEntry { upstream, registered_phase, revision };
        self.upstreams.insert(name.clone(), known);
        UpdateOutcome::Applied
    }

    /// Applies the list of all registered upstreams, read at `revision`. Returns the known
    /// upstreams that it does not contain and whose entry was not written later, each with the
    /// revision of its last entry.
    pub fn apply_list(
        &mut self,
        names: &[UpstreamName],
        revision: u64,
    ) -> Vec<(UpstreamName, u64)> {
        self.has_list = true;
        // A deleted entry is kept only to reject older revisions of itself. It is not needed once
        // a list that is at least as new has been applied.
        self.upstreams.retain(|_, known| known.upstream.is_some() || known.revision > revision);
        let missing = self.upstreams.iter().filter(|(name, known)| {
            known.upstream.is_some() && known.revision <= revision && !names.contains(name)
        });
        missing.map(|(name, known)| (name.clone(), known.revision)).collect()
    }

    /// Removes upstreams that a list did not contain, unless their entry was written since. Returns
    /// the removed ones.
    pub fn remove_missing(&mut self, missing: &[(UpstreamName, u64)]) -> Vec<UpstreamName> {
        let mut removed = Vec::new();
        for (name, revision) in missing {
            if self.upstreams.get(name).is_some_and(|known| known.revision == *revision) {
                self.upstreams.remove(name);
                removed.push(name.clone());
            }
        }
        removed
    }
}
