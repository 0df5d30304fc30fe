//! What goes into an agent's machine and what comes out of it.

use std::sync::Arc;

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::Span;

use super::super::input::JobInput;
use super::super::messages::{EndKind, FromAgent, Member, ToAgent};
use super::super::resources::Resources;
use super::super::task::RunId;
use super::super::worker_incarnation::{StartTime, WorkerIncarnation};
use super::proof::EndProof;
use super::worker::{
    FenceToken, KnownLife, OrderFailure, Registration, Rejection, WorkerClock, WorkerLists,
};
use crate::session::SessionId;

/// What happens to an agent.
#[derive(Debug)]
pub enum AgentEvent {
    /// A session to a gateway is open.
    Opened {
        /// The session.
        session: SessionId,
        /// Incarnation of the gateway.
        gateway: Incarnation,
    },
    /// A session is closed.
    Closed {
        /// The session.
        session: SessionId,
    },
    /// The process that `gateway` was has ended: its host refused a connection.
    GatewayEnded {
        /// Incarnation of the gateway.
        gateway: Incarnation,
    },
    /// A message came.
    Message {
        /// Session on which it came.
        session: SessionId,
        /// The message.
        message: ToAgent,
    },
    /// The worker has registered, or sent a heartbeat.
    Registered(Registration),
    /// What an earlier agent here was told last; the worker may have a new life
    /// since.
    Recalled(Registration),
    /// The worker deregisters: it ends once that is answered, or some seconds later. Which of
    /// its lives does is not said.
    Deregistration {
        /// The worker's id.
        id: Arc<str>,
    },
    /// A start was answered, or not.
    StartAnswered {
        /// The run.
        run: RunId,
        /// Life that the order was for.
        life: WorkerIncarnation,
        /// The answer.
        answer: Result<OrderAnswer, OrderFailure>,
    },
    /// A stop was answered, or not.
    StopAnswered {
        /// The run.
        run: RunId,
        /// Life that the order was for.
        life: WorkerIncarnation,
        /// The answer.
        answer: Result<OrderAnswer, OrderFailure>,
    },
    /// The worker's lists came, or did not.
    Watched {
        /// Life that was asked.
        life: WorkerIncarnation,
        /// The answer.
        answer: Result<WatchAnswer, OrderFailure>,
    },
    /// The process is asked to stop in a planned way.
    Stop,
    /// Time has passed.
    Tick,
}

/// A worker's answer to a start or stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderAnswer {
    /// The worker's clock, if the answer tells it.
    pub clock: Option<WorkerClock>,
    /// Why nothing was done; `None` if it was done.
    pub rejection: Option<Rejection>,
}

/// A worker's answer to a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchAnswer {
    /// The worker's clock, if the answer tells it.
    pub clock: Option<WorkerClock>,
    /// When the process began that answers, if it tells.
    pub started_at: Option<StartTime>,
    /// Its lists, or why there are none.
    pub lists: Result<WorkerLists, Rejection>,
}

/// Orders for the worker, all of one life and with one token.
#[derive(Clone, Debug)]
pub struct Order {
    /// Life of the worker that is meant.
    pub life: WorkerIncarnation,
    /// The agent's token.
    pub token: FenceToken,
    /// What is ordered.
    pub kind: OrderKind,
}

/// An order for the worker.
#[derive(Clone, Debug)]
pub enum OrderKind {
    /// Start a run.
    Start {
        /// The run.
        run: RunId,
        /// Input of its job.
        input: JobInput,
        /// End of the lease, on the worker's clock.
        lease_until: WorkerClock,
    },
    /// Stop a run, and never start it.
    Stop {
        /// The run.
        run: RunId,
    },
    /// Renew the lease of everything, and wait for an end.
    Watch {
        /// Highest number of an end that was taken in.
        last_seen: u64,
        /// End of the lease on the worker's clock, if it is to be renewed.
        lease_until: Option<WorkerClock>,
        /// How long the worker may wait for an end.
        wait: Span,
    },
}

/// What an agent wants done.
#[derive(Debug)]
pub enum AgentEffect {
    /// Send a message.
    Send {
        /// The session.
        session: SessionId,
        /// The message.
        message: FromAgent,
    },
    /// Close a session.
    Close(SessionId),
    /// Give the worker an order; an event with its answer must follow.
    Order(Order),
    /// A gateway told of the gateways that it knows.
    Members(Vec<Member>),
    /// A later agent must know this. It takes the place of what was to be known before.
    Remember(KnownLife),
    /// The deregistration of the worker of that id may be answered.
    AnswerDeregistration(Arc<str>),
    /// Something was decided that operators may want to know.
    Decided(AgentDecision),
    /// Nothing runs any more; the process may exit.
    Stopped,
}

/// How an agent learns that a life of its worker is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeEnd {
    /// Its host refuses connections: the process died.
    Crashed,
    /// A worker with another id answers in its place.
    Superseded,
    /// The worker answers, and tells another birth: it has started again under its id.
    Reborn,
    /// The worker said so itself, and nothing runs there any more.
    Deregistered,
    /// It was silent until its runs had lapsed, and another life has registered.
    Replaced,
}

impl LifeEnd {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Crashed => "crashed",
            Self::Superseded => "superseded",
            Self::Reborn => "reborn",
            Self::Deregistered => "deregistered",
            Self::Replaced => "replaced",
        }
    }
}

/// How an agent learns of a life of its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeSource {
    /// The worker said so.
    Heartbeat,
    /// An earlier agent left word of it.
    Record,
    /// The worker's lists tell another birth than that of the life before. Nothing else is
    /// known of it until its first heartbeat.
    Lists,
}

impl LifeSource {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Heartbeat => "heartbeat",
            Self::Record => "record",
            Self::Lists => "lists",
        }
    }
}

/// Why nothing of what a heartbeat says is heeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IgnoredHeartbeat {
    /// The life that it names has ended, and another is present.
    EndedLife,
    /// The life that it names has deregistered.
    DeregisteredLife,
    /// It tells no birth, where the worker's present life does.
    NoBirth,
    /// It names another service than the worker's.
    OtherService,
}

impl IgnoredHeartbeat {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::EndedLife => "ended_life",
            Self::DeregisteredLife => "deregistered_life",
            Self::NoBirth => "no_birth",
            Self::OtherService => "other_service",
        }
    }
}

/// A run that ended with its worker's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostRun {
    /// The run.
    pub run: RunId,
    /// Time since its start was sent.
    pub age: Span,
}

/// A decision of the agent, for the logs.
#[derive(Clone, Debug)]
pub enum AgentDecision {
    /// A gateway did not answer an offer of room in time.
    OfferExpired,
    /// A worker's life is under this agent's control.
    InControl {
        /// The life.
        life: WorkerIncarnation,
        /// The token.
        token: FenceToken,
    },
    /// A life of the worker is the present one from now on.
    LifeBegan {
        /// The life.
        life: WorkerIncarnation,
        /// How it became known.
        source: LifeSource,
        /// Whether it drains.
        draining: bool,
    },
    /// A heartbeat was answered, and nothing of what it says is heeded.
    HeartbeatIgnored {
        /// The life that it names.
        life: WorkerIncarnation,
        /// Why.
        reason: IgnoredHeartbeat,
        /// Whether it says that the worker drains.
        draining: bool,
        /// Its number.
        sequence: u64,
    },
    /// The worker has said nothing of itself for so long that its room is not relied on:
    /// nothing starts there until it does.
    RoomAged {
        /// The life.
        life: WorkerIncarnation,
    },
    /// A start had no answer when the worker's life ended. It may yet be carried out by the
    /// next life under the id, so its task is not repeated before that is ruled out.
    StartHeld {
        /// The run.
        run: RunId,
    },
    /// A deregistration was that of an earlier life: the present one goes on.
    LateDeregistration {
        /// The present life.
        life: WorkerIncarnation,
    },
    /// A heartbeat came of a life that has ended: the present one still answers.
    LateHeartbeat {
        /// The ended life.
        life: WorkerIncarnation,
        /// The present life.
        present: WorkerIncarnation,
    },
    /// Nothing came over a session for so long that it was closed.
    SessionSilent {
        /// Incarnation of its gateway.
        gateway: Incarnation,
        /// How long.
        silence: Span,
    },
    /// A gateway has a session again that has runs here.
    SessionResumed {
        /// Incarnation of the gateway.
        gateway: Incarnation,
        /// Age of the latest reading of the agent's clock that it has sent back.
        silence: Span,
        /// Its runs.
        runs: usize,
    },
    /// A stop of a run has got no answer for longer than a stop may take.
    StopUnanswered {
        /// The run.
        run: RunId,
        /// Why it is stopped.
        reason: &'static str,
        /// Time since the first stop was sent.
        age: Span,
        /// Stops without an answer.
        stops: u32,
    },
    /// A worker's life is over.
    LifeOver {
        /// The life.
        life: WorkerIncarnation,
        /// How that became known.
        end: LifeEnd,
        /// Runs that ended with it.
        runs: Vec<LostRun>,
    },
    /// The worker has another room than before.
    CapacityChanged {
        /// The life.
        life: WorkerIncarnation,
        /// The room before.
        before: Resources,
        /// The room now.
        now: Resources,
    },
    /// The worker drains.
    Draining {
        /// The life.
        life: WorkerIncarnation,
    },
    /// The worker's zone was evacuated, or taken back.
    Evacuated {
        /// Which of the two.
        is_evacuated: bool,
        /// Revision of the store that says so.
        revision: u64,
    },
    /// The worker does not answer.
    WorkerSilent {
        /// The life.
        life: WorkerIncarnation,
    },
    /// A run is being stopped for a reason of the agent's own.
    Stopping {
        /// The run.
        run: RunId,
        /// Why.
        reason: &'static str,
        /// Age of the owner's echo.
        echo_age: Span,
        /// The run's progress in percent.
        percent: u32,
    },
    /// A task did not start, or ended in another way than done.
    Ended {
        /// The run.
        run: RunId,
        /// How.
        how: EndKind,
        /// What proves it.
        proof: EndProof,
    },
}
