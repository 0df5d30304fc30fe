//! Stand-ins of the platform's store and of workers, written from the users' pages.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::json::{self, number, object, text, Json};
use crate::{name, Record};

/// The store: rows in tables, with an empty part.
pub struct Store {
    state: Mutex<Rows>,
    changed: Condvar,
    began: Instant,
}

#[derive(Default)]
struct Rows {
    /// Value and version by table and key.
    rows: BTreeMap<(String, String), (String, u64)>,
    /// What was changed: version, table and key.
    history: Vec<(u64, String, String)>,
    version: u64,
}

impl Store {
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            began: Instant::now(),
        });
        let served = Arc::clone(&store);
        http::serve(address, move |request| served.answer(request));
        store
    }

    /// Writes a row as the operator; returns once it is acknowledged.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state.put(table, key, json::base64(value.write().as_bytes()), version);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> Answer {
        let path = request.path.split('?').next().unwrap_or_default();
        if path == name("read") {
            self.read(request)
        } else if path == name("feed") {
            self.feed(request)
        } else if path == name("transaction") {
            self.transact(request)
        } else {
            (404, String::new())
        }
    }

    fn now(&self) -> Json {
        number(self.began.elapsed().as_millis() as u64)
    }

    fn read(&self, request: &Request) -> Answer {
        let table = request.parameter("table").unwrap_or_default();
        let from = request.parameter("from").unwrap_or_default();
        let limit = request
            .parameter("limit")
            .and_then(|limit| limit.parse().ok());
        let limit: usize = limit.unwrap_or(500).min(500);
        let state = self.state.lock().unwrap();
        let rows = state.rows.iter();
        let mut rows = rows.filter(|((of, key), _)| *of == table && *key >= from);
        let mut found = Vec::new();
        for ((_, key), (value, version)) in rows.by_ref().take(limit) {
            found.push(row(&table, key, Some((value, *version))));
        }
        let has_more = rows.next().is_some();
        let answer = object(vec![
            ("rows", Json::List(found)),
            ("more", Json::Bool(has_more)),
            ("ver", number(state.version)),
            ("now_ms", self.now()),
        ]);
        (200, answer.write())
    }

    fn feed(&self, request: &Request) -> Answer {
        let table = request.parameter("table").unwrap_or_default();
        let after = request
            .parameter("after")
            .and_then(|after| after.parse().ok());
        let after: u64 = after.unwrap_or(0);
        let wait = request
            .parameter("wait_ms")
            .and_then(|wait| wait.parse().ok());
        let until = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        loop {
            let history = state.history.iter();
            let changed = history.filter(|(version, of, _)| *version > after && *of == table);
            let keys: Vec<String> = changed.map(|(_, _, key)| key.clone()).collect();
            let now = Instant::now();
            if !keys.is_empty() || now >= until {
                let rows = keys.iter().map(|key| {
                    let value = state.rows.get(&(table.clone(), key.clone()));
                    row(&table, key, value.map(|(value, version)| (value, *version)))
                });
                let answer = object(vec![
                    ("rows", Json::List(rows.collect())),
                    ("ver", number(state.version)),
                    ("now_ms", self.now()),
                ]);
                return (200, answer.write());
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn transact(&self, request: &Request) -> Answer {
        let Some(body) = json::parse(&request.body) else {
            return (400, String::new());
        };
        let mut state = self.state.lock().unwrap();
        let key_of = |row: &Json| {
            (
                row.get("table").text().to_owned(),
                row.get(name("key")).text().to_owned(),
            )
        };
        let is_expected = |row: &Json| {
            let current = state
                .rows
                .get(&key_of(row))
                .map_or(0, |(_, version)| *version);
            row.get("ver").number() == Some(current)
        };
        if !body.get(name("expected")).items().iter().all(is_expected) {
            let answer = object(vec![
                ("rows", Json::List(Vec::new())),
                ("ver", number(state.version)),
                ("now_ms", self.now()),
            ]);
            return (412, answer.write());
        }
        state.version += 1;
        let version = state.version;
        for row in body.get("put").items() {
            let (table, key) = key_of(row);
            state.put(&table, &key, row.get("value").text().to_owned(), version);
        }
        for row in body.get("remove").items() {
            let (table, key) = key_of(row);
            state.rows.remove(&(table.clone(), key.clone()));
            state.history.push((version, table, key));
        }
        self.changed.notify_all();
        let answer = object(vec![("ver", number(version)), ("now_ms", self.now())]);
        (200, answer.write())
    }
}

impl Rows {
    fn put(&mut self, table: &str, key: &str, value: String, version: u64) {
        let place = (table.to_owned(), key.to_owned());
        self.rows.insert(place, (value, version));
        self.history
            .push((version, table.to_owned(), key.to_owned()));
    }
}

fn row(table: &str, key: &str, value: Option<(&String, u64)>) -> Json {
    let mut fields = vec![
        ("table", text(table)),
        ("part", text("")),
        (name("key"), text(key)),
    ];
    match value {
        Some((value, version)) => fields.extend([("value", text(value)), ("ver", number(version))]),
        None => fields.push(("gone", Json::Bool(true))),
    }
    object(fields)
}

/// Longest lease that a worker grants, in milliseconds (`hold_max_ms` of the small deployments).
const MAX_LEASE: u64 = 1_000;
/// Interval of heartbeats, in milliseconds.
pub const HEARTBEAT: u64 = 1_500;
/// Most ends in one answer.
const MAX_ENDS: usize = 500;

/// A worker. What a task needs and how long it takes stands in its input: `cpu=1000 ms=300`.
pub struct Worker {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// The label of its kind.
    kind: String,
    pub address: SocketAddr,
    control: SocketAddr,
    born: u64,
    began: Instant,
    state: Mutex<State>,
    ended: Condvar,
    sequence: AtomicU64,
    pub is_gone: AtomicBool,
    record: Arc<Record>,
    /// Starts that brought it over its room.
    pub over: AtomicU64,
    /// Starts whose input asks for a worker of another kind.
    pub misplaced: AtomicU64,
    /// When each task of a job was started.
    pub starts: Mutex<Vec<(Instant, String)>>,
    server: Mutex<Option<http::Server>>,
}

struct State {
    cpu: u64,
    fence: u64,
    lease: u64,
    running: BTreeMap<String, Run>,
    ends: Vec<(u64, String, u64, &'static str)>,
    end_count: u64,
    /// By task: the highest run that was stopped or has ended.
    highest: BTreeMap<String, u64>,
}

struct Run {
    number: u64,
    cpu: u64,
    began: u64,
    length: u64,
}

impl Worker {
    /// The next worker at the same address, after this one has ended: of another kind, with a new id.
    pub fn succeed(&self, id: &str, kind: &str, cpu: u64) -> Arc<Self> {
        let names = (id, self.service.as_str(), self.zone.as_str(), kind);
        let addresses = (self.address, self.control);
        Self::start(names, cpu, addresses, Arc::clone(&self.record))
    }

    pub fn start(
        (id, service, zone, kind): (&str, &str, &str, &str),
        cpu: u64,
        (address, control): (SocketAddr, SocketAddr),
        record: Arc<Record>,
    ) -> Arc<Self> {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let worker = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            kind: kind.to_owned(),
            address,
            control,
            born: unix.map_or(0, |since| since.as_millis() as u64),
            began: Instant::now(),
            state: Mutex::new(State {
                cpu,
                fence: 0,
                lease: 0,
                running: BTreeMap::new(),
                ends: Vec::new(),
                end_count: 0,
                highest: BTreeMap::new(),
            }),
            ended: Condvar::new(),
            sequence: AtomicU64::new(0),
            is_gone: AtomicBool::new(false),
            record,
            over: AtomicU64::new(0),
            misplaced: AtomicU64::new(0),
            starts: Mutex::default(),
            server: Mutex::new(None),
        });
        let served = Arc::clone(&worker);
        let server = http::serve(address, move |request| served.answer(request));
        *worker.server.lock().unwrap() = Some(server);
        let ticking = Arc::clone(&worker);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(1));
            ticking.end_runs();
        });
        let beating = Arc::clone(&worker);
        thread::spawn(move || {
            while !beating.is_gone.load(Ordering::Relaxed) {
                let is_answered = beating.beat();
                thread::sleep(Duration::from_millis(if is_answered {
                    HEARTBEAT
                } else {
                    100
                }));
            }
        });
        worker
    }

    /// Ends its process.
    pub fn end_process(&self) {
        self.is_gone.store(true, Ordering::Relaxed);
        if let Some(server) = self.server.lock().unwrap().take() {
            server.stop();
        }
        self.record.add(&format!("worker {} has ended", self.id));
    }

    pub fn clock(&self) -> u64 {
        5_000 + self.began.elapsed().as_millis() as u64
    }

    pub fn sequence(&self) -> u64 {
        self.sequence.load(Ordering::Relaxed)
    }

    pub fn born(&self) -> u64 {
        self.born
    }

    fn beat(&self) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let cpu = self.state.lock().unwrap().cpu;
        let beat = object(vec![
            ("service", text(&self.service)),
            ("address", text(&self.address.to_string())),
            ("zone", text(&self.zone)),
            ("version", text("v1")),
            ("slots", number(8)),
            ("state", text("ready")),
            ("cold_left_ms", number(0)),
            ("capacity", capacity(cpu)),
            ("labels", Json::List(vec![text(&self.kind), text("r1-1")])),
            ("clock_ms", number(self.clock())),
            ("seq", number(sequence)),
            ("born", number(self.born)),
        ]);
        self.send_beat(&beat)
            .is_some_and(|(status, _)| status == 200)
    }

    /// Sends a heartbeat under the worker's id to the control address beside it.
    pub fn send_beat(&self, beat: &Json) -> Option<Answer> {
        let path = format!("{}{}", name("workers"), self.id);
        http::call(
            self.control,
            "PUT",
            &path,
            &[],
            &beat.write(),
            Duration::from_secs(1),
        )
    }

    fn end_runs(&self) {
        let clock = self.clock();
        let mut state = self.state.lock().unwrap();
        let has_lapsed = clock >= state.lease;
        let is_over = |run: &Run| has_lapsed || clock >= run.began + run.length;
        let over = state.running.iter().filter(|(_, run)| is_over(run));
        let over: Vec<String> = over.map(|(task, _)| task.clone()).collect();
        for task in &over {
            let how = if has_lapsed { "lapsed" } else { "done" };
            self.end(&mut state, task, how);
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        self.record.add(&format!(
            "worker {} {how} {task} run {}",
            self.id, run.number
        ));
        state.end_count += 1;
        let number = state.end_count;
        state.ends.push((number, task.to_owned(), run.number, how));
        let highest = state.highest.entry(task.to_owned()).or_default();
        *highest = run.number.max(*highest);
        self.ended.notify_all();
    }

    fn answer(&self, request: &Request) -> Answer {
        if request.header(name("instance")) != Some(self.id.as_str()) {
            return (421, String::new());
        }
        let Some(order) = json::parse(&request.body) else {
            return (400, String::new());
        };
        let token = order.get("fence_token").number().unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if token < state.fence {
            return self.reject("fence");
        }
        state.fence = token;
        let deadline = order.get("deadline_ms").number();
        if let Some(deadline) = deadline {
            state.lease = state.lease.max(deadline.min(self.clock() + MAX_LEASE));
        }
        if request.path == name("start") {
            self.start_run(&mut state, &order, deadline.unwrap_or(0))
        } else if request.path == name("stop") {
            let task = order.get("task").text();
            let run = order.get("run").number().unwrap_or(0);
            if state
                .running
                .get(task)
                .is_some_and(|running| running.number <= run)
            {
                self.end(&mut state, task, "stopped");
            }
            let highest = state.highest.entry(task.to_owned()).or_default();
            *highest = run.max(*highest);
            (200, self.clocked(Vec::new()))
        } else if request.path == name("hold") {
            drop(state);
            self.hold(&order)
        } else {
            (404, String::new())
        }
    }

    fn start_run(&self, state: &mut State, order: &Json, deadline: u64) -> Answer {
        let task = order.get("task").text().to_owned();
        let number = order.get("run").number().unwrap_or(0);
        if deadline <= self.clock() {
            return self.reject("late");
        }
        if let Some(running) = state.running.get(&task) {
            if running.number == number {
                return (200, self.clocked(Vec::new()));
            }
            return self.reject("old");
        }
        if state
            .highest
            .get(&task)
            .is_some_and(|highest| *highest >= number)
        {
            return self.reject("old");
        }
        let spec = order.get("spec").text();
        let cpu = parameter(spec, "cpu=");
        let taken: u64 = state.running.values().map(|run| run.cpu).sum();
        let mut note = String::new();
        if taken + cpu > state.cpu {
            self.over.fetch_add(1, Ordering::Relaxed);
            note = format!(" OVER ITS ROOM: {} of {}", taken + cpu, state.cpu);
        }
        let wanted = spec.split(' ').find_map(|word| word.strip_prefix("kind="));
        if wanted.is_some_and(|wanted| wanted != self.kind) {
            self.misplaced.fetch_add(1, Ordering::Relaxed);
            note.push_str(&format!(" ON ANOTHER KIND: {}", self.kind));
        }
        self.record.add(&format!(
            "worker {} starts {task} run {number}{note}",
            self.id
        ));
        self.starts
            .lock()
            .unwrap()
            .push((Instant::now(), task.clone()));
        let run = Run {
            number,
            cpu,
            began: self.clock(),
            length: parameter(spec, "ms="),
        };
        state.running.insert(task, run);
        (200, self.clocked(Vec::new()))
    }

    fn hold(&self, order: &Json) -> Answer {
        let seen = order.get("last_seen").number().unwrap_or(0);
        let wait = order.get("wait_ms").number().unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        state.ends.retain(|(number, ..)| *number > seen);
        while state.ends.is_empty() {
            let now = Instant::now();
            if now >= until {
                break;
            }
            state = self.ended.wait_timeout(state, until - now).unwrap().0;
        }
        let clock = self.clock();
        let running = state.running.iter().map(|(task, run)| {
            let percent = ((clock - run.began) * 100 / run.length.max(1)).min(99);
            Json::List(vec![
                text(task),
                number(run.number),
                text(""),
                number(percent),
                number(run.cpu),
            ])
        });
        let running = Json::List(running.collect());
        let ends = state
            .ends
            .iter()
            .take(MAX_ENDS)
            .map(|(count, task, run, how)| {
                Json::List(vec![
                    number(*count),
                    text(task),
                    number(*run),
                    text(how),
                    text(""),
                ])
            });
        let ends = Json::List(ends.collect());
        drop(state);
        (
            200,
            self.clocked(vec![("running", running), ("ended", ends)]),
        )
    }

    fn clocked(&self, fields: Vec<(&str, Json)>) -> String {
        let mut all = vec![
            ("clock_ms", number(self.clock())),
            ("born", number(self.born)),
        ];
        all.extend(fields);
        object(all).write()
    }

    fn reject(&self, reason: &str) -> Answer {
        (409, self.clocked(vec![("reason", text(reason))]))
    }
}

/// Room of a worker.
pub fn capacity(cpu: u64) -> Json {
    object(vec![
        ("cpu", number(cpu)),
        ("mem_mb", number(65_536)),
        ("gpu", number(0)),
    ])
}

fn parameter(spec: &str, name: &str) -> u64 {
    let word = spec.split(' ').find_map(|word| word.strip_prefix(name));
    word.and_then(|value| value.parse().ok()).unwrap_or(0)
}
