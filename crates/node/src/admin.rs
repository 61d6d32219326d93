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

use crate::{Node, build_base_server, report as reports};

/// Builds the HTTP server of the admin port.
#[must_use]
pub fn build_server(node: Arc<Node>) -> Rocket<Build> {
    let routes = routes![
        announce, withdraw, health, ready, metrics, status, members, account
    ];
    build_base_server().manage(node).mount("/", routes)
}

/// Accepts or renews the announcement of the upstream.
#[allow(
    clippy::needless_pass_by_value,
    reason = "the HTTP library passes the body by value"
)]
#[post("/announce", data = "<message>")]
fn announce(
    node: &State<Arc<Node>>,
    message: Json<upstream::Announcement>,
) -> Result<Status, (Status, String)> {
    let announcement =
        parse_announcement(&message).map_err(|reason| (Status::BadRequest, reason))?;
    log::debug!(service:% = announcement.service, address:% = announcement.address; "announced");
    node.target.announce(announcement);
    Ok(Status::NoContent)
}

/// Withdraws the announcement of the upstream.
#[delete("/announce")]
fn withdraw(node: &State<Arc<Node>>) -> Status {
    node.target.withdraw();
    Status::NoContent
}

/// Answers as long as the process serves requests.
#[get("/health")]
fn health() -> &'static str {
    "ok\n"
}

/// Reports whether the node accepts calls.
#[get("/ready")]
fn ready(node: &State<Arc<Node>>) -> (Status, String) {
    match node.unready_reason() {
        None => (Status::Ok, "ready\n".to_owned()),
        Some(reason) => (Status::ServiceUnavailable, format!("{reason}\n")),
    }
}

#[get("/metrics")]
fn metrics(node: &State<Arc<Node>>) -> Result<String, (Status, String)> {
    let text = node.render_metrics();
    text.map_err(|error| (Status::InternalServerError, format!("{error}\n")))
}

#[get("/status")]
fn status(node: &State<Arc<Node>>) -> Json<report::Status> {
    Json(reports::build_status(node))
}

#[get("/members")]
fn members(node: &State<Arc<Node>>) -> (ContentType, TextStream<impl Stream<Item = String>>) {
    let chunks = reports::build_members(Arc::clone(node));
    (ContentType::JSON, TextStream::from(stream::iter(chunks)))
}

#[get("/account/<owner>")]
fn account(
    node: &State<Arc<Node>>,
    owner: &str,
) -> Result<Json<report::Account>, (Status, String)> {
    match owner.parse::<id::Owner>() {
        Ok(owner) => Ok(Json(reports::build_account(node, &owner))),
        Err(invalid) => Err((Status::BadRequest, format!("owner: {invalid}\n"))),
    }
}

/// Parses an announcement; the error is the reason that the upstream receives.
fn parse_announcement(message: &upstream::Announcement) -> Result<Announcement, String> {
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
    .with_state(parse_state(&message.state)?);
    if !message.health.is_empty() {
        announcement.health.clone_from(&message.health);
    }
    Ok(announcement)
}

fn parse_state(text: &str) -> Result<Stage, String> {
    match text {
        "starting" => Ok(Stage::Starting),
        "ready" => Ok(Stage::Ready),
        "draining" => Ok(Stage::Draining),
        _ => Err("state: none of starting, ready, draining\n".to_owned()),
    }
}
