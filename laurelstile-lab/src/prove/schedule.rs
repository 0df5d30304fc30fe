//! The seeded schedule of faults: every kind once, then at random.

use std::collections::BTreeMap;
use std::time::Duration;

use laurelstile_history::event::{Event, PLATFORM};
use laurelstile_history::file::HistoryWriter;
use laurelstile_types::revision::Change;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::time::Instant;

use super::actors;
use crate::cell::{Cell, gateway_name};
use crate::standin::platform::PlatformFaults;
use laurelstile_lab::error::LabError;
use laurelstile_lab::relay::LinkState;

/// Every kind of fault that a run injects.
pub const KINDS: [&str; 16] = [
    "kill_gateway",
    "kill_agent",
    "kill_backend",
    "freeze_gateway",
    "freeze_agent",
    "cut",
    "one_way_cut",
    "delay",
    "sever",
    "table_down",
    "table_slow",
    "lost_replies",
    "stale_machines",
    "straggler",
    "racing_operators",
    "planned_stop",
];

/// Pauses between the beginnings of two faults, in milliseconds.
const PAUSES: std::ops::Range<u64> = 300..1_800;
/// Lengths of faults, in milliseconds; the longest outlast every lease.
const LENGTHS: std::ops::Range<u64> = 500..6_000;
/// Slowness of a straggler, in thousandths.
const STRAGGLER: u64 = 5_000;
/// Usual speed, in thousandths.
const USUAL: u64 = 1_000;
/// Longest time of a planned stop.
const STOP_PATIENCE: Duration = Duration::from_secs(30);

/// A fault to be mended.
struct Open {
    until: Instant,
    mend: Mend,
}

/// How a fault is mended.
enum Mend {
    RestartGateway(usize),
    RestartAgent(usize),
    RestartBackend(usize),
    ThawGateway(usize),
    ThawAgent(usize),
    Link(usize, usize, &'static str),
    Mesh(usize, &'static str),
    Platform(&'static str),
    Straggler(usize),
}

/// Injects faults until `end`; gives how often each kind was injected.
pub async fn inject(
    cell: &mut Cell,
    lab: &HistoryWriter,
    operators: &HistoryWriter,
    seed: u64,
    end: Instant,
) -> Result<BTreeMap<String, u64>, LabError> {
    let mut injector = Injector {
        cell,
        lab,
        operators,
        random: Pcg64::seed_from_u64(seed ^ 0xfa01),
        open: Vec::new(),
        counts: BTreeMap::new(),
        busy_gateways: Vec::new(),
        busy_agents: Vec::new(),
        drained: false,
    };
    let mut first: Vec<&str> = KINDS.to_vec();
    first.shuffle(&mut injector.random);
    while Instant::now() < end {
        let kind = first.pop().unwrap_or_else(|| {
            let index = injector.random.random_range(0..KINDS.len());
            KINDS[index]
        });
        if !injector.begin(kind).await? && !injector.counts.contains_key(kind) {
            // Its target is busy: later again.
            first.insert(0, kind);
        }
        let pause = injector.random.random_range(PAUSES);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        injector.mend_due(Instant::now()).await?;
    }
    let last = Instant::now() + STOP_PATIENCE;
    injector.mend_due(last).await?;
    Ok(injector.counts)
}

struct Injector<'a> {
    cell: &'a mut Cell,
    lab: &'a HistoryWriter,
    operators: &'a HistoryWriter,
    random: Pcg64,
    open: Vec<Open>,
    counts: BTreeMap<String, u64>,
    busy_gateways: Vec<usize>,
    busy_agents: Vec<usize>,
    drained: bool,
}

impl Injector<'_> {
    /// Begins a fault; false if its target is under another.
    async fn begin(&mut self, kind: &str) -> Result<bool, LabError> {
        let gateway = self.random.random_range(0..self.cell.gateways.len());
        let agent = self.random.random_range(0..self.cell.agents.len());
        let Some(mend) = self.bring_about(kind, gateway, agent).await? else {
            return Ok(false);
        };
        *self.counts.entry(kind.to_owned()).or_default() += 1;
        let length = self.random.random_range(LENGTHS);
        if let Some(mend) = mend {
            self.open.push(Open {
                until: Instant::now() + Duration::from_millis(length),
                mend,
            });
        }
        Ok(true)
    }

    /// `None` if the target is under another fault, `Some(None)` if nothing is
    /// to be mended later.
    async fn bring_about(
        &mut self,
        kind: &str,
        gateway: usize,
        agent: usize,
    ) -> Result<Option<Option<Mend>>, LabError> {
        let targets_gateway = matches!(kind, "kill_gateway" | "freeze_gateway");
        let targets_agent = matches!(kind, "kill_agent" | "freeze_agent");
        let is_stop = kind == "planned_stop";
        if (targets_gateway || is_stop) && !self.reserve_gateway(gateway) {
            return Ok(None);
        }
        if targets_agent && !self.reserve_agent(agent) {
            return Ok(None);
        }
        let worker = self.cell.agents[agent].process.name().to_owned();
        let mend = match kind {
            "kill_gateway" => {
                self.note(&gateway_name(gateway), "kill", true);
                self.cell.gateways[gateway].process.kill().await?;
                Mend::RestartGateway(gateway)
            }
            "kill_agent" => {
                self.note(&worker, "kill", true);
                self.cell.agents[agent].process.kill().await?;
                Mend::RestartAgent(agent)
            }
            "kill_backend" => {
                if self.cell.agents[agent].backend.pid().is_none() {
                    return Ok(None);
                }
                self.note(&format!("{worker}-backend"), "kill", true);
                self.cell.agents[agent].backend.kill().await?;
                Mend::RestartBackend(agent)
            }
            "freeze_gateway" => {
                self.note(&gateway_name(gateway), "freeze", true);
                self.cell.gateways[gateway].process.freeze()?;
                Mend::ThawGateway(gateway)
            }
            "freeze_agent" => {
                self.note(&worker, "freeze", true);
                self.cell.agents[agent].process.freeze()?;
                Mend::ThawAgent(agent)
            }
            "cut" | "one_way_cut" | "delay" | "sever" => {
                return Ok(Some(self.begin_link_fault(kind, gateway, agent)));
            }
            "table_down" | "table_slow" | "lost_replies" | "stale_machines" => {
                let Some(kind) = KINDS.iter().find(|known| **known == kind) else {
                    return Ok(None);
                };
                if !self.cell.platform_faults_free() {
                    return Ok(None);
                }
                self.note(PLATFORM, kind, true);
                self.cell.set_platform_faults(platform_faults(kind)).await?;
                Mend::Platform(kind)
            }
            "straggler" => {
                if self.cell.agents[agent].backend.pid().is_none() {
                    return Ok(None);
                }
                self.note(&format!("{worker}-backend"), "straggler", true);
                self.cell.set_slowness(agent, STRAGGLER).await?;
                Mend::Straggler(agent)
            }
            "racing_operators" => {
                self.race_operators().await?;
                return Ok(Some(None));
            }
            _ => {
                self.stop_gateway(gateway).await?;
                return Ok(Some(None));
            }
        };
        Ok(Some(Some(mend)))
    }

    /// Every link fault hits the link to an agent, or one between gateways.
    fn begin_link_fault(&mut self, kind: &str, gateway: usize, agent: usize) -> Option<Mend> {
        let kind = KINDS.iter().find(|known| **known == kind)?;
        let hits_mesh = self.random.random_bool(0.3);
        let mesh = self.random.random_range(0..self.cell.mesh_relays.len());
        let forward = self.random.random_bool(0.5);
        let change = |state: &mut LinkState| match *kind {
            "cut" => (state.hold_forward, state.hold_back) = (true, true),
            "one_way_cut" if forward => state.hold_forward = true,
            "one_way_cut" => state.hold_back = true,
            "delay" => state.delay = Duration::from_millis(40),
            _ => state.severed += 1,
        };
        if hits_mesh {
            let (one, other, relay) = &self.cell.mesh_relays[mesh];
            relay.change(self.cell.gateways[*one].source, change);
            for target in [gateway_name(*one), gateway_name(*other)] {
                self.note(&target, kind, true);
            }
            Some(Mend::Mesh(mesh, kind))
        } else {
            let source = self.cell.gateways[gateway].source;
            if let Some(relay) = &self.cell.agents[agent].relay {
                relay.change(source, change);
            }
            for target in self.link_targets(gateway, agent) {
                self.note(&target, kind, true);
            }
            Some(Mend::Link(gateway, agent, kind))
        }
    }

    fn link_targets(&self, gateway: usize, agent: usize) -> [String; 2] {
        [
            gateway_name(gateway),
            self.cell.agents[agent].process.name().to_owned(),
        ]
    }

    /// Two operators at once: both apply, and once in a run one drains.
    async fn race_operators(&mut self) -> Result<(), LabError> {
        let apply = Change::Apply(self.cell.configuration());
        let other = if self.drained {
            apply.clone()
        } else {
            // The first worker is never drained.
            self.drained = true;
            let last = self.cell.agents.len() - 1;
            Change::Drain(self.cell.agents[last].process.name().into())
        };
        let (one, two) = tokio::join!(
            actors::change(self.cell, self.operators, apply),
            actors::change(self.cell, self.operators, other),
        );
        one?;
        two?;
        Ok(())
    }

    async fn stop_gateway(&mut self, gateway: usize) -> Result<(), LabError> {
        let target = gateway_name(gateway);
        self.lab.record(Event::StopBegan {
            target: target.clone(),
        });
        let process = &mut self.cell.gateways[gateway].process;
        process.terminate()?;
        if !process.wait(STOP_PATIENCE).await {
            return Err(LabError::TimedOut {
                what: "a planned stop",
            });
        }
        self.lab.record(Event::StopEnded { target });
        self.cell.gateways[gateway].process.restart()?;
        self.busy_gateways.retain(|busy| *busy != gateway);
        Ok(())
    }

    async fn mend_due(&mut self, now: Instant) -> Result<(), LabError> {
        let (due, open) = std::mem::take(&mut self.open)
            .into_iter()
            .partition(|open| open.until <= now);
        self.open = open;
        let due: Vec<Open> = due;
        for open in due {
            self.mend(open.mend).await?;
        }
        Ok(())
    }

    async fn mend(&mut self, mend: Mend) -> Result<(), LabError> {
        match mend {
            Mend::RestartGateway(index) => {
                self.cell.gateways[index].process.restart()?;
                self.busy_gateways.retain(|busy| *busy != index);
                self.note(&gateway_name(index), "kill", false);
            }
            Mend::RestartAgent(index) => {
                self.cell.agents[index].process.restart()?;
                self.busy_agents.retain(|busy| *busy != index);
                self.note(&self.worker(index), "kill", false);
            }
            Mend::RestartBackend(index) => {
                self.cell.agents[index].backend.restart()?;
                self.note(&format!("{}-backend", self.worker(index)), "kill", false);
            }
            Mend::ThawGateway(index) => {
                self.cell.gateways[index].process.thaw()?;
                self.busy_gateways.retain(|busy| *busy != index);
                self.note(&gateway_name(index), "freeze", false);
            }
            Mend::ThawAgent(index) => {
                self.cell.agents[index].process.thaw()?;
                self.busy_agents.retain(|busy| *busy != index);
                self.note(&self.worker(index), "freeze", false);
            }
            Mend::Link(gateway, agent, kind) => {
                let source = self.cell.gateways[gateway].source;
                if let Some(relay) = &self.cell.agents[agent].relay {
                    relay.change(source, LinkState::heal);
                }
                for target in self.link_targets(gateway, agent) {
                    self.note(&target, kind, false);
                }
            }
            Mend::Mesh(mesh, kind) => {
                let (one, other, relay) = &self.cell.mesh_relays[mesh];
                relay.change(self.cell.gateways[*one].source, LinkState::heal);
                for target in [gateway_name(*one), gateway_name(*other)] {
                    self.note(&target, kind, false);
                }
            }
            Mend::Platform(kind) => {
                self.cell
                    .set_platform_faults(PlatformFaults::default())
                    .await?;
                self.note(PLATFORM, kind, false);
            }
            Mend::Straggler(index) => {
                // A back end that was killed meanwhile comes back at its usual
                // speed.
                let _ = self.cell.set_slowness(index, USUAL).await;
                let target = format!("{}-backend", self.worker(index));
                self.note(&target, "straggler", false);
            }
        }
        Ok(())
    }

    fn worker(&self, index: usize) -> String {
        self.cell.agents[index].process.name().to_owned()
    }

    fn reserve_gateway(&mut self, index: usize) -> bool {
        // One gateway is always whole, so that operators reach one.
        let free = self.busy_gateways.len() + 1 < self.cell.gateways.len()
            && !self.busy_gateways.contains(&index);
        if free {
            self.busy_gateways.push(index);
        }
        free
    }

    fn reserve_agent(&mut self, index: usize) -> bool {
        let free = !self.busy_agents.contains(&index);
        if free {
            self.busy_agents.push(index);
        }
        free
    }

    fn note(&self, target: &str, kind: &str, begins: bool) {
        let (target, kind) = (target.to_owned(), kind.to_owned());
        self.lab.record(if begins {
            Event::FaultBegan { target, kind }
        } else {
            Event::FaultEnded { target, kind }
        });
    }
}

fn platform_faults(kind: &str) -> PlatformFaults {
    PlatformFaults {
        down: kind == "table_down",
        slow_millis: if kind == "table_slow" { 900 } else { 0 },
        lose_write_replies: kind == "lost_replies",
        stale_machines: kind == "stale_machines",
    }
}
