//! The cases.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::cell::{chain, client, configuration, job, job_for, job_id, route, Cell};
use crate::json::{number, object, text};
use crate::platform::capacity;
use crate::{http, Record};

const HELD: i32 = 0;
const BROKEN: i32 = 1;
const NOT_PLAYED: i32 = 2;

/// Plays a case; returns the exit code.
pub fn play(case: &str, root: &Path, record: Record, has_trouble: bool) -> i32 {
    let played = match case {
        "other-writer" => other_writer(root, record, has_trouble),
        "priority" => priority(root, record, has_trouble),
        "acks" => acks(root, record, has_trouble),
        "lost-cancel" => lost_cancel(root, record, has_trouble),
        "other-kind" => other_kind(root, record, has_trouble),
        _ => Err(format!("no case {case}")),
    };
    played.unwrap_or_else(|error| {
        eprintln!("not played: {error}");
        NOT_PLAYED
    })
}

fn pause(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

/// A heartbeat of another writer, with fields missing, arrives under the id of a worker.
fn other_writer(root: &Path, record: Record, has_trouble: bool) -> Result<i32, String> {
    let first = configuration(7, vec![route("r-quick", "/lohu930/", 0)]);
    let cell = Cell::start(root, record, 3, 4_000, &first)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for gateway in &cell.gateways {
        for _ in 0..6 {
            let node = (gateway.name.clone(), gateway.front());
            let (is_over, served) = (Arc::clone(&is_over), Arc::clone(&served));
            let record = Arc::clone(&cell.record);
            clients.push(thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let path = format!("/lohu930/{}", job_id());
                    let body = job(4, 1_000, 300);
                    let status = client(&record, (&node.0, node.1), "POST", &path, &body, 1_500);
                    if status == 200 {
                        served.fetch_add(1, Ordering::Relaxed);
                    } else {
                        pause(150);
                    }
                }
            }));
        }
    }
    pause(4_000);
    if has_trouble {
        let worker = &cell.workers[0];
        // `address`, `zone`, `version`, `slots`, `cold_left_ms` and `labels` are missing.
        let beat = object(vec![
            ("service", text(&worker.service)),
            ("state", text("ready")),
            ("capacity", capacity(16_000)),
            ("clock_ms", number(worker.clock())),
            ("seq", number(worker.sequence() + 1_000)),
            ("born", number(worker.born())),
        ]);
        let answer = worker.send_beat(&beat);
        let (beat, id) = (beat.write(), &worker.id);
        cell.record.tell(&format!(
            "another writer sends {beat} under {id}: {answer:?}"
        ));
    }
    pause(6_000);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let over: Vec<u64> = cell
        .workers
        .iter()
        .map(|worker| worker.over.load(Ordering::Relaxed))
        .collect();
    let served = served.load(Ordering::Relaxed);
    cell.record.tell(&format!(
        "{served} jobs served; starts over the room, by worker: {over:?}"
    ));
    if served == 0 {
        return Err("no job was served".to_owned());
    }
    Ok(if over.iter().any(|over| *over > 0) {
        BROKEN
    } else {
        HELD
    })
}

/// A configuration adds a route of low priority and removes another one.
fn priority(root: &Path, record: Record, has_trouble: bool) -> Result<i32, String> {
    let quick = || route("r-quick", "/lohu930/", 0);
    let first = configuration(7, vec![quick(), route("r-old", "/pufi791/", 1)]);
    let cell = Cell::start(root, record, 3, 16_000, &first)?;
    let ask = |prefix: &str| -> Vec<u16> {
        let gateways = cell.gateways.iter();
        let answers = gateways.map(|gateway| {
            let path = format!("{prefix}{}", job_id());
            let node = (gateway.name.as_str(), gateway.front());
            client(&cell.record, node, "POST", &path, &job(1, 500, 50), 1_500)
        });
        answers.collect()
    };
    for prefix in ["/lohu930/", "/pufi791/"] {
        // The first jobs may find no room: the gateways know little of the workers then.
        let mut tries = (0..10).map(|_| ask(prefix));
        let is_served = tries.any(|answers| answers.iter().all(|status| *status == 200));
        is_served
            .then_some(())
            .ok_or(format!("{prefix} is not served before the change"))?;
    }
    let priority = if has_trouble { 300 } else { 3 };
    let second = configuration(9, vec![quick(), route("r-night", "/pule252/", priority)]);
    cell.store.put("op", "config", &second);
    cell.record.tell(&format!(
        "the store acknowledges version 9: r-night added with priority {priority}, r-old removed"
    ));
    pause(5_000);
    let mut broken = 0;
    for _ in 0..5 {
        let added = ask("/pule252/");
        let removed = ask("/pufi791/");
        let kept = ask("/lohu930/");
        broken += added.iter().filter(|status| **status == 404).count();
        broken += removed.iter().filter(|status| **status == 200).count();
        cell.record.tell(&format!(
            "by gateway: r-night {added:?}, r-old {removed:?}, r-quick {kept:?}"
        ));
        pause(2_000);
    }
    cell.record.tell(&format!("{broken} requests were handled as only version 7 allows, 5 s and more after the acknowledgement of version 9"));
    Ok(if broken > 0 { BROKEN } else { HELD })
}

/// Two machines are lost for good at once; afterwards clients cancel accepted jobs.
fn acks(root: &Path, record: Record, has_trouble: bool) -> Result<i32, String> {
    const ACK: Duration = Duration::from_millis(4_000);
    let first = configuration(7, vec![route("r-quick", "/lohu930/", 0)]);
    let mut cell = Cell::start(root, record, 4, 16_000, &first)?;
    if has_trouble {
        cell.gateways[2].kill();
        cell.agents[3].kill();
        cell.workers[3].is_gone.store(true, Ordering::Relaxed);
        let names = [&cell.gateways[2].name, &cell.agents[3].name];
        cell.record.tell(&format!("{names:?} are lost for good"));
    }
    // All others have been in touch for `contact_ms` then.
    pause(5_000);
    let began = Instant::now();
    let mut cancels = Vec::new();
    for count in 0..40usize {
        let nodes: Vec<(String, std::net::SocketAddr)> = cell.gateways[..2]
            .iter()
            .map(|gateway| (gateway.name.clone(), gateway.front()))
            .collect();
        let record = Arc::clone(&cell.record);
        cancels.push(thread::spawn(move || {
            let path = format!("/lohu930/{}", job_id());
            let at = &nodes[count % 2];
            let status = client(
                &record,
                (&at.0, at.1),
                "POST",
                &path,
                &job(2, 500, 100),
                1_500,
            );
            if status != 200 {
                return None;
            }
            let since = Instant::now();
            let mut tries = count / 2;
            while since.elapsed() < ACK {
                let at = &nodes[tries % 2];
                let status = client(&record, (&at.0, at.1), "DELETE", &path, "", 1_500);
                if status / 100 == 2 || status == 410 {
                    return Some(true);
                }
                tries += 1;
                pause(300);
            }
            Some(false)
        }));
        pause(500);
    }
    let cancels: Vec<bool> = cancels
        .into_iter()
        .filter_map(|cancel| cancel.join().ok()?)
        .collect();
    let missing = cancels
        .iter()
        .filter(|is_acknowledged| !**is_acknowledged)
        .count();
    let (all, seconds) = (cancels.len(), began.elapsed().as_secs());
    cell.record.tell(&format!("{missing} of {all} cancels of accepted jobs got no 2xx or 410 within 4 s, over {seconds} s"));
    if all < 10 {
        return Err("too few jobs were accepted".to_owned());
    }
    Ok(if missing >= 3 && missing * 10 > all {
        BROKEN
    } else {
        HELD
    })
}

/// A worker crashes and is replaced by one of another kind, just as jobs for the first kind arrive. In the
/// later rounds a packet from its agent to their gateway is lost at that moment, and arrives 200 ms later.
fn other_kind(root: &Path, record: Record, has_trouble: bool) -> Result<i32, String> {
    const ROUNDS: usize = 6;
    let first = configuration(7, vec![route("r-quick", "/lohu930/", 0)]);
    let mut cell = Cell::start(root, record, 3, 16_000, &first)?;
    let submit = |cell: &Cell, jobs: u64, interval: u64| {
        let mut clients = Vec::new();
        for _ in 0..jobs {
            let gateway = &cell.gateways[0];
            let node = (gateway.name.clone(), gateway.front());
            let record = Arc::clone(&cell.record);
            clients.push(thread::spawn(move || {
                let path = format!("/lohu930/{}", job_id());
                let body = job_for("a", 500, 50);
                client(&record, (&node.0, node.1), "POST", &path, &body, 1_500) == 200
            }));
            pause(interval);
        }
        let served = clients.into_iter().filter_map(|client| client.join().ok());
        served.filter(|is_served| *is_served).count()
    };
    let mut served = 0;
    let mut misplaced = [0, 0];
    for round in 0..ROUNDS {
        served += submit(&cell, 20, 50);
        pause(300);
        if has_trouble {
            cell.workers[0].end_process();
            pause(2_000);
            let loses_packet = round >= ROUNDS / 2;
            cell.relays[0].hold(loses_packet);
            let next = cell.workers[0].succeed(&format!("i-0-{round}-b"), "b", 16_000);
            if loses_packet {
                pause(10);
                let relay = Arc::clone(&cell.relays[0]);
                let release = thread::spawn(move || {
                    pause(190);
                    relay.hold(false);
                });
                submit(&cell, 15, 10);
                let _ = release.join();
            } else {
                submit(&cell, 20, 0);
            }
            misplaced[usize::from(loses_packet)] += next.misplaced.load(Ordering::Relaxed);
            // A worker of the first kind comes back for the next round.
            pause(1_500);
            next.end_process();
            pause(2_000);
            cell.workers[0] = next.succeed(&format!("i-0-{round}-a"), "a", 16_000);
            pause(3_000);
        }
    }
    let [at_once, late] = misplaced;
    cell.record.tell(&format!(
        "{served} jobs served on the right kind; tasks started on a worker without the label that they \
         require: {at_once} with no packet lost, {late} with one"
    ));
    if served < 20 {
        return Err("too few jobs were served".to_owned());
    }
    Ok(if at_once + late > 0 { BROKEN } else { HELD })
}

/// A client's connection breaks; before it submits its job again, another client cancels the job, and all
/// machines lose power right after the acknowledgement.
fn lost_cancel(root: &Path, record: Record, has_trouble: bool) -> Result<i32, String> {
    const JOBS: usize = 4;
    const DOWN: u64 = 1_200;
    const RESEND: u64 = 1_300;
    const CANCEL: Duration = Duration::from_millis(3_000);
    const CONTACT: Duration = Duration::from_millis(3_000);
    let first = configuration(7, vec![route("r-quick", "/lohu930/", 0)]);
    let mut cell = Cell::start(root, record, 3, 16_000, &first)?;
    let ids: Vec<String> = (0..JOBS).map(|_| job_id()).collect();
    let body = chain(8, 500, 900);
    let fronts: Vec<(String, std::net::SocketAddr)> = cell
        .gateways
        .iter()
        .map(|gateway| (gateway.name.clone(), gateway.front()))
        .collect();
    let broken: Vec<_> = ids
        .iter()
        .map(|id| {
            let (path, body, at) = (format!("/lohu930/{id}"), body.clone(), fronts[0].1);
            cell.record.add(&format!(
                "client POST {path} at {}: its connection breaks after 500 ms",
                fronts[0].0
            ));
            thread::spawn(move || {
                http::break_call(
                    at,
                    &path,
                    "nony24.example",
                    &body,
                    Duration::from_millis(500),
                );
                Instant::now()
            })
        })
        .collect();
    let broken: Vec<Instant> = broken
        .into_iter()
        .filter_map(|call| call.join().ok())
        .collect();
    pause(300);
    let mut acknowledged = Vec::new();
    for id in &ids {
        let node = (fronts[1].0.as_str(), fronts[1].1);
        let status = client(
            &cell.record,
            node,
            "DELETE",
            &format!("/lohu930/{id}"),
            "",
            1_500,
        );
        if status / 100 != 2 && status != 410 {
            return Err(format!("a cancel is not acknowledged: {status}"));
        }
        acknowledged.push(Instant::now());
    }
    let mut up_at = Instant::now();
    if has_trouble {
        let nodes = cell.gateways.iter_mut().chain(&mut cell.agents);
        nodes.for_each(|node| node.kill());
        cell.workers.iter().for_each(|worker| worker.end_process());
        cell.record.tell("all machines have lost power");
        pause(DOWN);
        for node in cell.gateways.iter_mut().chain(&mut cell.agents) {
            node.start_again()?;
        }
        let next = cell.workers.iter().enumerate();
        let next = next.map(|(index, worker)| worker.succeed(&format!("i-{index}-2"), "a", 16_000));
        cell.workers = next.collect();
        up_at = Instant::now();
        cell.record.tell("all machines are up again");
    }
    // The clients submit their jobs again 1.3 s after each break, at any gateway.
    let clients = ids
        .iter()
        .zip(broken)
        .enumerate()
        .map(|(index, (id, broken_at))| {
            let (path, body, fronts) = (format!("/lohu930/{id}"), body.clone(), fronts.clone());
            let record = Arc::clone(&cell.record);
            thread::spawn(move || {
                let first = Duration::from_millis(RESEND).saturating_sub(broken_at.elapsed());
                thread::sleep(first);
                for attempt in 0..6 {
                    let at = &fronts[(index + attempt) % 3];
                    let status = client(&record, (&at.0, at.1), "POST", &path, &body, 25_000);
                    if status == 200 {
                        return;
                    }
                    pause(RESEND);
                }
            })
        });
    let clients: Vec<_> = clients.collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    let mut late = 0;
    for worker in &cell.workers {
        for (at, task) in worker.starts.lock().unwrap().iter() {
            let index = ids.iter().position(|id| task.starts_with(id.as_str()));
            let Some(index) = index else { continue };
            let is_late = at.duration_since(acknowledged[index]) > CANCEL;
            let is_in_touch = !has_trouble || at.duration_since(up_at) > CONTACT;
            late += usize::from(is_late && is_in_touch);
        }
    }
    cell.record.tell(&format!("{late} tasks of {JOBS} cancelled jobs started over 3 s after the acknowledgement, on machines in touch"));
    Ok(if late > 0 { BROKEN } else { HELD })
}
