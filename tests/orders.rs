//! Non-idempotent requests with a key: at most one run, and refusals that are true.

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
    World,
    attempts,
    balancer, //
};

/// A home takes new keys when they are younger than its takeover by the margin of the clocks,
/// 10 s; with some room.
const KEYS_READY_MS: u64 = 11_000;

/// Waits until every home has been in place for long enough to take new keys.
async fn keys_ready(world: &World) {
    let uptimes = async || {
        let dumps = world.dumps().await?;
        let uptimes = dumps.iter().map(|it| it["uptime_ms"].as_u64());
        uptimes.collect::<Option<Vec<_>>>()
    };
    let start = world.until("dumps", uptimes).await;
    world
        .until("homes that take keys", async || {
            let now = uptimes().await?;
            let mut pairs = now.iter().zip(&start);
            pairs
                .all(|(now, start)| *now >= start + KEYS_READY_MS)
                .then_some(())
        })
        .await;
}

/// Runs of each order at all targets.
async fn runs(world: &World) -> io::Result<BTreeMap<String, u32>> {
    let mut runs = BTreeMap::new();
    for (_, counts) in world.counts("orders").await? {
        for (order, count) in counts.orders {
            *runs.entry(order).or_default() += count;
        }
    }
    Ok(runs)
}

/// Asserts what holds for every order that is finished: at most one run, exactly one when it was
/// answered, none when all that the caller heard is that it did not run, and no answer of another.
async fn assert_at_most_once(world: &World, report: &Report) -> io::Result<()> {
    let runs = runs(world).await?;
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

/// Makes orders take so long that a fault meets some of them between send and answer.
async fn slow(world: &World, work_ms: u64) -> io::Result<()> {
    for name in world.site.targets.keys() {
        let behaviour = target::Behaviour {
            work_ms,
            ..target::Behaviour::default()
        };
        world.site.behave(name, &behaviour).await?;
    }
    Ok(())
}

/// Waits until targets run orders.
async fn orders_run(world: &World) {
    world
        .until("orders in progress", async || {
            let dumps = world.dumps().await?;
            let busy = |it: &serde_json::Value| it["requests"]["in_progress"].as_u64() > Some(0);
            dumps.iter().all(busy).then_some(())
        })
        .await;
}

/// Guards against resends that run again because they reach another balancer, and against answers
/// that go to another order.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resends_to_other_balancers_run_once() -> io::Result<()> {
    let world = World::start(601, &["orders"], 1, 2).await?;
    keys_ready(&world).await;
    slow(&world, 400).await?;
    // The caller gives up and sends again while the first copy still runs.
    let mut groups = Vec::new();
    for http2 in [false, true] {
        let mut config = world.orders(0, &format!("orders-{http2}"));
        (config.http2, config.resends) = (http2, 20);
        config.deadline = Duration::from_millis(300);
        groups.push(Workers::start(&config, 3));
    }
    world
        .until("orders that took several attempts", async || {
            let resent = groups.iter().all(|workers| {
                let orders = workers.report().orders;
                let resent = orders.values().filter(|it| it.len() > 1).count();
                resent >= 5
            });
            resent.then_some(())
        })
        .await;
    for workers in &groups {
        assert_at_most_once(&world, &workers.report()).await?;
    }
    Ok(())
}

/// Guards against an order that runs again after the owner died between send and answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_killed_between_send_and_answer_causes_no_second_run() -> io::Result<()> {
    let mut world = World::start(602, &["orders"], 1, 2).await?;
    keys_ready(&world).await;
    slow(&world, 500).await?;
    let mut config = world.orders(0, "orders-kill");
    config.resends = 20;
    let workers = Workers::start(&config, 6);
    for _ in 0..2 {
        world.answered(&workers, 5).await;
        let number = busy_owner(&world).await;
        world.kill(number).await?;
    }
    slow(&world, 5).await?;
    keys_ready(&world).await;
    world.answered(&workers, 20).await;
    assert_at_most_once(&world, &workers.report()).await
}

/// Waits until an owner of a target has requests in progress, and returns its number.
async fn busy_owner(world: &World) -> u8 {
    world
        .until("orders in progress", async || {
            let dumps = world.dumps().await?;
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

/// Guards against a paused home that runs orders which its successor ran meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_home_that_resumes_late_runs_nothing_again() -> io::Result<()> {
    let world = World::start(603, &["orders"], 1, 2).await?;
    keys_ready(&world).await;
    slow(&world, 200).await?;
    let mut config = world.orders(0, "orders-pause");
    config.resends = 20;
    config.deadline = Duration::from_secs(1);
    let workers = Workers::start(&config, 6);
    orders_run(&world).await;
    let paused = balancer(1);
    world.site.balancers[&paused].process.signal("STOP")?;
    world
        .until("death noticed", async || {
            let dump = world.site.dump(&balancer(0)).await.ok()?;
            let members = dump["control"]["members"].as_array()?;
            let gone = |it: &serde_json::Value| it["name"] != *paused || it["state"] != "alive";
            members.iter().all(gone).then_some(())
        })
        .await;
    world.answered(&workers, 10).await;
    world.site.balancers[&paused].process.signal("CONT")?;
    world.steady().await;
    keys_ready(&world).await;
    world.answered(&workers, 20).await;
    assert_at_most_once(&world, &workers.report()).await
}

/// Guards against planned stops that lose the records of keys, so that orders run again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stops_cause_no_second_run() -> io::Result<()> {
    let mut world = World::start(604, &["orders"], 1, 2).await?;
    keys_ready(&world).await;
    slow(&world, 300).await?;
    let mut config = world.orders(0, "orders-stop");
    config.resends = 20;
    config.deadline = Duration::from_millis(400);
    let workers = Workers::start(&config, 6);
    for number in [0, 1] {
        world.answered(&workers, 5).await;
        world.begin_stop(number).await?;
        world.finish_stop(number).await?;
    }
    world.answered(&workers, 5).await;
    assert_at_most_once(&world, &workers.report()).await
}

/// The value of a field in a line of a log.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let found = line.split(' ').find_map(|it| it.strip_prefix(key));
    found?.strip_prefix('=')
}

/// Guards against an order that ends as unknown and whose id leads to no cause in the logs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_id_of_an_unknown_order_leads_to_the_decision_of_its_home() -> io::Result<()> {
    let world = World::start(605, &["orders"], 1, 1).await?;
    // No home knows the keys of before its start.
    let config = world.orders(0, "orders-early");
    let _workers = Workers::start(&config, 2);
    world
        .until("an explained order", async || {
            let decided = world.lines("event=request_key_decided").ok()?;
            let ended = world.lines("event=request_unanswered").ok()?;
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
