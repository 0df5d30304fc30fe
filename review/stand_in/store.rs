//! The platform's store: rows in tables, with versions, transactions, reads and feeds.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, Request, serve};
use crate::json::{Json, object};

const PREFIX: &str = "/laurelstile/rows";
const KEY: &str = concat!("tls", "_key");

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    /// Value and version; a row without a value has been removed.
    rows: BTreeMap<Key, (Option<String>, u64)>,
    version: u64,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    began: Instant,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Arc<Self>> {
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            began: Instant::now(),
        });
        let served = Arc::clone(&store);
        serve(address, Arc::new(move |request| served.answer(&request)))?;
        Ok(store)
    }

    /// The operator writes a row of its table.
    pub fn put_operator_row(&self, key: &str, value: &str) {
        let key = ("op".to_owned(), String::new(), key.to_owned());
        let mut rows = self.rows.lock().expect("rows");
        rows.version += 1;
        let version = rows.version;
        rows.rows
            .insert(key, (Some(base64(value.as_bytes())), version));
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> Answer {
        // What a transaction takes.
        std::thread::sleep(Duration::from_millis(4));
        match (request.method.as_str(), request.path.strip_prefix(PREFIX)) {
            ("GET", Some("-get")) => self.read(request),
            ("GET", Some("-feed")) => self.feed(request),
            ("POST", Some("-tx")) => self.transact(&request.body),
            _ => (404, String::new()),
        }
    }

    fn rows_answer(&self, rows: Vec<Json>, more: bool, version: u64) -> Answer {
        let now = u64::try_from(self.began.elapsed().as_millis()).unwrap_or(0);
        let answer = object(vec![
            ("rows", Json::List(rows)),
            ("more", Json::Bool(more)),
            ("ver", Json::int(version)),
            ("now_ms", Json::int(1_000 + now)),
        ]);
        (200, answer.to_string())
    }

    fn read(&self, request: &Request) -> Answer {
        let value = |name| request.query_value(name).unwrap_or_default();
        let (table, part, from) = (value("table"), value("part"), value("from"));
        let limit = value("limit").parse().unwrap_or(500);
        let rows = self.rows.lock().expect("rows");
        let known = rows.rows.iter().filter(|((t, p, key), (value, _))| {
            t == table && p == part && key.as_str() >= from && value.is_some()
        });
        let mut known: Vec<Json> = known.map(row).collect();
        let more = known.len() > limit;
        known.truncate(limit);
        self.rows_answer(known, more, rows.version)
    }

    fn feed(&self, request: &Request) -> Answer {
        let value = |name| request.query_value(name).unwrap_or_default();
        let table = value("table");
        let after: u64 = value("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(value("wait_ms").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let mut rows = self.rows.lock().expect("rows");
        loop {
            let mut changed: Vec<_> = rows
                .rows
                .iter()
                .filter(|((t, ..), (_, version))| t == table && *version > after)
                .collect();
            changed.sort_by_key(|(_, (_, version))| *version);
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let changed = changed.into_iter().map(row).collect();
                return self.rows_answer(changed, false, rows.version);
            }
            rows = self.changed.wait_timeout(rows, left).expect("rows").0;
        }
    }

    fn transact(&self, body: &str) -> Answer {
        let Some(body) = Json::parse(body) else {
            return (400, String::new());
        };
        let mut rows = self.rows.lock().expect("rows");
        let expected = body.list("expected_rev");
        let is_met = expected.iter().all(|wanted| {
            let known = rows.rows.get(&key_of(wanted));
            let version = known.filter(|(value, _)| value.is_some());
            wanted.u64("ver") == Some(version.map_or(0, |(_, version)| *version))
        });
        if !is_met {
            let present = expected.iter().filter_map(|wanted| {
                let found = rows.rows.get_key_value(&key_of(wanted));
                found.filter(|(_, (value, _))| value.is_some()).map(row)
            });
            let (_, answer) = self.rows_answer(present.collect(), false, rows.version);
            return (412, answer);
        }
        rows.version += 1;
        let version = rows.version;
        for put in body.list("put") {
            let value = put.str("value").to_owned();
            rows.rows.insert(key_of(put), (Some(value), version));
        }
        for removed in body.list("remove") {
            rows.rows.insert(key_of(removed), (None, version));
        }
        self.changed.notify_all();
        self.rows_answer(Vec::new(), false, version)
    }
}

fn key_of(row: &Json) -> Key {
    let part = |name| row.str(name).to_owned();
    (part("table"), part("part"), part(KEY))
}

fn row(entry: (&Key, &(Option<String>, u64))) -> Json {
    let ((table, part, key), (value, version)) = entry;
    let mut fields = vec![
        ("table", Json::text(table)),
        ("part", Json::text(part)),
        (KEY, Json::text(key)),
        ("ver", Json::int(*version)),
    ];
    match value {
        Some(value) => fields.push(("value", Json::text(value))),
        None => fields.push(("gone", Json::Bool(true))),
    }
    object(fields)
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0_u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index <= group.len() {
                let letter = LETTERS[(bits >> (18 - 6 * index) & 63) as usize];
                text.push(char::from(letter));
            } else {
                text.push('=');
            }
        }
    }
    text
}
