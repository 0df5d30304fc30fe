//! A cell of the project's own processes on loopback addresses, with the settings that the templates of
//! the deploy file give: each machine has an address of its own.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{Json, number, object, text};
use crate::link::{self, Cut};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{BEAT, Jobs, Worker};

/// The program of both roles in the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/laurelstile-node";
const ZONES: [&str; 3] = ["rennes", "vannes", "brest"];
const START_LIMIT: Duration = Duration::from_secs(5);
/// Ports, the same on all machines.
const SESSION_PORT: u16 = 7720;
const FRONT_PORT: u16 = 8161;
const READY_PORT: u16 = 8167;
const CONTROL_PORT: u16 = 8166;
const WORKER_PORT: u16 = 8080;
const STORE_PORT: u16 = 8169;
/// Where the links of a worker begin: to the control addresses of its agent and of the gateways, and from
/// its agent.
const CONTROL_DOORS: u16 = 8176;
const WORKER_DOOR: u16 = 8090;

/// A process that is ended with its handle.
pub struct Process {
    pub name: String,
    settings: PathBuf,
    log: File,
    child: Option<Child>,
    record: Record,
}

impl Process {
    pub fn start(&mut self) {
        self.record.add(&format!("{} starts", self.name));
        let child = Command::new(PROGRAM)
            .env("LAURELSTILE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(self.log.try_clone().expect("a file"))
            .stderr(self.log.try_clone().expect("a file"))
            .spawn();
        self.child = Some(child.expect("the program of the deploy file is built"));
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.record.add(&format!("{} is killed", self.name));
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Cell {
    pub store: Store,
    _gateways: Vec<Process>,
    pub agents: Vec<Process>,
    pub workers: Vec<Worker>,
    pub fronts: Vec<SocketAddr>,
    pub jobs: Jobs,
    pub record: Record,
}

impl Cell {
    /// Starts a cell; settings and logs go to `directory`. `cut` cuts the first worker off from all
    /// machines.
    pub fn start(
        gateways: usize,
        agents: usize,
        directory: &Path,
        record: &Record,
        cut: &Cut,
    ) -> Self {
        let net = free_net(gateways + agents + 1);
        let machine = |index: usize| IpAddr::V4(Ipv4Addr::new(127, net.0, net.1, 1 + index as u8));
        let at = |index: usize, port: u16| SocketAddr::new(machine(index), port);
        let store = Store::start(at(0, STORE_PORT), record);
        store.operate("config", &configuration());
        let seeds: Vec<SocketAddr> = (0..gateways.min(3))
            .map(|of| at(1 + of, CONTROL_PORT))
            .collect();
        let jobs = Jobs::default();
        let first = 1 + gateways;
        // The agent, then the gateways.
        let controls: Vec<SocketAddr> = [first]
            .into_iter()
            .chain(1..first)
            .map(|of| at(of, CONTROL_PORT))
            .collect();
        let doors: Vec<SocketAddr> = (CONTROL_DOORS..)
            .take(controls.len())
            .map(|port| at(first, port))
            .collect();
        for (door, control) in doors.iter().zip(&controls) {
            link::start(*door, *control, cut);
        }
        link::start(at(first, WORKER_DOOR), at(first, WORKER_PORT), cut);
        let node = |kind: &str, index: usize, of: usize| {
            let name = format!("{kind}-{index}");
            let worker_port = if of == first {
                WORKER_DOOR
            } else {
                WORKER_PORT
            };
            let gaps = [
                ("node_name|json", quoted(&name)),
                ("zone|json", quoted(ZONES[index % ZONES.len()])),
                ("ip", machine(of).to_string()),
                ("bounds.grace_s", "6".to_owned()),
                ("bounds.contact_ms", "3000".to_owned()),
                ("bounds.spread_factor", "1.5".to_owned()),
                ("heartbeat_ms", BEAT.as_millis().to_string()),
                (
                    "platform.address|json",
                    quoted(&at(0, STORE_PORT).to_string()),
                ),
                ("internal_ports.0", SESSION_PORT.to_string()),
                ("listen.front|json", quoted(&at(of, FRONT_PORT).to_string())),
                ("listen.ready|json", quoted(&at(of, READY_PORT).to_string())),
                (
                    "listen.control|json",
                    quoted(&at(of, CONTROL_PORT).to_string()),
                ),
                ("app|json", quoted(&at(of, worker_port).to_string())),
            ];
            let template = fs::read_to_string(format!("deploy/{kind}.json.template"));
            let filled = fill(&template.expect("a template"), &gaps, &seeds);
            let settings = directory.join(format!("{name}.json"));
            fs::write(&settings, filled).expect("the folder can be written");
            let log = File::create(directory.join(format!("{name}.log"))).expect("a file");
            let mut process = Process {
                name,
                settings,
                log,
                child: None,
                record: record.clone(),
            };
            process.start();
            process
        };
        let started: Vec<Process> = (0..gateways)
            .map(|of| node("gateway", of, 1 + of))
            .collect();
        let beside: Vec<Process> = (0..agents)
            .map(|of| node("agent", of, 1 + gateways + of))
            .collect();
        let fronts: Vec<SocketAddr> = (0..gateways).map(|of| at(1 + of, FRONT_PORT)).collect();
        let workers = (0..agents).map(|of| {
            let own = 1 + gateways + of;
            let beside = [at(own, CONTROL_PORT)];
            let others = beside.into_iter().chain(seeds.iter().copied());
            let controls = if own == first {
                doors.clone()
            } else {
                others.collect()
            };
            Worker::start(
                of,
                at(own, WORKER_PORT),
                controls,
                ZONES[of % ZONES.len()],
                16_000,
                &jobs,
                record,
            )
        });
        let workers = workers.collect();
        let readies: Vec<SocketAddr> = (0..gateways).map(|of| at(1 + of, READY_PORT)).collect();
        wait_until_ready(&readies);
        Self {
            store,
            _gateways: started,
            agents: beside,
            workers,
            fronts,
            jobs,
            record: record.clone(),
        }
    }
}

fn wait_until_ready(readies: &[SocketAddr]) {
    let began = Instant::now();
    let is_ready = |ready: &SocketAddr| {
        let path = "/laurelstile/ready";
        let answer = http::call(*ready, "GET", path, &[], "", Duration::from_millis(200));
        answer.is_some_and(|(status, ..)| status == 200)
    };
    while !readies.iter().all(is_ready) {
        if began.elapsed() > START_LIMIT {
            eprintln!("the gateways are not ready");
            std::process::exit(2);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// The second and third part of loopback addresses at which nobody listens.
fn free_net(machines: usize) -> (u8, u8) {
    let from = std::process::id();
    for offset in 0..64 {
        let number = from.wrapping_add(offset * 7_919);
        let net = (64 + (number % 128) as u8, (number / 128 % 250) as u8);
        let is_free = (0..machines).all(|of| {
            let machine = Ipv4Addr::new(127, net.0, net.1, 1 + of as u8);
            let ports = [
                SESSION_PORT,
                FRONT_PORT,
                READY_PORT,
                CONTROL_PORT,
                WORKER_PORT,
                STORE_PORT,
                CONTROL_DOORS,
                WORKER_DOOR,
                9464,
            ];
            ports
                .iter()
                .all(|port| TcpListener::bind((machine, *port)).is_ok())
        });
        if is_free {
            return net;
        }
    }
    eprintln!("no free loopback addresses");
    std::process::exit(2);
}

fn configuration() -> String {
    let route = object([
        ("name", text("checks")),
        ("host", text("checks.example")),
        ("path_prefix", text("/checks/")),
        ("service", text("parcels")),
        ("slo_ms", number(60)),
        ("stretch", Json::Number(1.6)),
        ("max_attempts", number(2)),
        ("priority", number(0)),
        ("timeout_ms", number(1_500)),
    ]);
    let service = object([
        ("name", text("parcels")),
        ("rejects_overload", Json::Bool(false)),
    ]);
    let configuration = object([
        ("version", number(7)),
        ("routes", Json::List(vec![route])),
        ("services", Json::List(vec![service])),
        ("limits", object([])),
    ]);
    configuration.to_string()
}

fn quoted(value: &str) -> String {
    text(value).to_string()
}

/// Fills the gaps of a template of the deploy file.
fn fill(template: &str, gaps: &[(&str, String)], seeds: &[SocketAddr]) -> String {
    let listed: Vec<String> = seeds.iter().map(|seed| quoted(&seed.to_string())).collect();
    let section = "{{#seeds}}{{.|json}}{{,}}{{/seeds}}";
    let mut filled = template.replace(section, &listed.join(","));
    filled = filled.replace("{{#bounds.spread_factor}}", "");
    filled = filled.replace("{{/bounds.spread_factor}}", "");
    for (gap, value) in gaps {
        filled = filled.replace(&format!("{{{{{gap}}}}}"), value);
    }
    assert!(!filled.contains("{{"), "an unknown gap in the template");
    filled
}
