use crate::{RoutingTable, Upstream};

/// Keys and encoding under which the key-value service stores the operators' configuration and the
/// registry of upstreams.
pub trait CatalogCodec {
    /// Key of the operators' configuration.
    fn table_key(&self) -> &'static str;

    /// Prefix of the keys under which upstreams register. The rest of a key is the upstream's name.
    fn upstream_prefix(&self) -> &'static str;

    /// Decodes the operators' configuration. The error is a message for the log.
    fn decode_table(&self, value: &[u8]) -> Result<RoutingTable, String>;

    /// Decodes the registry entry of the upstream `name`. The error is a message for the log.
    fn decode_upstream(&self, name: &str, value: &[u8]) -> Result<Upstream, String>;
}
