//! Log lines for forwarding decisions and state changes.

use std::{
    fmt,
    net::SocketAddrV4,
    time::Duration, //
};

use mulberrynotch_steer::{
    catalog,
    machine,
    packet,
    record,
    revision, //
};

use crate::event;

/// Limit on lines about single flows; lines above it are only counted.
const FLOW_LINES_PER_SECOND: u64 = 100;

/// Limit on lines about each kind of state change; lines above it are only counted. At the start
/// thousands of targets can be read at once; the dump shows the resulting state.
const STATE_LINES_PER_SECOND: u64 = 200;

/// Length of the window that the limits apply to, in milliseconds.
const WINDOW_MS: u64 = 1_000;

static FLOWS: event::Limiter = event::Limiter::with_limit(FLOW_LINES_PER_SECOND, WINDOW_MS);
static VERDICTS: event::Limiter = event::Limiter::with_limit(STATE_LINES_PER_SECOND, WINDOW_MS);
static TARGETS: event::Limiter = event::Limiter::with_limit(STATE_LINES_PER_SECOND, WINDOW_MS);
static PATHS: event::Limiter = event::Limiter::with_limit(STATE_LINES_PER_SECOND, WINDOW_MS);
static MEMBERS: event::Limiter = event::Limiter::with_limit(STATE_LINES_PER_SECOND, WINDOW_MS);

static READS: event::Limiter = event::Limiter::with_limit(STATE_LINES_PER_SECOND, WINDOW_MS);
static KEPT: event::Limiter = event::Limiter::with_limit(STATE_LINES_PER_SECOND, WINDOW_MS);

struct Flow(packet::Flow);

impl fmt::Display for Flow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.0.client, self.0.route)
    }
}

/// Kind and name of a record.
struct Key<'a>(&'a record::Key);

impl fmt::Display for Key<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            record::Key::Configuration => write!(f, "configuration"),
            record::Key::ZoneOut(zone) => write!(f, "zone/{zone}"),
            record::Key::Target(id) => write!(f, "target/{:x}", id.0),
        }
    }
}

struct Target(record::Id);

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0.0)
    }
}

/// Address of a peer, or a dash for this balancer.
struct Peer(Option<SocketAddrV4>);

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(address) => write!(f, "{address}"),
            None => write!(f, "-"),
        }
    }
}

/// A duration in milliseconds, or a dash when it is unknown.
struct Millis(Option<Duration>);

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(duration) => write!(f, "{}", duration.as_millis()),
            None => write!(f, "-"),
        }
    }
}

/// Formats a fieldless variant as its name.
struct Variant<T>(T);

impl<T: fmt::Debug> fmt::Display for Variant<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", self.0)
    }
}

/// Writes the log line of an event.
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
        } => write_flow(
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
        } => write_flow(
            now,
            "flow_refused",
            *flow,
            &[
                ("reason", &Variant(reason)),
                ("version", version),
                ("register_age_ms", &Millis(*age)),
            ],
        ),
        Event::Unanswered {
            flow,
            target,
            silence,
        } => write_flow(
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
        } => write_flow(
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
        } => write_flow(
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
            write_flow(now, "cookie_unknown", *flow, &[("cookie", cookie)]);
        }
        state_change => write_state(now, state_change),
    }
}

fn write_flow(now: Duration, name: &str, flow: packet::Flow, fields: &[event::Field<'_>]) {
    let flow = Flow(flow);
    let mut all_fields: Vec<event::Field<'_>> = vec![("flow", &flow)];
    all_fields.extend_from_slice(fields);
    write_limited(&FLOWS, now, name, &all_fields);
}

/// Writes a line unless the limit is reached; suppressed lines are counted per event name.
fn write_limited(limiter: &event::Limiter, now: Duration, name: &str, fields: &[event::Field<'_>]) {
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

fn write_state(now: Duration, event: &machine::Event) {
    use machine::Event;
    match event {
        Event::Verdict {
            target,
            verdict,
            silence,
            failures,
            probe_failed,
            contact,
        } => write_limited(
            &VERDICTS,
            now,
            "target_verdict",
            &[
                ("target", &Target(*target)),
                ("verdict", &Variant(verdict)),
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
        } => write_limited(
            &PATHS,
            now,
            "zone_path",
            &[
                ("zone", zone),
                ("state", &Variant(state)),
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
        Event::Reader {
            reads,
            rank,
            reader_age,
        } => write_limited(
            &READS,
            now,
            "store_reader",
            &[
                ("reads", reads),
                ("rank", rank),
                ("others_silent_ms", &Millis(Some(*reader_age))),
            ],
        ),
        Event::ChangesTooLong { as_of } => {
            write_limited(&READS, now, "store_changes_too_long", &[("as_of", as_of)])
        }
        Event::ZoneBehind { from, as_of } => write_limited(
            &READS,
            now,
            "zone_behind",
            &[("from", from), ("as_of", as_of)],
        ),
        Event::StoreRegained => event::info("store_regained", &[]),
        Event::HistoryLost { as_of, era } => write_limited(
            &READS,
            now,
            "store_history_lost",
            &[("as_of", as_of), ("era", era)],
        ),
        Event::Listed {
            before,
            as_of,
            records,
        } => write_limited(
            &READS,
            now,
            "store_listed",
            &[("before", before), ("as_of", as_of), ("records", records)],
        ),
        Event::Pulled { from, as_of } => {
            event::info("register_fetched", &[("peer", from), ("as_of", as_of)]);
        }
        Event::Member {
            address,
            zone,
            live,
        } => write_limited(
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

fn write_change(now: Duration, change: &catalog::Change, as_of: revision::Revision) {
    match change {
        catalog::Change::Configuration { version } => {
            event::info("configuration", &[("version", version), ("as_of", &as_of)])
        }
        catalog::Change::Zone { zone, out } => {
            event::info("zone", &[("zone", zone), ("out", out), ("as_of", &as_of)])
        }
        catalog::Change::Restored { before, as_of } => {
            event::warn("store_restored", &[("before", before), ("as_of", as_of)]);
        }
        catalog::Change::Kept { key, write } => write_limited(
            &KEPT,
            now,
            "record_kept",
            &[("key", &Key(key)), ("revision", write), ("as_of", &as_of)],
        ),
        catalog::Change::Confirmed { key, write } => write_limited(
            &KEPT,
            now,
            "record_confirmed",
            &[("key", &Key(key)), ("revision", write), ("as_of", &as_of)],
        ),
        catalog::Change::Refused { version, write } => event::warn(
            "configuration_refused",
            &[("version", version), ("revision", write)],
        ),
        catalog::Change::Ended { id } => write_limited(
            &TARGETS,
            now,
            "target",
            &[
                ("target", &Target(*id)),
                ("state", &Variant(catalog::State::Ended)),
                ("as_of", &as_of),
            ],
        ),
        catalog::Change::Target {
            id,
            write,
            state,
            restarted,
        } => write_limited(
            &TARGETS,
            now,
            "target",
            &[
                ("target", &Target(*id)),
                ("state", &Variant(state)),
                ("revision", write),
                ("restarted", restarted),
                ("as_of", &as_of),
            ],
        ),
    }
}
