use crate::{RoutingTable, Upstream};

/// How operators' configuration and the registry of upstreams stand in the key-value service.
pub trait CatalogCodec {
    /// Key of the operators' configuration.
    fn table_key(&self) -> &'static str;

    /// Prefix of the keys under which upstreams register; the rest of a key is the name.
    fn upstream_prefix(&self) -> &'static str;

    /// Decodes a version of the configuration. The error is a sentence for the log.
    fn decode_table(&self, value: &[u8]) -> Result<RoutingTable, String>;

    /// Decodes the entry of an upstream. The error is a sentence for the log.
    fn decode_upstream(&self, name: &str, value: &[u8]) -> Result<Upstream, String>;
}
