//! Names of things, as newtypes over shared strings.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::sync::Arc;

use thiserror::Error;

/// Longest id, in bytes.
pub const ID_LIMIT: usize = 128;

/// Reason why a text is not an id.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Invalid {
    /// The text is empty.
    #[error("name is empty")]
    Empty,
    /// The text is longer than [`ID_LIMIT`].
    #[error("name is longer than {ID_LIMIT} bytes")]
    Long,
    /// The text has a character other than letters, digits, `-`, `_` and `.`.
    #[error("`{0}` may hold only letters, digits, `-`, `_` and `.`")]
    Character(String),
}

fn check(text: &str) -> Result<(), Invalid> {
    if text.is_empty() {
        return Err(Invalid::Empty);
    }
    if text.len() > ID_LIMIT {
        return Err(Invalid::Long);
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if text.chars().all(allowed) {
        Ok(())
    } else {
        Err(Invalid::Character(text.to_owned()))
    }
}

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                write!(f, concat!(stringify!($name), "({})"), self.0)
            }
        }

        impl FromStr for $name {
            type Err = Invalid;

            fn from_str(text: &str) -> Result<Self, Invalid> {
                check(text)?;
                Ok(Self(text.into()))
            }
        }
    };
}

id! {
    /// A tenant: a party with keys of its own whose requests are counted together.
    Tenant
}
id! {
    /// A version of the software of a service.
    Build
}
id! {
    /// A node of the mesh. It stays the same when the instance restarts.
    Node
}
id! {
    /// A service, unique in the mesh.
    Service
}
id! {
    /// An owner of services.
    Owner
}
id! {
    /// A route of a service.
    Route
}
id! {
    /// A region.
    Region
}
id! {
    /// A failure domain.
    Domain
}
id! {
    /// One run of the publishing step.
    Publication
}
id! {
    /// One call, as seen by its caller.
    Request
}
