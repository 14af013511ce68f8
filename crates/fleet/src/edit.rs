//! Operators' changes to the configuration. Each function returns a changed copy.

use settings::{Exception, FleetConfig, PolicyChange, Scope};

/// Adds an exception. It replaces an exception with the same scope and name.
pub fn add_exception(config: &FleetConfig, exception: Exception) -> FleetConfig {
    let mut changed = remove_exception(config, exception.scope, &exception.name);
    changed.exceptions.push(exception);
    changed
}

/// Removes the exceptions with the given scope and name.
pub fn remove_exception(config: &FleetConfig, scope: Scope, name: &str) -> FleetConfig {
    let mut changed = config.clone();
    changed.exceptions.retain(|known| known.scope != scope || known.name != name);
    changed
}

/// Adds an exception that marks an upstream as leaving, so that it gets no new work.
pub fn drain(config: &FleetConfig, upstream: &str, reason: &str) -> FleetConfig {
    let set = PolicyChange::default();
    let (name, reason) = (upstream.to_owned(), reason.to_owned());
    add_exception(config, Exception { scope: Scope::Upstream, name, reason, leaving: true, set })
}
