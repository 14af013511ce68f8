use std::{collections::BTreeMap, sync::Arc};

use types::{LayerRange, UpstreamName};

use crate::{RoutingTable, Upstream};

/// What became of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// It is newer than what was known and replaces it.
    Applied,
    /// It is not newer than what was known.
    Stale,
}

/// What a node knows of the configuration and the upstreams.
#[derive(Default)]
pub struct CatalogState {
    table: Option<Arc<RoutingTable>>,
    upstreams: BTreeMap<UpstreamName, Known>,
    /// Layers that engines have reported and the registry does not show yet, with their incarnation.
    reported: BTreeMap<UpstreamName, (u64, LayerRange)>,
    loaded: bool,
}

struct Known {
    upstream: Option<Arc<Upstream>>,
    revision: u64,
}

impl CatalogState {
    /// The newest configuration.
    pub fn table(&self) -> Option<&Arc<RoutingTable>> {
        self.table.as_ref()
    }

    /// Applies a configuration if its version is newer than that of the known one.
    pub fn apply_table(&mut self, table: RoutingTable) -> UpdateOutcome {
        if self.table.as_ref().is_some_and(|known| known.version() >= table.version()) {
            return UpdateOutcome::Stale;
        }
        self.table = Some(Arc::new(table));
        UpdateOutcome::Applied
    }

    /// Whether the registry of upstreams has been read.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// All upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.upstreams.values().filter_map(|known| known.upstream.as_ref())
    }

    /// One upstream.
    pub fn upstream(&self, name: &str) -> Option<&Arc<Upstream>> {
        self.upstreams.get(name)?.upstream.as_ref()
    }

    /// The layers that an engine holds, by the registry or else by its own report.
    pub fn layers(&self, upstream: &Upstream) -> Option<LayerRange> {
        let reported = self
            .reported
            .get(&upstream.name)
            .filter(|(incarnation, _)| *incarnation == upstream.incarnation);
        upstream.layers.or(reported.map(|(_, layers)| *layers))
    }

    /// Notes the layers that `incarnation` of an engine has reported. The registry may be away.
    pub fn apply_layers(
        &mut self,
        name: &UpstreamName,
        incarnation: u64,
        layers: LayerRange,
    ) -> UpdateOutcome {
        let lacks =
            |known: &Arc<Upstream>| known.incarnation == incarnation && known.layers.is_none();
        if !self.upstream(name).is_some_and(lacks)
            || self.reported.insert(name.clone(), (incarnation, layers))
                == Some((incarnation, layers))
        {
            return UpdateOutcome::Stale;
        }
        UpdateOutcome::Applied
    }

    /// Applies what was written of an upstream at `revision`. `None` means that its entry is gone
    /// or unusable.
    pub fn apply_upstream(
        &mut self,
        name: &UpstreamName,
        upstream: Option<Upstream>,
        revision: u64,
    ) -> UpdateOutcome {
        if self.upstreams.get(name).is_some_and(|known| known.revision >= revision) {
            return UpdateOutcome::Stale;
        }
        if upstream.as_ref().is_none_or(|upstream| upstream.layers.is_some()) {
            self.reported.remove(name);
        }
        let known = Known { upstream: upstream.map(Arc::new), revision };
        self.upstreams.insert(name.clone(), known);
        UpdateOutcome::Applied
    }

    /// Takes over a whole list that was read at `revision`: what it does not name is gone, unless
    /// it was written later. Returns the names of those that are gone.
    pub fn apply_list(&mut self, names: &[UpstreamName], revision: u64) -> Vec<UpstreamName> {
        self.loaded = true;
        let mut gone = Vec::new();
        for (name, known) in &mut self.upstreams {
            if known.upstream.is_some() && known.revision <= revision && !names.contains(name) {
                known.upstream = None;
                gone.push(name.clone());
            }
        }
        // Absent entries need no memory once a list is as new as they are.
        self.upstreams.retain(|_, known| known.upstream.is_some() || known.revision > revision);
        gone
    }
}
