//! The agent beside a back end: it owns the back end's slots, so that no
//! agreement between gateways is needed to keep starts safe.

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
use record::{Records, StartVerdict};

/// A start is refused if its sender last heard from the agent longer ago. This
/// bounds how long a start on its way can be late for a back end that leaves.
pub const MAX_START_ECHO_AGE: Span = Span::from_millis(4_500);
/// A session from which nothing comes for this long is closed.
pub const SESSION_SILENCE: Span = Span::from_secs(25);
/// Heartbeat interval towards a gateway with unresolved work.
pub const BUSY_HEARTBEAT: Span = Span::from_millis(500);
/// A gateway's heartbeat is answered unless something was sent to it within
/// this time.
pub const ANSWER_PAUSE: Span = Span::from_millis(400);
/// How long after joining its pool an agent reports as often as a busy one.
pub const YOUTH: Span = Span::from_secs(5);
/// How long a back end that refused a connection gets no start.
pub const BACKEND_BACKOFF: Span = Span::from_millis(500);

/// What happens to an agent.
#[derive(Debug)]
pub enum AgentEvent {
    /// A gateway's session is open.
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
    /// A message came.
    Message {
        /// Session on which it came.
        session: SessionId,
        /// The message.
        message: ToAgent,
    },
    /// A started task has ended.
    Finished {
        /// The dispatch.
        dispatch: DispatchId,
        /// How.
        end: RunEnd,
    },
    /// The process is asked to stop in a planned way.
    Stop,
    /// Time has passed.
    Tick,
}

/// How the back end's run of a task ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The back end was never reached: proof that the task did not start.
    NotStarted,
    /// The task ended.
    Ended(TaskOutcome),
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
    /// Run a task on the back end.
    Run {
        /// The dispatch.
        dispatch: DispatchId,
        /// Service.
        service: ServiceName,
        /// Class.
        class: ClassName,
        /// Input.
        input: Payload,
    },
    /// Break off the run of a task; no `Finished` needs to follow.
    Abort(DispatchId),
    /// Close a session.
    Close(SessionId),
    /// A revision is in force here.
    InForce(RevisionNumber),
    /// The agent refuses all new work from now on.
    Draining,
    /// Everything is handed over; the process may exit.
    Stopped,
}

/// A gateway's session.
#[derive(Debug)]
struct Link {
    gateway: Incarnation,
    processed: u64,
    waiting: bool,
    last_heard: Timestamp,
    last_sent: Timestamp,
    results: Vec<TaskResult>,
    refused: Vec<NotStarted>,
    offered: bool,
}

/// What a start tells of its sender.
#[derive(Clone, Copy, Debug)]
struct Sender {
    session: SessionId,
    echo: Timestamp,
    revision: RevisionNumber,
}

/// The agent's machine.
#[derive(Debug)]
pub struct Agent {
    name: BackendName,
    /// The revision in force, where this agent was given the whole of it.
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
    /// An agent for the named back end, without a configuration.
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

    /// The revision in force here; 0 if none.
    pub fn revision_number(&self) -> RevisionNumber {
        self.revision_number
    }

    /// Tasks that run now.
    pub fn running(&self) -> u32 {
        self.records.running()
    }

    /// Submissions that the agent remembers.
    pub fn remembered(&self) -> usize {
        self.records.len()
    }

    /// Whether the agent refuses new work.
    pub fn is_draining(&self) -> bool {
        self.drained || self.leaving || self.stopping
    }

    /// Takes in one event. Call [`Agent::flush`] after a batch of events.
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

    /// Sends what the events since the last flush gave rise to.
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

    /// Reports the end of a planned stop: nothing runs, and no gateway may
    /// still ask for an output.
    fn report_stop(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        if self.stopping && !self.stop_reported && !self.records.are_needed(now) {
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
        // A new session of the same incarnation fences the old one.
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
            waiting: false,
            last_heard: now,
            last_sent: now,
            results: Vec::new(),
            refused: Vec::new(),
            offered: false,
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
                self.adopt(now, membership, Some(revision), effects);
            }
            ToAgentBody::Membership(membership) => self.adopt(now, membership, None, effects),
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
        let refusal = self.refusal_of(now, sender, &task);
        let Some(link) = self.links.get_mut(&sender.session) else {
            return;
        };
        link.processed += 1;
        if let Some(reason) = refusal {
            link.waiting |= reason == NotStartedReason::Full;
            link.refused.push(NotStarted {
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

    fn refusal_of(
        &self,
        now: Timestamp,
        sender: Sender,
        task: &StartTask,
    ) -> Option<NotStartedReason> {
        match self.records.verdict(task.dispatch) {
            StartVerdict::Fenced => return Some(NotStartedReason::Fenced),
            StartVerdict::Duplicate => return Some(NotStartedReason::Duplicate),
            StartVerdict::New => {}
        }
        if now.since(sender.echo) > MAX_START_ECHO_AGE {
            return Some(NotStartedReason::StaleSender);
        }
        if self.is_draining() {
            return Some(NotStartedReason::Draining);
        }
        // The sender measured the age after it had seen the echoed reading.
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
                self.records.forget_task(dispatch);
                if let Some(link) = self.link_of(owner) {
                    link.refused.push(NotStarted {
                        dispatch,
                        reason: NotStartedReason::BackendUnreachable,
                    });
                }
            }
            RunEnd::Ended(outcome) => {
                let run = self.records.finish(now, dispatch, outcome.clone());
                if let Some(link) = self.link_of(owner) {
                    link.results.push(TaskResult {
                        dispatch,
                        run_micros: run.0,
                        outcome,
                    });
                }
            }
        }
    }

    /// Puts a newer revision in force; an older one is ignored.
    fn adopt(
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
            .filter(|(_, link)| now.since(link.last_heard) > SESSION_SILENCE)
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
