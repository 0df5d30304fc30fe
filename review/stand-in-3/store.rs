//! The platform's store: tables of rows with versions, transactions, and a feed. Linearizable, as all
//! calls take one lock.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request};
use crate::json::{Json, number, object, text};
use crate::names::name;
use crate::record::Record;

/// Time that a transaction takes, and a read.
const TX: Duration = Duration::from_millis(5);
const READ: Duration = Duration::from_millis(4);

/// Table, part and key.
type Name = (String, String, String);

#[derive(Default)]
struct State {
    /// Version of the last change, and the value unless the row was removed.
    rows: BTreeMap<Name, (u64, Option<String>)>,
    version: u64,
    is_down: bool,
}

#[derive(Clone)]
pub struct Store {
    began: Instant,
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn start(address: SocketAddr, record: &Record) -> Self {
        let store = Self {
            began: Instant::now(),
            state: Arc::default(),
            record: record.clone(),
        };
        let served = store.clone();
        http::serve(address, move |request| served.answer(&request));
        store
    }

    /// The operator writes a row under an empty part of the table `op`.
    pub fn operate(&self, key: &str, value: &str) {
        let name = ("op".to_owned(), String::new(), key.to_owned());
        self.put(name, Some(base64(value.as_bytes())));
    }

    /// While the store is down it does nothing, and answers nothing. What still waits when it is back is
    /// turned away.
    pub fn set_down(&self, is_down: bool) {
        self.record.add(&format!("store down={is_down}"));
        self.state.0.lock().unwrap().is_down = is_down;
        self.state.1.notify_all();
    }

    /// Returns whether the store was down.
    fn wait_until_up(&self) -> bool {
        let mut state = self.state.0.lock().unwrap();
        let was_down = state.is_down;
        while state.is_down {
            state = self.state.1.wait(state).unwrap();
        }
        was_down
    }

    fn put(&self, name: Name, value: Option<String>) {
        let mut state = self.state.0.lock().unwrap();
        state.put(name, value);
        self.state.1.notify_all();
    }

    fn answer(&self, request: &Request) -> Reply {
        if self.wait_until_up() {
            return (503, String::new());
        }
        let path = request.path.strip_prefix("/laurelstile/").unwrap_or("");
        if path == name("tx") {
            std::thread::sleep(TX);
            return self.transact(&request.body);
        }
        if path == name("get") {
            std::thread::sleep(READ);
            return self.get(request);
        }
        if path == name("feed") {
            return self.feed(request);
        }
        (404, String::new())
    }

    fn transact(&self, body: &str) -> Reply {
        let Some(body) = Json::parse(body) else {
            return (400, String::new());
        };
        if self.wait_until_up() {
            return (503, String::new());
        }
        let mut state = self.state.0.lock().unwrap();
        let expected = body.field("expected_rev").list();
        let is_as_expected = expected.iter().all(|row| {
            let known = state.rows.get(&name_of(row));
            let version = known.filter(|(_, value)| value.is_some());
            version.map_or(0, |(version, _)| *version) == row.field("ver").number().unwrap_or(0)
        });
        if !is_as_expected {
            let current = expected.iter().filter_map(|row| {
                let name = name_of(row);
                state.rows.get(&name).map(|row| to_json(&name, row))
            });
            let rows = Json::List(current.collect());
            let answer = object([
                ("rows", rows),
                ("ver", number(state.version)),
                ("now_ms", self.now()),
            ]);
            return (412, answer.to_string());
        }
        state.version += 1;
        for row in body.field("put").list() {
            let value = row.field("value").text().to_owned();
            if row.field("table").text() == "workers" {
                let key = row.field(name("key")).text();
                self.record.add(&format!("store takes the record {key}"));
            }
            let version = state.version;
            state.rows.insert(name_of(row), (version, Some(value)));
        }
        for row in body.field("remove").list() {
            let version = state.version;
            state.rows.insert(name_of(row), (version, None));
        }
        self.state.1.notify_all();
        let answer = object([("ver", number(state.version)), ("now_ms", self.now())]);
        (200, answer.to_string())
    }

    fn get(&self, request: &Request) -> Reply {
        let state = self.state.0.lock().unwrap();
        let field = |name: &str| request.query.get(name).map_or("", String::as_str);
        let limit = field("limit").parse().unwrap_or(500).min(500);
        let (from, until) = (field("from"), field("target_version"));
        let mut rows = state
            .rows
            .iter()
            .filter(|((table, part, key), (_, value))| {
                let is_in_range = &key[..] >= from && (until.is_empty() || &key[..] < until);
                table == field("table") && part == field("part") && is_in_range && value.is_some()
            });
        let listed: Vec<Json> = rows
            .by_ref()
            .take(limit)
            .map(|(name, row)| to_json(name, row))
            .collect();
        let answer = object([
            ("rows", Json::List(listed)),
            ("more", Json::Bool(rows.next().is_some())),
            ("ver", number(state.version)),
            ("now_ms", self.now()),
        ]);
        (200, answer.to_string())
    }

    fn feed(&self, request: &Request) -> Reply {
        let field = |name: &str| request.query.get(name).map_or("", String::as_str);
        let after: u64 = field("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(field("wait_ms").parse().unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            if state.is_down {
                drop(state);
                self.wait_until_up();
                return (503, String::new());
            }
            let changed = state.rows.iter();
            let mut changed: Vec<_> = changed
                .filter(|((table, ..), (version, _))| table == field("table") && *version > after)
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                changed.sort_by_key(|(_, (version, _))| *version);
                let rows = changed.into_iter().map(|(name, row)| to_json(name, row));
                let answer = object([
                    ("rows", Json::List(rows.collect())),
                    ("ver", number(state.version)),
                    ("now_ms", self.now()),
                ]);
                return (200, answer.to_string());
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn now(&self) -> Json {
        number(self.began.elapsed().as_millis() as u64)
    }
}

impl State {
    fn put(&mut self, name: Name, value: Option<String>) {
        self.version += 1;
        self.rows.insert(name, (self.version, value));
    }
}

fn name_of(row: &Json) -> Name {
    let field = |name: &str| row.field(name).text().to_owned();
    (field("table"), field("part"), field(name("key")))
}

fn to_json((table, part, key): &Name, (version, value): &(u64, Option<String>)) -> Json {
    let mut row = object([
        ("table", text(table)),
        ("part", text(part)),
        (name("key"), text(key)),
        ("ver", number(*version)),
    ]);
    if let Json::Object(fields) = &mut row {
        match value {
            Some(value) => fields.insert("value".to_owned(), text(value)),
            None => fields.insert("gone".to_owned(), Json::Bool(true)),
        };
    }
    row
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = 0;
        for index in 0..3 {
            word = word << 8 | u32::from(*chunk.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(char::from(DIGITS[(word >> (18 - 6 * index) & 63) as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
