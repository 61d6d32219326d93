use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::Arc;

use thiserror::Error;
use types::id;

use crate::{Key, Quota};

/// One tenant of a configuration version.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name, which targets are told.
    pub name: id::Tenant,
    /// Digests of the keys that the tenant holds.
    pub keys: Vec<Key>,
    /// Priority of the tenant's requests in place of that of the route; 0 is the highest.
    pub priority: Option<u32>,
    /// Limit on the tenant's requests; `None` for no limit.
    pub quota: Option<Quota>,
}

impl Tenant {
    /// Creates a tenant without keys, priority and quota.
    #[must_use]
    pub const fn new(name: id::Tenant) -> Self {
        Self {
            name,
            keys: Vec::new(),
            priority: None,
            quota: None,
        }
    }

    /// Sets the keys.
    #[must_use]
    pub fn with_keys<I>(mut self, keys: I) -> Self
    where
        I: IntoIterator<Item = Key>,
    {
        self.keys = keys.into_iter().collect();
        self
    }

    /// Sets the priority.
    #[must_use]
    pub const fn with_priority(mut self, priority: Option<u32>) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the quota.
    #[must_use]
    pub const fn with_quota(mut self, quota: Option<Quota>) -> Self {
        self.quota = quota;
        self
    }
}

/// Two tenants of a configuration hold the same key, or have the same name.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SharedKey {
    /// Both tenants hold the key.
    #[error("tenants `{0}` and `{1}` hold the same key")]
    Key(id::Tenant, id::Tenant),
    /// Two tenants have this name.
    #[error("two tenants are named `{0}`")]
    Name(id::Tenant),
}

/// Tenants of one configuration version, by name and by key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Registry {
    by_name: HashMap<id::Tenant, Arc<Tenant>>,
    by_key: HashMap<Key, Arc<Tenant>>,
}

impl Registry {
    /// Indexes tenants.
    ///
    /// # Errors
    ///
    /// Returns the first pair of tenants with a common key or name.
    pub fn new<I>(tenants: I) -> Result<Self, SharedKey>
    where
        I: IntoIterator<Item = Tenant>,
    {
        let mut registry = Self::default();
        for tenant in tenants.into_iter().map(Arc::new) {
            for key in &tenant.keys {
                match registry.by_key.entry(*key) {
                    Entry::Occupied(holder) if holder.get().name != tenant.name => {
                        let holder = holder.get().name.clone();
                        return Err(SharedKey::Key(holder, tenant.name.clone()));
                    }
                    Entry::Occupied(_) => {}
                    Entry::Vacant(entry) => {
                        entry.insert(Arc::clone(&tenant));
                    }
                }
            }
            let name = tenant.name.clone();
            if registry.by_name.insert(name.clone(), tenant).is_some() {
                return Err(SharedKey::Name(name));
            }
        }
        Ok(registry)
    }

    /// Finds the tenant that holds a key.
    #[must_use]
    pub fn find(&self, key: Key) -> Option<&Arc<Tenant>> {
        self.by_key.get(&key)
    }

    /// Quota of a tenant; `None` if it has no limit or does not exist.
    #[must_use]
    pub fn quota(&self, tenant: &id::Tenant) -> Option<Quota> {
        self.by_name.get(tenant)?.quota
    }

    /// Whether any tenant has a limit.
    #[must_use]
    pub fn has_quotas(&self) -> bool {
        self.by_name.values().any(|tenant| tenant.quota.is_some())
    }
}
