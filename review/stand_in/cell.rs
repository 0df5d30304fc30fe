//! A small deployment on loopback addresses: three gateways, three agents with their workers, and
//! the platform's store. The programs are those of the deploy file, with settings as its templates
//! give them.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, Connection};
use crate::proxy::{self, Cut};
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;

pub const PROGRAM: &str = "target/release/laurelstile-node";
pub const ZONES: [&str; 3] = ["rennes", "vannes", "brest"];
/// Capacity of a worker, in cores.
const WORKER_CORES: u64 = 16;
const CONTACT: Duration = Duration::from_millis(3_000);
const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Ports that are the same on all machines.
struct Ports {
    session: u16,
    front: u16,
    ready: u16,
    control: u16,
    metrics: u16,
    worker: u16,
    store: u16,
}

/// Ids of the processes that were started.
static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends everything that was started if the script takes too long.
pub fn limit_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for pid in STARTED.lock().expect("ids").iter() {
            // SAFETY: sends a signal to a child of this process.
            unsafe { kill(*pid, SIGKILL) };
        }
        eprintln!("the case could not run: it took too long");
        std::process::exit(2);
    });
}

pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    process: Child,
}

pub struct Cell {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub gateways: Vec<Gateway>,
    pub cut: Cut,
    agents: Vec<Child>,
    folder: PathBuf,
}

impl Drop for Cell {
    fn drop(&mut self) {
        let gateways = self.gateways.iter_mut().map(|gateway| &mut gateway.process);
        for process in gateways.chain(&mut self.agents) {
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn ip(machine: u8) -> IpAddr {
    let own = u8::try_from(std::process::id() % 200).unwrap_or(0) + 20;
    IpAddr::V4(Ipv4Addr::new(127, 71, own, machine))
}

fn free_port() -> std::io::Result<u16> {
    let any = Ipv4Addr::UNSPECIFIED;
    Ok(TcpListener::bind((any, 0))?.local_addr()?.port())
}

impl Cell {
    /// Starts the deployment with a configuration and waits until all gateways are ready. With
    /// `has_relays`, sessions to gateways go through relays that can cut a machine off.
    pub fn start(
        record: Arc<Record>,
        folder: PathBuf,
        configuration: &str,
        has_relays: bool,
    ) -> Result<Self, String> {
        let failed = |what: &str, error: std::io::Error| format!("{what}: {error}");
        fs::create_dir_all(&folder).map_err(|error| failed("folder", error))?;
        let port = || free_port().map_err(|error| failed("port", error));
        let ports = Ports {
            session: port()?,
            front: port()?,
            ready: port()?,
            control: port()?,
            metrics: port()?,
            worker: port()?,
            store: port()?,
        };
        let store_address = SocketAddr::new(ip(200), ports.store);
        let store = Store::start(store_address).map_err(|error| failed("store", error))?;
        store.put_operator_row("config", configuration);
        let mut cell = Self {
            record,
            store,
            gateways: Vec::new(),
            cut: Cut::default(),
            agents: Vec::new(),
            folder,
        };
        let seeds = (1..=3).map(|machine| format!("\"{}:{}\"", ip(machine), ports.control));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let platform = format!(
            "\"store\":\"{store_address}\",\"seeds\":[{seeds}],\"session_port\":{}",
            ports.session
        );
        let names = |class: &str| ZONES.map(|zone| format!("{class}-{zone}-1"));
        let machines = [names("front"), names("side")].concat();
        for (index, zone) in ZONES.iter().enumerate() {
            let number = u8::try_from(index).unwrap_or(0) + 1;
            let name = format!("front-{zone}-1");
            let address = SocketAddr::new(ip(number), ports.session);
            let mut sessions = address;
            let mut advertised = String::new();
            if has_relays {
                sessions = SocketAddr::new(ip(100 + number), ports.session);
                advertised = format!("\"advertised\":\"{address}\",");
                proxy::start(address, sessions, &name, &machines, &cell.cut)
                    .map_err(|error| failed("relay", error))?;
            }
            let front = SocketAddr::new(ip(number), ports.front);
            let ready = SocketAddr::new(ip(number), ports.ready);
            let control = SocketAddr::new(ip(number), ports.control);
            let settings = format!(
                "{{\"process\":{{\"node\":{{\"name\":\"{name}\",\"zone\":\"{zone}\",\
                 \"secret\":\"one-secret-for-this-deployment\"}},\"metrics\":\"{}:{}\",\
                 \"role\":{{\"gateway\":{{\"sessions\":\"{sessions}\",{advertised}\"grace_seconds\":6,\
                 \"policies\":{{\"locality\":{{\"remote_factor\":1.5}},\
                 \"queue_shares\":{{\"floor_percent\":80}},\
                 \"admission\":{{\"max_retry_after_millis\":30000}}}}}}}}}},\
                 \"platform\":{{{platform},\"front\":\"{front}\",\"ready\":\"{ready}\",\
                 \"control\":\"{control}\"}}}}",
                ip(number),
                ports.metrics
            );
            let process = cell.start_node(&name, &settings)?;
            cell.gateways.push(Gateway {
                name,
                front,
                ready,
                process,
            });
        }
        for (index, zone) in ZONES.iter().enumerate() {
            let number = u8::try_from(index).unwrap_or(0) + 11;
            let name = format!("side-{zone}-1");
            let control = SocketAddr::new(ip(number), ports.control);
            let worker = SocketAddr::new(ip(number), ports.worker);
            let settings = format!(
                "{{\"process\":{{\"node\":{{\"name\":\"{name}\",\"zone\":\"{zone}\",\
                 \"secret\":\"one-secret-for-this-deployment\"}},\"metrics\":\"{}:{}\",\
                 \"role\":{{\"agent\":{{\"grace_seconds\":6,\"heartbeat_millis\":1500,\
                 \"room_grace_millis\":3000,\
                 \"policies\":{{\"departures\":{{\"min_notice_millis\":0}}}}}}}}}},\
                 \"platform\":{{{platform},\"control\":\"{control}\",\"worker\":\"{worker}\"}}}}",
                ip(number),
                ports.metrics
            );
            let process = cell.start_node(&name, &settings)?;
            cell.agents.push(process);
            let name = format!("worker-{zone}-1");
            Worker::start(&name, WORKER_CORES, worker, control, &cell.record)
                .map_err(|error| failed("worker", error))?;
        }
        cell.wait_until_ready()?;
        // Every machine is in touch once nothing has hit it for this long.
        thread::sleep(CONTACT + Duration::from_millis(500));
        Ok(cell)
    }

    fn start_node(&self, name: &str, settings: &str) -> Result<Child, String> {
        let path = self.folder.join(format!("{name}.json"));
        let failed = |error: std::io::Error| format!("{name}: {error}");
        fs::write(&path, settings).map_err(failed)?;
        let log = File::create(self.folder.join(format!("{name}.log"))).map_err(failed)?;
        let errors = log.try_clone().map_err(failed)?;
        let mut command = Command::new(Path::new(PROGRAM));
        command
            .env("LAURELSTILE_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors);
        // SAFETY: makes one system call. No process outlives a script that is ended from outside.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as std::ffi::c_ulong);
                Ok(())
            });
        }
        let process = command.spawn().map_err(failed)?;
        let pid = i32::try_from(process.id()).unwrap_or(0);
        STARTED.lock().expect("ids").push(pid);
        Ok(process)
    }

    fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        let is_ready = |gateway: &Gateway| {
            let timeout = Duration::from_secs(1);
            let headers = [("Host", "ready")];
            let mut connection = Connection::open(gateway.ready).ok()?;
            let call = connection.call("GET", "/laurelstile/ready", &headers, "", timeout);
            call.ok().filter(|(status, _)| *status == 200)
        };
        while !self
            .gateways
            .iter()
            .all(|gateway| is_ready(gateway).is_some())
        {
            if Instant::now() > until {
                return Err("the gateways are not ready after 20 s".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }

    /// Asks a gateway to stop, as the platform does.
    pub fn terminate(&self, gateway: usize) {
        let gateway = &self.gateways[gateway];
        self.record.note(&format!("SIGTERM to {}", gateway.name));
        if let Ok(pid) = i32::try_from(gateway.process.id()) {
            // SAFETY: sends a signal to a child of this process.
            unsafe { kill(pid, SIGTERM) };
        }
    }

    /// Notes when a stopping gateway has ended.
    pub fn note_end(&mut self, gateway: usize, limit: Duration) {
        let until = Instant::now() + limit;
        let gateway = &mut self.gateways[gateway];
        while Instant::now() < until {
            if let Ok(Some(status)) = gateway.process.try_wait() {
                let line = format!("{} has ended: {status}", gateway.name);
                self.record.note(&line);
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// A client's call on an open connection, with its answer noted.
pub fn call_noted(
    record: &Record,
    connection: &mut Connection,
    gateway: &str,
    (method, host, path): (&str, &str, &str),
    (deadline, body): (&str, &str),
) -> Option<Answer> {
    record.note(&format!("client sends {method} {path} to {gateway}"));
    let millis: u64 = deadline.parse().unwrap_or(1_500);
    let headers = [("Host", host), ("Deadline-Ms", deadline)];
    let timeout = Duration::from_millis(millis);
    let answer = connection.call(method, path, &headers, body, timeout);
    match &answer {
        Ok((status, body)) => {
            record.note(&format!(
                "client gets {status} {body} for {method} {path} from {gateway}"
            ));
        }
        Err(error) => {
            let kind = error.kind();
            record.note(&format!(
                "client gets no answer for {method} {path} from {gateway}: {kind}"
            ));
        }
    }
    answer.ok()
}
