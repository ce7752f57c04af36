//! Classification of requests by the rules of the register.

use http::Method;
use mulberrynotch_register::model;

/// Classification of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Class {
    /// Priority class.
    pub(super) class: model::Class,
    /// True when the request may run more than once.
    pub(super) idempotent: bool,
}

/// Classifies a request by the first matching rule, with the service and the method as defaults.
pub(super) fn classify(
    register: &model::Register,
    service: &model::Service,
    method: &Method,
    path: &str,
) -> Class {
    let rule = register
        .rules
        .iter()
        .find(|rule| matches(rule, service, method, path));
    let non_idempotent = rule.and_then(|rule| rule.non_idempotent);
    Class {
        class: rule.and_then(|rule| rule.class).unwrap_or(service.class),
        idempotent: non_idempotent.map_or_else(|| is_idempotent(method), |known| !known),
    }
}

fn matches(rule: &model::Rule, service: &model::Service, method: &Method, path: &str) -> bool {
    let method_matches = |name: &str| name.eq_ignore_ascii_case(method.as_str());
    rule.service == service.name
        && rule.method.as_deref().is_none_or(method_matches)
        && rule
            .path_prefix
            .as_deref()
            .is_none_or(|prefix| path.starts_with(prefix))
}

fn is_idempotent(method: &Method) -> bool {
    [
        Method::GET,
        Method::HEAD,
        Method::OPTIONS,
        Method::PUT,
        Method::DELETE,
    ]
    .contains(method)
}
