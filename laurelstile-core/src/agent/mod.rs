//! The agent of a back end: starts tasks in the back end's slots at the request
//! of gateways. The agent alone decides whether a task starts, so gateways need
//! no consensus among themselves.

mod outgoing;
mod record;
mod recovery;

use std::collections::BTreeMap;
use std::sync::Arc;

use laurelstile_types::id::{BackendName, ClassName, DispatchId, Incarnation, ServiceName};
use laurelstile_types::revision::{Revision, RevisionNumber};
use laurelstile_types::time::{Span, Timestamp};

use crate::messages::agent::{
    FromAgent, FromAgentBody, Membership, NotStarted, NotStartedReason, StartTask, TaskOutcome,
    TaskResult, ToAgent, ToAgentBody,
};
use crate::payload::Payload;
use crate::session::SessionId;
use record::{Records, StartCheck};

/// Maximum age of the clock reading echoed with a start; an older start is
/// refused. Bounds how late a delayed start can still take effect at a back end
/// that is leaving.
pub const MAX_START_ECHO_AGE: Span = Span::from_millis(4_500);
/// A session that has received no message for this long is closed.
pub const SESSION_TIMEOUT: Span = Span::from_secs(25);
/// Heartbeat interval to a gateway that has tasks running here or waits for a
/// slot.
pub const BUSY_HEARTBEAT_INTERVAL: Span = Span::from_millis(500);
/// Minimum time since the last message to a gateway before its heartbeat is
/// answered.
pub const HEARTBEAT_REPLY_INTERVAL: Span = Span::from_millis(400);
/// Time after joining its pool during which an agent sends heartbeats at the
/// busy interval.
pub const NEW_MEMBER_PERIOD: Span = Span::from_secs(5);
/// How long starts are refused after the back end refused a connection.
pub const BACKEND_BACKOFF: Span = Span::from_millis(500);

/// Input to the agent's state machine.
#[derive(Debug)]
pub enum AgentEvent {
    /// A gateway opened a session.
    Opened {
        /// Identifier of the new session.
        session: SessionId,
        /// Incarnation of the gateway process.
        gateway: Incarnation,
    },
    /// A session was closed by the other side or by the transport.
    Closed {
        /// Identifier of the closed session.
        session: SessionId,
    },
    /// A message arrived from a gateway.
    Message {
        /// Session on which the message arrived.
        session: SessionId,
        /// Decoded message.
        message: ToAgent,
    },
    /// The back end finished a task, or could not be reached to start it.
    Finished {
        /// Dispatch that was started by [`AgentEffect::Run`].
        dispatch: DispatchId,
        /// Outcome of the run.
        end: RunEnd,
    },
    /// The process was asked to shut down gracefully.
    Stop,
    /// Periodic timer; drives heartbeats and time-outs.
    Tick,
}

/// Outcome of running a task on the back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The back end could not be reached, so the task definitely did not
    /// start.
    NotStarted,
    /// The request was sent to the back end; the outcome may be unknown.
    Ended(TaskOutcome),
}

/// Output of the agent's state machine, to be carried out by its driver.
#[derive(Debug)]
pub enum AgentEffect {
    /// Send a message to a gateway.
    Send {
        /// Session to send on.
        session: SessionId,
        /// Message to send.
        message: FromAgent,
    },
    /// Run a task on the back end and report [`AgentEvent::Finished`].
    Run {
        /// Dispatch to report the outcome for.
        dispatch: DispatchId,
        /// Service whose back end runs the task.
        service: ServiceName,
        /// Class of the task within the service.
        class: ClassName,
        /// Opaque input passed to the back end.
        input: Payload,
    },
    /// Abort a running task; a later `Finished` for it is ignored.
    Abort(DispatchId),
    /// Close a session that was replaced or has timed out.
    Close(SessionId),
    /// The agent applied this revision.
    InForce(RevisionNumber),
    /// The agent has started to refuse all new work.
    Draining,
    /// A graceful shutdown is complete and the process may exit.
    Stopped,
}

/// State of a session with a gateway.
#[derive(Debug)]
struct Link {
    gateway: Incarnation,
    /// Starts processed in this session.
    processed: u64,
    /// Whether a start was refused for lack of a free slot and no slot has been
    /// offered since.
    awaits_slot: bool,
    last_heard: Timestamp,
    last_sent: Timestamp,
    results: Vec<TaskResult>,
    refusals: Vec<NotStarted>,
    /// Whether free slots are reported to this gateway while any gateway waits
    /// for one.
    has_offer: bool,
}

/// Envelope fields of a message that carries starts.
#[derive(Clone, Copy, Debug)]
struct Sender {
    session: SessionId,
    echo: Timestamp,
    revision: RevisionNumber,
}

/// The agent's state machine.
#[derive(Debug)]
pub struct Agent {
    name: BackendName,
    /// The full revision in force; `None` if there is none or the agent
    /// received only its own membership.
    revision: Option<Arc<Revision>>,
    revision_number: RevisionNumber,
    slots: u32,
    member_since: Timestamp,
    drained: bool,
    leaving: bool,
    stopping: bool,
    stop_reported: bool,
    drain_reported: bool,
    links: BTreeMap<SessionId, Link>,
    records: Records,
    backend_down_until: Timestamp,
}

impl Agent {
    /// Creates an agent without a configuration, which has no slots.
    pub fn new(name: BackendName) -> Self {
        Self {
            name,
            revision: None,
            revision_number: 0,
            slots: 0,
            member_since: Timestamp::default(),
            drained: false,
            leaving: false,
            stopping: false,
            stop_reported: false,
            drain_reported: false,
            links: BTreeMap::new(),
            records: Records::default(),
            backend_down_until: Timestamp::default(),
        }
    }

    /// Number of the revision in force; 0 if none.
    pub fn revision_number(&self) -> RevisionNumber {
        self.revision_number
    }

    /// Number of tasks running on the back end.
    pub fn running(&self) -> u32 {
        self.records.running()
    }

    /// Number of submissions that the agent keeps a record of.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Whether new work is refused because of a drain, a leaving machine or a
    /// shutdown.
    pub fn is_draining(&self) -> bool {
        self.drained || self.leaving || self.stopping
    }

    /// Processes one event. Call [`Agent::flush`] after each batch of events.
    pub fn handle(&mut self, now: Timestamp, event: AgentEvent, effects: &mut Vec<AgentEffect>) {
        match event {
            AgentEvent::Opened { session, gateway } => self.open(now, session, gateway, effects),
            AgentEvent::Closed { session } => {
                self.links.remove(&session);
            }
            AgentEvent::Message { session, message } => {
                self.on_message(now, session, message, effects);
            }
            AgentEvent::Finished { dispatch, end } => self.on_finished(now, dispatch, end),
            AgentEvent::Stop => self.stopping = true,
            AgentEvent::Tick => self.on_tick(now, effects),
        }
    }

    /// Sends the messages that the events since the last flush require.
    pub fn flush(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        if self.is_draining() && !self.drain_reported {
            self.drain_reported = true;
            effects.push(AgentEffect::Draining);
        }
        self.choose_offer();
        for session in self.links.keys().copied().collect::<Vec<_>>() {
            self.flush_link(now, session, effects);
        }
        self.report_stop(now, effects);
    }

    /// Reports that a graceful shutdown is complete: no task is running, and
    /// no gateway may still request an output.
    fn report_stop(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        if self.stopping && !self.stop_reported && !self.records.has_unreleased_work(now) {
            self.stop_reported = true;
            effects.push(AgentEffect::Stopped);
        }
    }

    fn open(
        &mut self,
        now: Timestamp,
        session: SessionId,
        gateway: Incarnation,
        effects: &mut Vec<AgentEffect>,
    ) {
        // A new session of the same gateway incarnation replaces the old one.
        let old: Vec<SessionId> = self
            .links
            .iter()
            .filter(|(_, link)| link.gateway == gateway)
            .map(|(session, _)| *session)
            .collect();
        for session in old {
            self.links.remove(&session);
            effects.push(AgentEffect::Close(session));
        }
        let link = Link {
            gateway,
            processed: 0,
            awaits_slot: false,
            last_heard: now,
            last_sent: now,
            results: Vec::new(),
            refusals: Vec::new(),
            has_offer: false,
        };
        self.links.insert(session, link);
        self.send(now, session, FromAgentBody::Heartbeat, effects);
    }

    fn on_message(
        &mut self,
        now: Timestamp,
        session: SessionId,
        message: ToAgent,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(link) = self.links.get_mut(&session) else {
            return;
        };
        link.last_heard = now;
        for submission in &message.release {
            self.records.release(*submission);
        }
        if message.revision < self.revision_number() {
            self.send_revision(now, session, effects);
        }
        match message.body {
            ToAgentBody::Heartbeat => self.answer_heartbeat(now, session, effects),
            ToAgentBody::Revision(revision) => {
                let membership = Membership::of(&revision, &self.name);
                self.apply(now, membership, Some(revision), effects);
            }
            ToAgentBody::Membership(membership) => self.apply(now, membership, None, effects),
            ToAgentBody::Start(tasks) => {
                let sender = Sender {
                    session,
                    echo: message.echo,
                    revision: message.revision,
                };
                for task in tasks {
                    self.start(now, sender, task, effects);
                }
            }
            ToAgentBody::Reconcile(dispatches) => {
                self.reconcile(now, session, &dispatches, effects);
            }
            ToAgentBody::Recover(fences) => self.recover(now, session, &fences, effects),
            ToAgentBody::Cancel(submissions) => {
                self.cancel(session, &submissions, effects);
                self.send(now, session, FromAgentBody::Heartbeat, effects);
            }
            ToAgentBody::Leaving => self.leaving = true,
        }
    }

    fn start(
        &mut self,
        now: Timestamp,
        sender: Sender,
        task: StartTask,
        effects: &mut Vec<AgentEffect>,
    ) {
        let refusal = self.check_start(now, sender, &task);
        let Some(link) = self.links.get_mut(&sender.session) else {
            return;
        };
        link.processed += 1;
        if let Some(reason) = refusal {
            link.awaits_slot |= reason == NotStartedReason::Full;
            link.refusals.push(NotStarted {
                dispatch: task.dispatch,
                reason,
            });
            return;
        }
        let deadline = now.after(task.time_left);
        self.records
            .start(now, link.gateway, task.dispatch, deadline);
        effects.push(AgentEffect::Run {
            dispatch: task.dispatch,
            service: task.service,
            class: task.class,
            input: task.input,
        });
    }

    fn check_start(
        &self,
        now: Timestamp,
        sender: Sender,
        task: &StartTask,
    ) -> Option<NotStartedReason> {
        match self.records.check_start(task.dispatch) {
            StartCheck::Fenced => return Some(NotStartedReason::Fenced),
            StartCheck::Duplicate => return Some(NotStartedReason::Duplicate),
            StartCheck::New => {}
        }
        if now.since(sender.echo) > MAX_START_ECHO_AGE {
            return Some(NotStartedReason::StaleSender);
        }
        if self.is_draining() {
            return Some(NotStartedReason::Draining);
        }
        // The sender computed the age after it had received the echoed
        // reading, so `echo - age` is not later than the delegation.
        if sender.echo < self.member_since.after(task.age) {
            return Some(NotStartedReason::OlderThanAgent);
        }
        if sender.revision < self.revision_number() {
            return Some(NotStartedReason::StaleRevision);
        }
        if now < self.backend_down_until {
            return Some(NotStartedReason::BackendUnreachable);
        }
        (self.records.running() >= self.slots).then_some(NotStartedReason::Full)
    }

    fn on_finished(&mut self, now: Timestamp, dispatch: DispatchId, end: RunEnd) {
        let Some(owner) = self.records.owner_of_running(dispatch) else {
            return;
        };
        match end {
            RunEnd::NotStarted => {
                self.backend_down_until = now.after(BACKEND_BACKOFF);
                self.records.remove_task(dispatch);
                if let Some(link) = self.link_of(owner) {
                    link.refusals.push(NotStarted {
                        dispatch,
                        reason: NotStartedReason::BackendUnreachable,
                    });
                }
            }
            RunEnd::Ended(outcome) => {
                let run_time = self.records.finish(now, dispatch, outcome.clone());
                if let Some(link) = self.link_of(owner) {
                    link.results.push(TaskResult {
                        dispatch,
                        run_micros: run_time.0,
                        outcome,
                    });
                }
            }
        }
    }

    /// Applies a membership newer than the current one; older ones are
    /// ignored.
    fn apply(
        &mut self,
        now: Timestamp,
        membership: Membership,
        revision: Option<Arc<Revision>>,
        effects: &mut Vec<AgentEffect>,
    ) {
        if membership.revision <= self.revision_number() {
            return;
        }
        let was_member = self.slots > 0;
        self.slots = membership.slots;
        if !was_member {
            self.member_since = now;
        }
        self.drained = membership.drained;
        if !self.is_draining() {
            self.drain_reported = false;
        }
        self.revision = revision;
        self.revision_number = membership.revision;
        effects.push(AgentEffect::InForce(membership.revision));
        for session in self.links.keys().copied().collect::<Vec<_>>() {
            self.send(now, session, FromAgentBody::Heartbeat, effects);
        }
    }

    fn on_tick(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        self.records.expire(now);
        let silent: Vec<SessionId> = self
            .links
            .iter()
            .filter(|(_, link)| now.since(link.last_heard) > SESSION_TIMEOUT)
            .map(|(session, _)| *session)
            .collect();
        for session in silent {
            self.links.remove(&session);
            effects.push(AgentEffect::Close(session));
        }
        for session in self.heartbeats_due(now) {
            self.send(now, session, FromAgentBody::Heartbeat, effects);
        }
    }

    fn link_of(&mut self, gateway: Incarnation) -> Option<&mut Link> {
        self.links.values_mut().find(|link| link.gateway == gateway)
    }
}
