//! The upstream beside the node, as the membership shows it.

use call::Announcement;
use member::State;
use route::Stage;
use spread::Spread;
use tokio::sync::watch;

/// Carries each change of the upstream into the membership.
pub async fn follow(mut announced: watch::Receiver<Option<Announcement>>, spread: Spread) {
    loop {
        let upstream = announced.borrow_and_update().clone();
        match &upstream {
            Some(found) => {
                log::info!(service:% = found.service, state:? = found.state; "upstream announced");
            }
            None => log::info!("no upstream"),
        }
        spread.set_upstream(upstream.map(|found| (found.service, found.slots, state(found.state))));
        if announced.changed().await.is_err() {
            return;
        }
    }
}

const fn state(stage: Stage) -> State {
    match stage {
        Stage::Starting => State::Starting,
        Stage::Ready => State::Ready,
        Stage::Draining => State::Draining,
    }
}
