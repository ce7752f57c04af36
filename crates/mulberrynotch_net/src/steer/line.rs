//! Log lines of decisions and changed beliefs.

use std::{
    fmt,
    net::SocketAddrV4,
    time::Duration, //
};

use mulberrynotch_steer::{
    catalog,
    machine,
    packet,
    record, //
};

use crate::event;

/// Lines about single flows in a second; further ones are counted.
const FLOW_LINES_PER_SECOND: u64 = 100;

/// Lines about each kind of belief in a second; further ones are counted. A site of thousands of
/// targets is read at once at the start, and the dump shows what came of it.
const BELIEF_LINES_PER_SECOND: u64 = 200;

/// Length of the window that the limits hold for, in milliseconds.
const WINDOW_MS: u64 = 1_000;

static FLOWS: event::Limiter = event::Limiter::with(FLOW_LINES_PER_SECOND, WINDOW_MS);
static VERDICTS: event::Limiter = event::Limiter::with(BELIEF_LINES_PER_SECOND, WINDOW_MS);
static TARGETS: event::Limiter = event::Limiter::with(BELIEF_LINES_PER_SECOND, WINDOW_MS);
static PATHS: event::Limiter = event::Limiter::with(BELIEF_LINES_PER_SECOND, WINDOW_MS);
static MEMBERS: event::Limiter = event::Limiter::with(BELIEF_LINES_PER_SECOND, WINDOW_MS);

struct Flow(packet::Flow);

impl fmt::Display for Flow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.0.client, self.0.route)
    }
}

struct Target(record::Id);

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0.0)
    }
}

/// Address of a peer, or a dash for this balancer itself.
struct Peer(Option<SocketAddrV4>);

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(address) => write!(f, "{address}"),
            None => write!(f, "-"),
        }
    }
}

/// A duration in milliseconds, or a dash for one that is not known.
struct Millis(Option<Duration>);

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(duration) => write!(f, "{}", duration.as_millis()),
            None => write!(f, "-"),
        }
    }
}

/// A fieldless variant by its name.
struct Name<T>(T);

impl<T: fmt::Debug> fmt::Display for Name<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", self.0)
    }
}

/// Writes the line of an event.
pub(super) fn write(now: Duration, event: &machine::Event) {
    use machine::Event;
    match event {
        Event::Opened {
            flow,
            copy,
            target,
            candidates,
            far,
            version,
            age,
        } => flow_line(
            now,
            "flow_opening",
            *flow,
            &[
                ("copy", copy),
                ("target", &Target(*target)),
                ("candidates", candidates),
                ("far", far),
                ("version", version),
                ("register_age_ms", &Millis(*age)),
            ],
        ),
        Event::Refused {
            flow,
            reason,
            version,
            age,
        } => flow_line(
            now,
            "flow_refused",
            *flow,
            &[
                ("reason", &Name(reason)),
                ("version", version),
                ("register_age_ms", &Millis(*age)),
            ],
        ),
        Event::Unanswered {
            flow,
            target,
            silence,
        } => flow_line(
            now,
            "opening_unanswered",
            *flow,
            &[
                ("target", &Target(*target)),
                ("target_silent_ms", &Millis(Some(*silence))),
            ],
        ),
        Event::Repeated {
            flow,
            target,
            waited,
            silence,
        } => flow_line(
            now,
            "data_repeated",
            *flow,
            &[
                ("target", &Target(*target)),
                ("waited_ms", &Millis(Some(*waited))),
                ("target_silent_ms", &Millis(Some(*silence))),
            ],
        ),
        Event::Reset {
            flow,
            target,
            silence,
            failures,
        } => flow_line(
            now,
            "flow_reset",
            *flow,
            &[
                ("target", &Target(*target)),
                ("target_silent_ms", &Millis(Some(*silence))),
                ("failures", failures),
            ],
        ),
        Event::Unknown { flow, cookie } => {
            flow_line(now, "cookie_unknown", *flow, &[("cookie", cookie)]);
        }
        other => write_belief(now, other),
    }
}

fn flow_line(now: Duration, name: &str, flow: packet::Flow, fields: &[event::Field<'_>]) {
    let flow = Flow(flow);
    let mut all: Vec<event::Field<'_>> = vec![("flow", &flow)];
    all.extend_from_slice(fields);
    limited(&FLOWS, now, name, &all);
}

/// Writes a line unless the limit is reached; those left out are counted by their event.
fn limited(limiter: &event::Limiter, now: Duration, name: &str, fields: &[event::Field<'_>]) {
    let Some(suppressed) = limiter.admit(now) else {
        metrics::counter!("mulberrynotch_suppressed_lines_total", "event" => name.to_owned())
            .increment(1);
        return;
    };
    let mut fields = fields.to_vec();
    if suppressed > 0 {
        fields.push(("suppressed", &suppressed));
    }
    event::info(name, &fields);
}

fn write_belief(now: Duration, event: &machine::Event) {
    use machine::Event;
    match event {
        Event::Verdict {
            target,
            verdict,
            silence,
            failures,
            probe_failed,
            contact,
        } => limited(
            &VERDICTS,
            now,
            "target_verdict",
            &[
                ("target", &Target(*target)),
                ("verdict", &Name(verdict)),
                ("silent_ms", &Millis(Some(*silence))),
                ("failures", failures),
                ("probe_failed", probe_failed),
                ("contact_ms", &Millis(*contact)),
            ],
        ),
        Event::Path {
            zone,
            state,
            reported_by,
            proven,
            cut,
            contact,
        } => limited(
            &PATHS,
            now,
            "zone_path",
            &[
                ("zone", zone),
                ("state", &Name(state)),
                ("told_by", &Peer(*reported_by)),
                ("proven_ms", &Millis(*proven)),
                ("cut_ms", &Millis(*cut)),
                ("contact_ms", &Millis(*contact)),
            ],
        ),
        Event::Rotation {
            ready,
            isolated,
            cut,
            excluded,
            dead,
        } => event::warn(
            "rotation",
            &[
                ("ready", ready),
                ("isolated", isolated),
                ("cut_zones", &cut.join(",")),
                ("excluded_targets", excluded),
                ("dead_targets", dead),
            ],
        ),
        Event::Changed { change, as_of } => write_change(now, change, *as_of),
        Event::StoreLost { age } => {
            event::warn("store_lost", &[("register_age_ms", &Millis(*age))]);
        }
        Event::StoreRegained => event::info("store_regained", &[]),
        Event::HistoryLost { as_of } => event::warn("store_history_lost", &[("as_of", as_of)]),
        Event::Pulled { from, as_of } => {
            event::info("register_fetched", &[("peer", from), ("as_of", as_of)]);
        }
        Event::Member {
            address,
            zone,
            live,
        } => limited(
            &MEMBERS,
            now,
            "member",
            &[("peer", address), ("zone", zone), ("live", live)],
        ),
        Event::Paused { length } => {
            event::warn("paused", &[("length_ms", &Millis(Some(*length)))]);
        }
        Event::Resumed { confirmed } => event::info("resumed", &[("confirmed", confirmed)]),
        _ => {}
    }
}

fn write_change(now: Duration, change: &catalog::Change, as_of: u64) {
    match change {
        catalog::Change::Configuration { version } => {
            event::info("configuration", &[("version", version), ("as_of", &as_of)])
        }
        catalog::Change::Zone { zone, out } => {
            event::info("zone", &[("zone", zone), ("out", out), ("as_of", &as_of)])
        }
        catalog::Change::Ended { id } => limited(
            &TARGETS,
            now,
            "target",
            &[
                ("target", &Target(*id)),
                ("state", &Name(catalog::State::Ended)),
                ("as_of", &as_of),
            ],
        ),
        catalog::Change::Target {
            id,
            revision,
            state,
            restarted,
        } => limited(
            &TARGETS,
            now,
            "target",
            &[
                ("target", &Target(*id)),
                ("state", &Name(state)),
                ("revision", revision),
                ("restarted", restarted),
                ("as_of", &as_of),
            ],
        ),
    }
}
