//! A small deployment on loopback addresses: the project's own processes, started as the deploy file
//! says, with settings from its templates, beside stand-ins of the store and of workers.

use std::fs;
use std::io::Read;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{number, object, text, Json};
use crate::platform::{Store, Worker};
use crate::relay::Relay;
use crate::{name, Record};

const FRONT: u16 = 8161;
const APP: u16 = 8165;
const CONTROL: u16 = 8166;
const READY: u16 = 8167;
const STORE: u16 = 8169;
const SESSIONS: u16 = 7720;
const METRICS: u16 = 9464;
const ZONES: [&str; 3] = ["rennes", "vannes", "brest"];
/// Longest time until all gateways call themselves ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

pub const SERVICE: &str = "bornage";

/// A process of the project.
pub struct Node {
    pub name: String,
    ip: Ipv4Addr,
    root: PathBuf,
    settings: PathBuf,
    child: Child,
}

impl Node {
    pub fn front(&self) -> SocketAddr {
        (self.ip, FRONT).into()
    }

    /// Starts the process again, with the same settings.
    pub fn start_again(&mut self) -> Result<(), String> {
        self.child = spawn(&self.root, &self.settings)?;
        Ok(())
    }

    /// Kills the process; it does not come back.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Cell {
    pub store: Arc<Store>,
    pub gateways: Vec<Node>,
    pub agents: Vec<Node>,
    pub workers: Vec<Arc<Worker>>,
    pub record: Arc<Record>,
    /// Before the gateways' session addresses, in their order.
    pub relays: Vec<Arc<Relay>>,
    folder: PathBuf,
}

impl Drop for Cell {
    fn drop(&mut self) {
        for node in self.gateways.iter_mut().chain(&mut self.agents) {
            node.kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A route of the operator's configuration.
pub fn route(name: &str, prefix: &str, priority: u64) -> Json {
    object(vec![
        ("name", text(name)),
        ("host", text("nony24.example")),
        ("path_prefix", text(prefix)),
        ("kind", text("unsafe")),
        ("timeout_ms", number(1_500)),
        ("slo_ms", number(60)),
        ("priority", number(priority)),
        ("service", text(SERVICE)),
        ("max_attempts", number(3)),
        ("stretch", Json::Number(1.6)),
    ])
}

pub fn configuration(version: u64, routes: Vec<Json>) -> Json {
    let service = object(vec![
        ("name", text(SERVICE)),
        ("health_path", text("/health")),
        ("max_conns", number(64)),
        ("protocol", text("h1")),
        ("tls", Json::Bool(false)),
        ("rejects_overload", Json::Bool(false)),
        ("headroom", Json::Bool(false)),
    ]);
    let limits = object(vec![
        ("max_header_bytes", number(16_384)),
        ("max_body_bytes", number(262_144)),
        ("header_timeout_ms", number(3_000)),
        ("idle_timeout_ms", number(15_000)),
    ]);
    object(vec![
        ("version", number(version)),
        ("routes", Json::List(routes)),
        ("services", Json::List(vec![service])),
        ("limits", limits),
    ])
}

/// A job of one step, whose caller waits for its end.
pub fn job(count: u64, cpu: u64, millis: u64) -> String {
    let step = object(vec![
        ("count", number(count)),
        ("cpu", number(cpu)),
        ("mem_mb", number(64)),
        ("estimate_ms", number(millis)),
    ]);
    let job = object(vec![
        ("spec", text(&format!("cpu={cpu} ms={millis}"))),
        ("steps", Json::List(vec![step])),
        (name("loose"), Json::Bool(true)),
    ]);
    job.write()
}

/// A job whose steps, of one task each, run one after the other.
pub fn chain(steps: u64, cpu: u64, millis: u64) -> String {
    let steps = (0..steps).map(|index| {
        let mut step = vec![
            ("count", number(1)),
            ("cpu", number(cpu)),
            ("mem_mb", number(64)),
            ("estimate_ms", number(millis)),
        ];
        if index > 0 {
            step.push(("after", Json::List(vec![number(index - 1)])));
        }
        object(step)
    });
    let job = object(vec![
        ("spec", text(&format!("cpu={cpu} ms={millis}"))),
        ("steps", Json::List(steps.collect())),
        (name("loose"), Json::Bool(true)),
    ]);
    job.write()
}

/// A job of one task, which asks for a worker of a kind.
pub fn job_for(kind: &str, cpu: u64, millis: u64) -> String {
    let step = object(vec![
        ("count", number(1)),
        ("cpu", number(cpu)),
        ("mem_mb", number(64)),
        ("estimate_ms", number(millis)),
        ("requirements", text(kind)),
    ]);
    let job = object(vec![
        ("spec", text(&format!("cpu={cpu} ms={millis} kind={kind}"))),
        ("steps", Json::List(vec![step])),
        (name("loose"), Json::Bool(true)),
    ]);
    job.write()
}

/// A new id of a job.
pub fn job_id() -> String {
    let mut bytes = [0; 8];
    let random = fs::File::open("/dev/urandom").and_then(|mut file| file.read_exact(&mut bytes));
    random.expect("random bytes");
    format!("{:016x}", u64::from_le_bytes(bytes))
}

/// Makes a client's call; status 0 means that it got no answer.
pub fn client(
    record: &Record,
    node: (&str, SocketAddr),
    method: &str,
    path: &str,
    body: &str,
    wait: u64,
) -> u16 {
    let headers = [
        ("Host", "nony24.example".to_owned()),
        ("Deadline-Ms", wait.to_string()),
    ];
    let timeout = Duration::from_millis(wait);
    let answer = http::call(node.1, method, path, &headers, body, timeout);
    let (status, text) = answer.unwrap_or((0, String::new()));
    record.add(&format!(
        "client {method} {path} at {}: {status} {text}",
        node.0
    ));
    status
}

impl Cell {
    /// Starts a cell of three gateways and of agents with a worker each, and waits until it is ready.
    pub fn start(
        root: &Path,
        record: Record,
        agents: usize,
        cpu: u64,
        first: &Json,
    ) -> Result<Self, String> {
        let record = Arc::new(record);
        let network = free_network(agents + 7).ok_or("no free loopback addresses")?;
        let ip = |host: usize| Ipv4Addr::new(127, network[0], network[1], host as u8 + 1);
        let folder = std::env::temp_dir().join(format!("cell-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let store_at: SocketAddr = (ip(0), STORE).into();
        let store = Store::start(store_at);
        store.put("op", "config", first);
        // The relays' addresses; agents and gateways know no others of the gateways.
        let seeds: Vec<Ipv4Addr> = (0..3).map(|index| ip(agents + 4 + index)).collect();
        let mut cell = Self {
            store,
            gateways: Vec::new(),
            agents: Vec::new(),
            workers: Vec::new(),
            record,
            relays: Vec::new(),
            folder,
        };
        for index in 0..3 {
            let node = cell.start_node(root, "front", index, ip(index + 1), store_at, &seeds)?;
            cell.gateways.push(node);
            let target = (ip(index + 1), SESSIONS).into();
            let relay = Relay::start((seeds[index], SESSIONS).into(), target);
            cell.relays.push(relay);
        }
        for index in 0..agents {
            // The connections of the first agent are marked at the relays.
            thread::sleep(Duration::from_millis(if index < 2 { 1_500 } else { 0 }));
            cell.relays.iter().for_each(|relay| {
                relay.is_marking.store(index == 0, Ordering::SeqCst);
            });
            let at = ip(index + 4);
            let node = cell.start_node(root, "side", index, at, store_at, &seeds)?;
            cell.agents.push(node);
            let id = format!("i-{index}");
            let zone = ZONES[index % 3];
            let addresses = ((at, APP).into(), (at, CONTROL).into());
            let record = Arc::clone(&cell.record);
            // The first worker is the only one of its kind.
            let kind = if index == 0 { "a" } else { "b" };
            let worker = Worker::start((&id, SERVICE, zone, kind), cpu, addresses, record);
            cell.workers.push(worker);
        }
        cell.wait_until_ready()?;
        Ok(cell)
    }

    fn start_node(
        &self,
        root: &Path,
        class: &str,
        index: usize,
        ip: Ipv4Addr,
        store: SocketAddr,
        seeds: &[Ipv4Addr],
    ) -> Result<Node, String> {
        let role = if class == "front" { "gateway" } else { "agent" };
        let template = root.join(format!("deploy/{role}.json.template"));
        let template = fs::read_to_string(template).map_err(|error| error.to_string())?;
        let zone = ZONES[index % 3];
        let node = format!("{class}-{zone}-{}", index + 1);
        let relay = seeds[index % 3];
        let quoted = |port: u16| format!("\"{ip}:{port}\"");
        let seeds = seeds.iter().map(|seed| format!("\"{seed}:{CONTROL}\""));
        let seeds: Vec<String> = seeds.collect();
        let values = [
            ("{{#seeds}}{{.|json}}{{,}}{{/seeds}}", seeds.join(",")),
            ("{{#bounds.spread_factor}}", String::new()),
            ("{{/bounds.spread_factor}}", String::new()),
            ("{{bounds.spread_factor}}", "1.5".to_owned()),
            ("{{bounds.grace_s}}", "6".to_owned()),
            ("{{bounds.contact_ms}}", "3000".to_owned()),
            ("{{heartbeat_ms}}", "1500".to_owned()),
            ("{{node_name|json}}", format!("\"{node}\"")),
            ("{{zone|json}}", format!("\"{zone}\"")),
            (
                "\"sessions\": \"{{ip}}:{{internal_ports.0}}\",",
                format!(
                    "\"sessions\": \"{ip}:{SESSIONS}\", \"advertised\": \"{relay}:{SESSIONS}\","
                ),
            ),
            ("{{ip}}", ip.to_string()),
            ("{{internal_ports.0}}", SESSIONS.to_string()),
            ("{{platform.address|json}}", format!("\"{store}\"")),
            ("{{listen.front|json}}", quoted(FRONT)),
            ("{{listen.ready|json}}", quoted(READY)),
            ("{{listen.control|json}}", quoted(CONTROL)),
            ("{{app|json}}", quoted(APP)),
        ];
        let mut settings = template;
        for (gap, value) in values {
            settings = settings.replace(gap, &value);
        }
        if settings.contains("{{") {
            return Err(format!("a gap of the template is not filled: {settings}"));
        }
        let path = self.folder.join(format!("{node}.json"));
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        let child = spawn(root, &path)?;
        self.record.add(&format!("{node} starts at {ip}"));
        Ok(Node {
            name: node,
            ip,
            root: root.to_owned(),
            settings: path,
            child,
        })
    }

    fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + START_TIMEOUT;
        for gateway in &self.gateways {
            let ready = (gateway.ip, READY).into();
            loop {
                let answer = http::call(
                    ready,
                    "GET",
                    "/laurelstile/ready",
                    &[],
                    "",
                    Duration::from_secs(1),
                );
                if answer.is_some_and(|(status, _)| status == 200) {
                    break;
                }
                if Instant::now() > until {
                    return Err(format!("{} does not become ready", gateway.name));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        // All machines have been in touch for `contact_ms` then.
        thread::sleep(Duration::from_millis(4_000));
        Ok(())
    }
}

/// Starts a process as the bench does; its log goes to a file beside its settings.
fn spawn(root: &Path, settings: &Path) -> Result<Child, String> {
    let log = fs::File::create(settings.with_extension("log"));
    let log = log.map_err(|error| error.to_string())?;
    Command::new(root.join("target/release/laurelstile-node"))
        .current_dir(root)
        .env("LAURELSTILE_CONFIG", settings)
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()
        .map_err(|error| format!("laurelstile-node: {error}"))
}

/// Two bytes of a loopback network whose first addresses have all the ports free.
fn free_network(hosts: usize) -> Option<[u8; 2]> {
    let process = std::process::id();
    let ports = [FRONT, APP, CONTROL, READY, STORE, SESSIONS, METRICS];
    (0..100u32).find_map(|attempt| {
        let number = process.wrapping_mul(31).wrapping_add(attempt * 7);
        let network = [(number / 250 % 250 + 2) as u8, (number % 250 + 2) as u8];
        let mut hosts = 1..=hosts;
        let is_free = hosts.all(|host| {
            let ip = Ipv4Addr::new(127, network[0], network[1], host as u8);
            ports
                .iter()
                .all(|port| TcpListener::bind((ip, *port)).is_ok())
        });
        is_free.then_some(network)
    })
}
