//! A worker: runs tasks under a lease, keeps a list of ended runs, and sends heartbeats.
//!
//! A task works for the time that its job's `spec` names as `ms=N`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, Connection, Request, serve};
use crate::json::{Json, object};
use crate::record::Record;

/// Longest lease, from the call that carries it.
const HOLD_MAX_MILLIS: u64 = 1_000;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const MAX_WAIT_MILLIS: u64 = 2_000;
const MAX_LISTED_ENDS: usize = 500;
const EXPECTED_ID: &str = concat!("Expect", "-Instance");

struct Run {
    number: u64,
    started: u64,
    ends: u64,
}

struct State {
    running: BTreeMap<String, Run>,
    /// Number, task, run, how.
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// By task, the highest run that was stopped or has ended.
    over: BTreeMap<String, u64>,
    fence: u64,
    /// End of the lease, by the worker's clock.
    lease: u64,
}

pub struct Worker {
    pub name: String,
    id: String,
    address: SocketAddr,
    cores: u64,
    state: Mutex<State>,
    news: Condvar,
    began: Instant,
    record: Arc<Record>,
}

impl Worker {
    pub fn start(
        name: &str,
        cores: u64,
        address: SocketAddr,
        control: SocketAddr,
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let worker = Arc::new(Self {
            name: name.to_owned(),
            id: format!("i-{name}"),
            address,
            cores,
            state: Mutex::new(State {
                running: BTreeMap::new(),
                ended: Vec::new(),
                last_end: 0,
                over: BTreeMap::new(),
                fence: 0,
                lease: 0,
            }),
            news: Condvar::new(),
            began: Instant::now(),
            record: Arc::clone(record),
        });
        let served = Arc::clone(&worker);
        serve(address, Arc::new(move |request| served.answer(&request)))?;
        let beating = Arc::clone(&worker);
        thread::spawn(move || beating.send_heartbeats(control));
        let settling = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                settling.settle(&mut settling.state.lock().expect("state"));
                thread::sleep(Duration::from_millis(2));
            }
        });
        Ok(worker)
    }

    fn clock(&self) -> u64 {
        5_000 + u64::try_from(self.began.elapsed().as_millis()).unwrap_or(0)
    }

    fn send_heartbeats(&self, control: SocketAddr) {
        let mut sequence = 0;
        let path = format!("/laurelstile/workers/{}", self.id);
        loop {
            sequence += 1;
            let body = object(vec![
                ("service", Json::text("bornage")),
                ("address", Json::text(&self.address.to_string())),
                ("zone", Json::text("rennes")),
                ("version", Json::text("v1")),
                ("slots", Json::int(8)),
                ("state", Json::text("ready")),
                ("cold_left_ms", Json::int(0)),
                (
                    "capacity",
                    object(vec![
                        ("cpu", Json::int(self.cores * 1_000)),
                        ("mem_mb", Json::int(65_536)),
                        ("gpu", Json::int(0)),
                    ]),
                ),
                (
                    "labels",
                    Json::List(vec![Json::text("a"), Json::text("r1-1")]),
                ),
                ("clock_ms", Json::int(self.clock())),
                ("seq", Json::int(sequence)),
            ]);
            let call = || -> std::io::Result<Answer> {
                let mut connection = Connection::open(control)?;
                let timeout = Duration::from_secs(1);
                connection.call(
                    "PUT",
                    &path,
                    &[("Host", "control")],
                    &body.to_string(),
                    timeout,
                )
            };
            let is_acknowledged = call().is_ok_and(|(status, _)| (200..300).contains(&status));
            thread::sleep(if is_acknowledged {
                HEARTBEAT
            } else {
                Duration::from_millis(200)
            });
        }
    }

    /// Ends the runs that are done or whose lease is over.
    fn settle(&self, state: &mut State) {
        let clock = self.clock();
        let lease = state.lease;
        let due = state.running.iter().filter_map(|(task, run)| {
            if run.ends <= clock && run.ends <= lease {
                Some((run.ends, task.clone(), "done"))
            } else if lease < clock {
                Some((lease, task.clone(), "lapsed"))
            } else {
                None
            }
        });
        let mut due: Vec<_> = due.collect();
        due.sort();
        for (_, task, how) in due {
            self.end(state, &task, how);
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        state.last_end += 1;
        let number = state.last_end;
        state.ended.push((number, task.to_owned(), run.number, how));
        let over = state.over.entry(task.to_owned()).or_default();
        *over = run.number.max(*over);
        self.record.ended(&self.name, task, run.number, how);
        self.news.notify_all();
    }

    fn answer(&self, request: &Request) -> Answer {
        if request.header(EXPECTED_ID).is_some_and(|id| id != self.id) {
            return (421, String::new());
        }
        let Some(order) = Json::parse(&request.body) else {
            return (400, String::new());
        };
        let mut state = self.state.lock().expect("state");
        self.settle(&mut state);
        let fence = order.u64("fence_token").unwrap_or(0);
        if fence < state.fence {
            return self.rejection("fence");
        }
        state.fence = fence;
        match request.path.strip_prefix("/laurelstile/") {
            Some(concat!("run", "-start")) => self.start_run(&mut state, &order),
            Some(concat!("run", "-stop")) => self.stop_run(&mut state, &order),
            Some("hold") => {
                drop(state);
                self.hold(&order)
            }
            _ => (404, String::new()),
        }
    }

    fn rejection(&self, reason: &str) -> Answer {
        let fields = vec![
            ("clock_ms", Json::int(self.clock())),
            ("reason", Json::text(reason)),
        ];
        (409, object(fields).to_string())
    }

    fn done(&self) -> Answer {
        let fields = vec![("clock_ms", Json::int(self.clock()))];
        (200, object(fields).to_string())
    }

    fn extend_lease(&self, state: &mut State, order: &Json) {
        if let Some(until) = order.u64("deadline_ms") {
            let until = until.min(self.clock() + HOLD_MAX_MILLIS);
            state.lease = state.lease.max(until);
        }
    }

    fn start_run(&self, state: &mut State, order: &Json) -> Answer {
        let (Some(number), Some(until)) = (order.u64("run"), order.u64("deadline_ms")) else {
            return (400, String::new());
        };
        let task = order.str("task").to_owned();
        self.extend_lease(state, order);
        if let Some(run) = state.running.get(&task) {
            return if run.number == number {
                self.done()
            } else {
                self.rejection("old")
            };
        }
        if state.over.get(&task).is_some_and(|over| number <= *over) {
            return self.rejection("old");
        }
        if until <= self.clock() {
            return self.rejection("late");
        }
        let spec = order.str("spec");
        let millis = spec.strip_prefix("ms=").and_then(|ms| ms.parse().ok());
        let started = self.clock();
        let run = Run {
            number,
            started,
            ends: started + millis.unwrap_or(100),
        };
        state.running.insert(task.clone(), run);
        self.record.started(&self.name, &task, number);
        self.done()
    }

    fn stop_run(&self, state: &mut State, order: &Json) -> Answer {
        let task = order.str("task").to_owned();
        let number = order.u64("run").unwrap_or(0);
        if state
            .running
            .get(&task)
            .is_some_and(|run| run.number == number)
        {
            self.end(state, &task, "stopped");
        }
        let over = state.over.entry(task).or_default();
        *over = number.max(*over);
        self.done()
    }

    fn hold(&self, order: &Json) -> Answer {
        let seen = order.u64("last_seen").unwrap_or(0);
        let wait = order.u64("wait_ms").unwrap_or(0).min(MAX_WAIT_MILLIS);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().expect("state");
        state.ended.retain(|(number, ..)| *number > seen);
        self.extend_lease(&mut state, order);
        loop {
            self.settle(&mut state);
            let left = until.saturating_duration_since(Instant::now());
            if !state.ended.is_empty() || left.is_zero() {
                break;
            }
            state = self.news.wait_timeout(state, left).expect("state").0;
        }
        let clock = self.clock();
        let running = state.running.iter().map(|(task, run)| {
            let length = (run.ends - run.started).max(1);
            let percent = (clock - run.started).min(length) * 100 / length;
            Json::List(vec![
                Json::text(task),
                Json::int(run.number),
                Json::text(""),
                Json::int(percent),
            ])
        });
        let ended = state.ended.iter().take(MAX_LISTED_ENDS);
        let ended = ended.map(|(number, task, run, how)| {
            Json::List(vec![
                Json::int(*number),
                Json::text(task),
                Json::int(*run),
                Json::text(how),
                Json::text(""),
            ])
        });
        let fields = vec![
            ("clock_ms", Json::int(clock)),
            ("running", Json::List(running.collect())),
            ("ended", Json::List(ended.collect())),
        ];
        (200, object(fields).to_string())
    }
}
