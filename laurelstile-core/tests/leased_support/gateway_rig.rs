//! A test rig for a gateway; the test acts as its agents, peers and callers.

use std::collections::VecDeque;
use std::sync::Arc;

use laurelstile_core::leased::crashes::CrashEvidence;
use laurelstile_core::leased::evacuation::Evacuations;
use laurelstile_core::leased::gateway::forecast::ExpectedWait;
use laurelstile_core::leased::gateway::job::{CallNumber, JobRequest};
use laurelstile_core::leased::gateway::policies::Policies;
use laurelstile_core::leased::gateway::queues::{ConfigurationError, QueueConfiguration};
use laurelstile_core::leased::gateway::shares::Standing;
use laurelstile_core::leased::gateway::stages::StageTimes;
use laurelstile_core::leased::gateway::{
    Answer, EndSource, GatewayDecision, GatewayEffect, GatewayEvent, Identity, LeasedGateway,
    RefusalCause,
};
use laurelstile_core::leased::membership::page::Page;
use laurelstile_core::leased::messages::{
    AgentClaims, Announcement, EndKind, FromAgent, FromAgentBody, Member, NO_TASK_LIMIT, Notice,
    Offer, Report, Snapshot, StartBatch, TaskEnd, ToAgent, ToAgentBody, ToPeer,
};
use laurelstile_core::leased::queue_key::QueueKey;
use laurelstile_core::leased::resources::Resources;
use laurelstile_core::leased::task::{JobId, RunId, RunNumber, TaskId};
use laurelstile_core::leased::usage::{QueueLoad, ServedCount, UsageReport};
use laurelstile_core::session::{Remote, SessionId};
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::{STOP, at, configuration, task};

/// A gateway whose agents, peers and callers the test simulates.
pub struct GatewayRig {
    /// The gateway under test.
    pub machine: LeasedGateway,
    /// Answers to callers, in order.
    pub answers: Vec<(CallNumber, Answer)>,
    /// Messages sent to agents, in order.
    pub to_agents: Vec<(SessionId, ToAgent)>,
    /// Batches sent to agents and not yet taken by the test, with their sessions.
    pub starts: VecDeque<(SessionId, StartBatch)>,
    /// Tasks that agents were asked to stop, in order.
    pub stops: Vec<TaskId>,
    /// Announcements sent to agents, in order.
    pub announced: Vec<Announcement>,
    /// Sessions to which tasks were announced, in order; without withdrawals.
    pub announced_to: Vec<SessionId>,
    /// Times that steps waited for a worker near their data, in order.
    pub near_waits: Vec<Span>,
    /// Members sent to agents, with their sessions, in order.
    pub members: Vec<(SessionId, Vec<Member>)>,
    /// Messages sent to peers, in order.
    pub to_peers: Vec<(SessionId, ToPeer)>,
    /// Numbers of declined offers, in order.
    pub declined: Vec<u64>,
    /// Evacuations sent to agents, with their sessions, in order.
    pub evacuations: Vec<(SessionId, Evacuations)>,
    /// Silences of predecessors sent to agents, with their sessions, in order.
    pub predecessors: Vec<(SessionId, Span)>,
    /// Stage times of answered jobs, in order.
    pub stages: Vec<StageTimes>,
    /// Echoes of agents' clocks, in order.
    pub echoes: Vec<Timestamp>,
    /// Runs that the gateway considered ended without a report, with the evidence, in order.
    pub lost: Vec<(EndSource, Vec<RunId>)>,
    /// Sessions that the gateway closed, in order.
    pub closed: Vec<SessionId>,
    /// Whether the gateway has stopped.
    pub stopped: bool,
    /// Versions of the configurations put in force, in order.
    pub in_force: Vec<u64>,
    /// Cancelled jobs sent to agents, with their sessions, in order.
    pub cancelled: Vec<(SessionId, JobId)>,
    /// Served counts sent to agents, with their sessions, in order.
    pub served: Vec<(SessionId, Vec<ServedCount>)>,
    /// Changes of the departing capacity, in order: usable and departing, in thousandths of a core.
    pub capacities: Vec<(u64, u64)>,
    /// The configurations put in force, in order.
    pub configurations: Vec<Arc<QueueConfiguration>>,
    /// Configurations that were put in force with clamped values, by version, with the first such
    /// value, in order.
    pub clamped_configurations: Vec<(u64, ConfigurationError)>,
    /// Reported standings of queues, in order.
    pub queue_shares: Vec<(String, Standing)>,
    /// Tasks that were preempted, in order.
    pub preempted: Vec<TaskId>,
    /// Jobs that were rejected by forecast, in order.
    pub forecast_refusals: Vec<(JobId, ExpectedWait)>,
    /// Jobs rejected by the accepted share of their queue.
    pub share_refusals: Vec<JobId>,
    /// Claims sent to agents, with their sessions, in order.
    pub claims: Vec<(SessionId, AgentClaims)>,
    /// Number of ends sent by [`Self::end`].
    ends: u64,
}

/// The list of gateways in the store, as a gateway reads it that is alone.
fn empty_list() -> Page {
    Page {
        from: String::new(),
        until: None,
        members: Vec::new(),
    }
}

impl GatewayRig {
    /// A gateway with configuration version 1 that has read the list of gateways in the store, which names
    /// no other.
    pub fn new() -> Self {
        Self::named("gateway")
    }

    /// A gateway of this name with configuration version 1.
    pub fn named(name: &str) -> Self {
        Self::of_process(name, Incarnation(0))
    }

    /// A process of the gateway of this name with configuration version 1.
    pub fn of_process(name: &str, incarnation: Incarnation) -> Self {
        let policies = Policies::default();
        Self::of_process_with(name, incarnation, policies, configuration(1))
    }

    /// A gateway with these policies and this configuration.
    pub fn with_policies(policies: Policies, configuration: QueueConfiguration) -> Self {
        Self::of_process_with("gateway", Incarnation(0), policies, configuration)
    }

    /// A process of the gateway of this name with these policies and this configuration.
    pub fn of_process_with(
        name: &str,
        incarnation: Incarnation,
        policies: Policies,
        configuration: QueueConfiguration,
    ) -> Self {
        let mut rig = Self::unconfigured(name, incarnation, policies);
        rig.event(at(0), GatewayEvent::Configuration(configuration));
        rig.event(at(0), GatewayEvent::ListPage(empty_list()));
        rig
    }

    /// A process of the gateway of this name that has read no configuration yet.
    pub fn unconfigured(name: &str, incarnation: Incarnation, policies: Policies) -> Self {
        let identity = Identity {
            member: Member {
                name: name.into(),
                address: ([127, 0, 0, 1], 1).into(),
                zone: "here".into(),
            },
            incarnation,
            stop: STOP,
        };
        Self {
            machine: LeasedGateway::with_policies(identity, policies),
            answers: Vec::new(),
            to_agents: Vec::new(),
            starts: VecDeque::new(),
            stops: Vec::new(),
            announced: Vec::new(),
            announced_to: Vec::new(),
            near_waits: Vec::new(),
            members: Vec::new(),
            to_peers: Vec::new(),
            declined: Vec::new(),
            evacuations: Vec::new(),
            predecessors: Vec::new(),
            stages: Vec::new(),
            echoes: Vec::new(),
            lost: Vec::new(),
            closed: Vec::new(),
            stopped: false,
            in_force: Vec::new(),
            cancelled: Vec::new(),
            served: Vec::new(),
            capacities: Vec::new(),
            clamped_configurations: Vec::new(),
            configurations: Vec::new(),
            queue_shares: Vec::new(),
            preempted: Vec::new(),
            forecast_refusals: Vec::new(),
            share_refusals: Vec::new(),
            claims: Vec::new(),
            ends: 0,
        }
    }

    /// Handles an event and flushes.
    pub fn event(&mut self, now: Timestamp, event: GatewayEvent) {
        let mut effects = Vec::new();
        self.machine.handle(now, event, &mut effects);
        self.machine.flush(now, &mut effects);
        for effect in effects {
            match effect {
                GatewayEffect::Answer { call, answer } => self.answers.push((call, answer)),
                GatewayEffect::ToAgent { session, message } => {
                    self.to_agents.push((session, message.clone()));
                    self.echoes.push(message.echo);
                    let cancelled = message.cancelled.iter();
                    self.cancelled.extend(cancelled.map(|job| (session, *job)));
                    if !message.served.is_empty() {
                        self.served.push((session, message.served));
                    }
                    match message.body {
                        ToAgentBody::Start(batch) => self.starts.push_back((session, batch)),
                        ToAgentBody::Stop(tasks) => self.stops.extend(tasks),
                        ToAgentBody::Announce(announcements) => {
                            let waiting = announcements.iter().filter(|one| one.count > 0);
                            self.announced_to.extend(waiting.map(|_| session));
                            self.announced.extend(announcements);
                        }
                        ToAgentBody::Decline(offers) => self.declined.extend(offers),
                        ToAgentBody::Members(members) => self.members.push((session, members)),
                        ToAgentBody::Evacuations(zones) => self.evacuations.push((session, zones)),
                        ToAgentBody::Predecessor { silence } => {
                            self.predecessors.push((session, silence));
                        }
                        ToAgentBody::Claims(claims) => self.claims.push((session, claims)),
                        ToAgentBody::Heartbeat => {}
                    }
                }
                GatewayEffect::ToPeer { session, message } => {
                    self.to_peers.push((session, message));
                }
                GatewayEffect::InForce(configuration) => {
                    self.in_force.push(configuration.version);
                    self.configurations.push(configuration);
                }
                GatewayEffect::Decided(GatewayDecision::Answered { stages, .. }) => {
                    self.stages.push(stages);
                }
                GatewayEffect::Decided(GatewayDecision::RunsLost { source, runs, .. }) => {
                    self.lost.push((source, runs));
                }
                GatewayEffect::Decided(GatewayDecision::CapacityDeparting {
                    usable,
                    departing,
                    ..
                }) => self.capacities.push((usable, departing.cpu_millis)),
                GatewayEffect::Decided(GatewayDecision::WaitedForNear { waited, .. }) => {
                    self.near_waits.push(waited);
                }
                GatewayEffect::Decided(GatewayDecision::ConfigurationClamped {
                    version,
                    error,
                }) => self.clamped_configurations.push((version, error)),
                GatewayEffect::Decided(GatewayDecision::QueueShare {
                    queue, standing, ..
                }) => self.queue_shares.push((queue, standing)),
                GatewayEffect::Decided(GatewayDecision::RefusedForCapacity {
                    job,
                    cause: RefusalCause::Forecast(expected),
                    ..
                }) => self.forecast_refusals.push((job, expected)),
                GatewayEffect::Decided(GatewayDecision::RefusedForCapacity {
                    job,
                    cause: RefusalCause::AcceptedShare(_),
                    ..
                }) => self.share_refusals.push(job),
                GatewayEffect::Decided(GatewayDecision::TaskPreempted { run, .. }) => {
                    self.preempted.push(run.task);
                }
                GatewayEffect::Close(session) => self.closed.push(session),
                GatewayEffect::Stopped => self.stopped = true,
                _ => {}
            }
        }
    }

    /// Handles a tick.
    pub fn tick(&mut self, now: Timestamp) {
        self.event(now, GatewayEvent::Tick);
    }

    /// Handles ticks every 500 ms, the longest interval at which the gateway must be woken.
    pub fn pass_time(&mut self, from_millis: u64, to_millis: u64) {
        for millis in (from_millis..to_millis).step_by(500) {
            self.tick(at(millis));
        }
    }

    /// A peer dials and opens a session.
    pub fn open_peer(&mut self, now: Timestamp, session: SessionId) {
        let is_dialed = false;
        self.event(now, GatewayEvent::PeerOpened { session, is_dialed });
    }

    /// A peer sends a message.
    pub fn peer_message(&mut self, now: Timestamp, session: SessionId, message: ToPeer) {
        self.event(now, GatewayEvent::PeerMessage { session, message });
    }

    /// An agent joins with a session of that number and a worker of this capacity.
    pub fn join(&mut self, now: Timestamp, session: u64, name: &str, capacity: Resources) {
        self.join_for(now, session, name, "parcels", capacity);
    }

    /// An agent joins whose worker serves `service`.
    pub fn join_for(
        &mut self,
        now: Timestamp,
        session: u64,
        name: &str,
        service: &str,
        capacity: Resources,
    ) {
        self.join_from(now, session, name, service, "here", capacity);
    }

    /// An agent joins whose process has run for `uptime`.
    pub fn join_with_uptime(
        &mut self,
        now: Timestamp,
        session: u64,
        name: &str,
        capacity: Resources,
        uptime: Span,
    ) {
        let incarnation = Incarnation(session);
        self.open_agent(now, session, name, incarnation, uptime);
        let snapshot = Snapshot {
            service: "parcels".into(),
            zone: "here".into(),
            capacity,
            labels: Vec::new(),
            held: Vec::new(),
            session: None,
            control: None,
            honors_claims: false,
        };
        self.report(now, session, 0, capacity, FromAgentBody::Snapshot(snapshot));
    }

    /// An agent process opens a session.
    pub fn open_agent(
        &mut self,
        now: Timestamp,
        session: u64,
        name: &str,
        incarnation: Incarnation,
        uptime: Span,
    ) {
        let opened = GatewayEvent::AgentOpened {
            session: SessionId(session),
            remote: Remote {
                name: name.into(),
                incarnation,
                uptime,
            },
        };
        self.event(now, opened);
    }

    /// An agent of `zone` joins whose worker serves `service`.
    pub fn join_from(
        &mut self,
        now: Timestamp,
        session: u64,
        name: &str,
        service: &str,
        zone: &str,
        capacity: Resources,
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
            zone: zone.into(),
            capacity,
            labels: Vec::new(),
            held: Vec::new(),
            session: None,
            control: None,
            honors_claims: false,
        };
        self.report(now, session, 0, capacity, FromAgentBody::Snapshot(snapshot));
    }

    /// An agent joins whose worker has these labels.
    pub fn join_labelled(
        &mut self,
        now: Timestamp,
        session: u64,
        capacity: Resources,
        labels: &[&str],
    ) {
        let name = format!("agent-{session}");
        self.open_agent(now, session, &name, Incarnation(session), Span::default());
        self.relabel(now, session, capacity, labels);
    }

    /// An agent sends a snapshot of a worker with these labels, which runs nothing.
    pub fn relabel(&mut self, now: Timestamp, session: u64, capacity: Resources, labels: &[&str]) {
        self.relabel_in(now, session, "here", capacity, labels);
    }

    /// Like [`Self::relabel`], for a worker of `zone`.
    pub fn relabel_in(
        &mut self,
        now: Timestamp,
        session: u64,
        zone: &str,
        capacity: Resources,
        labels: &[&str],
    ) {
        let snapshot = Snapshot {
            service: "parcels".into(),
            zone: zone.into(),
            capacity,
            labels: labels.iter().map(|label| (*label).to_owned()).collect(),
            held: Vec::new(),
            session: None,
            control: None,
            honors_claims: false,
        };
        self.report(now, session, 0, capacity, FromAgentBody::Snapshot(snapshot));
    }

    /// The session of an agent breaks.
    pub fn lose_session(&mut self, now: Timestamp, session: u64) {
        let session = SessionId(session);
        self.event(now, GatewayEvent::AgentClosed { session });
    }

    /// The agent that first joined with session `agent` reconnects, and holds these tasks.
    pub fn rejoin(
        &mut self,
        now: Timestamp,
        agent: u64,
        session: u64,
        capacity: Resources,
        held: Vec<(TaskId, RunNumber)>,
    ) {
        let opened = GatewayEvent::AgentOpened {
            session: SessionId(session),
            remote: Remote {
                name: format!("agent-{agent}"),
                incarnation: Incarnation(agent),
                uptime: Span::default(),
            },
        };
        self.event(now, opened);
        let snapshot = Snapshot {
            service: "parcels".into(),
            zone: "here".into(),
            capacity,
            labels: Vec::new(),
            held,
            session: None,
            control: None,
            honors_claims: false,
        };
        self.report(now, session, 0, capacity, FromAgentBody::Snapshot(snapshot));
    }

    /// An agent tells what it knows of a crash that it has not confirmed.
    pub fn crash_evidence(
        &mut self,
        now: Timestamp,
        session: SessionId,
        evidence: CrashEvidence,
        body: FromAgentBody,
    ) {
        let message = FromAgent {
            clock: now,
            report: None,
            offers: Vec::new(),
            candidates: None,
            notices: vec![Notice::Crash(evidence)],
            cancels_received: None,
            cancel_ages: Vec::new(),
            is_ending: false,
            usage: None,
            served: None,
            body,
        };
        self.event(now, GatewayEvent::AgentMessage { session, message });
    }

    /// An agent sends a message with a report of `free` resources.
    pub fn report(
        &mut self,
        now: Timestamp,
        session: u64,
        processed: u64,
        free: Resources,
        body: FromAgentBody,
    ) {
        self.report_paced(now, session, processed, free, 100, body);
    }

    /// An agent reports `free` resources and its relative run time.
    pub fn report_run_time(
        &mut self,
        now: Timestamp,
        session: u64,
        processed: u64,
        free: Resources,
        run_time_percent: u32,
    ) {
        let body = FromAgentBody::Heartbeat;
        self.report_paced(now, session, processed, free, run_time_percent, body);
    }

    /// As [`Self::report`], with the agent's relative run time.
    pub fn report_paced(
        &mut self,
        now: Timestamp,
        session: u64,
        processed: u64,
        free: Resources,
        run_time_percent: u32,
        body: FromAgentBody,
    ) {
        let message = FromAgent {
            clock: now,
            report: Some(Report {
                processed,
                free,
                limit: NO_TASK_LIMIT,
                run_time_percent,
            }),
            offers: Vec::new(),
            candidates: None,
            notices: Vec::new(),
            cancels_received: None,
            cancel_ages: Vec::new(),
            is_ending: false,
            usage: None,
            served: None,
            body,
        };
        let session = SessionId(session);
        self.event(now, GatewayEvent::AgentMessage { session, message });
    }

    /// An agent reports the maximum number of tasks that its worker may get.
    pub fn report_limit(&mut self, now: Timestamp, session: u64, free: Resources, limit: u32) {
        let message = FromAgent {
            clock: now,
            report: Some(Report {
                processed: 0,
                free,
                limit,
                run_time_percent: 100,
            }),
            offers: Vec::new(),
            candidates: None,
            notices: Vec::new(),
            cancels_received: None,
            cancel_ages: Vec::new(),
            is_ending: false,
            usage: None,
            served: None,
            body: FromAgentBody::Heartbeat,
        };
        let session = SessionId(session);
        self.event(now, GatewayEvent::AgentMessage { session, message });
    }

    /// An operator's evacuations are read.
    pub fn evacuate(&mut self, now: Timestamp, evacuations: Evacuations) {
        self.event(now, GatewayEvent::Evacuations(evacuations));
    }

    /// An agent reports no free resources and the use of its worker by queue: name, and running and
    /// waiting thousandths of a core.
    pub fn report_usage(&mut self, now: Timestamp, session: u64, loads: &[(&str, u32, u32)]) {
        let loads = loads.iter().map(|(name, running, waiting)| QueueLoad {
            queue: QueueKey::of(name),
            running_cpu_millis: *running,
            waiting_cpu_millis: *waiting,
        });
        let usage = UsageReport {
            loads: loads.collect(),
        };
        let message = FromAgent {
            clock: now,
            report: Some(Report {
                processed: 0,
                free: Resources::default(),
                limit: NO_TASK_LIMIT,
                run_time_percent: 100,
            }),
            offers: Vec::new(),
            candidates: None,
            notices: Vec::new(),
            cancels_received: None,
            cancel_ages: Vec::new(),
            is_ending: false,
            usage: Some(Box::new(usage)),
            served: None,
            body: FromAgentBody::Heartbeat,
        };
        let session = SessionId(session);
        self.event(now, GatewayEvent::AgentMessage { session, message });
    }

    /// An agent offers resources.
    pub fn offer(&mut self, now: Timestamp, session: u64, offer: Offer) {
        let message = FromAgent {
            clock: now,
            report: None,
            offers: vec![offer],
            candidates: None,
            notices: Vec::new(),
            cancels_received: None,
            cancel_ages: Vec::new(),
            is_ending: false,
            usage: None,
            served: None,
            body: FromAgentBody::Heartbeat,
        };
        let session = SessionId(session);
        self.event(now, GatewayEvent::AgentMessage { session, message });
    }

    /// A caller submits a job.
    pub fn submit(&mut self, now: Timestamp, call: u64, request: JobRequest) {
        let call = CallNumber(call);
        self.event(now, GatewayEvent::Submit { call, request });
    }

    /// Ends every task of a batch with the same outcome; the worker then has `free` resources.
    pub fn end(
        &mut self,
        now: Timestamp,
        batch: &(SessionId, StartBatch),
        how: EndKind,
        free: Resources,
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
                    checkpoint: None,
                }
            })
            .collect();
        let body = FromAgentBody::Ends(ends);
        self.report(now, session.0, batch.number, free, body);
    }

    /// The next batch sent to an agent.
    ///
    /// # Panics
    /// If there is none.
    pub fn next_start(&mut self) -> (SessionId, StartBatch) {
        self.starts.pop_front().expect("no batch was sent")
    }

    /// The last answer to a caller.
    pub fn last_answer(&self) -> Option<Answer> {
        self.answers.last().map(|(_, answer)| *answer)
    }
}
