//! Headers of the balancer itself, and headers that end at a hop.

use std::time::Duration;

use http::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    header, //
};
use mulberrynotch_register::{
    id,
    model, //
};

use crate::core;

/// Start of the names of all headers that the balancer defines.
const PREFIX: &str = "mulberrynotch-";

/// Remaining time of a request, in milliseconds.
pub(super) const DEADLINE: HeaderName = HeaderName::from_static("mulberrynotch-deadline-ms");

/// `not-run` or `unknown`, on answers that the balancer made.
pub(super) const OUTCOME: HeaderName = HeaderName::from_static("mulberrynotch-outcome");

/// Status of an answer that is no longer held.
pub(super) const STATUS: HeaderName = HeaderName::from_static("mulberrynotch-status");

/// What became of an attempt, between balancers.
pub(super) const RESULT: HeaderName = HeaderName::from_static("mulberrynotch-result");

/// Free slots of the target after an attempt, between balancers.
pub(super) const FREE: HeaderName = HeaderName::from_static("mulberrynotch-free");

/// Key under which the caller sends a request again.
pub(super) const KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Address of the caller.
pub(super) const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");

const SERVICE: HeaderName = HeaderName::from_static("mulberrynotch-service");
const TARGET: HeaderName = HeaderName::from_static("mulberrynotch-target");
const CLASS: HeaderName = HeaderName::from_static("mulberrynotch-class");
const QUEUE: HeaderName = HeaderName::from_static("mulberrynotch-queue");
const IDEMPOTENT: HeaderName = HeaderName::from_static("mulberrynotch-idempotent");
const HOPS: HeaderName = HeaderName::from_static("mulberrynotch-hops");

/// Longest deadline that a caller may name.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

mulberrynotch_macros::data! {
    /// What one balancer asks another to do with a request.
    pub(super) enum Order {
        /// Run it on a target that the receiver owns.
        Attempt(Attempt),
        /// Run it as home of its key.
        Keyed(Keyed),
    }

    /// One attempt on one target.
    #[derive(Copy)]
    pub(super) struct Attempt {
        /// Service that the caller addressed.
        pub(super) service: id::Service,
        /// The target.
        pub(super) target: id::Target,
        /// Priority class.
        pub(super) class: model::Class,
        /// True when the owner may queue the request.
        pub(super) queue: bool,
        /// Remaining time.
        pub(super) remaining: Duration,
    }

    /// A request with an idempotency key.
    #[derive(Copy)]
    pub(super) struct Keyed {
        /// Service that the caller addressed.
        pub(super) service: id::Service,
        /// Priority class.
        pub(super) class: model::Class,
        /// True when the request may run more than once.
        pub(super) idempotent: bool,
        /// Balancers that the request has been sent to.
        pub(super) hops: u8,
        /// Remaining time.
        pub(super) remaining: Duration,
    }
}

impl Order {
    /// Adds the order to the headers of a request.
    pub(super) fn encode(&self, headers: &mut HeaderMap) {
        let mut set = |name: HeaderName, value: u64| headers.insert(name, HeaderValue::from(value));
        match self {
            Self::Attempt(attempt) => {
                set(SERVICE, attempt.service.0);
                set(TARGET, attempt.target.0);
                set(CLASS, attempt.class as u64);
                set(QUEUE, attempt.queue.into());
                set(DEADLINE, core::millis(attempt.remaining));
            }
            Self::Keyed(keyed) => {
                set(SERVICE, keyed.service.0);
                set(CLASS, keyed.class as u64);
                set(IDEMPOTENT, keyed.idempotent.into());
                set(HOPS, keyed.hops.into());
                set(DEADLINE, core::millis(keyed.remaining));
            }
        }
    }

    /// Reads the order of a request from a balancer.
    pub(super) fn decode(headers: &HeaderMap) -> Option<Self> {
        let service = id::Service(number(headers, &SERVICE)?);
        let class = match number(headers, &CLASS)? {
            0 => model::Class::High,
            1 => model::Class::Normal,
            _ => model::Class::Low,
        };
        let remaining = deadline(headers)?;
        let Some(target) = number(headers, &TARGET) else {
            return Some(Self::Keyed(Keyed {
                service,
                class,
                idempotent: number(headers, &IDEMPOTENT)? != 0,
                hops: u8::try_from(number(headers, &HOPS)?).ok()?,
                remaining,
            }));
        };
        Some(Self::Attempt(Attempt {
            service,
            target: id::Target(target),
            class,
            queue: number(headers, &QUEUE)? != 0,
            remaining,
        }))
    }
}

/// The remaining time that a request names.
pub(super) fn deadline(headers: &HeaderMap) -> Option<Duration> {
    let remaining = Duration::from_millis(number(headers, &DEADLINE)?);
    Some(remaining.min(MAX_DEADLINE))
}

/// A header that holds a number.
pub(super) fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Sets the remaining time.
pub(super) fn set_deadline(headers: &mut HeaderMap, remaining: Duration) {
    headers.insert(DEADLINE, HeaderValue::from(core::millis(remaining)));
}

/// Removes the headers that the balancer defines.
pub(super) fn strip_internal(headers: &mut HeaderMap) {
    let names: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(PREFIX))
        .cloned()
        .collect();
    for name in names {
        headers.remove(name);
    }
}

/// Removes the headers that are about one connection, those that `connection` names included.
pub(super) fn strip_hop(headers: &mut HeaderMap) {
    let trailers = headers
        .get(header::TE)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"trailers"));
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    if trailers {
        headers.insert(header::TE, HeaderValue::from_static("trailers"));
    }
}
