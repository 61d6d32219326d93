use hyper::{Response, StatusCode};
use schema::gateway::Failure;

use crate::reply::{self, Body};

/// Error answer of the gateway.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    status: StatusCode,
    failure: Failure,
}

impl Refusal {
    fn new(status: StatusCode, code: i32, message: &str) -> Self {
        let message = message.to_owned();
        Self {
            status,
            failure: Failure { code, message },
        }
    }

    /// gRPC status `InvalidArgument`.
    pub(crate) fn invalid(message: &str) -> Self {
        Self::new(StatusCode::BAD_REQUEST, 3, message)
    }

    /// gRPC status `NotFound`.
    pub(crate) fn not_found(message: &str) -> Self {
        Self::new(StatusCode::NOT_FOUND, 5, message)
    }

    /// gRPC status `OutOfRange`.
    pub(crate) fn out_of_range(message: &str) -> Self {
        Self::new(StatusCode::BAD_REQUEST, 11, message)
    }

    /// gRPC status `ResourceExhausted` for 429, `Unavailable` for the others.
    pub(crate) fn over_limit(status: u32) -> Self {
        let status = u16::try_from(status).ok();
        let status = status.and_then(|status| StatusCode::from_u16(status).ok());
        match status {
            None | Some(StatusCode::TOO_MANY_REQUESTS) => {
                Self::new(StatusCode::TOO_MANY_REQUESTS, 8, "too many requests")
            }
            Some(status) => Self::new(status, 14, "unavailable"),
        }
    }

    /// The HTTP answer.
    pub(crate) fn response(&self) -> Response<Body> {
        reply::json(self.status, &self.failure)
    }
}
