use rustix::process::{Resource, getrlimit};

/// Largest number of descriptors that the process may open; `None` if there is no limit.
pub fn descriptor_limit() -> Option<u64> {
    getrlimit(Resource::Nofile).current
}
