//! The gateway: accepts submissions, delegates them to the scheduler of their
//! pool (itself or a peer), and answers callers with the complete result.

mod agents;
mod entry;
mod job;
mod links;
mod peering;
mod peers;
mod queue;
mod recovery;
mod scheduler;
mod submission;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use laurelstile_types::api::{NodeStatus, Status};
use laurelstile_types::id::{
    BackendName, ClassName, GatewayName, Incarnation, ServiceName, SubmissionId, TenantName,
    ZoneName,
};
use laurelstile_types::outcome::Failure;
use laurelstile_types::platform::{MachineList, MachineRole, MachineState};
use laurelstile_types::revision::{Revision, RevisionNumber};
use laurelstile_types::time::{Span, Timestamp};

use crate::messages::agent::{FromAgent, ToAgent};
use crate::messages::peer::ToPeer;
use crate::payload::Payload;
use crate::session::{Remote, SessionId};
use links::Links;
use peers::Peers;
use scheduler::Scheduler;
use submission::Submission;

pub use submission::{ClaimRequest, JobRequest};

/// Minimum gap between two events that indicates that the process was
/// suspended.
const SUSPENSION_THRESHOLD: Span = Span::from_secs(2);
/// How long starts are held after a suspension, or in a new process that has
/// not read the machine list.
const START_HOLD_OFF: Span = Span::from_millis(1_500);

/// Input to the gateway's state machine.
#[derive(Debug)]
pub enum GatewayEvent {
    /// A caller submitted a job.
    Submit {
        /// Sequence number, unique within this incarnation.
        number: u64,
        /// The job to run.
        request: JobRequest,
    },
    /// A caller closed its connection before it was answered.
    CallerDisconnected {
        /// Sequence number of its submission.
        number: u64,
    },
    /// The platform's table answered a claim.
    Claimed {
        /// Submission that requested the claim.
        submission: SubmissionId,
        /// Result of the request.
        outcome: ClaimOutcome,
    },
    /// A session to an agent was opened.
    AgentOpened {
        /// Identifier of the new session.
        session: SessionId,
        /// Name, incarnation and uptime that the agent announced.
        remote: Remote,
    },
    /// An agent's host refused the connection: no process is listening there.
    AgentConnectionRefused {
        /// Name of the agent's back end.
        backend: BackendName,
    },
    /// A session to an agent was closed.
    AgentClosed {
        /// Identifier of the closed session.
        session: SessionId,
    },
    /// A message arrived from an agent.
    AgentMessage {
        /// Session on which the message arrived.
        session: SessionId,
        /// Decoded message.
        message: FromAgent,
    },
    /// A session to a peer was opened.
    PeerOpened {
        /// Identifier of the new session.
        session: SessionId,
        /// Name, incarnation and uptime that the peer announced.
        remote: Remote,
    },
    /// A session to a peer was closed.
    PeerClosed {
        /// Identifier of the closed session.
        session: SessionId,
    },
    /// A message arrived from a peer.
    PeerMessage {
        /// Session on which the message arrived.
        session: SessionId,
        /// Decoded message.
        message: ToPeer,
    },
    /// A revision was read from the platform's table.
    Revision(Arc<Revision>),
    /// The platform's machine list was read.
    Machines(MachineList),
    /// The process was asked to shut down gracefully.
    Stop,
    /// Periodic timer; drives heartbeats, deadlines and time-outs.
    Tick,
}

/// Result of a claim on an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claim is held by this submission.
    Granted,
    /// The claim is held by another submission.
    Taken,
    /// The table could not be reached; the claim may or may not be written.
    Unavailable,
}

/// Output of the gateway's state machine, to be carried out by its driver.
#[derive(Debug)]
pub enum GatewayEffect {
    /// Send a message to an agent.
    ToAgent {
        /// Session to send on.
        session: SessionId,
        /// Message to send.
        message: ToAgent,
    },
    /// Send a message to a peer.
    ToPeer {
        /// Session to send on.
        session: SessionId,
        /// Message to send.
        message: ToPeer,
    },
    /// Close a session that was replaced, has timed out or is not configured.
    Close(SessionId),
    /// Answer a caller.
    Answer(Box<Answer>),
    /// Claim an idempotency key in the platform's table.
    Claim(ClaimRequest),
    /// Release a claim whose request was not run and will not be.
    ReleaseClaim(ClaimRequest),
    /// The gateway applied this revision.
    InForce(Arc<Revision>),
    /// A graceful shutdown is complete and the process may exit.
    Stopped,
}

/// The final answer to a submission.
#[derive(Debug)]
pub struct Answer {
    /// Submission that is answered.
    pub submission: SubmissionId,
    /// Service named in the request.
    pub service: ServiceName,
    /// Tenant named in the request.
    pub tenant: TenantName,
    /// Class named in the request.
    pub class: ClassName,
    /// Time from acceptance to the answer; zero if the submission was rejected
    /// on arrival.
    pub elapsed: Span,
    /// The outputs of all tasks in order, or the failure of the whole job.
    pub outcome: Result<Vec<Payload>, Failure>,
}

/// Identity of a gateway process.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the gateway, kept across restarts.
    pub name: GatewayName,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Zone in which the gateway runs. Among otherwise equal agents, those in
    /// the same zone are preferred.
    pub zone: ZoneName,
}

/// The gateway's state machine.
#[derive(Debug)]
pub struct Gateway {
    identity: Identity,
    revision: Option<Arc<Revision>>,
    stopping: bool,
    stop_reported: bool,
    last_handled: Timestamp,
    /// No task is started before this time.
    starts_held_until: Timestamp,
    has_read_machines: bool,
    /// Back ends marked as leaving in the machine list, configured or not.
    leaving: BTreeSet<BackendName>,
    links: Links,
    peers: Peers,
    scheduler: Scheduler,
    submissions: BTreeMap<u64, Submission>,
    /// Claims whose submissions were answered before the claim was decided.
    undecided_claims: BTreeMap<u64, ClaimRequest>,
}

impl Gateway {
    /// Creates a gateway without a configuration.
    pub fn new(identity: Identity) -> Self {
        Self {
            links: Links::new(identity.zone.clone()),
            identity,
            revision: None,
            stopping: false,
            stop_reported: false,
            last_handled: Timestamp::default(),
            // A new process has not read the machine list; its clock starts at
            // zero.
            starts_held_until: Timestamp(START_HOLD_OFF.0),
            has_read_machines: false,
            leaving: BTreeSet::new(),
            peers: Peers::default(),
            scheduler: Scheduler::default(),
            submissions: BTreeMap::new(),
            undecided_claims: BTreeMap::new(),
        }
    }

    /// Incarnation of the process.
    pub fn incarnation(&self) -> Incarnation {
        self.identity.incarnation
    }

    /// Number of the revision in force; 0 if none.
    pub fn revision_number(&self) -> RevisionNumber {
        self.revision.as_ref().map_or(0, |revision| revision.number)
    }

    /// The revision in force; `None` until the first one is read.
    pub fn revision(&self) -> Option<&Arc<Revision>> {
        self.revision.as_ref()
    }

    /// Whether new jobs are accepted.
    pub fn is_ready(&self) -> bool {
        !self.stopping && self.revision.is_some()
    }

    /// Number of results that agents reported during reconciliation for
    /// dispatches that are no longer running here.
    pub fn late_results(&self) -> u64 {
        self.scheduler.late_results()
    }

    /// Processes one event. Call [`Gateway::flush`] after each batch of
    /// events.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: GatewayEvent,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.detect_suspension(now);
        match event {
            GatewayEvent::Submit { number, request } => self.submit(now, number, request, effects),
            GatewayEvent::CallerDisconnected { number } => self.on_disconnect(now, number, effects),
            GatewayEvent::Claimed {
                submission,
                outcome,
            } => self.on_claimed(now, submission, outcome, effects),
            GatewayEvent::AgentOpened { session, remote } => {
                self.on_agent_opened(now, session, &remote, effects);
            }
            GatewayEvent::AgentConnectionRefused { backend } => {
                self.on_agent_connection_refused(now, &backend, effects);
            }
            GatewayEvent::AgentClosed { session } => {
                self.links.close(now, session);
            }
            GatewayEvent::AgentMessage { session, message } => {
                self.on_agent_message(now, session, message, effects);
            }
            GatewayEvent::PeerOpened { session, remote } => {
                self.on_peer_opened(now, session, &remote, effects);
            }
            GatewayEvent::PeerClosed { session } => self.peers.close(now, session),
            GatewayEvent::PeerMessage { session, message } => {
                self.on_peer_message(now, session, message, effects);
            }
            GatewayEvent::Revision(revision) => self.apply(now, revision, effects),
            GatewayEvent::Machines(list) => self.on_machines(now, &list, effects),
            GatewayEvent::Stop => self.stopping = true,
            GatewayEvent::Tick => self.on_tick(now, effects),
        }
    }

    /// Sends the messages that the events since the last flush require.
    pub fn flush(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        self.report_delegation_ends(now, effects);
        self.flush_agents(now, effects);
        // Dispatching may have failed jobs past their deadline.
        self.report_delegation_ends(now, effects);
        if self.stopping && self.is_idle() && !self.stop_reported {
            self.stop_reported = true;
            self.send_pending_notices(now, effects);
            effects.push(GatewayEffect::Stopped);
        }
    }

    /// Status for operators: peers, agents and queue sizes.
    pub fn status(&self, now: Timestamp) -> Status {
        let peers = self.peers.iter().map(|(name, peer)| NodeStatus {
            name: name.to_string(),
            live: peer.session.is_some() && now.since(peer.last_heard) <= peers::SUSPECT_AFTER,
            draining: peer.stopping,
            revision: peer.revision,
            free_slots: 0,
        });
        let agents = self
            .links
            .iter()
            .filter(|(_, link)| link.configured)
            .map(|(_, link)| NodeStatus {
                name: link.name.to_string(),
                live: link.is_live(now),
                draining: link.report.draining,
                revision: link.report.revision,
                free_slots: link.available(now),
            });
        Status {
            gateway: self.identity.name.to_string(),
            incarnation: self.identity.incarnation.to_string(),
            ready: self.is_ready(),
            revision: self.revision_number(),
            peers: peers.collect(),
            agents: agents.collect(),
            submissions: self.submissions.len() as u64,
            queued_tasks: self.scheduler.queued_tasks(),
        }
    }

    /// Holds starts for [`START_HOLD_OFF`] after a suspension. The process
    /// resumes with stale state and first has to read the machine list and the
    /// messages of other gateways.
    fn detect_suspension(&mut self, now: Timestamp) {
        if now.since(self.last_handled) > SUSPENSION_THRESHOLD {
            self.starts_held_until = now.after(START_HOLD_OFF);
        }
        self.last_handled = now;
    }

    /// Sends pending acknowledgements and releases before a graceful shutdown,
    /// so that agents can discard the outputs that they retain for this
    /// gateway.
    fn send_pending_notices(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        self.send_acknowledgements(now, effects);
        self.send_releases(now, effects);
    }

    fn is_idle(&self) -> bool {
        self.submissions.is_empty()
            && self.undecided_claims.is_empty()
            && self.scheduler.job_count() == 0
    }

    /// Applies a revision newer than the current one; older ones are ignored,
    /// so that a configuration never reverts.
    fn apply(&mut self, now: Timestamp, revision: Arc<Revision>, effects: &mut Vec<GatewayEffect>) {
        if revision.number <= self.revision_number() {
            return;
        }
        self.scheduler.configure(&revision.configuration);
        self.configure_links(now, &revision.configuration);
        self.revision = Some(Arc::clone(&revision));
        effects.push(GatewayEffect::InForce(revision));
        self.push_revision_to_agents(now, effects);
        self.push_revision_to_peers(now, effects);
    }

    fn on_machines(
        &mut self,
        now: Timestamp,
        list: &MachineList,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if !self.has_read_machines {
            self.has_read_machines = true;
            self.starts_held_until = now;
        }
        let mut newly_leaving = Vec::new();
        for machine in &list.machines {
            if machine.role != MachineRole::Backend {
                continue;
            }
            let name = BackendName(machine.name.clone());
            let is_leaving = machine.state == MachineState::Leaving;
            if is_leaving {
                self.leaving.insert(name.clone());
            } else {
                self.leaving.remove(&name);
            }
            let Some(index) = self.links.find(&name) else {
                continue;
            };
            let link = self.links.get_mut(index);
            let is_newly_leaving = is_leaving && !link.listed_leaving;
            link.listed_leaving = is_leaving;
            if is_newly_leaving {
                newly_leaving.push(link.name.clone());
            }
            let is_gone = machine.state == MachineState::Gone;
            link.listed_gone_since = is_gone.then(|| link.listed_gone_since.unwrap_or(now));
            let is_lost = is_gone && link.session.is_none();
            self.links.refresh(now, index);
            self.notify_agent_leaving(now, index, effects);
            if is_lost {
                self.on_agent_lost(now, index, effects);
            }
        }
        self.notify_peers_leaving(now, &newly_leaving, effects);
    }

    fn on_tick(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        self.scheduler.expire(now, &mut self.links);
        let slots = self.links.slots_in_service();
        self.scheduler.set_slots_in_service(&slots);
        self.scheduler.send_back_stale(now, &mut self.links);
        self.expire_submissions(now, effects);
        self.tick_agents(now, effects);
        self.tick_peers(now, effects);
    }
}
