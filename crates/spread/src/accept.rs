use member::Record;
use schema::control::{self, message::Kind};

use crate::link::Link;
use crate::shared::Shared;
use crate::{child, floor, region, standby};

/// Reads the `Hello` on a control stream that a peer has opened and serves the requested kind of
/// link until it ends.
pub(crate) async fn run(shared: Shared, stream: wire::Stream) {
    let mut link = Link::new(&shared, stream, None);
    let Ok(Kind::Hello(hello)) = link.recv().await else {
        return;
    };
    let record = hello.record.as_ref().map(Record::try_from);
    let Some(Ok(record)) = record else {
        log::warn!(
            node = shared.local.id.as_str(), reason = "no valid record"; "control link refused"
        );
        return;
    };
    link.set_peer_location(&record.region, &record.domain);
    match hello.link() {
        control::Link::Parent => child::run(shared, link, hello, record).await,
        control::Link::Standby => standby::accept(shared, link, hello, record).await,
        control::Link::Region => region::accept(shared, link, record).await,
        control::Link::Query => floor::serve_query(shared, link, record).await,
    }
}
