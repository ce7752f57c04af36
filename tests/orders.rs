//! Tests of non-idempotent requests with a key: at most one run, and correct refusals.

mod support;

use std::{
    collections::BTreeMap,
    io,
    time::Duration, //
};

use mulberrynotch_standin::{
    caller::requests::{
        Outcome,
        Report,
        Workers, //
    },
    target, //
};
use support::{
    Fixture,
    attempts,
    balancer, //
};

/// A home accepts new keys that are at least 10 s younger than its takeover; the 10 s cover the
/// difference between clocks. The value includes a margin of 1 s.
const KEYS_ACCEPTED_AFTER_MS: u64 = 11_000;

/// Waits until every home has been in place long enough to accept new keys.
async fn wait_until_keys_accepted(fixture: &Fixture) {
    let uptimes = async || {
        let dumps = fixture.dumps().await?;
        let uptimes = dumps.iter().map(|it| it["uptime_ms"].as_u64());
        uptimes.collect::<Option<Vec<_>>>()
    };
    let start = fixture.wait_for("dumps", uptimes).await;
    fixture
        .wait_for("homes that accept keys", async || {
            let now = uptimes().await?;
            let mut pairs = now.iter().zip(&start);
            pairs
                .all(|(now, start)| *now >= start + KEYS_ACCEPTED_AFTER_MS)
                .then_some(())
        })
        .await;
}

/// Returns the number of runs of each order at all targets.
async fn runs(fixture: &Fixture) -> io::Result<BTreeMap<String, u32>> {
    let mut runs = BTreeMap::new();
    for (_, counts) in fixture.counts("orders").await? {
        for (order, count) in counts.orders {
            *runs.entry(order).or_default() += count;
        }
    }
    Ok(runs)
}

/// Asserts for every finished order: at most one run, exactly one if it was answered, none if the
/// caller got only refusals as not run, and no answer of another order.
async fn assert_at_most_once(fixture: &Fixture, report: &Report) -> io::Result<()> {
    let runs = runs(fixture).await?;
    assert!(!runs.is_empty(), "no order ran");
    for (order, count) in &runs {
        assert!(*count <= 1, "{order} ran {count} times");
    }
    for (order, outcomes) in &report.orders {
        let count = runs.get(order).copied().unwrap_or(0);
        if outcomes.contains(&Outcome::Answered) {
            assert_eq!(count, 1, "{order}: {outcomes:?}");
        }
        if outcomes.iter().all(|it| *it == Outcome::NotRun) {
            assert_eq!(count, 0, "{order}: {outcomes:?}");
        }
    }
    assert_eq!(attempts(report, Outcome::Wrong), 0);
    Ok(())
}

/// Sets the duration of orders, so that a fault hits some of them between send and answer.
async fn set_work_time(fixture: &Fixture, work_ms: u64) -> io::Result<()> {
    for name in fixture.site.targets.keys() {
        let behaviour = target::Behaviour {
            work_ms,
            ..target::Behaviour::default()
        };
        fixture.site.set_target_behaviour(name, &behaviour).await?;
    }
    Ok(())
}

/// Waits until all balancers have requests in progress.
async fn wait_for_requests_in_progress(fixture: &Fixture) {
    fixture
        .wait_for("orders in progress", async || {
            let dumps = fixture.dumps().await?;
            let busy = |it: &serde_json::Value| it["requests"]["in_progress"].as_u64() > Some(0);
            dumps.iter().all(busy).then_some(())
        })
        .await;
}

/// Guards against resends that run again because they reach another balancer, and against answers
/// that are delivered to another order.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resends_to_other_balancers_run_once() -> io::Result<()> {
    let fixture = Fixture::start(601, &["orders"], 1, 2).await?;
    wait_until_keys_accepted(&fixture).await;
    set_work_time(&fixture, 400).await?;
    // The caller times out and resends while the first copy still runs.
    let mut groups = Vec::new();
    for http2 in [false, true] {
        let mut config = fixture.orders(0, &format!("orders-{http2}"));
        (config.http2, config.resends) = (http2, 20);
        config.deadline = Duration::from_millis(300);
        groups.push(Workers::start(&config, 3));
    }
    fixture
        .wait_for("orders that took several attempts", async || {
            let resent = groups.iter().all(|workers| {
                let orders = workers.report().orders;
                let resent = orders.values().filter(|it| it.len() > 1).count();
                resent >= 5
            });
            resent.then_some(())
        })
        .await;
    for workers in &groups {
        assert_at_most_once(&fixture, &workers.report()).await?;
    }
    Ok(())
}

/// Guards against an order that runs again after the owner died between send and answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_killed_between_send_and_answer_causes_no_second_run() -> io::Result<()> {
    let mut fixture = Fixture::start(602, &["orders"], 1, 2).await?;
    wait_until_keys_accepted(&fixture).await;
    set_work_time(&fixture, 500).await?;
    let mut config = fixture.orders(0, "orders-kill");
    config.resends = 20;
    let workers = Workers::start(&config, 6);
    for _ in 0..2 {
        fixture.wait_for_answers(&workers, 5).await;
        let number = wait_for_busy_owner(&fixture).await;
        fixture.kill(number).await?;
    }
    set_work_time(&fixture, 5).await?;
    wait_until_keys_accepted(&fixture).await;
    fixture.wait_for_answers(&workers, 20).await;
    assert_at_most_once(&fixture, &workers.report()).await
}

/// Waits until an owner of a target has requests in progress, and returns its number.
async fn wait_for_busy_owner(fixture: &Fixture) -> u8 {
    fixture
        .wait_for("orders in progress", async || {
            let dumps = fixture.dumps().await?;
            let busy = dumps.iter().find(|dump| {
                let owned = dump["flow"]["owned_targets"].as_array();
                let owns = owned.is_some_and(|owned| !owned.is_empty());
                owns && dump["requests"]["in_progress"].as_u64() > Some(0)
            });
            let name = busy?["name"].as_str()?;
            (0..u8::MAX).find(|number| balancer(*number) == name)
        })
        .await
}

/// Guards against a paused home that runs orders again that its successor ran in the meantime.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_home_that_resumes_late_runs_nothing_again() -> io::Result<()> {
    let fixture = Fixture::start(603, &["orders"], 1, 2).await?;
    wait_until_keys_accepted(&fixture).await;
    set_work_time(&fixture, 200).await?;
    let mut config = fixture.orders(0, "orders-pause");
    config.resends = 20;
    config.deadline = Duration::from_secs(1);
    let workers = Workers::start(&config, 6);
    wait_for_requests_in_progress(&fixture).await;
    let paused = balancer(1);
    fixture.site.balancers[&paused].process.signal("STOP")?;
    fixture
        .wait_for("detection of the pause", async || {
            let dump = fixture.site.dump(&balancer(0)).await.ok()?;
            let members = dump["control"]["members"].as_array()?;
            let not_alive =
                |it: &serde_json::Value| it["name"] != *paused || it["state"] != "alive";
            members.iter().all(not_alive).then_some(())
        })
        .await;
    fixture.wait_for_answers(&workers, 10).await;
    fixture.site.balancers[&paused].process.signal("CONT")?;
    fixture.wait_until_converged().await;
    wait_until_keys_accepted(&fixture).await;
    fixture.wait_for_answers(&workers, 20).await;
    assert_at_most_once(&fixture, &workers.report()).await
}

/// Guards against planned stops that lose the records of keys, so that orders run again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stops_cause_no_second_run() -> io::Result<()> {
    let mut fixture = Fixture::start(604, &["orders"], 1, 2).await?;
    wait_until_keys_accepted(&fixture).await;
    set_work_time(&fixture, 300).await?;
    let mut config = fixture.orders(0, "orders-stop");
    config.resends = 20;
    config.deadline = Duration::from_millis(400);
    let workers = Workers::start(&config, 6);
    for number in [0, 1] {
        fixture.wait_for_answers(&workers, 5).await;
        fixture.begin_stop(number).await?;
        fixture.finish_stop(number).await?;
    }
    fixture.wait_for_answers(&workers, 5).await;
    assert_at_most_once(&fixture, &workers.report()).await
}

/// Returns the value of a field in a log line.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let found = line.split(' ').find_map(|it| it.strip_prefix(key));
    found?.strip_prefix('=')
}

/// Guards against an order with an unknown outcome whose cause cannot be found in the logs by its id.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_id_of_an_unknown_order_leads_to_the_decision_of_its_home() -> io::Result<()> {
    let fixture = Fixture::start(605, &["orders"], 1, 1).await?;
    // No home knows the outcome of keys from before its start.
    let config = fixture.orders(0, "orders-early");
    let _workers = Workers::start(&config, 2);
    fixture
        .wait_for("an explained order", async || {
            let decided = fixture.log_lines("event=request_key_decided").ok()?;
            let ended = fixture.log_lines("event=request_unanswered").ok()?;
            let decision = |id: &str| {
                let line = decided.iter().find(|it| field(it, "request") == Some(id))?;
                field(line, "decision")
            };
            let orders = ended.iter().filter(|it| field(it, "keyed") == Some("true"));
            let mut decisions = orders.filter_map(|it| decision(field(it, "request")?));
            decisions.any(|it| it == "unknown").then_some(())
        })
        .await;
    Ok(())
}
