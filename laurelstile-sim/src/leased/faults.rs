//! Seeded faults.

use rand::Rng;
use rand_pcg::Pcg64;

use super::nodes::WORKER_ZONES;
use super::world::commands::CommandGroup;

/// Something that goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A gateway's process is killed.
    KillGateway(usize),
    /// A gateway loses power: nobody is told.
    DarkGateway(usize),
    /// A gateway stands still.
    FreezeGateway(usize),
    /// A gateway is stopped in a planned way.
    StopGateway(usize),
    /// An agent's process is killed.
    KillAgent(usize),
    /// An agent stands still.
    FreezeAgent(usize),
    /// An agent and a gateway are cut off from each other.
    Cut(usize, usize),
    /// A worker crashes and comes back with a new life.
    CrashWorker(usize),
    /// A worker's process ends, and its host refuses connections until it is back.
    KillWorker(usize),
    /// A worker drains, ends, and comes back with a new life.
    DrainWorker(usize),
    /// A worker drains, deregisters and ends; what it runs goes on until then.
    LeaveWorker(usize),
    /// The sessions of a gateway are broken off.
    SeverSessions(usize),
    /// A worker fails all that it runs.
    Failing(usize),
    /// A worker's tasks stand still.
    Hanging(usize),
    /// A worker is slow.
    Slow(usize),
    /// Orders get no answer, and are carried out at once or late.
    LateOrders,
    /// The configuration changes, and an older version is read once more.
    Configure,
    /// A zone of workers is evacuated and taken back; one gateway hears of it late.
    Evacuate(usize),
    /// A heartbeat of a life that has ended arrives.
    LateHeartbeat(usize),
    /// A deregistration of a life that has ended arrives.
    LateDeregistration(usize),
    /// A worker's process ends, and starts again once the fault is over.
    ReturnWorker(usize),
    /// Another writer sends a heartbeat that names no worker to use.
    OtherWriter(usize, OtherWord),
    /// A worker's room shrinks to so many percent, and grows again.
    Shrink(usize, u32),
    /// A gateway's machine is suspended.
    SuspendGateway(usize),
    /// An agent's machine is suspended.
    SuspendAgent(usize),
    /// The connections of a gateway's callers break; the gateway notices at the end of the fault.
    BreakCallers(usize),
    /// A gateway is cut off from its callers, not from agents: their connections break, it
    /// notices after the probes of the connections, and new calls reach others.
    CutCallers(usize),
    /// Commands to a worker, and their answers, take up to 100 ms each.
    DelayCommands(usize),
    /// Commands to a worker get no answer; they are carried out, at once or later, or lost.
    UnansweredCommands(usize, CommandGroup),
    /// A worker that runs on rejects commands as unhealthy.
    RejectCommands(usize, CommandGroup),
    /// The sessions of an agent and a gateway are reset, and refused for a while.
    RefuseSessions(usize, usize),
    /// An agent's process fails without the end of its sessions.
    DarkAgent(usize),
    /// The handshakes of an agent's sessions take up to 1.5 s.
    DelayHandshakes(usize),
    /// A worker refuses connections for the length of the fault and then ends, while its runs go
    /// on; its agent is not notified that it drains, and may restart without a record.
    ShutWorker(usize, bool),
    /// A worker refuses connections; its successor answers at the same address soon, while its own
    /// runs go on until the end of the fault.
    SucceedWorker(usize),
    /// An agent's process is killed, and starts with a wall clock that is set back by so many
    /// milliseconds.
    StepClockBack(usize, u64),
    /// A gateway is cut off from all agents and other gateways, not from its callers.
    IsolateGateway(usize),
    /// Each input takes a gateway so many times as long as usual.
    SlowGateway(usize, u64),
    /// Each input takes an agent so many times as long as usual.
    SlowAgent(usize, u64),
    /// Messages of the first gateway do not reach the second.
    CutPeers(usize, usize),
    /// Messages between an agent and a gateway do not arrive one way: to the gateway, or else to
    /// the agent.
    CutWay(usize, usize, bool),
    /// The connections of a gateway's callers break; the gateway notices at the end of the fault, and
    /// the callers resubmit at other gateways after so many microseconds.
    MoveCallers(usize, u64),
    /// The first heartbeat of a worker is held up until the end of the fault, and the others are lost.
    HoldHeartbeats(usize),
    /// The store takes no record of an agent until the end of the fault. An agent that lives on writes
    /// its latest one then.
    LoseRecords(usize),
    /// A worker's process ends, and starts again under its id at the end of the fault; its first
    /// heartbeat follows after so many microseconds.
    ReturnUnheard(usize, u64),
}

impl Fault {
    /// Its kind, for counts.
    pub fn kind(self) -> &'static str {
        match self {
            Self::KillGateway(_) => "kill_gateway",
            Self::DarkGateway(_) => "dark_gateway",
            Self::FreezeGateway(_) => "freeze_gateway",
            Self::StopGateway(_) => "stop_gateway",
            Self::KillAgent(_) => "kill_agent",
            Self::FreezeAgent(_) => "freeze_agent",
            Self::Cut(_, _) => "cut",
            Self::CrashWorker(_) => "crash_worker",
            Self::KillWorker(_) => "kill_worker",
            Self::DrainWorker(_) => "drain_worker",
            Self::LeaveWorker(_) => "leave_worker",
            Self::SeverSessions(_) => "sever_sessions",
            Self::Failing(_) => "failing",
            Self::Hanging(_) => "hanging",
            Self::Slow(_) => "slow",
            Self::LateOrders => "late_orders",
            Self::Configure => "configure",
            Self::Evacuate(_) => "evacuate",
            Self::LateHeartbeat(_) => "late_heartbeat",
            Self::LateDeregistration(_) => "late_deregistration",
            Self::ReturnWorker(_) => "return_worker",
            Self::OtherWriter(_, _) => "other_writer",
            Self::Shrink(_, _) => "shrink",
            Self::SuspendGateway(_) => "suspend_gateway",
            Self::SuspendAgent(_) => "suspend_agent",
            Self::BreakCallers(_) => "break_callers",
            Self::CutCallers(_) => "cut_callers",
            Self::DelayCommands(_) => "delay_commands",
            Self::UnansweredCommands(..) => "unanswered_commands",
            Self::RejectCommands(..) => "reject_commands",
            Self::RefuseSessions(..) => "refuse_sessions",
            Self::DarkAgent(_) => "dark_agent",
            Self::DelayHandshakes(_) => "delay_handshakes",
            Self::ShutWorker(..) => "shut_worker",
            Self::SucceedWorker(_) => "succeed_worker",
            Self::StepClockBack(..) => "step_clock_back",
            Self::IsolateGateway(_) => "isolate_gateway",
            Self::SlowGateway(..) => "slow_gateway",
            Self::SlowAgent(..) => "slow_agent",
            Self::CutPeers(..) => "cut_peers",
            Self::CutWay(..) => "cut_way",
            Self::MoveCallers(..) => "move_callers",
            Self::HoldHeartbeats(_) => "hold_heartbeats",
            Self::LoseRecords(_) => "lose_records",
            Self::ReturnUnheard(..) => "return_unheard",
        }
    }
}

/// What another writer says under the id of a worker, or one of its own. The adapter keeps all
/// else from the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OtherWord {
    /// No birth, next to no room, and that it drains.
    NoBirth,
    /// A service that is not served.
    Service,
    /// A birth that the worker never had.
    Birth,
    /// An id of its own.
    Id,
}

/// A fault, when it begins and how long it lasts, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledFault {
    /// When it begins.
    pub at: u64,
    /// How long it lasts.
    pub length: u64,
    /// What it is.
    pub fault: Fault,
}

/// A mechanism that is switched off at its edge, to show that its rule breaks
/// without it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// Silent gateways look alive to agents.
    NoOwnerSilence,
    /// Workers run on without renewal.
    NoLeases,
    /// A new agent does not see what an earlier one left.
    NoTakeover,
    /// Agents do not hear that their worker drains.
    NoDrains,
    /// Agents do not hear of evacuated zones.
    NoEvacuations,
    /// Gateways do not hear which tasks ran on crashed workers.
    NoCrashNews,
    /// Agents hear of a worker's room once, when its life begins.
    NoCapacityNews,
    /// The clocks of processes stand still while their machines are suspended.
    SteadyClocks,
    /// Gateways tell neither each other nor agents of cancelled jobs.
    NoCancelNews,
    /// Gateways do not tell each other which jobs they hold.
    NoClaims,
    /// Agents take a worker's deregistration for its end.
    DeregistrationIsEnd,
    /// Workers that start again under their ids do not tell their births.
    NoBirths,
    /// Gateways take the session whose handshake arrived last for an agent's latest.
    NoSessionOrder,
    /// Gateways order the processes of an agent by their estimated starts alone.
    NoProcessOrder,
}

/// Draws `count` faults within `length`.
pub fn draw(
    count: usize,
    length: u64,
    gateways: usize,
    workers: usize,
    random: &mut Pcg64,
) -> Vec<ScheduledFault> {
    let mut faults: Vec<ScheduledFault> = (0..count)
        .map(|_| ScheduledFault {
            at: random.random_range(500_000..length),
            length: random.random_range(100_000..4_000_000),
            fault: draw_one(gateways, workers, random),
        })
        .collect();
    faults.sort_by_key(|fault| fault.at);
    faults
}

/// Draws evacuations, some of one zone soon after each other, and late heartbeats.
pub fn draw_of_operators(length: u64, workers: usize, random: &mut Pcg64) -> Vec<ScheduledFault> {
    let count = random.random_range(0..5);
    (0..count)
        .map(|_| ScheduledFault {
            at: random.random_range(500_000..length),
            length: random.random_range(1_000_000..8_000_000),
            fault: match random.random_bool(0.6) {
                true => Fault::Evacuate(random.random_range(0..WORKER_ZONES)),
                false => Fault::LateHeartbeat(random.random_range(0..workers)),
            },
        })
        .collect()
}

/// Draws workers that leave, and sessions that break in series.
pub fn draw_of_leaving(
    length: u64,
    gateways: usize,
    workers: usize,
    random: &mut Pcg64,
) -> Vec<ScheduledFault> {
    let mut faults = Vec::new();
    for _ in 0..random.random_range(4..16) {
        let at = random.random_range(500_000..length);
        let fault = Fault::LeaveWorker(random.random_range(0..workers));
        let length = 0;
        faults.push(ScheduledFault { at, length, fault });
    }
    for _ in 0..random.random_range(0..4) {
        let first = random.random_range(500_000..length);
        let fault = Fault::SeverSessions(random.random_range(0..gateways));
        let pause = random.random_range(100_000..400_000);
        let breaks = random.random_range(1..12);
        faults.extend((0..breaks).map(|number| ScheduledFault {
            at: first + number * pause,
            length: 0,
            fault,
        }));
    }
    faults
}

/// Draws workers that start again and soon do something that their agent has to heed, beside
/// late words of before, late orders and agents that start anew.
pub fn draw_of_returning(length: u64, workers: usize, random: &mut Pcg64) -> Vec<ScheduledFault> {
    let mut faults = Vec::new();
    let mut add = |at, length, fault| faults.push(ScheduledFault { at, length, fault });
    for _ in 0..random.random_range(3..10) {
        let at = random.random_range(500_000..length);
        let worker = random.random_range(0..workers);
        let is_unseen = random.random_bool(0.4);
        let away = if is_unseen {
            random.random_range(1_000..60_000)
        } else {
            random.random_range(60_000..2_500_000)
        };
        add(at, away, Fault::ReturnWorker(worker));
        let back = at + away;
        let soon = back + random.random_range(1_000..2_500_000);
        match random.random_range(0..4) {
            0 => {}
            1 => {
                let percent = random.random_range(10..60);
                let until_grown = random.random_range(5_000_000..9_000_000);
                add(soon, until_grown, Fault::Shrink(worker, percent));
            }
            _ => add(soon, 0, Fault::LeaveWorker(worker)),
        }
        if random.random_bool(0.4) {
            let late = back + random.random_range(0..1_500_000);
            add(late, 0, Fault::LateHeartbeat(worker));
        }
        if random.random_bool(0.2) {
            let late = back + random.random_range(0..1_500_000);
            add(late, 0, Fault::LateDeregistration(worker));
        }
        if random.random_bool(0.3) {
            let before = at.saturating_sub(random.random_range(0..300_000));
            add(before, away + 300_000, Fault::LateOrders);
        }
        if random.random_bool(0.3) {
            let around = at + random.random_range(0..away + 500_000);
            add(around, 0, Fault::KillAgent(worker));
        }
    }
    faults
}

/// Draws workers that crash, and soon have successors at their addresses.
pub fn draw_of_successors(length: u64, workers: usize, random: &mut Pcg64) -> Vec<ScheduledFault> {
    let count = random.random_range(10..40);
    (0..count)
        .map(|_| ScheduledFault {
            at: random.random_range(500_000..length),
            length: random.random_range(1_000..60_000),
            fault: Fault::ReturnWorker(random.random_range(0..workers)),
        })
        .collect()
}

/// Draws heartbeats of other writers.
pub fn draw_of_other_writers(
    length: u64,
    workers: usize,
    random: &mut Pcg64,
) -> Vec<ScheduledFault> {
    let words = [
        OtherWord::NoBirth,
        OtherWord::Service,
        OtherWord::Birth,
        OtherWord::Id,
    ];
    let count = random.random_range(4..30);
    (0..count)
        .map(|_| {
            let worker = random.random_range(0..workers);
            let word = words[random.random_range(0..words.len())];
            ScheduledFault {
                at: random.random_range(1_000..length),
                length: 0,
                fault: Fault::OtherWriter(worker, word),
            }
        })
        .collect()
}

/// Draws losses of many processes at once, some soon after each other, while the
/// configuration changes: the gateways, the agents, or all; killed, or without power.
pub fn draw_of_herds(
    length: u64,
    gateways: usize,
    workers: usize,
    random: &mut Pcg64,
) -> Vec<ScheduledFault> {
    let mut faults = Vec::new();
    for _ in 0..random.random_range(1..4) {
        let first = random.random_range(1_000_000..length);
        let pause = random.random_range(400_000..3_000_000);
        for number in 0..random.random_range(1..4) {
            let at = first + number * pause;
            let down = random.random_range(300_000..1_500_000);
            let (hits_gateways, hits_agents) = match random.random_range(0..3) {
                0 => (true, false),
                1 => (false, true),
                _ => (true, true),
            };
            let is_dark = random.random_bool(0.5);
            let gateways = (0..gateways).filter(|_| hits_gateways);
            let gateways = gateways.map(|gateway| match is_dark {
                true => Fault::DarkGateway(gateway),
                false => Fault::KillGateway(gateway),
            });
            let agents = (0..workers).filter(|_| hits_agents).map(Fault::KillAgent);
            faults.extend(gateways.chain(agents).map(|fault| ScheduledFault {
                at,
                length: down,
                fault,
            }));
            faults.push(ScheduledFault {
                at: at + random.random_range(0..400_000),
                length: 200_000,
                fault: Fault::Configure,
            });
        }
    }
    faults
}

/// Draws gateways that are cut off for up to 12 s, stand still, are suspended or are stopped, and agents
/// that stand still or end; often two at once. With `loses_callers`, the connections of a gateway's callers
/// break in half of these, and it notices later.
pub fn draw_of_outages(
    length: u64,
    gateways: usize,
    workers: usize,
    loses_callers: bool,
    random: &mut Pcg64,
) -> Vec<ScheduledFault> {
    let mut faults = Vec::new();
    for _ in 0..random.random_range(1..6) {
        let at = random.random_range(500_000..length);
        for _ in 0..random.random_range(1..3) {
            let gateway = random.random_range(0..gateways);
            let worker = random.random_range(0..workers);
            if loses_callers && random.random_bool(0.5) {
                let broken_at = at + random.random_range(0..2_000_000);
                let is_cut = random.random_bool(0.5);
                faults.push(ScheduledFault {
                    at: broken_at,
                    length: random.random_range(2_000..1_300_000),
                    fault: match is_cut {
                        true => Fault::CutCallers(gateway),
                        false => Fault::BreakCallers(gateway),
                    },
                });
            }
            faults.push(ScheduledFault {
                at: at + random.random_range(0..1_000_000),
                length: random.random_range(300_000..12_000_000),
                fault: match random.random_range(0..10) {
                    0..4 => Fault::IsolateGateway(gateway),
                    4 => Fault::FreezeGateway(gateway),
                    5 => Fault::SuspendGateway(gateway),
                    6 => Fault::StopGateway(gateway),
                    7 => Fault::DarkGateway(gateway),
                    8 => Fault::FreezeAgent(worker),
                    _ => Fault::KillAgent(worker),
                },
            });
        }
    }
    faults
}

/// Draws rooms that shrink, workers that die, and machines that are suspended.
pub fn draw_hazards(
    length: u64,
    gateways: usize,
    workers: usize,
    random: &mut Pcg64,
) -> Vec<ScheduledFault> {
    let count = random.random_range(1..8);
    (0..count)
        .map(|_| {
            let gateway = random.random_range(0..gateways);
            let worker = random.random_range(0..workers);
            let percent = random.random_range(10..80);
            ScheduledFault {
                at: random.random_range(500_000..length),
                length: random.random_range(300_000..8_000_000),
                fault: match random.random_range(0..6) {
                    0 => Fault::KillWorker(worker),
                    1 => Fault::SuspendGateway(gateway),
                    2 => Fault::SuspendAgent(worker),
                    _ => Fault::Shrink(worker, percent),
                },
            }
        })
        .collect()
}

/// Draws connections of callers that break, in series; their gateway notices at once, late, or
/// by the probes of the connections. With a `latest_notice`, in microseconds, there are no cuts,
/// and it notices at that time or sooner.
pub fn draw_of_resending(
    length: u64,
    gateways: usize,
    latest_notice: Option<u64>,
    random: &mut Pcg64,
) -> Vec<ScheduledFault> {
    let mut faults = Vec::new();
    for _ in 0..random.random_range(2..6) {
        let first = random.random_range(500_000..length);
        let gateway = random.random_range(0..gateways);
        let pause = random.random_range(200_000..2_000_000);
        for number in 0..random.random_range(1..4) {
            let at = first + number * pause;
            let notice = match random.random_range(0..3) {
                0 => random.random_range(100..2_000),
                _ => random.random_range(2_000..1_300_000),
            };
            let (length, fault) = match random.random_range(0..3) {
                kind if latest_notice.is_some() => {
                    let latest = latest_notice.unwrap_or(notice);
                    let notice = if kind == 0 {
                        latest
                    } else {
                        notice.min(latest)
                    };
                    (notice, Fault::BreakCallers(gateway))
                }
                0 => (notice + 3_000_000, Fault::CutCallers(gateway)),
                _ => (notice, Fault::BreakCallers(gateway)),
            };
            faults.push(ScheduledFault { at, length, fault });
        }
    }
    faults
}

/// Draws connections of callers that break, all noticed within `latest_notice`, in microseconds,
/// while agents fall silent some milliseconds later, or while their gateway stands still.
pub fn draw_of_silences(
    length: u64,
    gateways: usize,
    workers: usize,
    latest_notice: u64,
    random: &mut Pcg64,
) -> Vec<ScheduledFault> {
    let mut faults = Vec::new();
    let mut add = |at, length, fault| faults.push(ScheduledFault { at, length, fault });
    for _ in 0..random.random_range(3..9) {
        let at = random.random_range(500_000..length);
        let gateway = random.random_range(0..gateways);
        let notice = match random.random_range(0..3) {
            0 => random.random_range(100..2_000),
            1 => random.random_range(2_000..100_000),
            _ => random.random_range(2_000..1_200_000),
        };
        let notice = notice.min(latest_notice);
        let frozen = match random.random_bool(0.3) {
            true => random.random_range(1_000..notice.max(2_000)),
            false => 0,
        };
        if frozen > 0 {
            add(at, frozen, Fault::FreezeGateway(gateway));
        }
        add(at + 1, notice, Fault::BreakCallers(gateway));
        for worker in 0..workers {
            let silent_at = at + random.random_range(0..notice.max(frozen) + 100_000);
            let silent = random.random_range(1_300_000..3_000_000);
            match random.random_range(0..6) {
                0 | 1 => add(silent_at, silent, Fault::Cut(worker, gateway)),
                2 => add(silent_at, silent, Fault::FreezeAgent(worker)),
                3 => add(silent_at, silent, Fault::KillAgent(worker)),
                _ => {}
            }
        }
    }
    faults
}

fn draw_one(gateways: usize, workers: usize, random: &mut Pcg64) -> Fault {
    let gateway = random.random_range(0..gateways);
    let worker = random.random_range(0..workers);
    match random.random_range(0..14) {
        0 => Fault::KillGateway(gateway),
        1 => Fault::DarkGateway(gateway),
        2 => Fault::FreezeGateway(gateway),
        3 => Fault::StopGateway(gateway),
        4 => Fault::KillAgent(worker),
        5 => Fault::FreezeAgent(worker),
        6 => Fault::Cut(worker, gateway),
        7 => Fault::CrashWorker(worker),
        8 => Fault::DrainWorker(worker),
        9 => Fault::Failing(worker),
        10 => Fault::Hanging(worker),
        11 => Fault::Slow(worker),
        12 => Fault::LateOrders,
        _ => Fault::Configure,
    }
}
