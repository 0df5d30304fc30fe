//! Inputs and outputs of the agent's state machine.

use std::sync::Arc;

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::Span;

use super::super::checkpoint::Checkpoint;
use super::super::input::JobInput;
use super::super::messages::{EndKind, FromAgent, Member, ToAgent};
use super::super::resources::Resources;
use super::super::task::{JobId, RunId};
use super::super::worker_incarnation::{StartTime, WorkerIncarnation};
use super::preemption::CoreTime;
use super::proof::EndProof;
use super::worker::{
    CommandError, FenceToken, IncarnationRecord, Registration, Rejection, RunLists, WorkerClock,
};
use crate::session::SessionId;

/// An input to the agent's state machine.
#[derive(Debug)]
pub enum AgentEvent {
    /// A session to a gateway was opened.
    Opened {
        /// The new session.
        session: SessionId,
        /// Incarnation of the gateway.
        gateway: Incarnation,
    },
    /// A session was closed.
    Closed {
        /// The closed session.
        session: SessionId,
    },
    /// The gateway process has ended: its host refused a connection.
    GatewayEnded {
        /// Incarnation of the gateway.
        gateway: Incarnation,
    },
    /// A message arrived.
    Message {
        /// Session on which the message arrived.
        session: SessionId,
        /// Message from the gateway at the other end of the session.
        message: ToAgent,
    },
    /// The worker registered or sent a heartbeat.
    Registered(Registration),
    /// The record that an earlier agent of this worker left. The worker may have restarted
    /// since.
    RecordLoaded {
        /// What the worker stated last before the record.
        registration: Registration,
        /// The worker's clock when it did; `None` if not known.
        stated_at: Option<WorkerClock>,
    },
    /// The worker deregistered. It exits once the request is answered, or some seconds later. The
    /// request does not say which incarnation sent it.
    Deregistration {
        /// Id of the worker.
        id: Arc<str>,
    },
    /// A start command completed or failed.
    StartAnswered {
        /// The run to start.
        run: RunId,
        /// Incarnation that the command was addressed to.
        incarnation: WorkerIncarnation,
        /// The worker's answer, or why there is none.
        answer: Result<CommandAnswer, CommandError>,
    },
    /// A stop command completed or failed.
    StopAnswered {
        /// The run to stop.
        run: RunId,
        /// Incarnation that the command was addressed to.
        incarnation: WorkerIncarnation,
        /// The worker's answer, or why there is none.
        answer: Result<CommandAnswer, CommandError>,
    },
    /// A watch completed or failed.
    Watched {
        /// Incarnation that the command was addressed to.
        incarnation: WorkerIncarnation,
        /// The worker's answer, or why there is none.
        answer: Result<WatchAnswer, CommandError>,
    },
    /// A graceful shutdown of the agent was requested.
    Stop,
    /// Time has passed.
    Tick,
}

/// A worker's answer to a start or stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommandAnswer {
    /// The worker's clock; `None` if the answer does not carry it.
    pub clock: Option<WorkerClock>,
    /// Why the command had no effect; `None` if it was carried out.
    pub rejection: Option<Rejection>,
}

/// A worker's answer to a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchAnswer {
    /// The worker's clock; `None` if the answer does not carry it.
    pub clock: Option<WorkerClock>,
    /// Start time of the answering process; `None` if the answer does not carry it.
    pub started_at: Option<StartTime>,
    /// The worker's run lists, or why it rejected the watch.
    pub lists: Result<RunLists, Rejection>,
}

/// A command for one incarnation of the worker.
#[derive(Clone, Debug)]
pub struct WorkerCommand {
    /// Incarnation that the command is addressed to.
    pub incarnation: WorkerIncarnation,
    /// Fencing token of the agent.
    pub token: FenceToken,
    /// Operation that the worker is to carry out.
    pub kind: CommandKind,
}

/// The operations that an agent can request from its worker.
#[derive(Clone, Debug)]
pub enum CommandKind {
    /// Start a run.
    Start {
        /// The run to start.
        run: RunId,
        /// Input of the run's job.
        input: JobInput,
        /// End of the lease, on the worker's clock.
        lease_until: WorkerClock,
        /// Saved progress of an earlier run of the task, from which the run continues.
        checkpoint: Option<Checkpoint>,
    },
    /// Stop a run, and reject any later start of it.
    Stop {
        /// The run to stop.
        run: RunId,
    },
    /// Renew the lease of all runs and wait for a run to end.
    Watch {
        /// Highest entry number of an ended run that the worker may discard; 0 if there is
        /// nothing new to acknowledge.
        last_seen: u64,
        /// End of the lease on the worker's clock; `None` if it is not renewed.
        lease_until: Option<WorkerClock>,
        /// Longest time that the worker may wait for a run to end before it answers.
        wait: Span,
    },
}

/// An action that the driver of the state machine carries out.
#[derive(Debug)]
pub enum AgentEffect {
    /// Send a message.
    Send {
        /// Session to send the message on.
        session: SessionId,
        /// Message to the gateway at the other end of the session.
        message: FromAgent,
    },
    /// Close a session.
    Close(SessionId),
    /// Send a command to the worker; an event with the result must follow.
    Command(WorkerCommand),
    /// Gateways that another gateway has announced.
    Members(Vec<Member>),
    /// Replace the stored record of the worker, which the next agent reads at start.
    StoreRecord(IncarnationRecord),
    /// Answer the deregistration of the worker with this id.
    AnswerDeregistration(Arc<str>),
    /// Report a decision to the log and the metrics.
    Decided(AgentDecision),
    /// The graceful shutdown is complete; the process may exit.
    Stopped,
}

/// How an agent learned that an incarnation of its worker has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationEnd {
    /// The worker refused connections until its lease had expired.
    Crashed,
    /// A worker with another id answered in its place.
    Superseded,
    /// The worker answered with another start time: it has restarted under the same id.
    Restarted,
    /// The worker deregistered, and none of its runs is left.
    Deregistered,
    /// The worker was silent until its leases expired, and another incarnation has registered.
    Replaced,
}

impl IncarnationEnd {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Crashed => "crashed",
            Self::Superseded => "superseded",
            Self::Restarted => "reborn",
            Self::Deregistered => "deregistered",
            Self::Replaced => "replaced",
        }
    }
}

/// How an agent learned of an incarnation of its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationSource {
    /// A registration or heartbeat of the worker.
    Heartbeat,
    /// The record that an earlier agent left.
    Record,
    /// The worker's run lists carried a new start time. Nothing else is known of the incarnation
    /// until its first heartbeat.
    Lists,
}

impl IncarnationSource {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Heartbeat => "heartbeat",
            Self::Record => "record",
            Self::Lists => "lists",
        }
    }
}

/// Why the contents of a heartbeat are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatIgnoreReason {
    /// The incarnation that sent the heartbeat has ended, and another one is current.
    EndedIncarnation,
    /// The incarnation that sent the heartbeat has deregistered.
    DeregisteredIncarnation,
    /// The heartbeat carries no start time, but the current incarnation has one.
    NoStartTime,
    /// The heartbeat names another service than the worker's.
    OtherService,
}

impl HeartbeatIgnoreReason {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::EndedIncarnation => "ended_life",
            Self::DeregisteredIncarnation => "deregistered_life",
            Self::NoStartTime => "no_birth",
            Self::OtherService => "other_service",
        }
    }
}

/// A run that ended together with its worker's incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostRun {
    /// Task, and number of the task's run.
    pub run: RunId,
    /// Time since the run's start command was sent.
    pub age: Span,
}

/// A decision of the agent, reported to the log and the metrics.
#[derive(Clone, Debug)]
pub enum AgentDecision {
    /// Starts of a job were rejected that another gateway has claimed.
    StartOfClaimedJob {
        /// Id of the job.
        job: JobId,
        /// Incarnation of the gateway that requested them.
        gateway: Incarnation,
    },
    /// A gateway did not answer an offer in time.
    OfferExpired,
    /// A gateway had not received the current description of the worker when it sent starts, which were
    /// refused: it chose the worker as it was before.
    StartOutdated {
        /// Id of the job.
        job: JobId,
        /// Index of the step within the job.
        step: u32,
        /// Number of tasks.
        tasks: usize,
        /// Age of the sender's echo.
        echo_age: Span,
    },
    /// A cancellation was not recorded, since too many are retained.
    CancelNotRecorded {
        /// Id of the job.
        job: JobId,
    },
    /// The agent has taken control of an incarnation of the worker: every run there is its own.
    ControlTaken {
        /// The controlled incarnation.
        incarnation: WorkerIncarnation,
        /// Fencing token of the agent's commands.
        token: FenceToken,
    },
    /// An incarnation of the worker became the current one.
    IncarnationStarted {
        /// The new incarnation.
        incarnation: WorkerIncarnation,
        /// How the agent learned of the incarnation.
        source: IncarnationSource,
        /// Whether the incarnation was already draining when it became current.
        draining: bool,
    },
    /// A heartbeat was answered, and its contents were ignored.
    HeartbeatIgnored {
        /// Incarnation that the heartbeat names.
        incarnation: WorkerIncarnation,
        /// Why the heartbeat was ignored.
        reason: HeartbeatIgnoreReason,
        /// Whether the heartbeat reports the worker as draining.
        draining: bool,
        /// Sequence number of the heartbeat.
        sequence: u64,
    },
    /// The worker's latest heartbeat is so old that its capacity may be out of date, since no other has
    /// arrived or since it was held up on its way. Nothing starts there until the next one.
    CapacityStale {
        /// The current incarnation.
        incarnation: WorkerIncarnation,
        /// Upper bound of the age of the heartbeat; `None` if there is no bound.
        max_age: Option<Span>,
        /// Time since the heartbeat arrived.
        since_arrival: Span,
    },
    /// A start was unanswered when the worker's incarnation ended. The next incarnation under
    /// the same id may still carry it out, so the task is not repeated until that is ruled out.
    StartHeld {
        /// The held run.
        run: RunId,
    },
    /// A deregistration came from an earlier incarnation and is disregarded.
    LateDeregistration {
        /// The current incarnation.
        incarnation: WorkerIncarnation,
    },
    /// A delayed heartbeat of an ended incarnation arrived while the current one still answers.
    LateHeartbeat {
        /// The ended incarnation.
        incarnation: WorkerIncarnation,
        /// The current incarnation.
        current: WorkerIncarnation,
    },
    /// A session was closed because nothing arrived on it.
    SessionSilent {
        /// Incarnation of the gateway.
        gateway: Incarnation,
        /// Age of the gateway's latest echo.
        silence: Span,
    },
    /// A gateway that owns runs here has opened a new session.
    SessionResumed {
        /// Incarnation of the gateway.
        gateway: Incarnation,
        /// Age of the gateway's latest echo.
        silence: Span,
        /// Number of runs at this agent that the gateway owns.
        runs: usize,
    },
    /// A stop has been unanswered for longer than a stop may take.
    StopUnanswered {
        /// Run whose stop is unanswered.
        run: RunId,
        /// Why the run is being stopped.
        reason: &'static str,
        /// Time since the stop began, or since it was restarted for another incarnation.
        age: Span,
        /// Number of stops without an answer.
        stops: u32,
    },
    /// An incarnation of the worker has ended.
    IncarnationEnded {
        /// The ended incarnation.
        incarnation: WorkerIncarnation,
        /// How the agent learned of the end.
        end: IncarnationEnd,
        /// Runs that ended with the incarnation.
        runs: Vec<LostRun>,
    },
    /// The worker reported a changed capacity.
    CapacityChanged {
        /// The current incarnation.
        incarnation: WorkerIncarnation,
        /// Capacity before the change.
        before: Resources,
        /// Capacity after the change.
        now: Resources,
    },
    /// The labels that the worker's heartbeats agree on have changed.
    LabelsChanged {
        /// The current incarnation.
        incarnation: WorkerIncarnation,
        /// Labels that gateways are told from now on.
        labels: Vec<String>,
    },
    /// The worker began to drain.
    Draining {
        /// The draining incarnation.
        incarnation: WorkerIncarnation,
    },
    /// The worker stated when it leaves, or an earlier time than before.
    Departing {
        /// The departing incarnation.
        incarnation: WorkerIncarnation,
        /// Least time until it leaves.
        remaining: Span,
        /// Number of runs that the worker has.
        runs: usize,
    },
    /// Runs that cannot end before the worker leaves are stopped, to be placed elsewhere.
    RunsMoved {
        /// The departing incarnation.
        incarnation: WorkerIncarnation,
        /// Least time until it leaves.
        remaining: Span,
        /// Number of runs that are stopped.
        moved: usize,
        /// Number of runs that continue, since they are expected to end in time.
        kept: usize,
    },
    /// The worker's zone was evacuated, or its evacuation was revoked.
    Evacuated {
        /// Whether the zone is evacuated now.
        is_evacuated: bool,
        /// Store revision of the list of evacuated zones.
        revision: u64,
    },
    /// The worker does not answer.
    WorkerSilent {
        /// The current incarnation.
        incarnation: WorkerIncarnation,
    },
    /// The agent stops a run without a request from its gateway.
    Stopping {
        /// Run that is stopped.
        run: RunId,
        /// Why the run is being stopped.
        reason: &'static str,
        /// Age of the latest echo of the owning gateway.
        echo_age: Span,
        /// Progress of the run, in percent.
        percent: u32,
    },
    /// The agent stops runs so that a waiting task of another queue can start.
    Preempting {
        /// Job of the waiting task.
        job: JobId,
        /// Time since the task's step was announced.
        waited: Span,
        /// The runs.
        runs: Vec<RunId>,
        /// Processing time that is lost.
        loss: CoreTime,
    },
    /// A run was not started, or ended other than by completing.
    Ended {
        /// Run that was not started, or that ended.
        run: RunId,
        /// Outcome of the run, as reported to the gateway.
        how: EndKind,
        /// Evidence that the run has ended.
        proof: EndProof,
    },
}
