//! Inputs, effects and decisions of a gateway.

use std::sync::Arc;

use laurelstile_types::time::Span;

use super::accepted_share::ExpectedShare;
use super::capacity::DepartingCapacity;
use super::forecast::ExpectedWait;
use super::job::{CallNumber, Feature, JobRequest};
use super::on_time_rates::SizeGroup;
use super::queues::{ConfigurationError, QueueConfiguration, QueueSettings};
use super::shares::Standing;
use super::stages::StageTimes;
use crate::leased::evacuation::Evacuations;
use crate::leased::membership::View;
use crate::leased::membership::page::Page;
use crate::leased::messages::{EndKind, FromAgent, Member, ToAgent, ToPeer};
use crate::leased::task::{JobId, RunId, TaskId};
use crate::session::{Remote, SessionId};

/// Input to the gateway's state machine.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "the largest variant, an agent's message, is by far the most frequent"
)]
pub enum GatewayEvent {
    /// A caller submits a job.
    Submit {
        /// Number under which the answer is returned.
        call: CallNumber,
        /// Job as submitted.
        request: JobRequest,
    },
    /// A caller's connection closed before its answer was sent.
    CallerDisconnected {
        /// Number of the unanswered call.
        call: CallNumber,
    },
    /// A caller requests the cancellation of a job.
    Cancel {
        /// Number under which the answer is returned.
        call: CallNumber,
        /// Id of the job.
        job: JobId,
    },
    /// A session with an agent was opened.
    AgentOpened {
        /// Id of the session.
        session: SessionId,
        /// Name and incarnation of the agent.
        remote: Remote,
    },
    /// A session with an agent was closed.
    AgentClosed {
        /// Id of the session.
        session: SessionId,
    },
    /// A message from an agent was received.
    AgentMessage {
        /// Id of the session.
        session: SessionId,
        /// Decoded message.
        message: FromAgent,
    },
    /// A session with a peer gateway was opened.
    PeerOpened {
        /// Id of the session.
        session: SessionId,
        /// Whether this gateway opened the connection.
        is_dialed: bool,
    },
    /// A session with a peer gateway was closed.
    PeerClosed {
        /// Id of the session.
        session: SessionId,
    },
    /// A message from a peer gateway was received.
    PeerMessage {
        /// Id of the session.
        session: SessionId,
        /// Decoded message.
        message: ToPeer,
    },
    /// A configuration was read from the store.
    Configuration(QueueConfiguration),
    /// The evacuated zones were read from the store.
    Evacuations(Evacuations),
    /// A page of the list of gateways was read from the store.
    ListPage(Page),
    /// The process was asked for a graceful shutdown.
    Stop,
    /// Timers may have expired.
    Tick,
}

/// Action that the caller of the state machine has to carry out.
#[derive(Debug)]
pub enum GatewayEffect {
    /// Send a message to an agent.
    ToAgent {
        /// Id of the session.
        session: SessionId,
        /// Message to send.
        message: ToAgent,
    },
    /// Send a message to a peer gateway.
    ToPeer {
        /// Id of the session.
        session: SessionId,
        /// Message to send.
        message: ToPeer,
    },
    /// Close a session.
    Close(SessionId),
    /// Send the final answer to a call.
    Answer {
        /// Number under which the answer is returned.
        call: CallNumber,
        /// Outcome sent to the callers.
        answer: Answer,
    },
    /// A newer configuration is in force.
    InForce(Arc<QueueConfiguration>),
    /// Dial these gateways and retry until they answer.
    Dial {
        /// Gateways to which sessions are wanted.
        members: Vec<Member>,
        /// Whether all other addresses, such as seeds, need no longer be dialed.
        is_settled: bool,
    },
    /// Log or count a decision.
    Decided(GatewayDecision),
    /// The graceful shutdown is complete; the process may exit.
    Stopped,
}

/// The final answer to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// All tasks of the job have completed.
    Completed,
    /// The job has failed: one of its tasks failed as often as its queue allows, or repeatedly
    /// crashed its workers.
    Failed,
    /// The job was given up after a task may have started. It may be resubmitted, and its
    /// tasks may then run again.
    GivenUp,
    /// No task of the job was started, and none will be for this call.
    Refused {
        /// Cause of the refusal.
        reason: Refusal,
        /// Time after which the caller may retry.
        retry_after: Span,
    },
    /// A caller cancelled the job.
    Cancelled,
    /// This gateway does not hold the job.
    Unknown,
    /// The cancellation of a job is not acknowledged. It may take effect, and may be requested again, at
    /// any gateway.
    CancelUnacknowledged {
        /// Time after which the caller may request it again at this gateway.
        retry_after: Span,
    },
}

/// Why a job was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The gateway has no configuration yet.
    NotConfigured,
    /// No worker is reachable.
    NoWorker,
    /// All workers of the service are in evacuated zones.
    Evacuated,
    /// The queue is contained because its tasks crash workers, and none of the workers
    /// reserved for it is usable.
    Contained,
    /// No capacity became free in time.
    Overloaded,
    /// The process is stopping.
    Stopping,
    /// The job requests a feature that is not implemented.
    Unsupported(Feature),
    /// The steps are not in dependency order, a step has no tasks, or there are too many steps
    /// or tasks.
    Malformed,
    /// The caller's deadline leaves too little time for the job.
    DeadlineOver,
    /// The others have not confirmed that only this gateway may start the job.
    ClaimUnconfirmed,
}

/// Why a job was refused for lack of capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// It was rejected at once, since its expected wait was too long.
    Forecast(ExpectedWait),
    /// It was rejected at arrival, since this share of its queue's jobs is accepted.
    AcceptedShare(ExpectedShare),
    /// Nothing of it was placed within its time.
    Wait,
}

/// Why a cancellation is acknowledged, or is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// Acknowledged: this gateway held the job and has ended it.
    HeldHere,
    /// Acknowledged: another gateway held the job and has ended it.
    HeldByPeer,
    /// Acknowledged: all other gateways have recorded the cancellation.
    AllGateways,
    /// Acknowledged: all agents have recorded the cancellation and start nothing of the job.
    AllAgents,
    /// Not acknowledged: a gateway and an agent have not confirmed, and may start the job together.
    Unconfirmed,
    /// Not acknowledged: too many cancellations are retained.
    NotRecorded,
}

impl CancelOutcome {
    /// Name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::HeldHere => "held_here",
            Self::HeldByPeer => "held_by_peer",
            Self::AllGateways => "all_gateways",
            Self::AllAgents => "all_agents",
            Self::Unconfirmed => "unconfirmed",
            Self::NotRecorded => "not_recorded",
        }
    }

    /// Whether the caller is told that the job is cancelled.
    pub fn is_acknowledged(self) -> bool {
        !matches!(self, Self::Unconfirmed | Self::NotRecorded)
    }
}

/// Evidence by which a gateway knows that a run has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndSource {
    /// The agent reported the end.
    Agent,
    /// The agent's snapshot on a new session no longer lists the run.
    Snapshot,
    /// A newer agent process of the same name controls the worker.
    Successor,
    /// The agent was silent for so long that the lease has expired.
    Silence,
}

impl EndSource {
    /// Name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Agent => "agent",
            Self::Snapshot => "snapshot",
            Self::Successor => "successor",
            Self::Silence => "silence",
        }
    }
}

/// A decision of the gateway, for logs and metrics.
#[derive(Clone, Debug)]
pub enum GatewayDecision {
    /// A job was admitted.
    Admitted {
        /// Id of the job.
        job: JobId,
        /// Settings of the queue.
        queue: Arc<QueueSettings>,
        /// Total number of tasks of the job.
        tasks: u32,
        /// Response time objective, derived from the estimates.
        objective: Span,
        /// Version of the configuration that was in force.
        version: u64,
    },
    /// Tasks were sent to an agent.
    Placed {
        /// Id of the job.
        job: JobId,
        /// Name of the worker's agent.
        agent: String,
        /// Number of tasks in the batch.
        tasks: u32,
        /// Time since the latest message from the agent, with or without a report.
        report_age: Span,
        /// Time since the caller sent the job.
        age: Span,
    },
    /// A run was stopped by its agent for a task of another queue; the task is placed again.
    TaskPreempted {
        /// Task, and number of the run.
        run: RunId,
        /// Queue of the task.
        queue: Arc<QueueSettings>,
        /// Name of the agent.
        agent: String,
        /// Time since the run was placed.
        age: Span,
    },
    /// Tasks of a step with data were placed, with the `locality` policy on.
    DataPlaced {
        /// Settings of the queue.
        queue: Arc<QueueSettings>,
        /// Number of tasks in the batch.
        tasks: u32,
        /// Whether the worker is far from the data.
        is_remote: bool,
    },
    /// All tasks of a step with data were placed, some after remote workers had been passed over.
    WaitedForNear {
        /// Id of the job.
        job: JobId,
        /// Settings of the queue.
        queue: Arc<QueueSettings>,
        /// Time since the step was first considered for placement.
        waited: Span,
        /// Whether the last tasks went to a worker far from the data.
        is_remote: bool,
    },
    /// A task ended without success and is placed again, unless its job ends.
    TaskReturned {
        /// Id of the ended run.
        run: RunId,
        /// Name of the worker's agent.
        agent: String,
        /// How the run ended.
        how: EndKind,
        /// How the gateway learned of the end.
        source: EndSource,
    },
    /// A job's callers were answered.
    Answered {
        /// Id of the job.
        job: JobId,
        /// Settings of the job's queue.
        queue: Arc<QueueSettings>,
        /// Outcome sent to the callers.
        answer: Answer,
        /// Time since the caller sent the job.
        age: Span,
        /// Response time objective, derived from the estimates.
        objective: Span,
        /// Size group, or `None` if the job was not admitted.
        size: Option<SizeGroup>,
        /// Estimated total work, in core-milliseconds.
        work: u64,
        /// Time spent in each stage.
        stages: StageTimes,
    },
    /// A job was refused for lack of capacity while the policy for admission is on.
    RefusedForCapacity {
        /// Id of the job.
        job: JobId,
        /// Settings of the job's queue.
        queue: Arc<QueueSettings>,
        /// Whether it was rejected at once, or refused after its wait.
        cause: RefusalCause,
        /// Time after which the caller may retry.
        retry_after: Span,
    },
    /// Backlog and drain rate of a queue, while either is known.
    QueueForecast {
        /// Settings of the queue.
        queue: Arc<QueueSettings>,
        /// Estimated work of the unstarted jobs, in core-milliseconds.
        backlog: u64,
        /// Drain rate, in core-milliseconds per second; 0 if it is not known.
        drain_rate: f64,
    },
    /// An agent's offer of free resources was used or declined.
    OfferAnswered {
        /// Whether tasks were sent in response.
        is_used: bool,
    },
    /// All tasks of a step have completed.
    StepDone {
        /// Settings of the queue.
        queue: Arc<QueueSettings>,
        /// Expected run time of the slowest task.
        expected: Span,
        /// Actual time of the slowest task, from placement to completion.
        longest: Span,
    },
    /// The view of the other gateways has changed.
    Neighbors(View),
    /// A newer state of the evacuated zones was received.
    Evacuated(Evacuations),
    /// The capacity of a service that does not count has changed: of its workers that drain, are in
    /// an evacuated zone or cannot be reached.
    CapacityDeparting {
        /// Name of the service.
        service: String,
        /// Capacity of the other workers of the service, in thousandths of a core.
        usable: u64,
        /// The capacity that does not count, and why.
        departing: DepartingCapacity,
    },
    /// Several workers have crashed while running a task.
    Suspected {
        /// Id of the suspected task.
        task: TaskId,
        /// Whether the task is not started again, so that its job fails. Otherwise it next runs
        /// exclusively on a worker, unless its job is given up because too many suspects wait.
        is_given_up: bool,
        /// Incarnations of the crashed workers.
        workers: Vec<Arc<str>>,
    },
    /// Containment of a queue began or ended.
    Contained {
        /// Name of the queue.
        queue: String,
        /// `true` if containment began, `false` if it ended.
        is_contained: bool,
    },
    /// The standing of a queue has changed, contention of its service began or ended, or the contention
    /// goes on.
    QueueShare {
        /// Name of the queue.
        queue: String,
        /// Whether the queue is within its fair share.
        standing: Standing,
        /// Whether the queue has demand and its service is under contention.
        is_contended: bool,
        /// Fair share, in thousandths of a core; 0 without contention.
        share_cpu_millis: u64,
        /// Capacity that the queue's runs take, in thousandths of a core; 0 without contention.
        running_cpu_millis: u64,
        /// Capacity that the queue's waiting tasks want, in thousandths of a core; 0 without
        /// contention.
        waiting_cpu_millis: u64,
    },
    /// A configuration was put in force with its wrong values clamped.
    ConfigurationClamped {
        /// Version of the configuration.
        version: u64,
        /// The first wrong value.
        error: ConfigurationError,
    },
    /// A caller's cancellation was answered.
    CancelAnswered {
        /// Id of the job.
        job: JobId,
        /// Why it was acknowledged, or was not.
        outcome: CancelOutcome,
        /// Time since the caller's request.
        waited: Span,
    },
    /// All callers of a job have disconnected.
    Abandoned {
        /// Id of the job.
        job: JobId,
        /// Time since the caller sent the job.
        age: Span,
    },
    /// A job was admitted while agents had not reported the end of runs of an earlier submission.
    EarlierRunsPending {
        /// Id of the job.
        job: JobId,
        /// Number of these runs.
        runs: usize,
    },
    /// An agent's session was accepted. Starts sent on its earlier sessions have no effect.
    SessionAccepted {
        /// Name of the agent.
        agent: String,
        /// Uptime of the agent's process when it sent its handshake.
        uptime: Span,
        /// Whether an open session of the same process was closed for it.
        is_replacement: bool,
        /// Number of runs recorded at the agent.
        runs: usize,
    },
    /// Runs are considered ended although their agent has not reported their ends.
    RunsLost {
        /// Name of the agent.
        agent: String,
        /// The runs, including those of jobs that are no longer held.
        runs: Vec<RunId>,
        /// Evidence of their ends.
        source: EndSource,
    },
    /// A session was closed whose handshake was delayed: the agent has opened a later one.
    LateHandshake {
        /// Name of the agent.
        agent: String,
    },
    /// A job was admitted that another gateway holds; that one was asked to release it.
    ReleaseRequested {
        /// Id of the job.
        job: JobId,
        /// Name of the other gateway.
        holder: String,
    },
    /// A holder has confirmed that all its runs of a job have ended.
    ReleaseConfirmed {
        /// Id of the job.
        job: JobId,
        /// Name of the holder.
        holder: String,
        /// Time since the first request.
        waited: Span,
        /// Whether the wait for it had ended before.
        is_late: bool,
    },
    /// A holder has not confirmed a release in time; the job may be placed without it.
    ReleaseTimedOut {
        /// Id of the job.
        job: JobId,
        /// Name of the holder.
        holder: String,
        /// Time since the first request.
        waited: Span,
    },
    /// Jobs that are held here were claimed, as their callers may soon resubmit them.
    Claimed {
        /// Ids of the jobs.
        jobs: Vec<JobId>,
    },
    /// Claims of another gateway arrived that were not known here.
    ClaimsReceived {
        /// Number of the jobs.
        jobs: usize,
    },
    /// A job is ended because the others have not confirmed that only this gateway may start it.
    ClaimUnconfirmed {
        /// Id of the job.
        job: JobId,
        /// Time since the caller sent the job.
        age: Span,
    },
    /// Not all other gateways have confirmed a claim in time, so that agents are asked.
    ClaimSentToAgents {
        /// Number of the claimed jobs.
        jobs: usize,
        /// Number of agents.
        agents: usize,
    },
    /// A job was given up because its caller has resubmitted it to another gateway.
    ReleasedToPeer {
        /// Id of the job.
        job: JobId,
        /// Name of the other gateway.
        requester: String,
    },
    /// An agent was silent for so long that its tasks are considered lost.
    AgentExpired {
        /// Name of the agent.
        agent: String,
        /// Number of lost tasks.
        tasks: usize,
        /// Time since the agent was last heard.
        silence: Span,
    },
}
