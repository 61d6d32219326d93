use schema::gateway::KeyValue;

use crate::{Lease, Revision};

/// Value of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// Content.
    pub bytes: Vec<u8>,
    /// Revision of the last creation of the key.
    pub create_revision: Revision,
    /// Revision of the last change of the key; a compare-and-swap compares it.
    pub mod_revision: Revision,
    /// Number of changes since the creation, starting at 1.
    pub version: i64,
    /// Lease that the key is attached to.
    pub lease: Option<Lease>,
}

impl From<KeyValue> for Value {
    fn from(kv: KeyValue) -> Self {
        Self {
            bytes: kv.value,
            create_revision: Revision::new(kv.create_revision),
            mod_revision: Revision::new(kv.mod_revision),
            version: kv.version,
            lease: Lease::from_number(kv.lease),
        }
    }
}
