//! Which faults are combined, and when each begins.

use super::fault::{
    AgentInput, CommandType, Direction, Fault, GatewayInput, LateLease, LateSession, Micros,
    TokenStart,
};
use super::world::SUBMITTED_AT;

const MILLI: Micros = 1_000;
/// Time bounds of gateways, agents, workers and callers, in milliseconds.
const BOUNDS: [Micros; 7] = [300, 450, 700, 815, 1_165, 1_265, 1_300];
/// Step of the time grid of single faults, in milliseconds.
const STEP: Micros = 25;
/// Step of the time grid between two faults, in milliseconds.
const WIDE_STEP: Micros = 50;

/// How many durations of each fault are tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Detail {
    /// Two or three.
    Low,
    /// Those around the bounds.
    Medium,
    /// All of a grid.
    High,
}

impl Detail {
    fn pick<'a>(self, low: &'a [Micros], medium: &'a [Micros], high: &'a [Micros]) -> &'a [Micros] {
        match self {
            Self::Low => low,
            Self::Medium => medium,
            Self::High => high,
        }
    }
}

/// Whether the effect of a fault does not depend on when it begins.
pub fn is_timeless(fault: Fault) -> bool {
    matches!(
        fault,
        Fault::ClockRate(..)
            | Fault::Deadline(_)
            | Fault::SlowDriver(..)
            | Fault::SlowAgentDriver(..)
    )
}

/// Times at which the first fault begins.
pub fn first_times(detail: Detail, fault: Fault) -> Vec<Micros> {
    if is_timeless(fault) {
        return vec![0];
    }
    let submitted = SUBMITTED_AT;
    // The way of the submission and of the start, command by command.
    let mut times: Vec<Micros> = [200, 700, 1_150, 1_250]
        .into_iter()
        .map(|after| submitted + after)
        .collect();
    if detail == Detail::High {
        let earliest = submitted - 450 * MILLI;
        times.extend((0..100).map(|step| earliest + step * STEP * MILLI));
        times.extend(around_bounds().map(|after| submitted + after * MILLI));
    } else if detail == Detail::Medium {
        times.push(submitted - 300 * MILLI);
        times.extend([10, 35, 60, 85, 110, 600].map(|after| submitted + after * MILLI));
    } else {
        times = vec![
            submitted + 700,
            submitted + 60 * MILLI,
            submitted + 110 * MILLI,
        ];
    }
    times.sort_unstable();
    times.dedup();
    times
}

/// Times between the beginnings of two faults.
pub fn offsets(detail: Detail) -> Vec<Micros> {
    let mut offsets: Vec<Micros> = if detail == Detail::Low {
        vec![
            0, 25, 100, 250, 400, 500, 650, 800, 1_000, 1_200, 1_350, 2_000,
        ]
    } else {
        let mut offsets: Vec<Micros> = (0..29).map(|step| step * WIDE_STEP).collect();
        offsets.extend(around_bounds());
        offsets.extend([1_600, 1_900, 2_300, 2_700]);
        offsets
    };
    offsets.sort_unstable();
    offsets.dedup();
    offsets.into_iter().map(|offset| offset * MILLI).collect()
}

/// Each bound, and one step before and after it, in milliseconds.
fn around_bounds() -> impl Iterator<Item = Micros> {
    BOUNDS
        .into_iter()
        .flat_map(|bound| [bound - STEP, bound, bound + STEP])
}

/// The faults to combine.
pub fn faults(detail: Detail) -> Vec<Fault> {
    let mut faults = Vec::new();
    add_links(detail, &mut faults);
    add_processes(detail, &mut faults);
    add_commands(detail, &mut faults);
    add_workers(detail, &mut faults);
    add_callers(detail, &mut faults);
    faults
}

fn add_links(detail: Detail, faults: &mut Vec<Fault>) {
    let durations = detail.pick(
        &[500, 1_350],
        &[100, 300, 500, 800, 1_200, 1_350, 1_900],
        &[
            50, 100, 200, 300, 400, 450, 500, 600, 700, 815, 900, 1_000, 1_165, 1_265, 1_300,
            1_500, 1_900,
        ],
    );
    let links: &[(usize, usize)] = match detail {
        Detail::Low => &[(0, 0)],
        Detail::Medium => &[(0, 0), (0, 1), (1, 0)],
        Detail::High => &[(0, 0), (0, 1), (1, 0), (1, 1)],
    };
    for (agent, gateway) in links.iter().copied() {
        let is_main = (agent, gateway) == (0, 0);
        for duration in durations.iter().map(|millis| millis * MILLI) {
            if !is_main && detail == Detail::Medium && duration != 1_350 * MILLI {
                continue;
            }
            for direction in [Direction::ToAgent, Direction::ToGateway] {
                faults.push(Fault::Delay(agent, gateway, direction, duration));
                faults.push(Fault::Loss(agent, gateway, direction, duration));
            }
            faults.push(Fault::Severed(agent, gateway, duration));
            for session in [
                LateSession::Kept,
                LateSession::Left,
                LateSession::LeftForEarlierDial,
            ] {
                faults.push(Fault::LateHandshake(agent, gateway, session, duration));
            }
        }
        faults.push(Fault::Silent(agent, gateway));
        if is_main {
            faults.push(Fault::Severed(agent, gateway, 0));
            faults.push(Fault::Loss(agent, gateway, Direction::ToAgent, 10 * MILLI));
            faults.push(Fault::Loss(
                agent,
                gateway,
                Direction::ToGateway,
                10 * MILLI,
            ));
        }
    }
    let cuts = detail.pick(&[1_350], &[300, 700, 1_350, 1_900], durations);
    for agent in 0..2 {
        faults.extend(
            cuts.iter()
                .map(|millis| Fault::AgentCut(agent, millis * MILLI)),
        );
    }
}

fn add_processes(detail: Detail, faults: &mut Vec<Fault>) {
    let freezes = detail.pick(
        &[400, 1_350],
        &[100, 300, 500, 690, 800, 1_200, 1_350, 2_000],
        &[
            50, 100, 150, 200, 300, 400, 450, 500, 600, 690, 715, 800, 815, 900, 1_000, 1_165,
            1_265, 1_300, 1_350, 1_500, 2_000,
        ],
    );
    for millis in freezes {
        faults.push(Fault::GatewayFrozen(0, millis * MILLI));
        faults.push(Fault::AgentFrozen(0, millis * MILLI));
        if detail != Detail::Low {
            faults.push(Fault::GatewayFrozen(1, millis * MILLI));
            faults.push(Fault::AgentFrozen(1, millis * MILLI));
        }
    }
    let aways = detail.pick(
        &[50, 1_000],
        &[50, 400, 1_000],
        &[50, 100, 200, 300, 500, 700, 1_000, 1_300, 2_000],
    );
    for away in aways.iter().map(|millis| millis * MILLI) {
        faults.push(Fault::GatewayKilled(0, away));
        faults.push(Fault::GatewayStops(0, away));
        faults.push(Fault::AgentStops(0, away));
        for token in [
            TokenStart::WallClock,
            TokenStart::SetBack,
            TokenStart::Equal,
        ] {
            for has_record in [true, false] {
                faults.push(Fault::AgentKilled(0, away, token, has_record));
            }
        }
        if detail == Detail::High {
            faults.push(Fault::GatewayKilled(1, away));
            faults.push(Fault::AgentKilled(1, away, TokenStart::WallClock, true));
        }
    }
}

fn add_commands(detail: Detail, faults: &mut Vec<Fault>) {
    let held = detail.pick(
        &[600],
        &[50, 300, 800],
        &[50, 100, 200, 300, 400, 500, 600, 700, 800],
    );
    let late = detail.pick(
        &[300, 2_500],
        &[100, 300, 600, 2_000, 3_000],
        &[
            50, 100, 200, 300, 400, 500, 600, 650, 700, 1_000, 2_000, 2_500, 3_000, 4_000, 5_000,
        ],
    );
    let agents = if detail == Detail::High { 2 } else { 1 };
    for agent in 0..agents {
        for command in [CommandType::Start, CommandType::Stop, CommandType::Watch] {
            faults.push(Fault::AnswerLost(agent, command));
            faults.push(Fault::CommandLost(agent, command));
            for micros in held.iter().map(|millis| millis * MILLI) {
                faults.push(Fault::HeldInAgent(agent, command, micros));
            }
            for micros in late.iter().map(|millis| millis * MILLI) {
                let leases: &[LateLease] = match command {
                    CommandType::Stop => &[LateLease::Absolute],
                    _ => &[
                        LateLease::Absolute,
                        LateLease::FromExecution,
                        LateLease::OutlivesProcess,
                    ],
                };
                for lease in leases {
                    faults.push(Fault::CarriedOutLate(agent, command, micros, *lease));
                }
            }
        }
    }
}

fn add_workers(detail: Detail, faults: &mut Vec<Fault>) {
    for micros in [20, 700, 2_500].map(|millis| millis * MILLI) {
        faults.push(Fault::RefusesUnannounced(0, micros, false));
        faults.push(Fault::RefusesUnannounced(0, micros, true));
        faults.push(Fault::RefusesAnnounced(0, micros));
    }
    faults.push(Fault::OldHeartbeat(0));
    faults.push(Fault::StandsStill(0));
    faults.push(Fault::ClockRate(0, 980));
    let aways = detail.pick(&[50], &[50, 1_000], &[20, 50, 200, 500, 1_000, 2_000]);
    for away in aways.iter().map(|millis| millis * MILLI) {
        faults.push(Fault::WorkerRestarts(0, away, true));
        faults.push(Fault::WorkerRestarts(0, away, false));
    }
    let ignored = detail.pick(
        &[2_500],
        &[400, 2_500],
        &[50, 100, 200, 400, 700, 1_000, 1_300, 2_500],
    );
    for micros in ignored.iter().map(|millis| millis * MILLI) {
        for command in [CommandType::Start, CommandType::Stop, CommandType::Watch] {
            faults.push(Fault::Ignores(0, command, micros));
        }
    }
    if detail == Detail::High {
        faults.push(Fault::ClockRate(1, 980));
        faults.push(Fault::ClockRate(0, 990));
        faults.push(Fault::StandsStill(1));
    }
}

fn add_callers(detail: Detail, faults: &mut Vec<Fault>) {
    faults.push(Fault::CallerBreaks(Some(0)));
    faults.push(Fault::CallerBreaks(None));
    let notices = detail.pick(
        &[1_250, 10_000],
        &[100, 500, 1_000, 1_250, 1_350, 10_000],
        &[
            25, 50, 100, 300, 450, 700, 815, 1_000, 1_165, 1_200, 1_225, 1_250, 1_275, 1_300,
            1_325, 2_000, 3_000, 10_000,
        ],
    );
    for micros in notices.iter().map(|millis| millis * MILLI) {
        faults.push(Fault::CallerBreaks(Some(micros)));
        faults.push(Fault::SlowDriver(0, GatewayInput::Disconnects, micros));
    }
    let deadlines = detail.pick(
        &[1_500],
        &[600, 1_500],
        &[100, 300, 600, 1_000, 1_500, 2_000],
    );
    faults.extend(
        deadlines
            .iter()
            .map(|millis| Fault::Deadline(millis * MILLI)),
    );
    let waits = detail.pick(
        &[300, 1_350],
        &[100, 300, 420, 1_000, 1_350],
        &[
            50, 100, 200, 300, 400, 440, 450, 600, 1_000, 1_300, 1_350, 2_000,
        ],
    );
    for micros in waits.iter().map(|millis| millis * MILLI) {
        faults.push(Fault::SlowDriver(0, GatewayInput::Submissions, micros));
        if micros < 500 * MILLI {
            for input in [AgentInput::GatewayMessages, AgentInput::WorkerMessages] {
                faults.push(Fault::SlowAgentDriver(0, input, micros));
            }
            faults.push(Fault::SlowDriver(0, GatewayInput::AgentMessages, micros));
        }
    }
}
