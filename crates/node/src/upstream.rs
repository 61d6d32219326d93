//! Publishes the state of the upstream beside the node in the membership.

use call::Announcement;
use member::State;
use route::Stage;
use spread::Spread;
use tokio::sync::watch;

/// Publishes each change of the announced upstream in the membership.
pub async fn sync_membership(
    mut announcements: watch::Receiver<Option<Announcement>>,
    spread: Spread,
) {
    loop {
        let upstream = announcements.borrow_and_update().clone();
        match &upstream {
            Some(current) => {
                log::info!(
                    service:% = current.service, state:? = current.state;
                    "upstream announced"
                );
            }
            None => log::info!("no upstream"),
        }
        spread.set_upstream(upstream.map(|announcement| {
            (
                announcement.service,
                announcement.slots,
                to_member_state(announcement.state),
            )
        }));
        if announcements.changed().await.is_err() {
            return;
        }
    }
}

const fn to_member_state(stage: Stage) -> State {
    match stage {
        Stage::Starting => State::Starting,
        Stage::Ready => State::Ready,
        Stage::Draining => State::Draining,
    }
}
