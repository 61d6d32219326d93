//! Admin port: announcements of the upstream, health, metrics and reports.

use std::sync::Arc;

use call::Announcement;
use futures::stream::{self, Stream};
use rocket::http::{ContentType, Status};
use rocket::response::stream::TextStream;
use rocket::serde::json::Json;
use rocket::{Build, Rocket, State, delete, get, post, routes};
use route::Stage;
use schema::upstream;
use types::{id, report, size};

use crate::{Node, report as reports, server};

/// HTTP server of the admin port.
#[must_use]
pub fn rocket(node: Arc<Node>) -> Rocket<Build> {
    let routes = routes![
        announce, withdraw, health, ready, metrics, status, members, account
    ];
    server().manage(node).mount("/", routes)
}

/// Takes or renews the announcement of the upstream.
#[allow(
    clippy::needless_pass_by_value,
    reason = "the HTTP library hands the body over"
)]
#[post("/announce", data = "<message>")]
fn announce(
    node: &State<Arc<Node>>,
    message: Json<upstream::Announcement>,
) -> Result<Status, (Status, String)> {
    let announcement = read(&message).map_err(|reason| (Status::BadRequest, reason))?;
    log::debug!(service:% = announcement.service, address:% = announcement.address; "announced");
    node.target.announce(announcement);
    Ok(Status::NoContent)
}

/// Takes the announcement back.
#[delete("/announce")]
fn withdraw(node: &State<Arc<Node>>) -> Status {
    node.target.withdraw();
    Status::NoContent
}

/// Whether the process works at all.
#[get("/health")]
fn health() -> &'static str {
    "ok\n"
}

/// Whether the node takes calls.
#[get("/ready")]
fn ready(node: &State<Arc<Node>>) -> (Status, String) {
    match node.refusal() {
        None => (Status::Ok, "ready\n".to_owned()),
        Some(reason) => (Status::ServiceUnavailable, format!("{reason}\n")),
    }
}

#[get("/metrics")]
fn metrics(node: &State<Arc<Node>>) -> Result<String, (Status, String)> {
    let text = node.metrics();
    text.map_err(|error| (Status::InternalServerError, format!("{error}\n")))
}

#[get("/status")]
fn status(node: &State<Arc<Node>>) -> Json<report::Status> {
    Json(reports::status(node))
}

#[get("/members")]
fn members(node: &State<Arc<Node>>) -> (ContentType, TextStream<impl Stream<Item = String>>) {
    let pieces = reports::members(Arc::clone(node));
    (ContentType::JSON, TextStream::from(stream::iter(pieces)))
}

#[get("/account/<owner>")]
fn account(
    node: &State<Arc<Node>>,
    owner: &str,
) -> Result<Json<report::Account>, (Status, String)> {
    match owner.parse::<id::Owner>() {
        Ok(owner) => Ok(Json(reports::account(node, &owner))),
        Err(invalid) => Err((Status::BadRequest, format!("owner: {invalid}\n"))),
    }
}

/// Reads an announcement; the error is the reason for the upstream.
fn read(message: &upstream::Announcement) -> Result<Announcement, String> {
    let service = message.service.parse();
    let service = service.map_err(|invalid| format!("service: {invalid}\n"))?;
    let address = message.address.parse();
    let address = address.map_err(|_| "address: not an IP address with a port\n".to_owned())?;
    if message.slots == 0 || message.connections == 0 {
        return Err("slots and connections must not be zero\n".to_owned());
    }
    let mut announcement = Announcement::new(
        service,
        address,
        size::Slots::new(message.slots),
        size::Connections::new(message.connections),
    )
    .with_state(read_state(&message.state)?);
    if !message.health.is_empty() {
        announcement.health.clone_from(&message.health);
    }
    Ok(announcement)
}

fn read_state(text: &str) -> Result<Stage, String> {
    match text {
        "starting" => Ok(Stage::Starting),
        "ready" => Ok(Stage::Ready),
        "draining" => Ok(Stage::Draining),
        _ => Err("state: none of starting, ready, draining\n".to_owned()),
    }
}
