//! The cases.

use std::collections::HashMap;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{Attempt, Class, End};
use crate::node::{CONFIG_APPLY, DRAIN, STABLE_WINDOW};
use crate::record::Record;
use crate::store::Mode;
use crate::target::Target;
use crate::world::{STATUS, World, config};

/// Time between the kill of a process and its next start.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Time for which a target that has left goes on serving.
const SERVING_TIME: Duration = Duration::from_secs(10);

pub fn play(case: &str, record: &Record, has_trouble: bool) -> std::io::Result<Verdict> {
    match case {
        "leave-in-outage" => leave_in_outage(record, has_trouble),
        "body-in-chunks" => body_in_chunks(record, has_trouble),
        "lost-watch" => lost_watch(record, has_trouble),
        "late-heartbeat" => late_heartbeat(record, has_trouble),
        _ => Err(std::io::Error::other("unknown case")),
    }
}

/// A target leaves while the store is down, and the node that has acknowledged it is restarted as
/// planned.
fn leave_in_outage(record: &Record, has_trouble: bool) -> std::io::Result<Verdict> {
    const OUTAGE: Duration = Duration::from_secs(6);
    const SERVING_TIME: Duration = Duration::from_secs(12);
    let world = World::start(record, 18)?;
    world.begin_traffic();
    thread::sleep(Duration::from_secs(2));
    // The second node of the service `renewals`.
    let (node, target) = (&world.nodes[7], &world.targets[7]);
    let start = record.now();
    if has_trouble {
        record.say("store is down (503)");
        world.store.set(Mode::Busy);
    }
    world.wait_until(start + Duration::from_millis(500));
    if !target.leave() {
        return Err(std::io::Error::other("the leave was not acknowledged"));
    }
    let left_at = record.now();
    world.wait_until(start + Duration::from_millis(1300));
    node.terminate();
    thread::sleep(RESTART_DELAY);
    node.spawn()?;
    let mut calm_at = record.now();
    if has_trouble {
        world.wait_until(start + OUTAGE);
        world.store.set(Mode::Normal);
        record.say("store is up");
        calm_at = record.now();
    }
    world.wait_until(left_at + SERVING_TIME);
    target.end();
    thread::sleep(Duration::from_secs(2));
    world.clients.stop();
    thread::sleep(Duration::from_secs(2));
    check_drain(
        record,
        &[(target, left_at)],
        calm_at + STABLE_WINDOW,
        &world.clients.all(),
    )
}

/// Targets leave, the nodes beside them are killed, and a heartbeat from before arrives late.
fn late_heartbeat(record: &Record, has_trouble: bool) -> std::io::Result<Verdict> {
    let world = World::start(record, 18)?;
    world.begin_traffic();
    thread::sleep(Duration::from_secs(2));
    // Half of the machines; one target of each service stays in each region.
    let chosen: Vec<usize> = (0..18).filter(|index| index % 2 == 0).collect();
    let mut left = Vec::new();
    let mut late = Vec::new();
    for &index in &chosen {
        let target = &world.targets[index];
        // Sent before the leave, and held up on the way.
        late.push(target.new_beat("ready"));
        if target.leave() {
            left.push((target, record.now()));
        }
    }
    if left.len() < chosen.len() {
        return Err(std::io::Error::other("a leave was not acknowledged"));
    }
    thread::sleep(Duration::from_millis(1000));
    if has_trouble {
        record.say("processes are killed");
        for &index in &chosen {
            world.nodes[index].kill();
        }
        thread::sleep(RESTART_DELAY);
    }
    let calm_at = record.now();
    let mut deliveries = Vec::new();
    for (&index, beat) in chosen.iter().zip(late) {
        let target = world.targets[index].clone();
        deliveries.push(thread::spawn(move || {
            target.deliver_late(&beat, Duration::from_secs(5));
        }));
    }
    if has_trouble {
        for &index in &chosen {
            world.nodes[index].spawn()?;
        }
    }
    for delivery in deliveries {
        let _ = delivery.join();
    }
    world.wait_until(calm_at + SERVING_TIME);
    for (target, _) in &left {
        target.end();
    }
    thread::sleep(Duration::from_secs(2));
    world.clients.stop();
    thread::sleep(Duration::from_secs(2));
    let in_touch_at = calm_at + STABLE_WINDOW + RESTART_DELAY;
    let verdict = check_drain(record, &left, in_touch_at, &world.clients.all());
    verdict
}

/// DRAIN: a request reaches a target later than `drainMs` after the acknowledgement of its leave,
/// taken from the client when all machines are in touch again.
fn check_drain(
    record: &Record,
    left: &[(&Target, Duration)],
    in_touch_at: Duration,
    attempts: &[Attempt],
) -> std::io::Result<Verdict> {
    let attempts: HashMap<&str, &Attempt> = attempts
        .iter()
        .map(|attempt| (attempt.id.as_str(), attempt))
        .collect();
    let (mut late, mut lost) = (0, 0);
    for (target, left_at) in left {
        for run in target.runs() {
            let Some(attempt) = attempts.get(run.id.as_str()) else {
                continue;
            };
            if run.at <= *left_at + DRAIN || attempt.sent <= in_touch_at {
                continue;
            }
            late += 1;
            if !run.is_answered && !matches!(attempt.end, End::Status(200)) {
                lost += 1;
            }
            if late <= 5 {
                record.say(&format!(
                    "broken: {} of {} sent at {:.3} from {}, runs at {:.3} at {}, which left at {:.3}; its client saw {:?}",
                    run.id, run.path, attempt.sent.as_secs_f64(), attempt.machine,
                    run.at.as_secs_f64(), run.instance, left_at.as_secs_f64(), attempt.end
                ));
            }
        }
    }
    record.say(&format!(
        "{late} requests ran at targets that had left; {lost} of them were lost when the target ended"
    ));
    Ok(if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Bodies of safe GET requests are sent in chunks. Without trouble they are sent with a length.
fn body_in_chunks(record: &Record, has_trouble: bool) -> std::io::Result<Verdict> {
    const BODY: &[u8] = &[b'q'; 100_000];
    let world = World::start(record, 18)?;
    let class = Class {
        body: BODY,
        is_chunked: has_trouble,
        ..STATUS
    };
    let mut changed = 0;
    for node in &world.nodes {
        let attempt = world.clients.send(&node.name, node.outbound, &class);
        let mut runs = world.targets.iter().flat_map(Target::runs);
        let run = runs.find(|run| run.id == attempt.id && run.body != BODY);
        if let Some(run) = run {
            changed += 1;
            record.say(&format!(
                "broken: {} from {} was sent with {} bytes and ran at {} with {} bytes; its client saw {:?}",
                run.id, attempt.machine, BODY.len(), run.instance, run.body.len(), attempt.end
            ));
        }
    }
    let all = world.nodes.len();
    record.say(&format!(
        "{changed} of {all} requests ran with another body"
    ));
    Ok(if changed > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// The store gives a third of the machines no response for a moment, in which a route moves to
/// another service.
fn lost_watch(record: &Record, has_trouble: bool) -> std::io::Result<Verdict> {
    const SILENCE: Duration = Duration::from_millis(600);
    let world = World::start(record, 18)?;
    world.begin_traffic();
    thread::sleep(Duration::from_secs(2));
    record.say("version 2 is acknowledged");
    world.store.write("op/config", &config(2, "renewals"));
    thread::sleep(Duration::from_millis(1400));
    let silent: Vec<usize> = (0..18).step_by(3).collect();
    if has_trouble {
        record.say("the store gives 6 machines no response");
        world.store.set_silent(&silent);
    }
    thread::sleep(SILENCE / 2);
    record.say("version 3 is acknowledged: the route of renewals moves to status-desk");
    world.store.write("op/config", &config(3, "status-desk"));
    let changed_at = record.now();
    thread::sleep(SILENCE / 2);
    let mut in_touch_at = changed_at;
    if has_trouble {
        world.store.set_silent(&[]);
        record.say("the store serves all machines");
        in_touch_at = record.now() + STABLE_WINDOW;
    }
    thread::sleep(Duration::from_secs(10));
    world.clients.stop();
    thread::sleep(Duration::from_secs(2));
    let bound = in_touch_at.max(changed_at + CONFIG_APPLY);
    let attempts = world.clients.all();
    let attempts: HashMap<&str, &Attempt> = attempts
        .iter()
        .map(|attempt| (attempt.id.as_str(), attempt))
        .collect();
    let mut broken = Vec::new();
    for target in world
        .targets
        .iter()
        .filter(|target| target.service == "renewals")
    {
        for run in target.runs() {
            let Some(attempt) = attempts.get(run.id.as_str()) else {
                continue;
            };
            if attempt.sent > bound && run.path.starts_with("/renew/") {
                broken.push((attempt.sent, attempt.machine.clone(), run.id));
            }
        }
    }
    broken.sort();
    for (sent, machine, id) in broken.iter().take(5).chain(broken.last()) {
        record.say(&format!(
            "broken: {id}, sent at {:.3} on {machine}, {:.1} s after the acknowledgement, ran at the old service",
            sent.as_secs_f64(),
            (*sent - changed_at).as_secs_f64()
        ));
    }
    record.say(&format!(
        "{} requests that were sent after {:.3} ran at the old service",
        broken.len(),
        bound.as_secs_f64()
    ));
    Ok(if broken.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
