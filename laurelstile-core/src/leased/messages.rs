//! Messages between gateways and the agents of leased workers, and between
//! gateways. Field names are short on the wire: bytes between zones cost.

use std::net::SocketAddr;

use laurelstile_types::time::{Span, Timestamp};
use serde::{Deserialize, Serialize};

use super::crashes::WorkerCrash;
use super::evacuation::Evacuations;
use super::gateway::queues::QueueConfiguration;
use super::input::JobInput;
use super::membership::digest::{Digest, PartDigests};
use super::resources::Resources;
use super::serde_defaults::is_false;
use super::task::{JobId, RunNumber, TaskId};

/// From a gateway to an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ToAgent {
    /// The latest reading of the agent's clock that the gateway has seen.
    #[serde(rename = "e")]
    pub echo: Timestamp,
    /// The highest number of an end that the gateway has taken in.
    #[serde(rename = "s")]
    pub acknowledged: u64,
    /// What it is about.
    #[serde(
        rename = "b",
        default,
        skip_serializing_if = "ToAgentBody::is_heartbeat"
    )]
    pub body: ToAgentBody,
}

/// What a gateway tells an agent.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub enum ToAgentBody {
    /// Only the echo.
    #[default]
    #[serde(rename = "h")]
    Heartbeat,
    /// Tasks to be started.
    #[serde(rename = "r")]
    Start(StartBatch),
    /// Tasks to be stopped; each is answered by its end.
    #[serde(rename = "x")]
    Stop(Vec<TaskId>),
    /// Gateways that the agent ranks first and has not been told on this session yet.
    #[serde(rename = "m")]
    Members(Vec<Member>),
    /// Tasks that wait for room at the gateway.
    #[serde(rename = "a")]
    Announce(Vec<Announcement>),
    /// Offers, by number, that the gateway has no use for.
    #[serde(rename = "d")]
    Decline(Vec<u64>),
    /// Zones that are evacuated, as the gateway knows it.
    #[serde(rename = "v")]
    Evacuations(Evacuations),
    /// An earlier agent of the same name was here.
    #[serde(rename = "p")]
    Predecessor {
        /// How long ago the gateway heard it.
        #[serde(rename = "s")]
        silence: Span,
    },
}

impl ToAgentBody {
    fn is_heartbeat(&self) -> bool {
        matches!(self, Self::Heartbeat)
    }
}

/// Tasks of a step that wait for room. It replaces what was announced of the step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The job.
    #[serde(rename = "j")]
    pub job: JobId,
    /// The step.
    #[serde(rename = "t")]
    pub step: u32,
    /// What each task needs.
    #[serde(rename = "o")]
    pub resources: Resources,
    /// Number of tasks; 0 if none waits any more.
    #[serde(rename = "k")]
    pub count: u32,
    /// Rank among all that wait, of all gateways; the lowest goes first.
    #[serde(rename = "q")]
    pub rank: u32,
    /// How long the tasks wait at most, in milliseconds.
    #[serde(rename = "w")]
    pub ttl_millis: u32,
}

impl Announcement {
    /// Tells that no task of a step waits any more.
    pub fn withdrawn(job: JobId, step: u32) -> Self {
        Self {
            job,
            step,
            resources: Resources::default(),
            count: 0,
            rank: 0,
            ttl_millis: 0,
        }
    }
}

/// Room that an agent holds for a gateway for a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Number of the offer in its session, rising from 1.
    #[serde(rename = "n")]
    pub number: u64,
    /// The room.
    #[serde(rename = "o")]
    pub resources: Resources,
}

/// Tasks of one step of a job, for one worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StartBatch {
    /// Number of this batch in its session, rising from 1.
    #[serde(rename = "n")]
    pub number: u64,
    /// The job.
    #[serde(rename = "j")]
    pub job: JobId,
    /// The step.
    #[serde(rename = "t")]
    pub step: u32,
    /// The job's input, as its caller sent it.
    #[serde(rename = "i")]
    pub input: JobInput,
    /// What each task needs.
    #[serde(rename = "o")]
    pub resources: Resources,
    /// A rough guess of how long each task takes, in milliseconds.
    #[serde(rename = "d")]
    pub estimate_millis: u32,
    /// How long the tasks may wait for room at the agent, in milliseconds.
    #[serde(rename = "w")]
    pub max_wait_millis: u32,
    /// Index and run of each task.
    #[serde(rename = "k")]
    pub tasks: Vec<(u32, RunNumber)>,
    /// The offer that the batch answers, if any.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub offer: Option<u64>,
    /// Whether the worker is to run nothing beside it. It is the only task of its batch.
    #[serde(rename = "l", default, skip_serializing_if = "is_false")]
    pub is_exclusive: bool,
    /// Whether its only task has stood still on another worker: if it does so again, that
    /// says nothing of the worker.
    #[serde(rename = "z", default, skip_serializing_if = "is_false")]
    pub has_stalled: bool,
}

/// Bytes of a batch besides its input and its tasks, with the frame and the packet that
/// carry it.
const BATCH_BYTES: u64 = 150;
/// Bytes of each of its tasks.
const TASK_BYTES: u64 = 4;

impl StartBatch {
    /// Bytes that it takes on the wire, roughly.
    pub fn bytes(&self) -> u64 {
        BATCH_BYTES + self.input.wire_bytes() as u64 + TASK_BYTES * self.tasks.len() as u64
    }
}

/// From an agent to a gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FromAgent {
    /// The agent's clock.
    #[serde(rename = "c")]
    pub clock: Timestamp,
    /// The worker's state, if it has changed since it was last told.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub report: Option<Report>,
    /// Room that is held for the gateway; the report does not count it as free.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub offers: Vec<Offer>,
    /// Which gateways the agent would dial, in the first message of a session.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub candidates: Option<CandidateSummary>,
    /// What it is about.
    #[serde(
        rename = "b",
        default,
        skip_serializing_if = "FromAgentBody::is_heartbeat"
    )]
    pub body: FromAgentBody,
}

/// What an agent tells a gateway.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub enum FromAgentBody {
    /// Only clock and report.
    #[default]
    #[serde(rename = "h")]
    Heartbeat,
    /// First message of a session, once the worker is under control; repeated
    /// when the worker's description changes.
    #[serde(rename = "s")]
    Snapshot(Snapshot),
    /// Tasks that have ended or were not started.
    #[serde(rename = "x")]
    Ends(Vec<TaskEnd>),
    /// Lives of the worker that have crashed; before the ends of their runs.
    #[serde(rename = "c")]
    Crashes(Vec<WorkerCrash>),
}

impl FromAgentBody {
    fn is_heartbeat(&self) -> bool {
        matches!(self, Self::Heartbeat)
    }
}

/// What the worker is, and which of the gateway's tasks the agent holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// The service that the worker serves.
    pub service: String,
    /// Zone of the worker.
    pub zone: String,
    /// All the room that the worker has.
    pub capacity: Resources,
    /// Labels of the worker.
    pub labels: Vec<String>,
    /// The gateway's tasks that are here and have not ended.
    pub held: Vec<(TaskId, RunNumber)>,
}

/// How a worker does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Batches of this session that the agent has taken in.
    #[serde(rename = "p")]
    pub processed: u64,
    /// Room that is neither taken nor spoken for.
    #[serde(rename = "f")]
    pub free: Resources,
    /// Most tasks that the worker may be given now.
    #[serde(
        rename = "l",
        default = "unlimited",
        skip_serializing_if = "is_unlimited"
    )]
    pub limit: u32,
    /// Run time by the estimates, in percent: 100 for a worker that takes as
    /// long as estimated.
    #[serde(
        rename = "a",
        default = "as_estimated",
        skip_serializing_if = "is_as_estimated"
    )]
    pub run_time_percent: u32,
}

/// Pace of a worker that takes as long as estimated, in percent.
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

/// No limit but the room.
pub const NO_TASK_LIMIT: u32 = u32::MAX;

/// The end of a task at an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEnd {
    /// Number of this end for its gateway, rising from 1.
    #[serde(rename = "n")]
    pub number: u64,
    /// The task.
    #[serde(rename = "t")]
    pub task: TaskId,
    /// The run.
    #[serde(rename = "r")]
    pub run: RunNumber,
    /// How it ended.
    #[serde(rename = "h")]
    pub how: EndKind,
}

/// How a task's time at an agent ended. In every case nothing of it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// It is done.
    #[serde(rename = "d")]
    Done,
    /// It failed, by its own fault or by the worker's.
    #[serde(rename = "f")]
    Failed,
    /// It failed on a worker that has failed others too.
    #[serde(rename = "s")]
    FailedOnSuspect,
    /// It was stopped as its gateway asked.
    #[serde(rename = "x")]
    Stopped,
    /// It stood still and was stopped.
    #[serde(rename = "t")]
    Stalled,
    /// It was far slower than estimated and was stopped.
    #[serde(rename = "w")]
    TooSlow {
        /// How long it would have taken, in milliseconds.
        #[serde(rename = "p")]
        projected_millis: u32,
    },
    /// Its worker died, or its lease lapsed.
    #[serde(rename = "l")]
    Lost,
    /// It never started.
    #[serde(rename = "n")]
    NotStarted(NotStartedReason),
}

impl EndKind {
    /// Its name in metrics, without the figures of one run.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::FailedOnSuspect => "failed_on_suspect",
            Self::Stopped => "stopped",
            Self::Stalled => "stalled",
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
            Self::Duplicate => "not_started_duplicate",
            Self::Refused => "not_started_refused",
            Self::Withdrawn => "not_started_withdrawn",
        }
    }
}

/// Why an agent did not start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotStartedReason {
    /// The sender's echo is too old.
    #[serde(rename = "e")]
    StaleSender,
    /// The worker is draining, dead, not yet under control, or on probation.
    #[serde(rename = "u")]
    Unavailable,
    /// There was no room in time.
    #[serde(rename = "f")]
    Full,
    /// The worker has seen this run or a later one.
    #[serde(rename = "o")]
    OldRun,
    /// An earlier run of the task is still here; it is being stopped.
    #[serde(rename = "d")]
    Duplicate,
    /// The worker did not answer, or refused; the run is stopped for good.
    #[serde(rename = "r")]
    Refused,
    /// The task has waited for longer than it was to.
    #[serde(rename = "x")]
    Withdrawn,
}

/// A gateway, as members know each other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Where its sessions are accepted.
    pub address: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
}

/// What an agent says first on a session: which gateways it would dial.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CandidateSummary {
    /// Zone of the agent.
    #[serde(rename = "z")]
    pub zone: String,
    /// Hash of the gateways that it knows and ranks first.
    #[serde(rename = "k")]
    pub known: u64,
    /// How many these are.
    #[serde(rename = "n")]
    pub count: usize,
}

/// Who a gateway is, for its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Introduction {
    /// Its name.
    pub name: String,
    /// Where its sessions are accepted.
    pub address: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Hash of its directory; none from a gateway of an earlier build, which understands no
    /// [`ToPeer::Digest`] and no [`ToPeer::MembersWanted`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub directory: Option<Digest>,
}

impl Introduction {
    /// The introduction of a member with such a directory.
    pub fn new(member: &Member, directory: Digest) -> Self {
        Self {
            name: member.name.clone(),
            address: member.address,
            zone: member.zone.clone(),
            directory: Some(directory),
        }
    }

    /// Who it is.
    pub fn into_member(self) -> Member {
        Member {
            name: self.name,
            address: self.address,
            zone: self.zone,
        }
    }
}

/// From a gateway to a gateway with which it has a session.
///
/// What is new to the receiver it passes on to its own neighbors, so everything reaches
/// all gateways in a few hops. No promise of a run rests on any of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToPeer {
    /// First message of a session: who the sender is.
    Introduction(Introduction),
    /// Hash of the sender's directory, when it has changed. May be late by seconds: agents
    /// and gateways know enough others. If it never comes, the store's list tells.
    Digest(Digest),
    /// The receiver's directory differs; the parts are wanted that do not have these hashes.
    /// If no answer comes, another neighbor is asked.
    MembersWanted(PartDigests),
    /// Gateways that the sender knows and the receiver may not. See [`ToPeer::Digest`].
    Members(Vec<Member>),
    /// Zones that are evacuated, as the sender knows it. May be late by the time that
    /// operators are promised; if it never comes, each gateway reads the store itself, and
    /// agents hear of it from any of their gateways.
    Evacuations(Evacuations),
    /// Workers that have crashed under a caller's tasks. Should come before the caller hands
    /// in again, after a second; if it never comes, the task is tried on more workers.
    Crashes(Vec<WorkerCrash>),
    /// Jobs that callers have cancelled of late, not always at the gateway that has them.
    /// May be late by the time that callers are promised; if it never comes, the job is
    /// done or given up at its deadline.
    Cancelled(Vec<JobId>),
    /// Several workers have crashed under a caller's task. As [`ToPeer::Crashes`]; if it
    /// never comes, the queue is not contained at the receiver.
    Suspect {
        /// Name of its queue.
        queue: String,
        /// The task.
        task: TaskId,
    },
    /// Version of the configuration that is in force at the sender. May be late by the time
    /// that operators are promised; if it never comes, each gateway reads the store itself.
    InForce(u64),
    /// The receiver's configuration is wanted: the sender has an older one.
    ConfigurationWanted,
    /// The configuration that is in force at the sender.
    Configuration(QueueConfiguration),
}
