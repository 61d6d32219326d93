//! Announcements to the node beside the upstream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use schema::upstream::Announcement;
use tokio::time::{MissedTickBehavior, interval};

use super::state::State;

/// Time between two announcements, and longest time for one.
const INTERVAL: Duration = Duration::from_secs(1);

/// Announces the upstream every second, and at once when it begins to drain.
pub(crate) async fn run(state: Arc<State>, address: SocketAddr) {
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut drain = state.watch_drain();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            // The sender lives in `state`, so this cannot fail.
            _ = drain.changed() => {}
        }
        if !state.behaviour().silent_announcer {
            announce(&state, address).await;
        }
    }
}

async fn announce(state: &State, address: SocketAddr) {
    let announcement = Announcement {
        service: state.settings.service.clone(),
        address: address.to_string(),
        slots: state.settings.slots,
        connections: state.settings.connections,
        state: state.phase().to_string(),
        health: String::new(),
    };
    let url = format!("{}/announce", state.settings.admin_url);
    let request = state.client.post(url).timeout(INTERVAL);
    report(request.json(&announcement).send().await);
}

/// Tells the node that the upstream has left.
pub(crate) async fn withdraw(state: &State) {
    let url = format!("{}/announce", state.settings.admin_url);
    report(state.client.delete(url).timeout(INTERVAL).send().await);
}

/// The next announcement follows in a second, so a failed one is only logged.
fn report(result: reqwest::Result<reqwest::Response>) {
    if let Err(error) = result.and_then(reqwest::Response::error_for_status) {
        log::warn!("announcement failed: {error}");
    }
}
