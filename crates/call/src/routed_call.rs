use std::time::Duration;

use http::{HeaderMap, Method};
use route::Requirements;
use schema::call::{CallHead, LimitedCall, Message, message::Kind};
use tokio::time::Instant;
use types::rate::PerSecond;
use types::{Deadline, Version, id};

use crate::message;

/// Longest remaining time accepted from another node, which limits the effect of a corrupt head.
const MAX_REMAINING_TIME: Duration = Duration::from_hours(24);

/// Call with the attributes of its route, as the caller's node sends it to the target's node.
#[derive(Clone, Debug)]
pub(crate) struct RoutedCall {
    pub(crate) request: id::Request,
    pub(crate) owner: id::Owner,
    pub(crate) service: id::Service,
    pub(crate) declared_by: id::Service,
    pub(crate) route: id::Route,
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) deadline: Deadline,
    pub(crate) repeatable: bool,
    pub(crate) key: Option<String>,
    pub(crate) version: Version,
    /// Priority in a full queue; 0 is the highest.
    pub(crate) priority: u32,
    /// Time by which the answer should arrive according to the route's latency objective; `None`
    /// without an objective.
    pub(crate) objective: Option<Deadline>,
    /// Whether the answer is large.
    pub(crate) bulk: bool,
    /// Rate limit of the target that the caller's node knows; `None` without one.
    pub(crate) rate_limit: Option<PerSecond>,
}

impl RoutedCall {
    /// Requirements of the call on the target's queue.
    pub(crate) const fn requirements(&self) -> Requirements {
        Requirements {
            deadline: self.deadline,
            objective: self.objective,
            priority: self.priority,
        }
    }

    /// Encodes the first message for the target's node, with the time remaining at `now`, reduced by
    /// `margin`.
    pub(crate) fn to_message(&self, margin: Duration, now: Instant) -> Message {
        let call = self.to_head(margin, now);
        message::wrap(match self.rate_limit {
            None => Kind::Call(call),
            Some(rate_limit) => Kind::LimitedCall(LimitedCall {
                call: Some(call),
                rate_limit: rate_limit.get(),
            }),
        })
    }

    /// Decodes the first message of a caller's node, which has to be the head of a call; the remaining
    /// time starts at `now`.
    pub(crate) fn from_message(
        message: Message,
        now: Instant,
    ) -> Option<Result<Self, message::InvalidMessage>> {
        let (head, rate_limit) = match message.kind? {
            Kind::Call(head) => (head, None),
            Kind::LimitedCall(limited) => (limited.call?, Some(PerSecond::new(limited.rate_limit))),
            _ => return None,
        };
        Some(Self::from_head(head, now).map(|call| Self { rate_limit, ..call }))
    }

    fn to_head(&self, margin: Duration, now: Instant) -> CallHead {
        let remaining = self.deadline.remaining(now).saturating_sub(margin);
        CallHead {
            request_id: self.request.to_string(),
            owner: self.owner.to_string(),
            service: self.service.to_string(),
            route: self.route.to_string(),
            declared_by: self.declared_by.to_string(),
            method: self.method.to_string(),
            target: self.target.clone(),
            headers: message::encode_headers(&self.headers),
            remaining_us: u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX),
            repeatable: self.repeatable,
            idempotency_key: self.key.clone().unwrap_or_default(),
            version: self.version.get(),
            priority: self.priority,
            bulk: self.bulk,
            objective_us: self.objective.map_or(0, |objective| {
                let remaining = objective.remaining(now).saturating_sub(margin);
                // Zero means that there is no objective.
                u64::try_from(remaining.as_micros())
                    .unwrap_or(u64::MAX)
                    .max(1)
            }),
        }
    }

    fn from_head(head: CallHead, now: Instant) -> Result<Self, message::InvalidMessage> {
        let remaining = Duration::from_micros(head.remaining_us).min(MAX_REMAINING_TIME);
        Ok(Self {
            request: head.request_id.parse()?,
            owner: head.owner.parse()?,
            service: head.service.parse()?,
            declared_by: head.declared_by.parse()?,
            route: head.route.parse()?,
            method: Method::from_bytes(head.method.as_bytes())?,
            target: head.target,
            headers: message::decode_headers(head.headers)?,
            deadline: Deadline::new(now + remaining),
            repeatable: head.repeatable,
            key: (!head.idempotency_key.is_empty()).then_some(head.idempotency_key),
            version: Version::new(head.version),
            priority: head.priority,
            bulk: head.bulk,
            rate_limit: None,
            objective: (head.objective_us > 0).then(|| {
                let remaining = Duration::from_micros(head.objective_us).min(MAX_REMAINING_TIME);
                Deadline::new(now + remaining)
            }),
        })
    }
}
