//! The scripts of the review: each starts a small deployment, does one thing to it, and judges one
//! rule by what clients and workers saw.
//!
//! Usage: `stand_in CASE RECORD`, from the root of the repository. Exits with 1 if the rule was
//! broken, 0 if it held, 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod cell;
mod http;
mod json;
mod proxy;
mod record;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use cell::{Cell, call_noted};
use http::Connection;
use json::{Json, object};
use record::Record;

const CANCEL_MILLIS: u64 = 3_000;
const ACK_MILLIS: u64 = 4_000;
const STOP_MILLIS: u64 = 50;
/// How long a task works.
const TASK_MILLIS: u64 = 900;
/// How long a client waits for the answer to a job.
const JOB_DEADLINE: &str = "25000";
const CALL_DEADLINE: &str = "1500";
const HOST: &str = "bornage.example";
const PREFIX: &str = "/redraw/";

/// A job that a client has cancelled.
#[derive(Clone)]
struct Cancelled {
    job: String,
    /// From when on the cancelling counts, and what it counts by.
    since: u64,
    how: String,
}

type Cancels = Arc<Mutex<Vec<Cancelled>>>;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    cell::limit_time(Duration::from_secs(100));
    let outcome = run(&case, Path::new(&path), has_trouble);
    match outcome {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, path: &Path, has_trouble: bool) -> Result<bool, String> {
    let record = Record::create(path).map_err(|error| error.to_string())?;
    let record = Arc::new(record);
    let folder = format!("laurelstile-review-{}", std::process::id());
    let folder = std::env::temp_dir().join(folder);
    let has_relays = matches!(case, "cut-off" | "forgotten");
    let configuration = configuration(1, true);
    let mut cell = Cell::start(Arc::clone(&record), folder, &configuration, has_relays)?;
    record.note("all gateways are ready");
    let cancels = match case {
        "planned-stop" => planned_stop(&mut cell, has_trouble),
        "forgotten" => forgotten(&cell, has_trouble),
        "cut-off" => cut_off(&cell, has_trouble),
        "removed-route" => removed_route(&cell, has_trouble),
        _ => return Err("unknown case".to_owned()),
    };
    judge(&record, &cancels)
}

/// A configuration of two routes, or of one.
fn configuration(version: u64, has_redraw: bool) -> String {
    let route = |name: &str| {
        object(vec![
            ("name", Json::text(name)),
            ("host", Json::text(HOST)),
            ("path_prefix", Json::text(&format!("/{name}/"))),
            ("service", Json::text("bornage")),
            ("slo_ms", Json::int(60)),
            ("stretch", Json::Other("1.6".to_owned())),
            ("max_attempts", Json::int(2)),
            ("priority", Json::int(0)),
            ("timeout_ms", Json::int(30_000)),
            ("kind", Json::text("unsafe")),
        ])
    };
    let mut routes = vec![route("snap")];
    if has_redraw {
        routes.push(route("redraw"));
    }
    let service = object(vec![("name", Json::text("bornage"))]);
    let fields = vec![
        ("version", Json::int(version)),
        ("routes", Json::List(routes)),
        ("services", Json::List(vec![service])),
        ("limits", object(Vec::new())),
    ];
    object(fields).to_string()
}

/// A job whose steps, of one task each, follow one another.
fn chain(steps: u64) -> String {
    let step = |index: u64| {
        let mut fields = vec![
            ("count", Json::int(1)),
            ("cpu", Json::int(500)),
            ("mem_mb", Json::int(64)),
            ("estimate_ms", Json::int(TASK_MILLIS)),
        ];
        if index > 0 {
            fields.push(("after", Json::List(vec![Json::int(index - 1)])));
        }
        object(fields)
    };
    let fields = vec![
        ("spec", Json::text(&format!("ms={TASK_MILLIS}"))),
        (concat!("best", "_effort"), Json::Bool(true)),
        ("steps", Json::List((0..steps).map(step).collect())),
    ];
    object(fields).to_string()
}

fn job_id(number: u64) -> String {
    format!("{:016x}", 0x5c0e_7a21_d94b_0000 + number)
}

/// Submits a job to a gateway, in a thread that waits for its answer.
fn submit(cell: &Cell, gateway: usize, job: &str, steps: u64) {
    let record = Arc::clone(&cell.record);
    let gateway = &cell.gateways[gateway];
    let (name, front, job) = (gateway.name.clone(), gateway.front, job.to_owned());
    thread::spawn(move || {
        let Ok(mut connection) = Connection::open(front) else {
            return;
        };
        let path = format!("{PREFIX}{job}");
        let body = chain(steps);
        let (call, content) = (("POST", HOST, path.as_str()), (JOB_DEADLINE, body.as_str()));
        call_noted(&record, &mut connection, &name, call, content);
    });
}

/// Cancels a job on a connection that is open; if that brings no 2xx or 410, at another gateway.
fn cancel(
    cell: &Cell,
    mut connection: Connection,
    name: &str,
    other: usize,
    job: &str,
) -> Option<Cancelled> {
    let path = format!("{PREFIX}{job}");
    let (call, content) = (("DELETE", HOST, path.as_str()), (CALL_DEADLINE, ""));
    let mut answer = call_noted(&cell.record, &mut connection, name, call, content);
    let mut by = name.to_owned();
    let is_acknowledged = |answer: &Option<http::Answer>| {
        let status = answer.as_ref().map_or(0, |(status, _)| *status);
        (200..300).contains(&status) || status == 410
    };
    if !is_acknowledged(&answer) {
        let gateway = &cell.gateways[other];
        let mut connection = Connection::open(gateway.front).ok()?;
        answer = call_noted(&cell.record, &mut connection, &gateway.name, call, content);
        by.clone_from(&gateway.name);
    }
    is_acknowledged(&answer).then(|| Cancelled {
        job: job.to_owned(),
        since: cell.record.now(),
        how: format!("{by} answered {}", answer.map_or(0, |(status, _)| status)),
    })
}

/// A gateway is stopped as planned, while clients cancel jobs on the connections that they have to it.
/// The jobs are at another gateway, to which nothing happens.
fn planned_stop(cell: &mut Cell, has_trouble: bool) -> Vec<Cancelled> {
    const JOBS: u64 = 48;
    const INTERVAL: Duration = Duration::from_millis(70);
    let jobs: Vec<String> = (0..JOBS).map(job_id).collect();
    for job in &jobs {
        submit(cell, 0, job, 10);
    }
    thread::sleep(Duration::from_millis(300));
    let stopping = &cell.gateways[1];
    let (name, front) = (stopping.name.clone(), stopping.front);
    let connections = jobs.iter().map(|_| Connection::open(front));
    let connections: Vec<_> = connections.collect();
    if has_trouble {
        cell.terminate(1);
    }
    let cancels = Cancels::default();
    thread::scope(|scope| {
        for (job, connection) in jobs.iter().zip(connections) {
            let (cell, cancels, name) = (&*cell, Arc::clone(&cancels), name.as_str());
            scope.spawn(move || {
                let cancelled = cancel(cell, connection.ok()?, name, 0, job)?;
                cancels.lock().expect("cancels").push(cancelled);
                Some(())
            });
            thread::sleep(INTERVAL);
        }
    });
    cell.note_end(1, Duration::from_millis(1));
    thread::sleep(Duration::from_millis(CANCEL_MILLIS + 2_500));
    let cancels = cancels.lock().expect("cancels").clone();
    cancels
}

/// A gateway is cut off from all other machines of the system, not from its clients and the platform.
/// Clients cancel there jobs that are at another gateway.
fn cut_off(cell: &Cell, has_trouble: bool) -> Vec<Cancelled> {
    const JOBS: u64 = 6;
    const CUT: Duration = Duration::from_millis(5_500);
    let jobs: Vec<String> = (0..JOBS).map(job_id).collect();
    let name = cell.gateways[1].name.clone();
    let connections = jobs
        .iter()
        .map(|_| Connection::open(cell.gateways[1].front));
    let connections: Vec<_> = connections.collect();
    for job in &jobs {
        submit(cell, 0, job, 10);
    }
    thread::sleep(Duration::from_millis(300));
    if has_trouble {
        cell.record.note(&format!("{name} is cut off"));
        cell.cut.set(Some(&name));
    }
    let mut cancels = Vec::new();
    let began = cell.record.now();
    thread::sleep(Duration::from_millis(300));
    for (job, connection) in jobs.iter().zip(connections) {
        let cancelled = connection
            .ok()
            .and_then(|connection| cancel(cell, connection, &name, 0, job));
        cancels.extend(cancelled);
        thread::sleep(Duration::from_millis(50));
    }
    let passed = Duration::from_millis(cell.record.now() - began);
    thread::sleep(CUT.saturating_sub(passed));
    cell.cut.set(None);
    if has_trouble {
        cell.record.note(&format!("{name} is no longer cut off"));
    }
    thread::sleep(Duration::from_millis(CANCEL_MILLIS));
    cancels
}

/// The gateway that holds jobs is cut off from all other machines of the system, not from its clients
/// and the platform. Clients cancel the jobs at another gateway, to which nothing happens.
fn forgotten(cell: &Cell, has_trouble: bool) -> Vec<Cancelled> {
    const JOBS: u64 = 6;
    const CUT: Duration = Duration::from_secs(12);
    let jobs: Vec<String> = (0..JOBS).map(job_id).collect();
    for job in &jobs {
        submit(cell, 0, job, 10);
    }
    thread::sleep(Duration::from_millis(300));
    let name = &cell.gateways[0].name;
    let began = cell.record.now();
    if has_trouble {
        cell.record.note(&format!("{name} is cut off"));
        cell.cut.set(Some(name));
    }
    thread::sleep(Duration::from_millis(300));
    let mut cancels = Vec::new();
    for job in &jobs {
        let other = &cell.gateways[1];
        let connection = Connection::open(other.front).ok();
        let cancelled =
            connection.and_then(|connection| cancel(cell, connection, &other.name, 2, job));
        cancels.extend(cancelled);
    }
    let passed = Duration::from_millis(cell.record.now() - began);
    thread::sleep(CUT.saturating_sub(passed));
    cell.cut.set(None);
    if has_trouble {
        cell.record.note(&format!("{name} is no longer cut off"));
    }
    thread::sleep(Duration::from_millis(6_000));
    cancels
}

/// The operator removes a route. Clients cancel the jobs of it that were accepted before.
fn removed_route(cell: &Cell, has_trouble: bool) -> Vec<Cancelled> {
    const JOBS: u64 = 6;
    let jobs: Vec<String> = (0..JOBS).map(job_id).collect();
    for job in &jobs {
        submit(cell, 0, job, 18);
    }
    thread::sleep(Duration::from_millis(300));
    cell.store
        .put_operator_row("config", &configuration(2, !has_trouble));
    cell.record.note("the operator writes version 2");
    // Longer than `config_apply_ms` and `contact_ms`: steady state again.
    thread::sleep(Duration::from_millis(3_500));
    let asked = cell.record.now();
    let mut cancels: Vec<Option<Cancelled>> = jobs.iter().map(|_| None).collect();
    // Clients ask again, at every gateway in turn, until a cancelling is acknowledged.
    let mut gateway = 0;
    while cell.record.now() < asked + ACK_MILLIS {
        for (job, cancelled) in jobs.iter().zip(&mut cancels) {
            if cancelled.is_none() {
                let (name, front) = (&cell.gateways[gateway].name, cell.gateways[gateway].front);
                let connection = Connection::open(front).ok();
                let other = (gateway + 1) % cell.gateways.len();
                *cancelled =
                    connection.and_then(|connection| cancel(cell, connection, name, other, job));
            }
        }
        gateway = (gateway + 1) % cell.gateways.len();
        thread::sleep(Duration::from_millis(500));
    }
    thread::sleep(Duration::from_millis(CANCEL_MILLIS + 2_500));
    let unacknowledged = |job: &String| Cancelled {
        job: job.clone(),
        since: asked + ACK_MILLIS,
        how: "no acknowledgement".to_owned(),
    };
    let cancels = jobs.iter().zip(cancels);
    let cancels = cancels.map(|(job, cancelled)| cancelled.unwrap_or_else(|| unacknowledged(job)));
    cancels.collect()
}

/// UNASKED: no task of a cancelled job starts later than `cancel_ms` after the acknowledgement, and
/// none still runs `stop_ms` after that.
fn judge(record: &Record, cancels: &[Cancelled]) -> Result<bool, String> {
    if cancels.is_empty() {
        return Err("no cancelling was acknowledged".to_owned());
    }
    let runs = record.runs();
    let mut is_broken = false;
    for cancelled in cancels {
        let of_job: Vec<_> = runs
            .iter()
            .filter(|run| run.is_of(&cancelled.job))
            .collect();
        if !of_job.iter().any(|run| run.started < cancelled.since) {
            return Err(format!("{} had not begun", cancelled.job));
        }
        let due = cancelled.since + CANCEL_MILLIS;
        let late: Vec<_> = of_job.iter().filter(|run| run.started > due).collect();
        let lasting = of_job.iter().filter(|run| {
            run.started <= due && run.ended.is_none_or(|ended| ended > due + STOP_MILLIS)
        });
        let lasting = lasting.count();
        let verdict = if late.is_empty() { "held" } else { "BROKEN" };
        is_broken |= !late.is_empty();
        let first = late.first().map_or(String::new(), |run| {
            let after = run.started - cancelled.since;
            format!(
                "; first {} on {}, {after} ms after it",
                run.task, run.worker
            )
        });
        record.note(&format!(
            "{verdict}: {} ({} at {} ms): {} starts later than {CANCEL_MILLIS} ms after it{first}; {lasting} runs lasted beyond",
            cancelled.job, cancelled.how, cancelled.since, late.len()
        ));
    }
    record.note(if is_broken {
        "UNASKED is broken"
    } else {
        "UNASKED held"
    });
    Ok(is_broken)
}
