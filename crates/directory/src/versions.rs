use std::sync::Arc;

use tokio::sync::watch;
use tokio::time::timeout_at;
use types::{BootTime, Deadline, Version};

use crate::{Item, Relay, WatchOptions};

/// Watches the configuration in the store and provides the version in force.
///
/// Versions that are older than the one in force or cannot be decoded are ignored.
pub struct ConfigWatcher<C> {
    current: watch::Sender<Option<(Version, Arc<C>)>>,
    key: String,
    /// Follows the key.
    relay: Relay,
}

impl<C> ConfigWatcher<C>
where
    C: Send + Sync + 'static,
{
    /// Starts to watch the configuration under `key`, which `relay` follows. `decode` decodes its
    /// value.
    ///
    /// Must be called within a Tokio runtime.
    pub fn start<D>(relay: &Relay, key: &str, options: WatchOptions, decode: D) -> Self
    where
        D: Fn(&[u8]) -> Result<(Version, C), String> + Send + Sync + 'static,
    {
        let current = watch::Sender::new(None);
        let (sender, own_key) = (current.clone(), key.to_owned());
        relay.add_table(key, options, move |update, _| {
            let item = update.newest_item(&own_key);
            item.is_some_and(|item| apply_version(&sender, item, &decode))
        });
        Self {
            current,
            key: key.to_owned(),
            relay: relay.clone(),
        }
    }

    /// Configuration in force; `None` until one has been read.
    #[must_use]
    pub fn current(&self) -> Option<Arc<C>> {
        let current = self.current.borrow();
        current.as_ref().map(|(_, config)| Arc::clone(config))
    }

    /// Time up to which all versions are known; `None` before the first confirmation.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<BootTime> {
        self.relay.confirmed_at(&self.key)
    }

    /// Waits until a configuration is in force; returns false if the deadline passes first.
    pub async fn wait_ready(&self, deadline: Deadline) -> bool {
        let mut current = self.current.subscribe();
        // The sender lives as long as `self`, so only the deadline can end the wait early.
        let waiting = current.wait_for(Option::is_some);
        timeout_at(deadline.instant(), waiting).await.is_ok()
    }

    /// Whether a configuration is in force.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.current.borrow().is_some()
    }
}

/// Puts a version in force if it is newer than the current one; returns whether it is.
fn apply_version<C, D>(
    current: &watch::Sender<Option<(Version, Arc<C>)>>,
    item: &Item,
    decode: &D,
) -> bool
where
    D: Fn(&[u8]) -> Result<(Version, C), String>,
{
    let (version, config) = match decode(&item.value) {
        Ok(decoded) => decoded,
        Err(reason) => {
            log::error!(key:% = item.key, reason:%; "invalid configuration ignored");
            return false;
        }
    };
    let current_version = current
        .borrow()
        .as_ref()
        .map(|(current_version, _)| *current_version);
    if current_version.is_some_and(|current_version| version <= current_version) {
        log::debug!(version:%; "configuration is not newer than the version in force");
        return false;
    }
    let before = current_version.unwrap_or(Version::NONE);
    log::info!(version:%, before:%, bytes = item.value.len(); "version in force");
    current.send_replace(Some((version, Arc::new(config))));
    true
}
