//! Conversion between the messages of call streams and the types of this crate.

use http::header::{HeaderName, HeaderValue, InvalidHeaderName, InvalidHeaderValue};
use http::{HeaderMap, StatusCode, method};
use route::Load;
use schema::bundle::Header;
use schema::call::{self, Message, message::Kind};
use thiserror::Error;
use types::{Fault, Outcome, id};

use crate::{BodyError, Failure};

/// Reason why a message of another node is invalid.
#[derive(Debug, Error)]
pub(crate) enum InvalidMessage {
    #[error("{0}")]
    Id(#[from] id::Invalid),
    #[error("{0}")]
    Method(#[from] method::InvalidMethod),
    #[error("{0}")]
    HeaderName(#[from] InvalidHeaderName),
    #[error("{0}")]
    HeaderValue(#[from] InvalidHeaderValue),
}

pub(crate) fn wrap(kind: Kind) -> Message {
    Message { kind: Some(kind) }
}

pub(crate) fn encode_headers(map: &HeaderMap) -> Vec<Header> {
    let headers = map.iter().map(|(name, value)| Header {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    });
    headers.collect()
}

pub(crate) fn decode_headers(headers: Vec<Header>) -> Result<HeaderMap, InvalidMessage> {
    let mut map = HeaderMap::with_capacity(headers.len());
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes())?;
        map.append(
            name,
            HeaderValue::from_maybe_shared(bytes::Bytes::from(header.value))?,
        );
    }
    Ok(map)
}

pub(crate) const fn encode_load(load: Load) -> call::Load {
    call::Load {
        in_use: load.in_use,
        queued: load.queued,
        slots: load.slots,
        wait_us: load.wait_us,
        shed: load.shed,
        cold: load.cold,
        link_us: load.link_us,
    }
}

pub(crate) const fn decode_load(load: &call::Load) -> Load {
    Load {
        in_use: load.in_use,
        queued: load.queued,
        slots: load.slots,
        wait_us: load.wait_us,
        shed: load.shed,
        cold: load.cold,
        link_us: load.link_us,
    }
}

pub(crate) fn encode_failure(failure: &Failure) -> Message {
    wrap(Kind::Failure(call::Failure {
        outcome: encode_outcome(failure.outcome),
        fault: encode_fault(&failure.fault),
        reason: failure.reason.clone(),
        load: failure.load.map(encode_load),
        status: u32::from(failure.status.as_u16()),
        arrived: failure.reached_upstream,
    }))
}

/// Encodes the error of an answer that was interrupted.
pub(crate) fn encode_body_error(error: &BodyError) -> Message {
    wrap(Kind::Failure(call::Failure {
        outcome: encode_outcome(Outcome::Unknown),
        fault: encode_fault(&error.fault),
        reason: error.reason.clone(),
        load: None,
        status: 0,
        arrived: true,
    }))
}

/// Decodes a failure that another node reported for a call to `service`.
///
/// An unrecognized outcome of a newer peer counts as [`Outcome::Unknown`], so that a call that ran
/// is never taken for one that did not.
pub(crate) fn decode_failure(message: call::Failure, service: &id::Service) -> Failure {
    let outcome = match call::Outcome::try_from(message.outcome) {
        Ok(call::Outcome::NotRun) => Outcome::NotRun,
        Ok(call::Outcome::Ran) => Outcome::Ran,
        Ok(call::Outcome::Unknown) | Err(_) => Outcome::Unknown,
    };
    let status = u16::try_from(message.status).ok();
    Failure {
        outcome,
        fault: decode_fault(message.fault, service),
        reason: message.reason,
        status: status
            .and_then(|status| StatusCode::from_u16(status).ok())
            .unwrap_or(StatusCode::BAD_GATEWAY),
        load: message.load.as_ref().map(decode_load),
        reached_upstream: message.arrived,
        retry_after: None,
    }
}

pub(crate) fn decode_fault(number: i32, service: &id::Service) -> Fault {
    match call::Fault::try_from(number) {
        Ok(call::Fault::None) => Fault::None,
        Ok(call::Fault::Caller) => Fault::Caller,
        Ok(call::Fault::Service) => Fault::Service(service.clone()),
        Ok(call::Fault::Mesh) | Err(_) => Fault::Mesh,
    }
}

fn encode_outcome(outcome: Outcome) -> i32 {
    let number = match outcome {
        Outcome::NotRun => call::Outcome::NotRun,
        Outcome::Ran => call::Outcome::Ran,
        Outcome::Unknown => call::Outcome::Unknown,
    };
    number.into()
}

fn encode_fault(fault: &Fault) -> i32 {
    let number = match fault {
        Fault::None => call::Fault::None,
        Fault::Caller => call::Fault::Caller,
        Fault::Service(_) => call::Fault::Service,
        Fault::Mesh => call::Fault::Mesh,
    };
    number.into()
}
