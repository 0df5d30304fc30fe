//! Messages between gateways and the agents of leased workers, and between gateways. Field names
//! are short on the wire to save bandwidth between zones.

use std::net::SocketAddr;

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};
use serde::{Deserialize, Serialize};

use super::agent::worker::FenceToken;
use super::cancel_log::CancelList;
use super::checkpoint::Checkpoint;
use super::crashes::{CrashEvidence, WorkerCrash};
use super::evacuation::Evacuations;
use super::gateway::queues::QueueConfiguration;
use super::input::JobInput;
use super::membership::digest::{Digest, PartDigests};
use super::queue_key::QueueKey;
use super::resources::Resources;
use super::serde_defaults::{is_false, is_zero};
use super::task::{JobId, RunNumber, TaskId};
#[cfg(doc)]
use super::timing::CLAIM_HONOR_TIME;
use super::usage::{ServedCount, ServedCounts, UsageReport};
use super::worker_incarnation::WorkerIncarnation;

/// A message from a gateway to an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ToAgent {
    /// The latest reading of the agent's clock that the gateway has received.
    #[serde(rename = "e")]
    pub echo: Timestamp,
    /// Acknowledges all ends up to this number; see [`TaskEnd::number`].
    #[serde(rename = "s")]
    pub acknowledged: u64,
    /// Jobs that callers have cancelled at the sender. The agent remembers them for gateways that
    /// connect later. If it is lost with the sender and its peers, the job may be started when it is
    /// submitted again.
    #[serde(rename = "j", default, skip_serializing_if = "Vec::is_empty")]
    pub cancelled: Vec<JobId>,
    /// Position of the last of `cancelled` among the cancellations that the sender tells its agents, which
    /// rises with each; absent if there are none, and from older versions. The agent answers with
    /// [`FromAgent::cancels_received`].
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub cancel_position: Option<u64>,
    /// Ages of `cancelled`, as in [`CancelList`]; absent from older versions.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub cancel_ages: Vec<u32>,
    /// How the sender's queues were served since it last sent such counts to any agent.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub served: Vec<ServedCount>,
    /// Content beside the echo; absent on the wire if it is a heartbeat.
    #[serde(
        rename = "b",
        default,
        skip_serializing_if = "ToAgentBody::is_heartbeat"
    )]
    pub body: ToAgentBody,
}

/// The content of a message from a gateway to an agent.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub enum ToAgentBody {
    /// No content: only the echo and the acknowledgement.
    #[default]
    #[serde(rename = "h")]
    Heartbeat,
    /// Starts tasks.
    #[serde(rename = "r")]
    Start(StartBatch),
    /// Stops tasks; each is answered by its end.
    #[serde(rename = "x")]
    Stop(Vec<TaskId>),
    /// Gateways among the agent's candidates that the agent may not know, or that have reconnected
    /// to the sender.
    #[serde(rename = "m")]
    Members(Vec<Member>),
    /// Tasks that wait at the gateway for free resources.
    #[serde(rename = "a")]
    Announce(Vec<Announcement>),
    /// Numbers of the offers that the gateway does not use.
    #[serde(rename = "d")]
    Decline(Vec<u64>),
    /// The evacuated zones, as the gateway knows them.
    #[serde(rename = "v")]
    Evacuations(Evacuations),
    /// Claims of the gateway. Sent only to agents that honor them.
    #[serde(rename = "c")]
    Claims(AgentClaims),
    /// The gateway had a session with an earlier agent process of the same name. Sent by gateways of
    /// earlier versions, and not used: it does not tell how old what that agent recorded is.
    #[serde(rename = "p")]
    Predecessor {
        /// How long ago the gateway last received a message from it.
        #[serde(rename = "s")]
        silence: Span,
    },
}

impl ToAgentBody {
    fn is_heartbeat(&self) -> bool {
        matches!(self, Self::Heartbeat)
    }
}

/// Jobs that only the sender may start, and jobs for which that no longer holds. While an agent honors
/// a claim, it rejects other gateways' starts of the job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentClaims {
    /// Number of the claim, as in [`ClaimNumber::number`].
    #[serde(rename = "n")]
    pub number: u64,
    /// Ids of the claimed jobs.
    #[serde(rename = "j", default, skip_serializing_if = "Vec::is_empty")]
    pub jobs: Vec<JobId>,
    /// Ids of the jobs that the sender has ended.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub released: Vec<JobId>,
}

/// Tasks of a step that wait for free resources. Replaces the step's previous announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Job that the tasks belong to.
    #[serde(rename = "j")]
    pub job: JobId,
    /// Index of the step within the job.
    #[serde(rename = "t")]
    pub step: u32,
    /// Resources that each task requires.
    #[serde(rename = "o")]
    pub resources: Resources,
    /// Number of tasks; 0 if none waits any more.
    #[serde(rename = "k")]
    pub count: u32,
    /// Rank among the waiting tasks of all gateways; the lowest is served first.
    #[serde(rename = "q")]
    pub rank: u32,
    /// How long the announcement is valid, in milliseconds.
    #[serde(rename = "w")]
    pub ttl_millis: u32,
    /// Queue of the job, if the gateway shares capacity between queues.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub queue: Option<QueueKey>,
    /// Whether preemptible runs may be stopped for the tasks.
    #[serde(rename = "y", default, skip_serializing_if = "is_false")]
    pub may_preempt: bool,
    /// Processing time that preemption may discard at the worker, in percent of its capacity. Sent
    /// with each announcement that may preempt, so that the gateways' settings alone decide.
    #[serde(rename = "b", default, skip_serializing_if = "is_zero")]
    pub preemption_budget_percent: u32,
    /// Queue whose preemptible runs may be stopped. Gateways of older versions name none: then those
    /// of any other queue may be.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub preempted_queue: Option<QueueKey>,
}

impl Announcement {
    /// Withdraws the announcement of a step: none of its tasks waits any more.
    pub fn withdrawn(job: JobId, step: u32) -> Self {
        Self {
            job,
            step,
            resources: Resources::default(),
            count: 0,
            rank: 0,
            ttl_millis: 0,
            queue: None,
            may_preempt: false,
            preemption_budget_percent: 0,
            preempted_queue: None,
        }
    }
}

/// Resources that an agent reserves for a gateway for a short time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Number of the offer in its session, rising from 1.
    #[serde(rename = "n")]
    pub number: u64,
    /// The reserved resources.
    #[serde(rename = "o")]
    pub resources: Resources,
}

/// Tasks of one step of a job, to be started on one worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StartBatch {
    /// Number of this batch in its session, rising from 1.
    #[serde(rename = "n")]
    pub number: u64,
    /// Job that the tasks belong to.
    #[serde(rename = "j")]
    pub job: JobId,
    /// Index of the step within the job.
    #[serde(rename = "t")]
    pub step: u32,
    /// The job's input, as the caller sent it.
    #[serde(rename = "i")]
    pub input: JobInput,
    /// Resources that each task requires.
    #[serde(rename = "o")]
    pub resources: Resources,
    /// Rough estimate of each task's run time, in milliseconds.
    #[serde(rename = "d")]
    pub estimate_millis: u32,
    /// How long the tasks may wait at the agent for free resources, in milliseconds.
    #[serde(rename = "w")]
    pub max_wait_millis: u32,
    /// Index and run number of each task.
    #[serde(rename = "k")]
    pub tasks: Vec<(u32, RunNumber)>,
    /// Number of the offer that the batch uses, if any.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub offer: Option<u64>,
    /// Whether the worker must run nothing else at the same time. The batch then has one task.
    #[serde(rename = "l", default, skip_serializing_if = "is_false")]
    pub is_exclusive: bool,
    /// Whether the batch's only task has stalled on another worker: if it stalls again, this says
    /// nothing about the worker.
    #[serde(rename = "z", default, skip_serializing_if = "is_false")]
    pub has_stalled: bool,
    /// Queue of the job, if the gateway shares capacity between queues.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub queue: Option<QueueKey>,
    /// Whether the runs may be preempted.
    #[serde(rename = "y", default, skip_serializing_if = "is_false")]
    pub is_preemptible: bool,
    /// Whether the worker is far from the step's data, so that the tasks run longer there.
    #[serde(rename = "m", default, skip_serializing_if = "is_false")]
    pub is_remote: bool,
    /// Saved progress of tasks that continue an earlier run, with their indices.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub checkpoints: Vec<(u32, Checkpoint)>,
}

/// Fixed size of a batch on the wire, in bytes, with its framing.
const BATCH_OVERHEAD_BYTES: u64 = 150;
/// Size of each task of a batch, in bytes.
const TASK_BYTES: u64 = 4;

impl StartBatch {
    /// Approximate size on the wire, in bytes.
    pub fn bytes(&self) -> u64 {
        let checkpoints = self.checkpoints.iter();
        let checkpoint_bytes = checkpoints.map(|(_, checkpoint)| checkpoint.as_str().len() as u64);
        BATCH_OVERHEAD_BYTES
            + self.input.wire_bytes() as u64
            + TASK_BYTES * self.tasks.len() as u64
            + checkpoint_bytes.sum::<u64>()
    }
}

/// A message from an agent to a gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FromAgent {
    /// Reading of the agent's clock, which the gateway echoes.
    #[serde(rename = "c")]
    pub clock: Timestamp,
    /// The worker's state, if it has changed since it was last sent.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub report: Option<Report>,
    /// New offers to the gateway. The report does not count their resources as free.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub offers: Vec<Offer>,
    /// The gateways that the agent would dial; only in the first message of a session.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub candidates: Option<Box<CandidateSummary>>,
    /// Facts that outlive a gateway, in order. Precede the body.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub notices: Vec<Notice>,
    /// The highest [`ToAgent::cancel_position`] up to which the agent has recorded all cancellations of
    /// the receiver; in the first message of a session and after each change. Never sent by older
    /// versions.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub cancels_received: Option<u64>,
    /// Ages of the [`Notice::Cancelled`] among the notices, as in [`CancelList`]; absent from older
    /// versions.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub cancel_ages: Vec<u32>,
    /// Whether the agent's process ends: it starts no more tasks.
    #[serde(rename = "q", default, skip_serializing_if = "is_false")]
    pub is_ending: bool,
    /// Use of the worker by queue, while tasks that name their queue wait for it.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Box<UsageReport>>,
    /// How queues were served lately, as gateways told the agent; only on the first session of a
    /// gateway process.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub served: Option<Box<ServedCounts>>,
    /// Content beside clock, report and offers; absent on the wire if it is a heartbeat.
    #[serde(
        rename = "b",
        default,
        skip_serializing_if = "FromAgentBody::is_heartbeat"
    )]
    pub body: FromAgentBody,
}

/// A fact that an agent remembers, so that it also reaches gateways that connect later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Notice {
    /// Jobs that callers have cancelled, at any gateway.
    #[serde(rename = "j")]
    Cancelled(Vec<JobId>),
    /// What is known of a crash that has not been confirmed.
    #[serde(rename = "c")]
    Crash(CrashEvidence),
}

/// The content of a message from an agent to a gateway.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub enum FromAgentBody {
    /// No content: only clock, report and offers.
    #[default]
    #[serde(rename = "h")]
    Heartbeat,
    /// Sent once the agent has control of its worker, and again when the worker's description
    /// changes.
    #[serde(rename = "s")]
    Snapshot(Snapshot),
    /// Tasks that have ended or were not started.
    #[serde(rename = "x")]
    Ends(Vec<TaskEnd>),
    /// Crashes of the worker; sent before the ends of the runs that crashed with it.
    #[serde(rename = "c")]
    Crashes(Vec<WorkerCrash>),
    /// Answers [`ToAgentBody::Claims`]: the claims are honored for [`CLAIM_HONOR_TIME`].
    #[serde(rename = "l")]
    ClaimsHonored {
        /// Number of the answered claim.
        #[serde(rename = "n")]
        number: u64,
        /// Claimed jobs of which the worker has another gateway's runs, or that another gateway has
        /// claimed.
        #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
        refused: Vec<JobId>,
    },
}

impl FromAgentBody {
    fn is_heartbeat(&self) -> bool {
        matches!(self, Self::Heartbeat)
    }
}

/// Description of the worker, and the gateway's tasks that the agent holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// Name of the service that the worker serves.
    pub service: String,
    /// Zone of the worker.
    pub zone: String,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Labels that steps may require of a worker.
    pub labels: Vec<String>,
    /// The gateway's runs at this agent that have not ended.
    pub held: Vec<(TaskId, RunNumber)>,
    /// Number of the session, rising with each that the agent process opens; `None` from an older
    /// version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub session: Option<u64>,
    /// What the agent controls; `None` from an older version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub control: Option<Control>,
    /// Whether the agent understands [`ToAgentBody::Claims`]; absent from an older version, which does
    /// not.
    #[serde(default, skip_serializing_if = "is_false")]
    pub honors_claims: bool,
}

impl Snapshot {
    /// Whether two snapshots of an agent describe the same incarnation with the same service and labels.
    pub fn describes_same_worker(&self, other: &Self) -> bool {
        self.service == other.service
            && self.labels == other.labels
            && self.incarnation() == other.incarnation()
    }

    /// The worker incarnation; `None` from an older version.
    fn incarnation(&self) -> Option<&WorkerIncarnation> {
        let control = self.control.as_ref()?;
        Some(&control.incarnation)
    }
}

/// Amount by which an agent's token may exceed the one in its latest snapshot. An agent raises its
/// token when another process commands the same worker incarnation.
const TOKEN_MARGIN: u64 = 64;

/// Control of a worker incarnation by an agent process that has received its run lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Control {
    /// The worker incarnation.
    pub incarnation: WorkerIncarnation,
    /// Fencing token under which the run lists were received.
    pub token: FenceToken,
}

impl Control {
    /// Whether the worker rejects the commands of the process that had the control `earlier`. Not
    /// known, and so `false`, for another worker incarnation: each accepts any token at first, and a
    /// clock that is set back lowers the tokens of later processes.
    pub fn supersedes(&self, earlier: &Self) -> bool {
        let max_token = earlier.token.0.saturating_add(TOKEN_MARGIN);
        self.incarnation == earlier.incarnation && max_token < self.token.0
    }
}

/// Current state of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number of the session's last batch that the agent has processed.
    #[serde(rename = "p")]
    pub processed: u64,
    /// Resources that are neither used by runs nor reserved.
    #[serde(rename = "f")]
    pub free: Resources,
    /// Maximum number of tasks that may be sent to the worker now.
    #[serde(
        rename = "l",
        default = "unlimited",
        skip_serializing_if = "is_unlimited"
    )]
    pub limit: u32,
    /// Recent run times relative to their estimates, in percent; 100 if as estimated.
    #[serde(
        rename = "a",
        default = "as_estimated",
        skip_serializing_if = "is_as_estimated"
    )]
    pub run_time_percent: u32,
}

/// [`Report::run_time_percent`] of a worker whose run times are as estimated.
pub const NOMINAL_RUN_TIME_PERCENT: u32 = 100;

fn unlimited() -> u32 {
    NO_TASK_LIMIT
}

fn as_estimated() -> u32 {
    NOMINAL_RUN_TIME_PERCENT
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes the field by reference"
)]
fn is_unlimited(limit: &u32) -> bool {
    *limit == NO_TASK_LIMIT
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes the field by reference"
)]
fn is_as_estimated(run_time_percent: &u32) -> bool {
    *run_time_percent == NOMINAL_RUN_TIME_PERCENT
}

/// [`Report::limit`] of a worker that is limited by its resources only.
pub const NO_TASK_LIMIT: u32 = u32::MAX;

/// The end of a task's run at an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEnd {
    /// Number of this end, rising from 1 for each gateway.
    #[serde(rename = "n")]
    pub number: u64,
    /// Task that has ended.
    #[serde(rename = "t")]
    pub task: TaskId,
    /// Run of the task that has ended.
    #[serde(rename = "r")]
    pub run: RunNumber,
    /// Outcome of the run.
    #[serde(rename = "h")]
    pub how: EndKind,
    /// Saved progress of a run that was stopped so that it continues elsewhere.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<Checkpoint>,
}

/// Outcome of a run at an agent. After any of them the run is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// The task completed.
    #[serde(rename = "d")]
    Done,
    /// The task failed, because of itself or of the worker.
    #[serde(rename = "f")]
    Failed,
    /// The task failed on a worker on which other tasks have failed too.
    #[serde(rename = "s")]
    FailedOnSuspect,
    /// The run was stopped on the gateway's request.
    #[serde(rename = "x")]
    Stopped,
    /// The run made no progress and was stopped.
    #[serde(rename = "t")]
    Stalled,
    /// The run was stopped for a task of another queue. Sent only if the batch of the run was
    /// preemptible: older gateways do not understand it.
    #[serde(rename = "p")]
    Preempted,
    /// The run was far slower than estimated and was stopped.
    #[serde(rename = "w")]
    TooSlow {
        /// Projected run time, in milliseconds.
        #[serde(rename = "p")]
        projected_millis: u32,
    },
    /// The worker's process ended, or the run was aborted without a request from the agent, as
    /// when the run's lease expired.
    #[serde(rename = "l")]
    Lost,
    /// The run never started.
    #[serde(rename = "n")]
    NotStarted(NotStartedReason),
}

impl EndKind {
    /// Name in metrics, without values that differ between runs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::FailedOnSuspect => "failed_on_suspect",
            Self::Stopped => "stopped",
            Self::Stalled => "stalled",
            Self::Preempted => "preempted",
            Self::TooSlow { .. } => "too_slow",
            Self::Lost => "lost",
            Self::NotStarted(reason) => reason.name(),
        }
    }
}

impl NotStartedReason {
    fn name(self) -> &'static str {
        match self {
            Self::StaleSender => "not_started_stale_sender",
            Self::Unavailable => "not_started_unavailable",
            Self::Full => "not_started_full",
            Self::OldRun => "not_started_old_run",
            Self::Claimed => "not_started_claimed",
            Self::Duplicate => "not_started_duplicate",
            Self::Refused => "not_started_refused",
            Self::Withdrawn => "not_started_withdrawn",
        }
    }
}

/// Why an agent did not start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotStartedReason {
    /// The echo of the start's message is too old.
    #[serde(rename = "e")]
    StaleSender,
    /// The agent is shutting down, or the worker is draining, evacuated, silent, not yet controlled
    /// by the agent, on probation or at its limit of tasks, or has ended; or its incarnation, service or
    /// labels have changed since the latest snapshot that the sender had received.
    #[serde(rename = "u")]
    Unavailable,
    /// The required resources were not free, or did not become free within the time that the batch
    /// allowed.
    #[serde(rename = "f")]
    Full,
    /// The worker has seen this run or a later one of the task.
    #[serde(rename = "o")]
    OldRun,
    /// An earlier run of the task is still active at the agent and is being stopped.
    #[serde(rename = "d")]
    Duplicate,
    /// The worker rejected the start or did not answer; the run is stopped and cannot start.
    #[serde(rename = "r")]
    Refused,
    /// The run was stopped while it waited at the agent for free resources.
    #[serde(rename = "x")]
    Withdrawn,
    /// Another gateway has claimed the job. Sent only to gateways that have sent claims: older ones do
    /// not understand it.
    #[serde(rename = "c")]
    Claimed,
}

/// Identity of a gateway in the membership.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Name, unique among gateways.
    pub name: String,
    /// Address where the gateway accepts sessions.
    pub address: SocketAddr,
    /// Zone of the gateway; empty if an older version did not send it.
    #[serde(default)]
    pub zone: String,
}

/// Summary of the gateways that an agent would dial, for comparison at the gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CandidateSummary {
    /// Zone of the agent.
    #[serde(rename = "z")]
    pub zone: String,
    /// Hash of the candidates among the gateways that the agent knows.
    #[serde(rename = "k")]
    pub digest: u64,
    /// Number of candidates that `digest` covers.
    #[serde(rename = "n")]
    pub count: usize,
}

/// How a gateway introduces itself to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Introduction {
    /// Name of the gateway.
    pub name: String,
    /// Address where the gateway accepts sessions.
    pub address: SocketAddr,
    /// Zone of the gateway; empty if an older version did not send it.
    #[serde(default)]
    pub zone: String,
    /// Hash of the gateway's directory; `None` from an older version, which does not understand
    /// [`ToPeer::Digest`] and [`ToPeer::MembersWanted`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub directory: Option<Digest>,
    /// Whether the gateway understands [`ToPeer::Claim`]; absent from an older version, which does
    /// not.
    #[serde(default)]
    pub understands_claims: bool,
    /// Whether the gateway understands [`ToPeer::CancelRequested`] and [`ToPeer::CancelConfirmed`];
    /// absent from an older version, which does not.
    #[serde(default)]
    pub confirms_cancels: bool,
    /// Whether the gateway understands [`ClaimMessage::Confirmed`] and answers claims with it; absent
    /// from an older version, which does not.
    #[serde(default)]
    pub confirms_claims: bool,
}

impl Introduction {
    /// Introduces a member that has the given directory hash.
    pub fn new(member: &Member, directory: Digest) -> Self {
        Self {
            name: member.name.clone(),
            address: member.address,
            zone: member.zone.clone(),
            directory: Some(directory),
            understands_claims: true,
            confirms_cancels: true,
            confirms_claims: true,
        }
    }

    /// The member that is introduced, without its directory hash.
    pub fn into_member(self) -> Member {
        Member {
            name: self.name,
            address: self.address,
            zone: self.zone,
        }
    }
}

/// A message from a gateway to a peer, a gateway with which it has a session.
///
/// Updates that are new to the receiver are forwarded to its own peers, so that they reach all
/// gateways in a few hops. Delivery is best effort.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToPeer {
    /// First message of a session: identifies the sender.
    Introduction(Introduction),
    /// Hash of the sender's directory, sent when it changes. A delay of seconds is harmless, since
    /// agents and gateways know enough other gateways. If it is lost, gateways learn of members
    /// from the list in the store.
    Digest(Digest),
    /// Requests the members of those parts of the receiver's directory whose hashes differ from
    /// these. Without an answer, another neighbor is asked.
    MembersWanted(PartDigests),
    /// Members that the receiver may not know. Delay and loss matter as little as for
    /// [`ToPeer::Digest`].
    Members(Vec<Member>),
    /// The evacuated zones, as the sender knows them. May arrive as late as evacuations may take
    /// effect. If it is lost, each gateway reads the store, and agents are notified by any of their
    /// gateways.
    Evacuations(Evacuations),
    /// Crashes of workers with the tasks that ran there. Should arrive before the caller resubmits
    /// its job, about a second later. If it is lost, the task is tried on more workers.
    Crashes(Vec<WorkerCrash>),
    /// Jobs that callers have cancelled, possibly at another gateway than the job's own.
    /// May arrive as late as cancellations may take effect. If it is lost, the job completes or
    /// fails at its deadline.
    Cancelled(Vec<JobId>),
    /// [`ToPeer::Cancelled`] with the ages of the cancellations, for receivers that understand
    /// [`ToPeer::CancelRequested`].
    CancelledEarlier(CancelList),
    /// A caller has cancelled a job at some gateway, which waits for the confirmations. If it is lost,
    /// the caller is told that its cancellation is not acknowledged.
    CancelRequested(CancelRequest),
    /// Answers a [`ToPeer::CancelRequested`]. If it is lost, the request counts as not answered.
    CancelConfirmed(CancelConfirmation),
    /// Several workers have crashed while running this task. Should arrive as early as
    /// [`ToPeer::Crashes`]. If it is lost, the receiver may not restrict the task's queue to a part
    /// of the workers.
    Suspect {
        /// Name of the task's queue.
        queue: String,
        /// The task under suspicion.
        task: TaskId,
    },
    /// Which gateway holds a job, and the release of jobs. Should arrive before the caller
    /// resubmits its job. If it is lost and the holder has not noticed the end of the caller's
    /// connection, the job runs at two gateways.
    Claim(ClaimMessage),
    /// Version of the configuration in force at the sender. May arrive as late as configuration
    /// changes may take effect. If it is lost, each gateway reads the store.
    InForce(u64),
    /// Requests the receiver's configuration: the sender has an older version.
    ConfigurationWanted,
    /// The configuration in force at the sender.
    Configuration(QueueConfiguration),
}

/// Identifies the requests and confirmations of one cancellation at all gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CancelRoundId {
    /// The gateway process at which the caller cancelled the job.
    #[serde(rename = "p")]
    pub origin: Incarnation,
    /// Number, rising with each round of the process.
    #[serde(rename = "n")]
    pub number: u64,
}

/// A request to confirm that a job is cancelled, forwarded from gateway to gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// Round that the request belongs to.
    #[serde(rename = "r")]
    pub round: CancelRoundId,
    /// Id of the job.
    #[serde(rename = "j")]
    pub job: JobId,
    /// Whether the agents of each gateway have to confirm as well.
    #[serde(rename = "a", default, skip_serializing_if = "is_false")]
    pub includes_agents: bool,
}

/// The confirmation of a gateway, and of those to which it has forwarded the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelConfirmation {
    /// Round that is answered.
    #[serde(rename = "r")]
    pub round: CancelRoundId,
    /// Hash of the gateways that have recorded the cancellation and are not in another confirmation of
    /// the round.
    #[serde(rename = "d")]
    pub reached: Digest,
    /// Whether one of them held the job, and has ended it.
    #[serde(rename = "h", default, skip_serializing_if = "is_false")]
    pub was_held: bool,
    /// Whether an agent of one of them may not know of the cancellation.
    #[serde(rename = "u", default, skip_serializing_if = "is_false")]
    pub has_unconfirmed_agents: bool,
}

/// A message about the gateway that holds a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimMessage {
    /// Runs of these jobs may outlast the time at which their callers can resubmit them.
    Claimed(Vec<HeldJobs>),
    /// Answers a claim that came from its holder. Without the answer of all gateways the holder asks its
    /// agents; without that of most agents it ends the job.
    Confirmed(ClaimConfirmation),
    /// The caller has resubmitted the job: the holder must stop it.
    ReleaseRequested(ReleaseRequest),
    /// The holder is stopping the job's runs.
    ReleasePending(ReleaseRequest),
    /// The holder does not have the job any more, and all its runs have ended.
    Released {
        /// The request that is answered.
        request: ReleaseRequest,
        /// The highest number of the job's runs at the holder.
        last_run: RunNumber,
        /// Claims of the job with lower numbers are older; `None` from an older version.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        number: Option<ClaimNumber>,
    },
}

/// Position of a claim or a release among those that a gateway process has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimNumber {
    /// The gateway process. Numbers of different processes can't be compared.
    #[serde(rename = "p")]
    pub incarnation: Incarnation,
    /// Number, rising with each claim and release of the process.
    #[serde(rename = "n")]
    pub number: u64,
}

/// The answer of a gateway that honors a claim for [`CLAIM_HONOR_TIME`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimConfirmation {
    /// The answered claim.
    #[serde(rename = "c")]
    pub claim: ClaimNumber,
    /// Claimed jobs that the sender holds itself.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub refused: Vec<JobId>,
}

/// Jobs that a gateway holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldJobs {
    /// Name of the gateway.
    pub holder: String,
    /// Ids of the jobs.
    pub jobs: Vec<JobId>,
    /// Number of the claim; `None` from an older version, or if one has forwarded it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub number: Option<ClaimNumber>,
    /// Whether the holder reaches all other gateways itself, so that the claim need not be forwarded.
    #[serde(default, skip_serializing_if = "is_false")]
    pub reaches_all: bool,
}

/// A request to release a job to another gateway.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// Id of the job.
    pub job: JobId,
    /// Name of the gateway that holds it.
    pub holder: String,
    /// Name of the gateway to which it was resubmitted.
    pub requester: String,
    /// Number of the request, rising with each request of the requester.
    pub number: u64,
}
