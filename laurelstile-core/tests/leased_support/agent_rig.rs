//! An agent whose worker and gateways the test plays.

use std::collections::VecDeque;
use std::sync::Arc;

use laurelstile_core::leased::agent::worker::{
    FenceToken, KnownLife, OrderFailure, Registration, Rejection, WorkerClock, WorkerEnd,
    WorkerEndKind, WorkerLists,
};
use laurelstile_core::leased::agent::{
    AgentDecision, AgentEffect, AgentEvent, AgentOptions, HeartbeatTimes, LeasedAgent, Order,
    OrderAnswer, OrderKind, WatchAnswer,
};
use laurelstile_core::leased::messages::{
    EndKind, FromAgent, FromAgentBody, Offer, Report, StartBatch, ToAgent, ToAgentBody,
};
use laurelstile_core::leased::resources::Resources;
use laurelstile_core::leased::task::{JobId, RunId, RunNumber, TaskId};
use laurelstile_core::leased::worker_incarnation::{StartTime, WorkerIncarnation};
use laurelstile_core::session::SessionId;
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::{at, cpu};

/// An agent whose worker and gateways the test plays. The worker's clock is
/// the test's, 1,000 s ahead.
pub struct AgentRig {
    /// The machine.
    pub machine: LeasedAgent,
    /// Orders that are not answered.
    pub orders: VecDeque<Order>,
    /// Messages to gateways.
    pub sent: Vec<(SessionId, FromAgent)>,
    /// Sessions that were closed, in order.
    pub closed: Vec<SessionId>,
    /// What a later agent is to know of the worker, in order.
    pub remembered: Vec<KnownLife>,
    /// Ids whose deregistrations were answered, in order.
    pub deregistrations: Vec<String>,
    /// The life of the worker for which orders are answered.
    pub incarnation: WorkerIncarnation,
    /// What the log was told, in order.
    pub decisions: Vec<AgentDecision>,
    /// Whether the machine has stopped.
    pub stopped: bool,
    /// When the last event was.
    now: Timestamp,
    batches: u64,
}

/// The gateway that the rig's helper functions play.
pub const GATEWAY: Incarnation = Incarnation(7);
/// Heartbeats that tests need not play.
pub const RARE_HEARTBEATS: HeartbeatTimes = HeartbeatTimes {
    interval: Span::from_secs(3_600),
    grace: Span::from_secs(3),
};
/// Tokens of the rig's orders are above this.
pub const TOKEN_FLOOR: FenceToken = FenceToken(5_000_000);
/// Its session.
pub const SESSION: SessionId = SessionId(70);

/// The worker's clock.
pub fn worker_clock(now: Timestamp) -> WorkerClock {
    WorkerClock(1_000_000 + now.0 / 1_000)
}

/// What the worker says of itself in a life.
pub fn registration(
    now: Timestamp,
    life: WorkerIncarnation,
    capacity: Resources,
    draining: bool,
) -> Registration {
    Registration {
        life,
        service: "parcels".into(),
        capacity,
        labels: Vec::new(),
        clock: worker_clock(now),
        draining,
        sequence: now.0,
    }
}

impl AgentRig {
    /// An agent that has not heard of its worker, with a session to a gateway.
    pub fn new() -> Self {
        Self::with_heartbeats(RARE_HEARTBEATS)
    }

    /// The same, with a worker that is to be heard as often.
    pub fn with_heartbeats(heartbeats: HeartbeatTimes) -> Self {
        let options = AgentOptions {
            zone: "here".into(),
            stop_patience: Span::from_secs(5),
            heartbeats,
            token_floor: TOKEN_FLOOR,
        };
        let mut rig = Self {
            machine: LeasedAgent::new(options),
            orders: VecDeque::new(),
            sent: Vec::new(),
            closed: Vec::new(),
            remembered: Vec::new(),
            deregistrations: Vec::new(),
            incarnation: "life-1".into(),
            decisions: Vec::new(),
            stopped: false,
            now: Timestamp::default(),
            batches: 0,
        };
        let opened = AgentEvent::Opened {
            session: SESSION,
            gateway: GATEWAY,
        };
        rig.event(at(0), opened);
        rig
    }

    /// Another gateway opens a session.
    pub fn open(&mut self, now: Timestamp, session: SessionId, gateway: Incarnation) {
        self.event(now, AgentEvent::Opened { session, gateway });
    }

    /// Free room that a session was last told of, in thousandths of a core.
    pub fn reported_free_cpu(&self, session: SessionId) -> Option<u32> {
        let reports = self.sent.iter().rev().filter(|(to, _)| *to == session);
        let mut rooms = reports.filter_map(|(_, message)| message.report);
        rooms.next().map(|report| report.free.cpu_millis)
    }

    /// Rooms that a session was offered, in order.
    pub fn offers(&self, session: SessionId) -> Vec<Resources> {
        self.offers_to(session)
            .map(|offer| offer.resources)
            .collect()
    }

    /// The last offer to a session.
    ///
    /// # Panics
    /// If there was none.
    pub fn last_offer(&self, session: SessionId) -> Offer {
        self.offers_to(session).last().expect("an offer")
    }

    fn offers_to(&self, session: SessionId) -> impl Iterator<Item = Offer> {
        self.sent
            .iter()
            .filter(move |(to, _)| *to == session)
            .flat_map(|(_, message)| message.offers.iter().copied())
    }

    /// A message of a session, with a fresh echo.
    pub fn message_from(&mut self, now: Timestamp, session: SessionId, body: ToAgentBody) {
        let message = ToAgent {
            echo: now,
            acknowledged: 0,
            body,
        };
        self.event(now, AgentEvent::Message { session, message });
    }

    /// An agent with its worker, of so much room, under control.
    pub fn with_worker(capacity: Resources) -> Self {
        let mut rig = Self::new();
        rig.register(at(0), "life-1", capacity, false);
        rig.answer_watch(at(0), WorkerLists::default());
        rig
    }

    /// Handles an event and flushes.
    pub fn event(&mut self, now: Timestamp, event: AgentEvent) {
        self.now = now;
        let mut effects = Vec::new();
        self.machine.handle(now, event, &mut effects);
        self.machine.flush(now, &mut effects);
        for effect in effects {
            match effect {
                AgentEffect::Order(order) => self.orders.push_back(order),
                AgentEffect::Send { session, message } => self.sent.push((session, message)),
                AgentEffect::Close(session) => self.closed.push(session),
                AgentEffect::Remember(known) => self.remembered.push(known),
                AgentEffect::AnswerDeregistration(id) => self.deregistrations.push(id.to_string()),
                AgentEffect::Decided(decision) => self.decisions.push(decision),
                AgentEffect::Stopped => self.stopped = true,
                _ => {}
            }
        }
    }

    /// Whether the worker may be given tasks, as of the last event.
    pub fn is_available(&self) -> bool {
        self.machine.is_available(self.now)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Timestamp) {
        self.event(now, AgentEvent::Tick);
    }

    /// The worker registers or sends a heartbeat.
    pub fn register(&mut self, now: Timestamp, life: &str, capacity: Resources, draining: bool) {
        self.heartbeat(now, registration(now, life.into(), capacity, draining));
    }

    /// A heartbeat of the worker comes.
    pub fn heartbeat(&mut self, now: Timestamp, registration: Registration) {
        self.event(now, AgentEvent::Registered(registration));
    }

    /// The record of an earlier agent is read; its clock is old.
    pub fn recall(&mut self, now: Timestamp, life: &str, capacity: Resources) {
        let registration = Registration {
            life: life.into(),
            service: "parcels".into(),
            capacity,
            labels: Vec::new(),
            clock: worker_clock(at(0)),
            draining: false,
            sequence: 0,
        };
        self.event(now, AgentEvent::Recalled(registration));
    }

    /// Token of the latest order.
    pub fn last_token(&self) -> Option<u64> {
        self.orders.back().map(|order| order.token.0)
    }

    /// The gateway sends something, with a fresh echo.
    pub fn message(&mut self, now: Timestamp, body: ToAgentBody) {
        self.message_with_echo(now, now, body);
    }

    /// The gateway sends something, with an echo of that age.
    pub fn message_with_echo(&mut self, now: Timestamp, echo: Timestamp, body: ToAgentBody) {
        let message = ToAgent {
            echo,
            acknowledged: 0,
            body,
        };
        self.event(
            now,
            AgentEvent::Message {
                session: SESSION,
                message,
            },
        );
    }

    /// The gateway acknowledges every end.
    pub fn acknowledge_all(&mut self, now: Timestamp) {
        let message = ToAgent {
            echo: now,
            acknowledged: u64::MAX,
            body: ToAgentBody::Heartbeat,
        };
        self.event(
            now,
            AgentEvent::Message {
                session: SESSION,
                message,
            },
        );
    }

    /// A batch of first runs, each of one core for 100 ms, that may wait for
    /// `patience` milliseconds.
    pub fn batch(&mut self, job: u64, tasks: u32, max_wait_millis: u32) -> ToAgentBody {
        self.batches += 1;
        ToAgentBody::Start(StartBatch {
            number: self.batches,
            job: JobId(job),
            step: 0,
            input: "input".into(),
            resources: cpu(1_000),
            estimate_millis: 100,
            max_wait_millis,
            tasks: (0..tasks).map(|index| (index, RunNumber(1))).collect(),
            offer: None,
            is_exclusive: false,
            has_stalled: false,
        })
    }

    /// Takes the starts out of the orders that are not answered.
    pub fn take_starts(&mut self) -> Vec<RunId> {
        self.take(|kind| match kind {
            OrderKind::Start { run, .. } => Some(*run),
            _ => None,
        })
    }

    /// Takes the stops out of the orders that are not answered.
    pub fn take_stops(&mut self) -> Vec<RunId> {
        self.take(|kind| match kind {
            OrderKind::Stop { run } => Some(*run),
            _ => None,
        })
    }

    /// Takes the watches out: the highest end seen, and whether the lease is
    /// renewed.
    pub fn take_watches(&mut self) -> Vec<(u64, bool)> {
        self.take(|kind| match kind {
            OrderKind::Watch {
                last_seen,
                lease_until,
                ..
            } => Some((*last_seen, lease_until.is_some())),
            _ => None,
        })
    }

    /// The leases in the orders that are not answered, which stay where they are.
    pub fn leases(&self) -> Vec<WorkerClock> {
        let leases = self.orders.iter().filter_map(|order| match &order.kind {
            OrderKind::Start { lease_until, .. } => Some(*lease_until),
            OrderKind::Watch { lease_until, .. } => *lease_until,
            OrderKind::Stop { .. } => None,
        });
        leases.collect()
    }

    fn take<T>(&mut self, pick: impl Fn(&OrderKind) -> Option<T>) -> Vec<T> {
        let orders = std::mem::take(&mut self.orders);
        let mut taken = Vec::new();
        for order in orders {
            match pick(&order.kind) {
                Some(item) => taken.push(item),
                None => self.orders.push_back(order),
            }
        }
        taken
    }

    /// The worker answers a start.
    pub fn answer_start(&mut self, now: Timestamp, run: RunId, rejection: Option<Rejection>) {
        let answer = Ok(OrderAnswer {
            clock: Some(worker_clock(now)),
            rejection,
        });
        self.event(
            now,
            AgentEvent::StartAnswered {
                run,
                life: self.incarnation.clone(),
                answer,
            },
        );
    }

    /// A start gets no answer.
    pub fn time_out_start(&mut self, now: Timestamp, run: RunId) {
        self.event(
            now,
            AgentEvent::StartAnswered {
                run,
                life: self.incarnation.clone(),
                answer: Err(OrderFailure::NoAnswer),
            },
        );
    }

    /// The worker answers a stop, or does not.
    pub fn answer_stop(&mut self, now: Timestamp, run: RunId, is_answered: bool) {
        let answer = if is_answered {
            Ok(OrderAnswer {
                clock: Some(worker_clock(now)),
                rejection: None,
            })
        } else {
            Err(OrderFailure::NoAnswer)
        };
        self.event(
            now,
            AgentEvent::StopAnswered {
                run,
                life: self.incarnation.clone(),
                answer,
            },
        );
    }

    /// The worker answers the watch that is under way.
    pub fn answer_watch(&mut self, now: Timestamp, lists: WorkerLists) {
        self.answer_watch_as(now, Ok(lists));
    }

    /// The worker answers the watch that is under way, or rejects it.
    pub fn answer_watch_as(&mut self, now: Timestamp, lists: Result<WorkerLists, Rejection>) {
        let started_at = self.incarnation.started_at;
        self.answer_watch_of(now, started_at, lists);
    }

    /// A process that was born then answers the watch that is under way.
    pub fn answer_watch_of(
        &mut self,
        now: Timestamp,
        started_at: Option<StartTime>,
        lists: Result<WorkerLists, Rejection>,
    ) {
        self.take_watches();
        let answer = Ok(WatchAnswer {
            clock: Some(worker_clock(now)),
            started_at,
            lists,
        });
        self.event(
            now,
            AgentEvent::Watched {
                life: self.incarnation.clone(),
                answer,
            },
        );
    }

    /// The watch that is under way gets no answer.
    pub fn time_out_watch(&mut self, now: Timestamp) {
        self.fail_watch(now, OrderFailure::NoAnswer);
    }

    /// The worker, asked by the watch that is under way, answers that its life is over.
    pub fn end_incarnation(&mut self, now: Timestamp) {
        self.fail_watch(now, OrderFailure::LifeOver);
    }

    /// Nobody listens for the watch that is under way.
    pub fn refuse_watch(&mut self, now: Timestamp) {
        self.fail_watch(now, OrderFailure::Refused);
    }

    fn fail_watch(&mut self, now: Timestamp, failure: OrderFailure) {
        self.take_watches();
        self.event(
            now,
            AgentEvent::Watched {
                life: self.incarnation.clone(),
                answer: Err(failure),
            },
        );
    }

    /// The worker says that it ends once it is answered.
    pub fn deregister(&mut self, now: Timestamp) {
        let id = Arc::clone(&self.incarnation.id);
        self.event(now, AgentEvent::Deregistration { id });
    }

    /// Ends that the gateway was told, in order.
    pub fn ends(&self) -> Vec<(TaskId, EndKind)> {
        self.sent
            .iter()
            .filter_map(|(_, message)| match &message.body {
                FromAgentBody::Ends(ends) => Some(ends),
                _ => None,
            })
            .flatten()
            .map(|end| (end.task, end.how))
            .collect()
    }

    /// The latest report.
    pub fn last_report(&self) -> Option<Report> {
        self.sent
            .iter()
            .rev()
            .find_map(|(_, message)| message.report)
    }
}

/// Lists of what runs, all at that progress, and what has ended.
pub fn lists(running: &[(RunId, u32)], ended: &[(u64, RunId, WorkerEndKind)]) -> WorkerLists {
    WorkerLists {
        unreadable: 0,
        running: running.to_vec(),
        ended: ended
            .iter()
            .map(|(number, run, how)| WorkerEnd {
                number: *number,
                run: *run,
                how: *how,
            })
            .collect(),
    }
}
