use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use crate::id;

/// Party at fault for a failed call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// Nobody: the call did not fail.
    None,
    /// The caller, or the owner's own configuration.
    Caller,
    /// The service that was called.
    Service(id::Service),
    /// The mesh.
    Mesh,
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::None => f.write_str("none"),
            Self::Caller => f.write_str("caller"),
            Self::Service(name) => write!(f, "service:{name}"),
            Self::Mesh => f.write_str("mesh"),
        }
    }
}

impl FromStr for Fault {
    type Err = id::Invalid;

    fn from_str(text: &str) -> Result<Self, id::Invalid> {
        match text {
            "none" => Ok(Self::None),
            "caller" => Ok(Self::Caller),
            "mesh" => Ok(Self::Mesh),
            _ => match text.strip_prefix("service:") {
                Some(name) => name.parse().map(Self::Service),
                None => Err(id::Invalid::Character(text.to_owned())),
            },
        }
    }
}
