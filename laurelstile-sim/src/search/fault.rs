//! The faults that the search chooses from, and what the platform's documents say about each.

use std::fmt;

/// Time in microseconds.
pub type Micros = u64;

/// Direction of messages on a session between an agent and a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Direction {
    /// From the agent to the gateway.
    ToGateway,
    /// From the gateway to the agent.
    ToAgent,
}

/// Kind of a command from an agent to its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CommandType {
    /// Starts a run.
    Start,
    /// Stops a run.
    Stop,
    /// Renews the lease and asks for the run lists.
    Watch,
}

/// What becomes of the lease in a command that is carried out late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LateLease {
    /// It ends at the time on the worker's clock that the command names.
    Absolute,
    /// It lasts from the execution as long as it would have lasted from the arrival.
    FromExecution,
    /// As [`Self::Absolute`], and the command outlives the worker's process: the next one under
    /// the same id carries it out.
    OutlivesProcess,
}

/// First fencing token of an agent that restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TokenStart {
    /// The wall clock is right.
    WallClock,
    /// The wall clock was set back by two seconds.
    SetBack,
    /// The first token equals the latest one of the earlier process.
    Equal,
}

/// What an agent does with a session whose handshake reaches its gateway late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LateSession {
    /// It keeps the session.
    Kept,
    /// It loses the session at once, and opens another.
    Left,
    /// It leaves the session at once for one to another address of the gateway, which it had begun
    /// to dial before.
    LeftForEarlierDial,
}

/// Inputs of a gateway's driver that may wait in a queue of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GatewayInput {
    /// Submissions.
    Submissions,
    /// Closed connections of callers.
    Disconnects,
    /// Messages of agents.
    AgentMessages,
}

/// Inputs of an agent's driver that may wait in a queue of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AgentInput {
    /// Messages of gateways.
    GatewayMessages,
    /// Answers of the worker, and its heartbeats.
    WorkerMessages,
}

/// A fault. Agents and workers, and gateways, are named by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// Messages of a session wait, and arrive in order afterwards.
    Delay(usize, usize, Direction, Micros),
    /// Messages of a session are lost; the session ends after this time and is opened again.
    Loss(usize, usize, Direction, Micros),
    /// Nothing arrives on the present session any more, and neither side is told. New sessions
    /// work.
    Silent(usize, usize),
    /// A session is closed, and another opened whose handshake and messages reach the gateway after
    /// this time.
    LateHandshake(usize, usize, LateSession, Micros),
    /// A session is closed at once and cannot be opened again for this time.
    Severed(usize, usize, Micros),
    /// The links of an agent to all gateways stop both ways; what was sent arrives afterwards.
    AgentCut(usize, Micros),
    /// A gateway's process does not run.
    GatewayFrozen(usize, Micros),
    /// An agent's process does not run.
    AgentFrozen(usize, Micros),
    /// A gateway's process ends and restarts after this time.
    GatewayKilled(usize, Micros),
    /// An agent's process ends and restarts after this time. The flag tells whether the next
    /// process can read the worker's record.
    AgentKilled(usize, Micros, TokenStart, bool),
    /// A gateway's process is asked to stop, and restarts after this time once it has.
    GatewayStops(usize, Micros),
    /// An agent's process is asked to stop, and restarts after this time once it has.
    AgentStops(usize, Micros),
    /// The next command of a kind is carried out and the answer is lost.
    AnswerLost(usize, CommandType),
    /// The next command of a kind does not arrive.
    CommandLost(usize, CommandType),
    /// The next command of a kind is not answered and carried out after this time.
    CarriedOutLate(usize, CommandType, Micros, LateLease),
    /// The next command of a kind waits in the agent before it is sent.
    HeldInAgent(usize, CommandType, Micros),
    /// A worker that has not announced its shutdown refuses connections and runs on for this
    /// time. The flag tells whether the open connection of watches still works.
    RefusesUnannounced(usize, Micros, bool),
    /// A worker announces its shutdown, then refuses all connections and runs on for this time.
    RefusesAnnounced(usize, Micros),
    /// A worker's process ends and starts after this time. The flag tells whether it keeps its
    /// id.
    WorkerRestarts(usize, Micros, bool),
    /// A heartbeat of the previous incarnation of a worker arrives.
    OldHeartbeat(usize),
    /// A worker leaves commands of a kind unanswered and does not carry them out.
    Ignores(usize, CommandType, Micros),
    /// The task that runs on a worker makes no progress any more.
    StandsStill(usize),
    /// A worker's clock runs at this rate, in thousandths.
    ClockRate(usize, u64),
    /// The caller's connection breaks, and the gateway learns of it after this time, if ever.
    CallerBreaks(Option<Micros>),
    /// The caller's deadline passes this long after the submission.
    Deadline(Micros),
    /// Inputs of a kind wait in a gateway's driver for this long, while others do not.
    SlowDriver(usize, GatewayInput, Micros),
    /// Inputs of a kind wait in an agent's driver for this long, while others do not.
    SlowAgentDriver(usize, AgentInput, Micros),
}

/// Whether the platform's documents allow a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Basis {
    /// A document states that it occurs.
    Stated,
    /// No document states or excludes it.
    Open,
    /// A document excludes it.
    Excluded,
}

/// A fault that begins at a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ScheduledFault {
    /// When it begins.
    pub at: Micros,
    /// What happens.
    pub fault: Fault,
}

impl Fault {
    /// Name of the kind, which histories are grouped by.
    pub fn kind(self) -> String {
        match self {
            Self::Delay(_, _, direction, _) => format!("messages {direction} delayed"),
            Self::Loss(_, _, direction, _) => format!("messages {direction} lost with the session"),
            Self::Silent(..) => "session silent".into(),
            Self::GatewayStops(..) => "gateway stops".into(),
            Self::AgentStops(..) => "agent stops".into(),
            Self::LateHandshake(_, _, session, _) => match session {
                LateSession::Kept => "handshake late".into(),
                LateSession::Left => "handshake late, session left".into(),
                LateSession::LeftForEarlierDial => {
                    "handshake late, session left for an earlier dial".into()
                }
            },
            Self::Severed(..) => "session severed".into(),
            Self::AgentCut(..) => "agent cut off from all gateways".into(),
            Self::GatewayFrozen(..) => "gateway frozen".into(),
            Self::AgentFrozen(..) => "agent frozen".into(),
            Self::GatewayKilled(..) => "gateway killed".into(),
            Self::AgentKilled(_, _, token, has_record) => {
                let token = match token {
                    TokenStart::WallClock => "",
                    TokenStart::SetBack => ", wall clock set back",
                    TokenStart::Equal => ", equal token",
                };
                let record = if has_record { "" } else { ", no record" };
                format!("agent killed{token}{record}")
            }
            Self::AnswerLost(_, command) => format!("answer to a {command} lost"),
            Self::CommandLost(_, command) => format!("{command} lost"),
            Self::CarriedOutLate(_, command, _, lease) => match lease {
                LateLease::Absolute => format!("{command} carried out late"),
                LateLease::FromExecution => {
                    format!("{command} carried out late, lease counted from then")
                }
                LateLease::OutlivesProcess => {
                    format!("{command} carried out late, also by the next process")
                }
            },
            Self::HeldInAgent(_, command, _) => format!("{command} waits in the agent"),
            Self::RefusesUnannounced(_, _, keeps_watches) => {
                let kept = if keeps_watches { ", not watches" } else { "" };
                format!("worker refuses connections and runs on, unannounced{kept}")
            }
            Self::RefusesAnnounced(..) => {
                "worker refuses connections and runs on, announced".into()
            }
            Self::WorkerRestarts(_, _, true) => "worker restarts under its id".into(),
            Self::WorkerRestarts(_, _, false) => "worker restarts under a new id".into(),
            Self::OldHeartbeat(_) => "late heartbeat of an earlier incarnation".into(),
            Self::Ignores(_, command, _) => format!("worker ignores each {command}"),
            Self::StandsStill(_) => "task stands still".into(),
            Self::ClockRate(..) => "slow worker clock".into(),
            Self::CallerBreaks(Some(0)) => "caller's connection breaks".into(),
            Self::CallerBreaks(Some(_)) => "caller's connection breaks, gateway learns late".into(),
            Self::CallerBreaks(None) => "caller's connection breaks, gateway never learns".into(),
            Self::Deadline(_) => "caller's deadline passes".into(),
            Self::SlowDriver(_, input, _) => format!("gateway handles {input} late"),
            Self::SlowAgentDriver(_, input, _) => format!("agent handles {input} late"),
        }
    }

    /// Whether the platform's documents allow the fault, and where they do.
    pub fn basis(self) -> (Basis, &'static str) {
        match self {
            Self::Delay(..) | Self::AgentCut(..) => (
                Basis::Stated,
                "SYSTEM: node_cut, node_slow; DEPLOY: Network",
            ),
            Self::GatewayStops(..) | Self::AgentStops(..) => (Basis::Stated, "SYSTEM: roll_term"),
            Self::Loss(..) | Self::Silent(..) => (
                Basis::Stated,
                "NEWS-27: open connections may go silent for good, while new ones work",
            ),
            Self::LateHandshake(_, _, LateSession::LeftForEarlierDial, _) => (
                Basis::Open,
                "no document says by how many addresses a gateway is dialed",
            ),
            Self::LateHandshake(..) => (Basis::Stated, "SYSTEM: reset_conns with node_cut"),
            Self::Severed(..) => (Basis::Stated, "SYSTEM: reset_conns"),
            Self::GatewayFrozen(..) | Self::AgentFrozen(..) => {
                (Basis::Stated, "SYSTEM: node_freeze")
            }
            Self::GatewayKilled(..) | Self::AgentKilled(_, _, TokenStart::WallClock, true) => {
                (Basis::Stated, "SYSTEM: node_kill; DEPLOY: Ends")
            }
            Self::AgentKilled(_, _, TokenStart::WallClock, false) => {
                (Basis::Stated, "SYSTEM: node_kill with platform_down")
            }
            Self::AgentKilled(..) => (
                Basis::Stated,
                "further/LATER: the time of day may jump by seconds, either way, and back",
            ),
            Self::AnswerLost(..) => (Basis::Stated, "SYSTEM: answer_lost"),
            Self::CommandLost(..) => (
                Basis::Stated,
                "PROTOCOL: a call left without an answer may have been done",
            ),
            Self::CarriedOutLate(_, _, _, LateLease::Absolute) => (
                Basis::Stated,
                "PROTOCOL: may be done seconds later, after newer calls",
            ),
            Self::CarriedOutLate(_, _, _, LateLease::FromExecution) => (
                Basis::Excluded,
                "PROTOCOL: deadline_ms is a time by the worker's clock",
            ),
            Self::CarriedOutLate(_, _, _, LateLease::OutlivesProcess) => (
                Basis::Excluded,
                "fleet/LATER: starting again, a worker knows and holds nothing from before",
            ),
            Self::HeldInAgent(..) => (Basis::Stated, "own driver; SYSTEM: node_slow"),
            Self::RefusesUnannounced(..) | Self::RefusesAnnounced(..) => (
                Basis::Open,
                "PROTOCOL: goes on serving, deregisters and ends; a dead port resets (DEPLOY)",
            ),
            Self::WorkerRestarts(_, _, true) => (
                Basis::Stated,
                "fleet/LATER: on starting again, a worker may take the id it had before",
            ),
            Self::WorkerRestarts(_, _, false) => (Basis::Stated, "SYSTEM: srv_crash"),
            Self::OldHeartbeat(_) => (
                Basis::Stated,
                "NEWS-24: a heartbeat may arrive after its sender has crashed",
            ),
            Self::Ignores(_, CommandType::Watch, _) => (Basis::Stated, "SYSTEM: srv_grey"),
            Self::Ignores(..) => (Basis::Stated, "SYSTEM: applied_late, for each order"),
            Self::StandsStill(_) => (Basis::Stated, "SYSTEM: tasks on some workers stand still"),
            Self::ClockRate(..) => (Basis::Stated, "PROTOCOL: may run 2% slow"),
            Self::CallerBreaks(Some(0)) | Self::Deadline(_) => {
                (Basis::Stated, "PROTOCOL: Jobs; SYSTEM: give_up")
            }
            Self::CallerBreaks(_) => (
                Basis::Open,
                "PROTOCOL names a broken connection, and not when the node learns of it",
            ),
            Self::SlowDriver(..) | Self::SlowAgentDriver(..) => (
                Basis::Open,
                "SYSTEM: node_slow; that inputs of one kind wait alone is not stated",
            ),
        }
    }
}

impl fmt::Display for Direction {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::ToGateway => "to a gateway",
            Self::ToAgent => "to an agent",
        })
    }
}

impl fmt::Display for CommandType {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Start => "start",
            Self::Stop => "stop",
            Self::Watch => "watch",
        })
    }
}

impl fmt::Display for AgentInput {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::GatewayMessages => "gateways' messages",
            Self::WorkerMessages => "its worker's messages",
        })
    }
}

impl fmt::Display for GatewayInput {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Submissions => "submissions",
            Self::Disconnects => "disconnects",
            Self::AgentMessages => "agents' messages",
        })
    }
}
