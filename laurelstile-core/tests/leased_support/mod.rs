//! What the tests of leased workers share: a gateway with agents that the test
//! plays, and an agent with a worker that the test plays.
#![allow(dead_code, reason = "each test uses a part")]

use std::collections::VecDeque;
use std::sync::Arc;

use laurelstile_core::leased::agent::worker::{
    OrderFailure, Registration, Rejection, WorkerClock, WorkerEnd, WorkerEndKind, WorkerLists,
};
use laurelstile_core::leased::agent::{
    AgentEffect, AgentEvent, AgentOptions, LeasedAgent, Order, OrderAnswer, OrderKind, WatchAnswer,
};
use laurelstile_core::leased::gateway::job::{CallNumber, JobRequest, StepRequest};
use laurelstile_core::leased::gateway::queues::{QueueConfiguration, QueueSettings};
use laurelstile_core::leased::gateway::{
    Answer, GatewayEffect, GatewayEvent, Identity, LeasedGateway, StopTimes,
};
use laurelstile_core::leased::messages::{
    EndKind, FromAgent, FromAgentBody, Member, Report, Snapshot, StartBatch, TaskEnd, ToAgent,
    ToAgentBody, UNLIMITED,
};
use laurelstile_core::leased::room::Room;
use laurelstile_core::leased::task::{JobId, RunId, RunNumber, TaskId};
use laurelstile_core::session::{Remote, SessionId};
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

/// A time, in milliseconds.
pub const fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

/// Room of so many thousandths of a core.
pub const fn cpu(millis: u32) -> Room {
    Room {
        cpu_millis: millis,
        memory_mib: 0,
        gpus: 0,
    }
}

/// The stop times that the tests use: 3 s of overlap, all over after 5 s.
pub const STOP: StopTimes = StopTimes {
    overlap: Span::from_secs(3),
    limit: Span::from_secs(5),
};

/// A configuration of one queue.
pub fn configuration(version: u64) -> QueueConfiguration {
    QueueConfiguration {
        version,
        queues: vec![Arc::new(queue())],
    }
}

/// The queue of that configuration.
pub fn queue() -> QueueSettings {
    QueueSettings {
        name: "checks".into(),
        host: "example.test".into(),
        path_prefix: "/checks/".into(),
        service: "parcels".into(),
        priority: 0,
        max_attempts: 2,
        stretch: 1.5,
        slack_millis: 60,
        is_advised: false,
    }
}

/// A job of one step.
pub fn job(id: u64, tasks: u32, estimate_millis: u64) -> JobRequest {
    JobRequest {
        id: JobId(id),
        queue: Arc::new(queue()),
        input: "input".into(),
        steps: vec![StepRequest {
            count: tasks,
            room: cpu(1_000),
            estimate: Span::from_millis(estimate_millis),
            after: Vec::new(),
            label: None,
            near: None,
        }],
        time_left: Span::from_millis(4_000),
        unsupported: Vec::new(),
    }
}

/// A gateway whose agents and callers the test plays.
pub struct GatewayRig {
    /// The machine.
    pub machine: LeasedGateway,
    /// Answers, in order.
    pub answers: Vec<(CallNumber, Answer)>,
    /// Batches to be started, with the session that they went to.
    pub starts: VecDeque<(SessionId, StartBatch)>,
    /// Tasks to be stopped.
    pub stops: Vec<TaskId>,
    /// Whether the machine has stopped.
    pub stopped: bool,
    /// Versions put in force.
    pub in_force: Vec<u64>,
    ends: u64,
}

impl GatewayRig {
    /// A gateway with a configuration.
    pub fn new() -> Self {
        let identity = Identity {
            member: Member {
                name: "gateway".into(),
                address: ([127, 0, 0, 1], 1).into(),
            },
            zone: "here".into(),
            stop: STOP,
        };
        let mut rig = Self {
            machine: LeasedGateway::new(identity),
            answers: Vec::new(),
            starts: VecDeque::new(),
            stops: Vec::new(),
            stopped: false,
            in_force: Vec::new(),
            ends: 0,
        };
        rig.event(at(0), GatewayEvent::Configuration(configuration(1)));
        rig
    }

    /// Handles an event and flushes.
    pub fn event(&mut self, now: Timestamp, event: GatewayEvent) {
        let mut effects = Vec::new();
        self.machine.handle(now, event, &mut effects);
        self.machine.flush(now, &mut effects);
        for effect in effects {
            match effect {
                GatewayEffect::Answer { call, answer } => self.answers.push((call, answer)),
                GatewayEffect::ToAgent { session, message } => match message.body {
                    ToAgentBody::Start(batch) => self.starts.push_back((session, batch)),
                    ToAgentBody::Stop(tasks) => self.stops.extend(tasks),
                    ToAgentBody::Heartbeat | ToAgentBody::Members(_) => {}
                },
                GatewayEffect::InForce(configuration) => {
                    self.in_force.push(configuration.version);
                }
                GatewayEffect::Stopped => self.stopped = true,
                _ => {}
            }
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Timestamp) {
        self.event(now, GatewayEvent::Tick);
    }

    /// An agent joins with a session of that number and a worker of so much
    /// room.
    pub fn join(&mut self, now: Timestamp, session: u64, name: &str, capacity: Room) {
        self.join_for(now, session, name, "parcels", capacity);
    }

    /// An agent joins whose worker serves `service`.
    pub fn join_for(
        &mut self,
        now: Timestamp,
        session: u64,
        name: &str,
        service: &str,
        capacity: Room,
    ) {
        let opened = GatewayEvent::AgentOpened {
            session: SessionId(session),
            remote: Remote {
                name: name.into(),
                incarnation: Incarnation(session),
                uptime: Span::default(),
            },
        };
        self.event(now, opened);
        let snapshot = Snapshot {
            service: service.into(),
            zone: "here".into(),
            capacity,
            labels: Vec::new(),
            held: Vec::new(),
        };
        self.report(now, session, 0, capacity, FromAgentBody::Snapshot(snapshot));
    }

    /// A message from an agent, with a report of `free` room.
    pub fn report(
        &mut self,
        now: Timestamp,
        session: u64,
        processed: u64,
        free: Room,
        body: FromAgentBody,
    ) {
        let message = FromAgent {
            clock: now,
            report: Some(Report {
                processed,
                free,
                limit: UNLIMITED,
                pace_percent: 100,
            }),
            body,
        };
        self.event(
            now,
            GatewayEvent::AgentMessage {
                session: SessionId(session),
                message,
            },
        );
    }

    /// A report of `free` room and a pace.
    pub fn report_pace(
        &mut self,
        now: Timestamp,
        session: u64,
        processed: u64,
        free: Room,
        pace_percent: u32,
    ) {
        let message = FromAgent {
            clock: now,
            report: Some(Report {
                processed,
                free,
                limit: UNLIMITED,
                pace_percent,
            }),
            body: FromAgentBody::Heartbeat,
        };
        let session = SessionId(session);
        self.event(now, GatewayEvent::AgentMessage { session, message });
    }

    /// A caller hands a job in.
    pub fn submit(&mut self, now: Timestamp, call: u64, request: JobRequest) {
        let call = CallNumber(call);
        self.event(now, GatewayEvent::Submit { call, request });
    }

    /// Ends every task of a batch in one way; the worker has `free` room then.
    pub fn end(
        &mut self,
        now: Timestamp,
        batch: &(SessionId, StartBatch),
        how: EndKind,
        free: Room,
    ) {
        let (session, batch) = batch;
        let ends = batch
            .tasks
            .iter()
            .map(|(index, run)| {
                self.ends += 1;
                TaskEnd {
                    number: self.ends,
                    task: task(batch.job.0, *index),
                    run: *run,
                    how,
                }
            })
            .collect();
        let body = FromAgentBody::Ends(ends);
        self.report(now, session.0, batch.number, free, body);
    }

    /// The next batch to be started.
    ///
    /// # Panics
    /// If there is none.
    pub fn next_start(&mut self) -> (SessionId, StartBatch) {
        self.starts.pop_front().expect("a batch to be started")
    }

    /// The last answer.
    pub fn last_answer(&self) -> Option<Answer> {
        self.answers.last().map(|(_, answer)| *answer)
    }
}

/// A task of a job of one step.
pub fn task(job: u64, index: u32) -> TaskId {
    TaskId {
        job: JobId(job),
        repetition: 0,
        step: 0,
        index,
    }
}

/// A first run of a task.
pub fn run(job: u64, index: u32) -> RunId {
    RunId {
        task: task(job, index),
        run: RunNumber(1),
    }
}

/// An agent whose worker and gateways the test plays. The worker's clock is
/// the test's, 1,000 s ahead.
pub struct AgentRig {
    /// The machine.
    pub machine: LeasedAgent,
    /// Orders that are not answered.
    pub orders: VecDeque<Order>,
    /// Messages to gateways.
    pub sent: Vec<(SessionId, FromAgent)>,
    /// Whether the machine has stopped.
    pub stopped: bool,
    batches: u64,
}

/// The gateway that the rig's helper functions play.
pub const GATEWAY: Incarnation = Incarnation(7);
/// Its session.
pub const SESSION: SessionId = SessionId(70);

/// The worker's clock.
pub fn worker_clock(now: Timestamp) -> WorkerClock {
    WorkerClock(1_000_000 + now.0 / 1_000)
}

impl AgentRig {
    /// An agent that has not heard of its worker, with a session to a gateway.
    pub fn new() -> Self {
        let options = AgentOptions {
            zone: "here".into(),
            stop_patience: Span::from_secs(5),
        };
        let mut rig = Self {
            machine: LeasedAgent::new(options),
            orders: VecDeque::new(),
            sent: Vec::new(),
            stopped: false,
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
    pub fn told_room(&self, session: SessionId) -> Option<u32> {
        let reports = self.sent.iter().rev().filter(|(to, _)| *to == session);
        let mut rooms = reports.filter_map(|(_, message)| message.report);
        rooms.next().map(|report| report.free.cpu_millis)
    }

    /// An agent with its worker, of so much room, under control.
    pub fn in_control(capacity: Room) -> Self {
        let mut rig = Self::new();
        rig.register(at(0), "life-1", capacity, false);
        rig.answer_watch(at(0), WorkerLists::default());
        rig
    }

    /// Handles an event and flushes.
    pub fn event(&mut self, now: Timestamp, event: AgentEvent) {
        let mut effects = Vec::new();
        self.machine.handle(now, event, &mut effects);
        self.machine.flush(now, &mut effects);
        for effect in effects {
            match effect {
                AgentEffect::Order(order) => self.orders.push_back(order),
                AgentEffect::Send { session, message } => self.sent.push((session, message)),
                AgentEffect::Stopped => self.stopped = true,
                _ => {}
            }
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Timestamp) {
        self.event(now, AgentEvent::Tick);
    }

    /// The worker registers or sends a heartbeat.
    pub fn register(&mut self, now: Timestamp, life: &str, capacity: Room, draining: bool) {
        let registration = Registration {
            life: life.into(),
            service: "parcels".into(),
            capacity,
            labels: Vec::new(),
            clock: worker_clock(now),
            draining,
        };
        self.event(now, AgentEvent::Registered(registration));
    }

    /// The record of an earlier agent is read; its clock is old.
    pub fn recall(&mut self, now: Timestamp, life: &str, capacity: Room) {
        let registration = Registration {
            life: life.into(),
            service: "parcels".into(),
            capacity,
            labels: Vec::new(),
            clock: worker_clock(at(0)),
            draining: false,
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
            seen: 0,
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
            seen: u64::MAX,
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
    pub fn batch(&mut self, job: u64, tasks: u32, patience_millis: u32) -> ToAgentBody {
        self.batches += 1;
        ToAgentBody::Start(StartBatch {
            number: self.batches,
            job: JobId(job),
            step: 0,
            input: "input".into(),
            room: cpu(1_000),
            estimate_millis: 100,
            patience_millis,
            tasks: (0..tasks).map(|index| (index, RunNumber(1))).collect(),
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
                life: "life-1".into(),
                answer,
            },
        );
    }

    /// A start gets no answer.
    pub fn lose_start(&mut self, now: Timestamp, run: RunId) {
        self.event(
            now,
            AgentEvent::StartAnswered {
                run,
                life: "life-1".into(),
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
                life: "life-1".into(),
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
        self.take_watches();
        let answer = Ok(WatchAnswer {
            clock: Some(worker_clock(now)),
            lists,
        });
        self.event(
            now,
            AgentEvent::Watched {
                life: "life-1".into(),
                answer,
            },
        );
    }

    /// The watch that is under way gets no answer.
    pub fn lose_watch(&mut self, now: Timestamp) {
        self.take_watches();
        self.event(
            now,
            AgentEvent::Watched {
                life: "life-1".into(),
                answer: Err(OrderFailure::NoAnswer),
            },
        );
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
