//! Scenes with one further kind of disruption each.

use rand::Rng;
use rand_pcg::Pcg64;

use super::faults::{Fault, ScheduledFault, draw_of_resending};
use super::world::commands::CommandGroup;
use super::world::handshakes::HandshakeDelays;
use super::world::timed_faults::TimedFaults;

/// How long a call waits for its answer where callers submit again after a 504.
const CALL_LIMIT: u64 = 2_000_000;
/// Latest notice of a caller's broken connection, in microseconds.
const LATEST_NOTICE: u64 = 20_000;
/// Longest delay of the last message of a handshake, in microseconds.
const LONGEST_HANDSHAKE: u64 = 5_000_000;

/// A kind of disruption.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disruption {
    /// Commands to workers that wait, arrive late, or are lost or rejected.
    Commands,
    /// Sessions that are reset and refused, agents that fail unnoticed, delayed handshakes.
    Sessions,
    /// Workers that refuse connections before their runs have ended.
    ClosingWorkers,
    /// Workers whose successors answer at their addresses before their runs have ended.
    SucceededWorkers,
    /// Agents that start with a wall clock that is set back.
    ClockSteps,
    /// Gateways and agents that take longer for each input.
    SlowProcesses,
    /// Faults within milliseconds of an order, an end or the opening of a session.
    TimedFaults,
    /// Agents that dial each gateway by two addresses, and have a session for each.
    OverlappingSessions,
    /// Handshakes and first messages that arrive late, beside sessions that break.
    LateHandshakes,
    /// Agents that are killed within their first seconds, beside sessions that break.
    ShortLivedProcesses,
    /// The same, where machines restart with earlier clocks, and workers with their agents.
    RestartedMachines,
    /// Workers of two kinds whose capacity shrinks while their heartbeats are held up or their agents'
    /// records are lost, or which start again under their ids and send their first heartbeat later.
    OldStatements,
}

impl Disruption {
    /// The kind of this name on the command line.
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "commands" => Some(Self::Commands),
            "sessions" => Some(Self::Sessions),
            "closing-workers" => Some(Self::ClosingWorkers),
            "succeeded-workers" => Some(Self::SucceededWorkers),
            "clock-steps" => Some(Self::ClockSteps),
            "slow-processes" => Some(Self::SlowProcesses),
            "timed-faults" => Some(Self::TimedFaults),
            "overlapping-sessions" => Some(Self::OverlappingSessions),
            "late-handshakes" => Some(Self::LateHandshakes),
            "short-lived-processes" => Some(Self::ShortLivedProcesses),
            "restarted-machines" => Some(Self::RestartedMachines),
            "old-statements" => Some(Self::OldStatements),
            _ => None,
        }
    }

    /// Separates the random choices of each kind.
    pub(super) fn stream(self) -> u64 {
        match self {
            Self::Commands => 0xc033a,
            Self::Sessions => 0x5e551,
            Self::ClosingWorkers => 0xc105e,
            Self::SucceededWorkers => 0x5ccd,
            Self::ClockSteps => 0x57e95,
            Self::SlowProcesses => 0x510a,
            Self::TimedFaults => 0x71e3d,
            Self::OverlappingSessions => 0x0e41a,
            Self::LateHandshakes => 0x1a7e4a,
            Self::ShortLivedProcesses => 0x5407,
            Self::RestartedMachines => 0x4e57a,
            Self::OldStatements => 0x01d57a,
        }
    }

    /// Whether workers start again under the ids that they had.
    pub(super) fn keeps_ids(self, random: &mut Pcg64) -> bool {
        self == Self::OldStatements || self == Self::SucceededWorkers && random.random_bool(0.5)
    }

    /// Number of kinds of workers, one of which a job may require; 0 if there are none.
    pub(super) fn kinds(self) -> u64 {
        if self == Self::OldStatements { 2 } else { 0 }
    }

    /// How long a call waits for its answer, if that is less than its caller does.
    pub(super) fn call_limit(self) -> Option<u64> {
        (self == Self::Sessions).then_some(CALL_LIMIT)
    }

    /// Events after which faults follow, until `length`, if there are any.
    pub(super) fn timed_faults(self, length: u64, random: &mut Pcg64) -> Option<TimedFaults> {
        (self == Self::TimedFaults).then(|| TimedFaults {
            one_in: random.random_range(5..100),
            until: length,
        })
    }

    /// Draws the faults of a scene, beside connections of callers that break.
    pub(super) fn draw(
        self,
        length: u64,
        gateways: usize,
        workers: usize,
        random: &mut Pcg64,
    ) -> Vec<ScheduledFault> {
        let mut faults = draw_of_resending(length, gateways, Some(LATEST_NOTICE), random);
        match self {
            Self::Commands => draw_of_commands(length, workers, random, &mut faults),
            Self::Sessions => draw_of_sessions(length, gateways, workers, random, &mut faults),
            Self::ClosingWorkers => draw_of_closing(length, workers, random, &mut faults),
            Self::SucceededWorkers => draw_of_succeeding(length, workers, random, &mut faults),
            Self::ClockSteps => draw_of_clock_steps(length, workers, random, &mut faults),
            Self::SlowProcesses => draw_of_slow(length, gateways, workers, random, &mut faults),
            Self::TimedFaults => {}
            Self::OldStatements => draw_of_old_statements(length, workers, random, &mut faults),
            Self::OverlappingSessions | Self::LateHandshakes => {
                draw_of_breaks(length, gateways, workers, random, &mut faults);
            }
            Self::ShortLivedProcesses | Self::RestartedMachines => {
                draw_of_breaks(length, gateways, workers, random, &mut faults);
                let has_early_clocks = self == Self::RestartedMachines;
                draw_of_short_lives(
                    has_early_clocks,
                    length,
                    gateways,
                    workers,
                    random,
                    &mut faults,
                );
            }
        }
        faults
    }

    /// How sessions are opened, if their handshakes take time step by step.
    pub(super) fn handshakes(self, length: u64, random: &mut Pcg64) -> Option<HandshakeDelays> {
        let has_two_addresses = self == Self::OverlappingSessions;
        let is_in_steps = matches!(
            self,
            Self::OverlappingSessions
                | Self::LateHandshakes
                | Self::ShortLivedProcesses
                | Self::RestartedMachines
        );
        is_in_steps.then(|| HandshakeDelays {
            has_two_addresses,
            keeps_second_address: has_two_addresses && random.random_bool(0.3),
            one_in: random.random_range(2..12),
            longest: LONGEST_HANDSHAKE,
            until: length,
        })
    }
}

/// Draws series of resets, of failures of one process, and delays of handshakes around them.
fn draw_of_sessions(
    length: u64,
    gateways: usize,
    workers: usize,
    random: &mut Pcg64,
    faults: &mut Vec<ScheduledFault>,
) {
    let mut add = |at, length, fault| faults.push(ScheduledFault { at, length, fault });
    for _ in 0..random.random_range(2..8) {
        let mut at = random.random_range(500_000..length);
        let (gateway, worker) = (
            random.random_range(0..gateways),
            random.random_range(0..workers),
        );
        if random.random_bool(0.4) {
            let delayed = random.random_range(1_000_000..4_000_000);
            add(at, delayed, Fault::DelayHandshakes(worker));
        }
        let kind = random.random_range(0..4);
        for _ in 0..random.random_range(1..6) {
            let (away, fault) = match kind {
                0 | 1 => (
                    random.random_range(100_000..3_000_000),
                    Fault::RefuseSessions(worker, gateway),
                ),
                2 => (
                    random.random_range(200_000..2_000_000),
                    Fault::DarkAgent(worker),
                ),
                _ => (
                    random.random_range(200_000..2_000_000),
                    Fault::DarkGateway(gateway),
                ),
            };
            add(at, away, fault);
            at += away + random.random_range(1_000..500_000);
        }
    }
}

/// Draws series of resets, each with cuts within tens of milliseconds of the next handshake.
fn draw_of_breaks(
    length: u64,
    gateways: usize,
    workers: usize,
    random: &mut Pcg64,
    faults: &mut Vec<ScheduledFault>,
) {
    let mut add = |at, length, fault| faults.push(ScheduledFault { at, length, fault });
    for _ in 0..random.random_range(3..12) {
        let mut at = random.random_range(500_000..length);
        let gateway = random.random_range(0..gateways);
        let worker = random.random_range(0..workers);
        let is_of_all = random.random_bool(0.5);
        for _ in 0..random.random_range(1..6) {
            let hit = (0..workers).filter(|other| is_of_all || *other == worker);
            let refused = random.random_range(1..30_000);
            let cut_after = refused + random.random_range(1_000..60_000);
            let cut = match random.random_range(0..3) {
                0 => 0,
                1 => random.random_range(20_000..300_000),
                _ => random.random_range(300_000..1_500_000),
            };
            for worker in hit {
                add(at, refused, Fault::RefuseSessions(worker, gateway));
                if cut > 0 {
                    add(at + cut_after, cut, Fault::Cut(worker, gateway));
                }
            }
            at += cut_after + cut + random.random_range(1_000..800_000);
        }
    }
}

/// Draws agents that are killed several times soon after their start, each time beside sessions
/// that break; with earlier clocks, and beside crashes of their workers, if `has_early_clocks`.
fn draw_of_short_lives(
    has_early_clocks: bool,
    length: u64,
    gateways: usize,
    workers: usize,
    random: &mut Pcg64,
    faults: &mut Vec<ScheduledFault>,
) {
    /// From a kill to the next start.
    const AWAY: u64 = 300_000;
    let mut add = |at, length, fault| faults.push(ScheduledFault { at, length, fault });
    for _ in 0..random.random_range(3..12) {
        let mut at = random.random_range(500_000..length);
        let worker = random.random_range(0..workers);
        for _ in 0..random.random_range(1..5) {
            if has_early_clocks {
                if random.random_bool(0.5) {
                    add(at, AWAY, Fault::CrashWorker(worker));
                }
                let back = random.random_range(1..10_000);
                add(at, 0, Fault::StepClockBack(worker, back));
            } else {
                add(at, 0, Fault::KillAgent(worker));
            }
            let life = match random.random_range(0..3) {
                0 => random.random_range(10_000..200_000),
                1 => random.random_range(200_000..1_000_000),
                _ => random.random_range(1_000_000..3_000_000),
            };
            for _ in 0..random.random_range(0..4) {
                let gateway = random.random_range(0..gateways);
                let broken_at = at + AWAY + random.random_range(0..life + 2_000_000);
                let refused = random.random_range(1..200_000);
                add(broken_at, refused, Fault::RefuseSessions(worker, gateway));
            }
            at += AWAY + life;
        }
    }
}

/// Draws workers of which an agent knows what is no longer true.
fn draw_of_old_statements(
    length: u64,
    workers: usize,
    random: &mut Pcg64,
    faults: &mut Vec<ScheduledFault>,
) {
    /// How long a capacity stays small, beyond what keeps its news back.
    const SHRUNK: u64 = 5_000_000;
    let mut add = |at, length, fault| faults.push(ScheduledFault { at, length, fault });
    for _ in 0..random.random_range(3..10) {
        let at = random.random_range(500_000..length);
        let worker = random.random_range(0..workers);
        let held_back = random.random_range(3_000_000..9_000_000);
        let shrinks_at = at + random.random_range(0..2_000_000);
        let percent = random.random_range(10..60);
        match random.random_range(0..3) {
            0 => {
                add(at, held_back, Fault::HoldHeartbeats(worker));
                add(
                    shrinks_at,
                    held_back + SHRUNK,
                    Fault::Shrink(worker, percent),
                );
            }
            1 => {
                let killed_at = at + held_back - random.random_range(0..600_000);
                add(at, held_back, Fault::LoseRecords(worker));
                add(
                    shrinks_at,
                    held_back + SHRUNK,
                    Fault::Shrink(worker, percent),
                );
                add(killed_at, 0, Fault::KillAgent(worker));
            }
            _ => {
                let away = random.random_range(1_000..2_500_000);
                let unheard = random.random_range(1_000..1_500_000);
                add(at, away, Fault::ReturnUnheard(worker, unheard));
            }
        }
    }
}

fn draw_of_closing(
    length: u64,
    workers: usize,
    random: &mut Pcg64,
    faults: &mut Vec<ScheduledFault>,
) {
    for _ in 0..random.random_range(2..8) {
        let is_restarted = random.random_bool(0.5);
        faults.push(ScheduledFault {
            at: random.random_range(500_000..length),
            length: random.random_range(20_000..2_500_000),
            fault: Fault::ShutWorker(random.random_range(0..workers), is_restarted),
        });
    }
}

fn draw_of_succeeding(
    length: u64,
    workers: usize,
    random: &mut Pcg64,
    faults: &mut Vec<ScheduledFault>,
) {
    for _ in 0..random.random_range(2..8) {
        faults.push(ScheduledFault {
            at: random.random_range(500_000..length),
            length: random.random_range(20_000..2_500_000),
            fault: Fault::SucceedWorker(random.random_range(0..workers)),
        });
    }
}

/// Draws agents that start with earlier clocks while commands of their earlier processes are
/// still to be carried out: earlier by any time, or by a power of two more than all that has passed.
fn draw_of_clock_steps(
    length: u64,
    workers: usize,
    random: &mut Pcg64,
    faults: &mut Vec<ScheduledFault>,
) {
    for _ in 0..random.random_range(2..8) {
        let at = random.random_range(500_000..length);
        let worker = random.random_range(0..workers);
        let back = match random.random_bool(0.5) {
            true => random.random_range(1..10_000),
            false => (at + 300_000) / 1_000 + (1 << random.random_range(0..14)),
        };
        let mut add = |at, length, fault| faults.push(ScheduledFault { at, length, fault });
        let before = random.random_range(0..300_000);
        let late = before + random.random_range(300_000..2_000_000);
        let fault = match random.random_bool(0.5) {
            true => Fault::LateOrders,
            false => Fault::UnansweredCommands(worker, CommandGroup::StartsAndStops),
        };
        add(at - before, late, fault);
        add(at, 0, Fault::StepClockBack(worker, back));
    }
}

/// Draws slow processes; half of the time all agents, or all gateways, at once.
fn draw_of_slow(
    length: u64,
    gateways: usize,
    workers: usize,
    random: &mut Pcg64,
    faults: &mut Vec<ScheduledFault>,
) {
    for _ in 0..random.random_range(2..8) {
        let at = random.random_range(500_000..length);
        let slow = random.random_range(300_000..4_000_000);
        let factor = random.random_range(5..=50);
        let (is_gateway, is_alone) = (random.random_bool(0.5), random.random_bool(0.5));
        let count = if is_gateway { gateways } else { workers };
        let chosen = random.random_range(0..count);
        for index in (0..count).filter(|index| !is_alone || *index == chosen) {
            let fault = match is_gateway {
                true => Fault::SlowGateway(index, factor),
                false => Fault::SlowAgent(index, factor),
            };
            faults.push(ScheduledFault {
                at,
                length: slow,
                fault,
            });
        }
    }
}

fn draw_of_commands(
    length: u64,
    workers: usize,
    random: &mut Pcg64,
    faults: &mut Vec<ScheduledFault>,
) {
    let groups = [
        CommandGroup::Starts,
        CommandGroup::Stops,
        CommandGroup::StartsAndStops,
        CommandGroup::Watches,
    ];
    for _ in 0..random.random_range(4..16) {
        let worker = random.random_range(0..workers);
        let group = groups[random.random_range(0..groups.len())];
        let fault = match random.random_range(0..3) {
            0 => Fault::DelayCommands(worker),
            1 => Fault::UnansweredCommands(worker, group),
            _ => Fault::RejectCommands(worker, group),
        };
        faults.push(ScheduledFault {
            at: random.random_range(500_000..length),
            length: random.random_range(50_000..2_000_000),
            fault,
        });
    }
}
