//! What a scenario has cost a fleet, by role.

use std::collections::BTreeMap;

use serde::Serialize;

use super::traffic::Traffic;
use super::world::FleetWorld;

/// What machines had sent and received at the scenario's event.
#[derive(Debug)]
pub struct Mark {
    /// When that was, in microseconds.
    pub at: u64,
    traffic: Vec<Traffic>,
    bytes_read: u64,
    calls: u64,
}

impl Mark {
    /// Takes the counts of now.
    pub fn take(world: &FleetWorld) -> Self {
        let machines = world.machines.iter();
        Self {
            at: world.now,
            traffic: machines.map(|machine| machine.traffic.clone()).collect(),
            bytes_read: world.store.bytes_read,
            calls: world.store.calls,
        }
    }
}

/// What the machines of a role have cost since the event.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RoleReport {
    /// Open sessions of the machine with the most.
    pub most_sessions: usize,
    /// Open sessions, in the mean.
    pub sessions: usize,
    /// Bytes sent by the machine that sent the most.
    pub most_sent: u64,
    /// Bytes sent and received by a machine in the mean.
    pub sent: u64,
    /// Received.
    pub received: u64,
    /// Bytes sent by a machine in the mean, by kind of message.
    pub sent_by_kind: BTreeMap<&'static str, u64>,
    /// Dials of a machine that ended because nothing came in time, in the mean.
    pub dials_timed_out: u64,
}

/// When half, 99 of 100 and all had something, in milliseconds since the event; none if they
/// have not had it at the end.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Spread {
    /// Half of them.
    pub half: Option<u64>,
    /// Of a hundred, 99.
    pub most: Option<u64>,
    /// All.
    pub all: Option<u64>,
}

impl Spread {
    fn of(mut times: Vec<u64>, count: usize) -> Self {
        times.sort_unstable();
        let at = |rank: usize| {
            let time = times.get(rank.max(1) - 1).copied();
            time.map(|micros| micros / 1_000)
        };
        Self {
            half: at(count.div_ceil(2)),
            most: at((count * 99).div_ceil(100)),
            all: at(count),
        }
    }
}

/// What a scenario has cost.
#[derive(Clone, Debug, Serialize)]
pub struct FleetReport {
    /// Gateways and agents.
    pub gateways: usize,
    /// Agents.
    pub agents: usize,
    /// What a gateway has cost.
    pub gateway: RoleReport,
    /// What an agent has cost.
    pub agent: RoleReport,
    /// When gateways were ready to serve.
    pub ready: Spread,
    /// When they had the configuration in force.
    pub configured: Spread,
    /// When all knew each other, in milliseconds.
    pub listed: Option<u64>,
    /// Bytes that the store has sent.
    pub store_bytes: u64,
    /// Calls that it has answered.
    pub store_calls: u64,
}

impl FleetReport {
    /// The report of the time since `mark`.
    pub fn since(mark: &Mark, world: &FleetWorld, listed_at: Option<u64>) -> Self {
        let count = world.gateways;
        let of_gateways = world.machines[..count].iter();
        let ready = of_gateways.filter_map(|one| one.ready_at);
        let ready = ready.map(|at| at.saturating_sub(mark.at)).collect();
        let configured = world.in_force_at.values();
        let configured = configured.map(|at| at.saturating_sub(mark.at)).collect();
        Self {
            gateways: count,
            agents: world.machines.len() - count,
            gateway: role_report(mark, world, 0..count),
            agent: role_report(mark, world, count..world.machines.len()),
            ready: Spread::of(ready, count),
            configured: Spread::of(configured, count),
            listed: listed_at.map(|micros| micros / 1_000),
            store_bytes: world.store.bytes_read - mark.bytes_read,
            store_calls: world.store.calls - mark.calls,
        }
    }
}

fn role_report(mark: &Mark, world: &FleetWorld, machines: std::ops::Range<usize>) -> RoleReport {
    let mut report = RoleReport::default();
    let count = machines.len().max(1) as u64;
    let mut sessions = 0;
    for index in machines {
        let machine = &world.machines[index];
        let before = &mark.traffic[index];
        let mut sent = 0;
        for (kind, bytes) in &machine.traffic.sent {
            let since = bytes - before.sent.get(kind).unwrap_or(&0);
            sent += since;
            *report.sent_by_kind.entry(*kind).or_default() += since;
        }
        let received = machine.traffic.received.iter();
        let received =
            received.map(|(kind, bytes)| bytes - before.received.get(kind).unwrap_or(&0));
        report.sent += sent;
        report.received += received.sum::<u64>();
        report.most_sent = report.most_sent.max(sent);
        report.most_sessions = report.most_sessions.max(machine.sessions.len());
        report.dials_timed_out += machine.traffic.dials_timed_out - before.dials_timed_out;
        sessions += machine.sessions.len();
    }
    report.sent /= count;
    report.received /= count;
    report.dials_timed_out /= count;
    report.sessions = sessions / usize::try_from(count).unwrap_or(1);
    for bytes in report.sent_by_kind.values_mut() {
        *bytes /= count;
    }
    report
}
