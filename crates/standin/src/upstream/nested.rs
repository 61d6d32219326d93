use reqwest::Client;
use tokio::time::Instant;

use super::call::{Call, DEADLINE, REQUEST_ID};

/// Calls the nested URL with the request id and the time that is left.
///
/// # Errors
///
/// Returns the reason when no positive answer came.
pub(crate) async fn call(client: &Client, call: &Call) -> Result<(), String> {
    let mut request = client
        .get(&call.behaviour.nested_url)
        .header(REQUEST_ID, &call.id);
    if !call.behaviour.nested_owner.is_empty() {
        request = request.header("dandelionseam-owner", &call.behaviour.nested_owner);
    }
    if let Some(deadline) = call.deadline {
        let left = deadline.saturating_duration_since(Instant::now());
        request = request.header(DEADLINE, left.as_millis().to_string());
    }
    let response = request.send().await.map_err(|error| error.to_string())?;
    let status = response.status();
    response.bytes().await.map_err(|error| error.to_string())?;
    if status.is_success() {
        Ok(())
    } else {
        Err(format!("nested call answered {status}"))
    }
}
