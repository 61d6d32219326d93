use member::Record;
use schema::control::{self, message::Kind};

use crate::link::Link;
use crate::shared::Shared;
use crate::{child, floor, region, standby};

/// Serves a control stream that a peer has opened, until it ends.
pub(crate) async fn run(shared: Shared, stream: wire::Stream) {
    let mut link = Link::new(&shared, stream, None);
    let Ok(Kind::Hello(hello)) = link.recv().await else {
        return;
    };
    let record = hello.record.as_ref().map(Record::try_from);
    let Some(Ok(record)) = record else {
        log::warn!(node = shared.place.id.as_str(), reason = "no valid record"; "link refused");
        return;
    };
    link.set_place(&record.region, &record.domain);
    match hello.link() {
        control::Link::Parent => child::run(shared, link, hello, record).await,
        control::Link::Standby => standby::accept(shared, link, hello, record).await,
        control::Link::Region => region::accept(shared, link, record).await,
        control::Link::Query => floor::answer(shared, link, record).await,
    }
}
