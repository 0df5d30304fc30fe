//! A worker: registers with the agent on its machine, runs what it is told under leases, and starts
//! whatever it is told, as one with `rejects_overload` false does.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Answer, Connection, Reply, Request, Server};
use crate::json::{Json, number, object, text};
use crate::names::name;
use crate::record::Record;

/// Longest time of a lease.
const HOLD_MAX: u64 = 1_000;
pub const BEAT: Duration = Duration::from_millis(1_500);
/// Time that a worker waits for the answer to a heartbeat.
const BEAT_PATIENCE: Duration = Duration::from_secs(1);

/// The tasks of a job.
#[derive(Clone, Debug, Default)]
pub struct Work {
    pub cpu: u64,
    pub millis: u64,
    /// The label that their worker must have; empty if any worker may run them.
    pub label: String,
}

/// The tasks of jobs, by the ids of the jobs.
pub type Jobs = Arc<Mutex<BTreeMap<String, Work>>>;

struct Run {
    number: u64,
    cpu: u64,
    began: u64,
    ends: u64,
}

struct Ended {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

#[derive(Default)]
struct State {
    capacity: u64,
    /// The kind of the worker.
    label: String,
    /// When its process started: by the time of day, and on the steady clock.
    born: u64,
    began: Option<Instant>,
    is_up: bool,
    fence: u64,
    lease: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<Ended>,
    last_end: u64,
    /// Highest run of a task that was stopped or has ended.
    past: BTreeMap<String, u64>,
    seq: u64,
}

#[derive(Clone)]
pub struct Worker {
    pub index: usize,
    id: String,
    address: SocketAddr,
    /// Of the agent, and of the other nodes that are called if it does not answer.
    controls: Vec<SocketAddr>,
    zone: String,
    jobs: Jobs,
    /// The open connection for heartbeats to the agent.
    beats: Arc<Mutex<Option<Connection>>>,
    /// Connections on which heartbeats were not answered.
    silent: Arc<Mutex<Vec<Connection>>>,
    server: Arc<Mutex<Server>>,
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Worker {
    pub fn start(
        index: usize,
        address: SocketAddr,
        controls: Vec<SocketAddr>,
        zone: &str,
        capacity: u64,
        jobs: &Jobs,
        record: &Record,
    ) -> Self {
        let worker = Self {
            index,
            id: format!("i-{index:08x}"),
            address,
            controls,
            zone: zone.to_owned(),
            jobs: Arc::clone(jobs),
            beats: Arc::default(),
            silent: Arc::default(),
            server: Arc::default(),
            state: Arc::default(),
            record: record.clone(),
        };
        worker.boot("a", capacity);
        let ticking = worker.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(2));
                ticking.end_runs();
            }
        });
        let beating = worker.clone();
        std::thread::spawn(move || {
            loop {
                // A beat that hangs delays no later one.
                let beating = beating.clone();
                std::thread::spawn(move || beating.beat());
                std::thread::sleep(BEAT);
            }
        });
        worker
    }

    /// Starts its process, under the id that it has always had: it knows nothing of before.
    pub fn boot(&self, label: &str, capacity: u64) {
        self.record.add(&format!(
            "worker-{} is up, kind {label}, capacity {capacity}",
            self.index
        ));
        *self.state.0.lock().unwrap() = State {
            capacity,
            label: label.to_owned(),
            born: unix_millis(),
            began: Some(Instant::now()),
            is_up: true,
            ..State::default()
        };
        let served = self.clone();
        *self.server.lock().unwrap() =
            http::serve(self.address, move |request| served.answer(&request));
    }

    /// Its process ends without a word.
    pub fn crash(&self) {
        self.record.add(&format!("worker-{} crashes", self.index));
        let mut state = self.state.0.lock().unwrap();
        state.is_up = false;
        state.running.clear();
        drop(state);
        self.server.lock().unwrap().end();
        *self.beats.lock().unwrap() = None;
        self.silent.lock().unwrap().clear();
    }

    pub fn set_capacity(&self, capacity: u64) {
        self.record
            .add(&format!("worker-{} capacity {capacity}", self.index));
        self.state.0.lock().unwrap().capacity = capacity;
    }

    /// Sends a heartbeat; returns whether it was acknowledged.
    pub fn beat(&self) -> bool {
        let body = {
            let mut state = self.state.0.lock().unwrap();
            if !state.is_up {
                return false;
            }
            state.seq += 1;
            object([
                ("service", text("parcels")),
                ("address", text(&self.address.to_string())),
                ("zone", text(&self.zone)),
                ("version", text("v1")),
                ("slots", number(8)),
                ("state", text("ready")),
                ("cold_left_ms", number(0)),
                (
                    "capacity",
                    object([
                        ("cpu", number(state.capacity)),
                        ("mem_mb", number(65_536)),
                        ("gpu", number(0)),
                    ]),
                ),
                ("labels", Json::List(vec![text(&state.label), text("r1-1")])),
                ("clock_ms", number(state.clock())),
                ("born", number(state.born)),
                ("seq", number(state.seq)),
            ])
        };
        let capacity = body.field("capacity").field("cpu").number().unwrap_or(0);
        let path = format!("/laurelstile/workers/{}", self.id);
        for (index, control) in self.controls.iter().enumerate() {
            self.record.add(&format!(
                "worker-{} beats capacity={capacity} to {control}",
                self.index
            ));
            let answer = if index == 0 {
                self.beat_to_agent(*control, &path, &body.to_string())
            } else {
                http::call(
                    *control,
                    "PUT",
                    &path,
                    &[],
                    &body.to_string(),
                    BEAT_PATIENCE,
                )
            };
            let status = answer.map_or(0, |(status, ..)| status);
            self.record.add(&format!(
                "worker-{} beat capacity={capacity} to {control}: {status}",
                self.index
            ));
            if (200..300).contains(&status) {
                return true;
            }
        }
        false
    }

    /// Uses the open connection, or a new one if that has been closed. A new one without an answer is
    /// closed; one that has served before stays open, and is not used again.
    fn beat_to_agent(&self, control: SocketAddr, path: &str, body: &str) -> Option<Answer> {
        let began = Instant::now();
        let mut kept = self.beats.lock().unwrap();
        let mut connection = kept.take();
        let mut answer = connection
            .as_mut()
            .and_then(|open| open.call("PUT", path, &[], body));
        if answer.is_none() && began.elapsed() >= BEAT_PATIENCE {
            self.silent.lock().unwrap().extend(connection.take());
        } else if answer.is_none() {
            let patience = BEAT_PATIENCE.saturating_sub(began.elapsed());
            connection = Connection::open(control, patience);
            answer = connection.as_mut()?.call("PUT", path, &[], body);
        }
        *kept = connection.filter(|_| answer.is_some());
        answer
    }

    fn answer(&self, request: &Request) -> Reply {
        let instance = request.headers.get(name("instance"));
        if instance.is_some_and(|instance| *instance != self.id) {
            return (421, String::new());
        }
        let Some(order) = Json::parse(&request.body) else {
            return (400, String::new());
        };
        let path = request.path.strip_prefix("/laurelstile/").unwrap_or("");
        if path == name("start") {
            self.on_start(&order)
        } else if path == name("stop") {
            self.on_stop(&order)
        } else if path == "hold" {
            self.on_hold(&order)
        } else {
            (404, String::new())
        }
    }

    fn on_start(&self, order: &Json) -> Reply {
        let task = order.field("task").text().to_owned();
        let number = order.field("run").number().unwrap_or(0);
        let mut state = self.state.0.lock().unwrap();
        let now = state.clock();
        if !state.accept_fence(order) {
            return state.rejected("fence");
        }
        let deadline = order.field("deadline_ms").number().unwrap_or(0);
        state.extend(deadline, now);
        if state.past.get(&task).is_some_and(|past| number <= *past) {
            return state.rejected("old");
        }
        if let Some(run) = state.running.get(&task) {
            return if run.number == number {
                state.done()
            } else {
                state.rejected("old")
            };
        }
        if deadline <= now {
            return state.rejected("late");
        }
        let job = task.split('.').next().unwrap_or_default();
        let work = self
            .jobs
            .lock()
            .unwrap()
            .get(job)
            .cloned()
            .unwrap_or_default();
        let run = Run {
            number,
            cpu: work.cpu,
            began: now,
            ends: now + work.millis,
        };
        state.running.insert(task.clone(), run);
        let used: u64 = state.running.values().map(|run| run.cpu).sum();
        self.record.add(&format!(
            "worker-{} starts {task} run={number} kind={} needs={} cpu={} used={used}",
            self.index, state.label, work.label, work.cpu
        ));
        state.done()
    }

    fn on_stop(&self, order: &Json) -> Reply {
        let task = order.field("task").text().to_owned();
        let number = order.field("run").number().unwrap_or(0);
        let mut state = self.state.0.lock().unwrap();
        if !state.accept_fence(order) {
            return state.rejected("fence");
        }
        let past = state.past.entry(task.clone()).or_default();
        *past = number.max(*past);
        if state
            .running
            .get(&task)
            .is_some_and(|run| run.number <= number)
        {
            self.end(&mut state, &task, "stopped");
        }
        state.done()
    }

    fn on_hold(&self, order: &Json) -> Reply {
        let wait = Duration::from_millis(order.field("wait_ms").number().unwrap_or(0).min(2_000));
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        if !state.accept_fence(order) {
            return state.rejected("fence");
        }
        if let Some(deadline) = order.field("deadline_ms").number() {
            let now = state.clock();
            state.extend(deadline, now);
        }
        let seen = order.field("last_seen").number().unwrap_or(0);
        state.ended.retain(|end| end.number > seen);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if !state.ended.is_empty() || left.is_zero() {
                break;
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
        let now = state.clock();
        let running = state.running.iter().map(|(task, run)| {
            let percent = (now - run.began) * 100 / (run.ends - run.began).max(1);
            let entry = [
                text(task),
                number(run.number),
                text(""),
                number(percent.min(99)),
            ];
            Json::List(entry.to_vec())
        });
        let running = Json::List(running.collect());
        let ended = state.ended.iter().take(500).map(|end| {
            let entry = [
                number(end.number),
                text(&end.task),
                number(end.run),
                text(end.how),
                text(""),
            ];
            Json::List(entry.to_vec())
        });
        let answer = object([
            ("clock_ms", number(now)),
            ("born", number(state.born)),
            ("running", running),
            ("ended", Json::List(ended.collect())),
        ]);
        (200, answer.to_string())
    }

    fn end_runs(&self) {
        let mut state = self.state.0.lock().unwrap();
        let now = state.clock();
        let has_lapsed = now > state.lease;
        let runs = state.running.iter();
        let ended: Vec<(String, &'static str)> = runs
            .filter(|(_, run)| has_lapsed || now >= run.ends)
            .map(|(task, run)| {
                (
                    task.clone(),
                    if now >= run.ends { "done" } else { "lapsed" },
                )
            })
            .collect();
        for (task, how) in ended {
            self.end(&mut state, &task, how);
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        state.last_end += 1;
        let past = state.past.entry(task.to_owned()).or_default();
        *past = run.number.max(*past);
        let end = Ended {
            number: state.last_end,
            task: task.to_owned(),
            run: run.number,
            how,
        };
        state.ended.push(end);
        self.record.add(&format!(
            "worker-{} ends {task} run={} {how}",
            self.index, run.number
        ));
        self.state.1.notify_all();
    }
}

impl State {
    fn clock(&self) -> u64 {
        self.began
            .map_or(0, |began| began.elapsed().as_millis() as u64)
    }

    fn rejected(&self, reason: &str) -> Reply {
        let answer = object([("clock_ms", number(self.clock())), ("reason", text(reason))]);
        (409, answer.to_string())
    }

    fn done(&self) -> Reply {
        (
            200,
            object([("clock_ms", number(self.clock()))]).to_string(),
        )
    }

    fn accept_fence(&mut self, order: &Json) -> bool {
        let fence = order.field("fence_token").number().unwrap_or(0);
        let is_accepted = fence >= self.fence;
        self.fence = self.fence.max(fence);
        is_accepted
    }

    fn extend(&mut self, deadline: u64, now: u64) {
        self.lease = self.lease.max(deadline.min(now + HOLD_MAX));
    }
}

fn unix_millis() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.unwrap_or_default().as_millis() as u64
}
