//! What happens to a gateway, what it wants done, and what it decides.

use std::sync::Arc;

use laurelstile_types::time::Span;

use super::job::{CallNumber, Feature, JobRequest};
use super::queues::{QueueConfiguration, QueueSettings};
use super::shares::SizeGroup;
use super::stages::StageTimes;
use crate::leased::evacuation::Evacuations;
use crate::leased::membership::View;
use crate::leased::membership::page::Page;
use crate::leased::messages::{EndKind, FromAgent, Member, ToAgent, ToPeer};
use crate::leased::task::{JobId, RunId, TaskId};
use crate::session::{Remote, SessionId};

/// What happens to a gateway.
#[derive(Debug)]
pub enum GatewayEvent {
    /// A caller hands in a job.
    Submit {
        /// The call.
        call: CallNumber,
        /// The job.
        request: JobRequest,
    },
    /// A caller's connection closed before its answer.
    CallerGone {
        /// The call.
        call: CallNumber,
    },
    /// A caller cancels a job.
    Cancel {
        /// The call.
        call: CallNumber,
        /// The job.
        job: JobId,
    },
    /// A session to an agent is open.
    AgentOpened {
        /// The session.
        session: SessionId,
        /// The agent.
        remote: Remote,
    },
    /// A session to an agent is closed.
    AgentClosed {
        /// The session.
        session: SessionId,
    },
    /// A message from an agent came.
    AgentMessage {
        /// The session.
        session: SessionId,
        /// The message.
        message: FromAgent,
    },
    /// A session to a peer is open.
    PeerOpened {
        /// The session.
        session: SessionId,
        /// Whether this gateway has dialed it.
        is_dialed: bool,
    },
    /// A session to a peer is closed.
    PeerClosed {
        /// The session.
        session: SessionId,
    },
    /// A message from a peer came.
    PeerMessage {
        /// The session.
        session: SessionId,
        /// The message.
        message: ToPeer,
    },
    /// A configuration was read.
    Configuration(QueueConfiguration),
    /// It was read which zones are evacuated.
    Evacuations(Evacuations),
    /// A page of the list of gateways was read from the store.
    Listed(Page),
    /// The process is asked to stop in a planned way.
    Stop,
    /// Time has passed.
    Tick,
}

/// What a gateway wants done.
#[derive(Debug)]
pub enum GatewayEffect {
    /// Send to an agent.
    ToAgent {
        /// The session.
        session: SessionId,
        /// The message.
        message: ToAgent,
    },
    /// Send to a peer.
    ToPeer {
        /// The session.
        session: SessionId,
        /// The message.
        message: ToPeer,
    },
    /// Close a session.
    Close(SessionId),
    /// Answer a caller.
    Answer {
        /// The call.
        call: CallNumber,
        /// The answer.
        answer: Answer,
    },
    /// A configuration is in force here.
    InForce(Arc<QueueConfiguration>),
    /// Gateways that are to be dialed until they answer.
    Dial {
        /// The gateways.
        members: Vec<Member>,
        /// Whether others, such as seeds, need not be dialed any more.
        is_settled: bool,
    },
    /// Something was decided that operators may want to know.
    Decided(GatewayDecision),
    /// No job is left; the process may exit.
    Stopped,
}

/// The final answer to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The job is done.
    Completed,
    /// The job has failed: a task of it failed as often as its queue allows, or takes its
    /// workers down.
    Failed,
    /// The job was given up after a task had been started: it may be handed in
    /// again, and may then run anew.
    GivenUp,
    /// Nothing of the job was started, and nothing of this call will be.
    Refused {
        /// Why.
        reason: Refusal,
        /// When to come back.
        retry_after: Span,
    },
    /// The job was cancelled.
    Cancelled,
    /// There is no such job here.
    Unknown,
}

/// Why a job was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// There is no configuration yet.
    NotConfigured,
    /// No worker of its service can be reached.
    NoWorker,
    /// All workers of its service are in evacuated zones.
    Evacuated,
    /// Tasks of its queue take workers down, and those that it is kept to are away.
    Contained,
    /// There was no room in time.
    Overloaded,
    /// The process stops.
    Stopping,
    /// It asks for something that is not built.
    Unsupported(Feature),
    /// Its steps are not in order.
    Malformed,
    /// Its caller's deadline was over.
    DeadlineOver,
}

/// What a gateway knows from that a run is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndSource {
    /// Its agent told.
    Agent,
    /// Its agent, which has a session again, does not hold it any more.
    Snapshot,
    /// A later agent beside the worker has it under control.
    Successor,
    /// Nothing was heard of its agent for so long that its lease is over.
    Silence,
}

impl EndSource {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Agent => "agent",
            Self::Snapshot => "snapshot",
            Self::Successor => "successor",
            Self::Silence => "silence",
        }
    }
}

/// A decision of the gateway, for the logs.
#[derive(Clone, Debug)]
pub enum GatewayDecision {
    /// A job was taken in.
    Taken {
        /// The job.
        job: JobId,
        /// Its queue.
        queue: Arc<QueueSettings>,
        /// Tasks in all.
        tasks: u32,
        /// Objective by the estimates.
        objective: Span,
        /// Version of the configuration that named the queue.
        version: u64,
    },
    /// Tasks were placed.
    Placed {
        /// The job.
        job: JobId,
        /// Name of the agent.
        agent: String,
        /// Number of tasks.
        tasks: u32,
        /// Age of the report that the choice rests on.
        report_age: Span,
        /// Time since the job came.
        age: Span,
    },
    /// A task came back and will be placed again.
    CameBack {
        /// The run.
        run: RunId,
        /// Name of the agent.
        agent: String,
        /// How its time there ended.
        how: EndKind,
        /// What the gateway knows that from.
        source: EndSource,
    },
    /// A job was answered.
    Answered {
        /// The job.
        job: JobId,
        /// Name of its queue.
        queue: Arc<QueueSettings>,
        /// The answer.
        answer: Answer,
        /// Time since the job came.
        age: Span,
        /// Objective by the estimates.
        objective: Span,
        /// Its size, if it was taken in.
        size: Option<SizeGroup>,
        /// All its work by the estimates, in core-milliseconds.
        work: u64,
        /// Where its time went.
        stages: StageTimes,
    },
    /// An agent's offer of room was answered.
    OfferAnswered {
        /// Whether tasks were sent for it.
        is_used: bool,
    },
    /// A step is done.
    StepDone {
        /// Its queue.
        queue: Arc<QueueSettings>,
        /// How long its slowest task was expected to take.
        expected: Span,
        /// How long it took.
        longest: Span,
    },
    /// How the gateway stands to the others has changed.
    Neighbors(View),
    /// Which zones are evacuated has changed.
    Evacuated(Evacuations),
    /// Several workers have crashed under a task.
    Suspected {
        /// The task.
        task: TaskId,
        /// Whether its job is given up for it; else it runs alone next.
        is_given_up: bool,
        /// The lives that have ended.
        workers: Vec<Arc<str>>,
    },
    /// A queue is kept to a part of the workers from now on, or no longer.
    Contained {
        /// Its name.
        queue: String,
        /// Which of the two.
        is_contained: bool,
    },
    /// A job's callers have gone.
    Abandoned {
        /// The job.
        job: JobId,
        /// Time since the job came.
        age: Span,
    },
    /// An agent's tasks are over because nothing was heard of it.
    AgentLapsed {
        /// Name of the agent.
        agent: String,
        /// Tasks that were there.
        tasks: usize,
        /// Time since it was heard.
        silence: Span,
    },
}
