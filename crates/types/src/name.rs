use std::{borrow::Borrow, fmt, ops::Deref, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(Arc::from(name))
            }
        }

        impl From<String> for $name {
            fn from(name: String) -> Self {
                Self(Arc::from(name))
            }
        }

        impl Deref for $name {
            type Target = str;

            fn deref(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }
    };
}

name_type!(
    /// Name of an organisation. Its callers share its limits and its fair share of the capacity.
    Organisation
);
name_type!(
    /// Name of a model.
    ModelName
);
name_type!(
    /// Name of an upstream, which is a model engine or a replica of a plain service.
    UpstreamName
);
name_type!(
    /// Name of a node of the router.
    NodeName
);
name_type!(
    /// Name of a failure domain: a zone whose VMs may fail together.
    Domain
);
name_type!(
    /// Name of a plain service, which is an HTTP service that does not run a model.
    ServiceName
);
name_type!(
    /// Identifier of one request, unique among all nodes.
    RequestId
);
