use types::{Digest, NodeName};

/// Chooses up to `count` of `nodes` for `key` by rendezvous hashing. When a node joins or leaves,
/// only the choices that include this node change.
pub fn rendezvous_choose<'a>(
    key: &str,
    nodes: impl IntoIterator<Item = &'a NodeName>,
    count: usize,
) -> Vec<NodeName> {
    let mut ranked: Vec<_> = nodes
        .into_iter()
        .map(|node| (Digest::of(&[key.as_bytes(), node.as_bytes()]), node))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().take(count).map(|(_, node)| node.clone()).collect()
}
