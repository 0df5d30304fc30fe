//! The gateway for leased workers: admits jobs, places their tasks on workers with free
//! capacity, and answers each caller once.
//!
//! Every gateway places only the tasks of its own callers. Agents alone decide what starts, so
//! gateways need no consensus. If a gateway is lost, agents stop its tasks and callers
//! resubmit their jobs.

pub mod accepted_share;
mod admission;
mod agent_confirmations;
mod cancel_rounds;
mod cancels;
mod candidate;
pub mod capacity;
mod checkpoints;
mod claim_answers;
mod claim_leases;
mod claim_log;
mod claims;
mod containment;
mod earlier_runs;
mod ends;
mod evacuation;
pub mod events;
mod expected_ends;
pub mod forecast;
pub mod ingress_delay;
mod intake;
pub mod job;
pub mod locality;
mod offers;
pub mod on_time_rates;
pub mod path_delay;
mod peers;
mod placement;
pub mod policies;
mod preemption;
pub mod priorities;
mod process_suspension;
mod queue_loads;
pub mod queues;
mod rejoining;
mod releases;
pub mod returns;
pub mod run_times;
mod served_counts;
pub mod shares;
pub mod stages;
pub mod start_window;
mod suspects;
pub mod worker_usage;
mod workers;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::cancel_log::{CancelList, CancelLog};
use super::crashes::CrashLog;
use super::evacuation::Evacuations;
use super::membership::Membership;
use super::messages::{FromAgent, FromAgentBody, Member, Notice, ToAgent, ToAgentBody};
use super::task::{JobId, TaskId};
use crate::session::{Remote, SessionId};
use admission::Admission;
use agent_confirmations::LostAgents;
use cancel_rounds::CancelRounds;
use capacity::CapacityReview;
use claim_leases::ClaimLeases;
use claims::Claims;
use containment::Containment;
use earlier_runs::EarlierRuns;
pub use events::{
    Answer, CancelOutcome, EndSource, GatewayDecision, GatewayEffect, GatewayEvent, Refusal,
    RefusalCause,
};
use ingress_delay::IngressDelay;
use job::{CallNumber, Job};
use locality::LocalityRound;
use offers::AnnouncedJob;
use on_time_rates::OnTimeRates;
use peers::Peer;
use policies::Policies;
use priorities::PriorityOrder;
use process_suspension::ProcessSuspension;
use queue_loads::QueueLoads;
use queues::QueueConfiguration;
use rejoining::Rejoining;
use releases::Releases;
use run_times::RunTimes;
use served_counts::ServedTally;
use start_window::StartWindow;
use workers::Worker;

/// Identity and stop settings of a gateway process.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name, zone, and the address on which it accepts sessions.
    pub member: Member,
    /// Distinguishes the process from others of the same name.
    pub incarnation: Incarnation,
    /// Time limits of a graceful shutdown of this process.
    pub stop: StopTimes,
}

/// Time limits of a graceful shutdown, counted from its start.
#[derive(Clone, Copy, Debug)]
pub struct StopTimes {
    /// How long new jobs are still admitted, for callers that have not yet moved to another
    /// gateway.
    pub overlap: Span,
    /// When all remaining jobs are ended.
    pub limit: Span,
}

/// The gateway's state machine. It does no I/O: it takes [`GatewayEvent`]s and returns
/// [`GatewayEffect`]s.
#[derive(Debug)]
pub struct LeasedGateway {
    identity: Identity,
    policies: Policies,
    configuration: Option<Arc<QueueConfiguration>>,
    /// The configuration in force as it was read, which peers receive: they report its wrong values
    /// themselves.
    read_configuration: Option<QueueConfiguration>,
    /// Order of the priorities in force.
    priority_order: PriorityOrder,
    evacuations: Evacuations,
    workers: BTreeMap<Incarnation, Worker>,
    agent_sessions: BTreeMap<SessionId, Incarnation>,
    peers: BTreeMap<SessionId, Peer>,
    /// The session and time of the latest request for a configuration.
    configuration_request: Option<(SessionId, Timestamp)>,
    membership: Membership,
    jobs: BTreeMap<JobId, Job>,
    calls: BTreeMap<CallNumber, JobId>,
    /// Jobs with placeable tasks, ordered by latest start time.
    waiting: BTreeSet<(Timestamp, JobId)>,
    /// When to re-examine a job: to refuse it, give it up, or retry placement.
    timers: BTreeSet<(Timestamp, JobId)>,
    /// When the first of the announced jobs turns late, which changes its rank; `None` if none does,
    /// or shares of queues are off. Calculated in each flush.
    next_late_at: Option<Timestamp>,
    /// When the first of the waiting steps with data may take a remote worker; `None` if none waits for
    /// a near one. Calculated in each flush, since the end of a wait changes with the contention.
    next_near_wait_end: Option<Timestamp>,
    /// Waiting jobs that were announced to agents.
    announced: BTreeMap<JobId, AnnouncedJob>,
    run_times: RunTimes,
    on_time_rates: OnTimeRates,
    queue_loads: QueueLoads,
    ingress_delay: IngressDelay,
    /// Bounds the bytes of start batches in flight to agents.
    start_window: StartWindow,
    cancels: CancelLog,
    /// Number of cancellations that agents were told.
    cancel_position: u64,
    cancel_rounds: CancelRounds,
    lost_agents: LostAgents,
    /// When the first agent opened a session.
    first_agent_at: Option<Timestamp>,
    /// When all other gateways that were known had been met for the first time.
    met_gateways_at: Option<Timestamp>,
    earlier_runs: EarlierRuns,
    claims: Claims,
    claim_leases: ClaimLeases,
    rejoining: Rejoining,
    releases: Releases,
    crashes: CrashLog,
    containment: Containment,
    /// When the first job was submitted in the current period without any worker; `None` while
    /// there is a worker or no job was submitted.
    without_worker_since: Option<Timestamp>,
    stopping_since: Option<Timestamp>,
    stop_reported: bool,
    suspension: ProcessSuspension,
    capacity_review: CapacityReview,
    served_tally: ServedTally,
    admission: Admission,
}

impl LeasedGateway {
    /// Creates a gateway with all optional policies off and without a configuration. It refuses
    /// jobs until it receives one.
    pub fn new(identity: Identity) -> Self {
        Self::with_policies(identity, Policies::default())
    }

    /// Creates a gateway without a configuration. It refuses jobs until it receives one.
    pub fn with_policies(identity: Identity, policies: Policies) -> Self {
        let cancel_rounds = CancelRounds::new(identity.incarnation);
        Self {
            policies,
            membership: Membership::new(identity.member.clone()),
            claims: Claims::new(identity.incarnation),
            claim_leases: ClaimLeases::default(),
            rejoining: Rejoining::default(),
            releases: Releases::new(identity.incarnation),
            identity,
            configuration: None,
            read_configuration: None,
            priority_order: PriorityOrder::default(),
            evacuations: Evacuations::default(),
            workers: BTreeMap::new(),
            agent_sessions: BTreeMap::new(),
            peers: BTreeMap::new(),
            configuration_request: None,
            jobs: BTreeMap::new(),
            calls: BTreeMap::new(),
            waiting: BTreeSet::new(),
            timers: BTreeSet::new(),
            next_late_at: None,
            next_near_wait_end: None,
            announced: BTreeMap::new(),
            run_times: RunTimes::default(),
            on_time_rates: OnTimeRates::default(),
            queue_loads: QueueLoads::default(),
            ingress_delay: IngressDelay::default(),
            start_window: StartWindow::default(),
            cancels: CancelLog::default(),
            cancel_position: 0,
            cancel_rounds,
            lost_agents: LostAgents::default(),
            first_agent_at: None,
            met_gateways_at: None,
            earlier_runs: EarlierRuns::default(),
            crashes: CrashLog::default(),
            containment: Containment::default(),
            without_worker_since: None,
            stopping_since: None,
            stop_reported: false,
            suspension: ProcessSuspension::default(),
            capacity_review: CapacityReview::default(),
            served_tally: ServedTally::default(),
            admission: Admission::default(),
        }
    }

    /// The optional policies in force.
    pub fn policies(&self) -> &Policies {
        &self.policies
    }

    /// The configuration in force, or `None` before the first one was received.
    pub fn configuration(&self) -> Option<&Arc<QueueConfiguration>> {
        self.configuration.as_ref()
    }

    /// Whether the gateway should receive new connections: it has a configuration and a
    /// worker, and is not stopping.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        self.stopping_since.is_none() && self.configuration.is_some() && self.has_worker(now)
    }

    /// Whether any connected agent controls a worker.
    fn has_worker(&self, now: Timestamp) -> bool {
        self.workers
            .values()
            .any(|worker| worker.is_reachable(now) && worker.snapshot.is_some())
    }

    /// Whether this gateway holds the job and it has not ended.
    pub fn has_job(&self, job: JobId) -> bool {
        self.jobs.contains_key(&job)
    }

    /// Number of jobs that have not ended.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// The known gateways, including this one.
    pub fn known_members(&self) -> impl Iterator<Item = &Member> {
        self.membership.members()
    }

    /// Whether a graceful shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.is_some()
    }

    /// Handles one event. Call [`LeasedGateway::flush`] after each batch of events.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: GatewayEvent,
        effects: &mut Vec<GatewayEffect>,
    ) {
        match event {
            GatewayEvent::Submit { call, request } => self.on_submit(now, call, request, effects),
            GatewayEvent::CallerDisconnected { call } => self.on_disconnect(now, call, effects),
            GatewayEvent::Cancel { call, job } => self.on_cancel(now, call, job, effects),
            GatewayEvent::AgentOpened { session, remote } => {
                self.on_agent_opened(now, session, remote, effects);
            }
            GatewayEvent::AgentClosed { session } => self.on_agent_closed(now, session, effects),
            GatewayEvent::AgentMessage { session, message } => {
                self.on_agent_message(now, session, message, effects);
            }
            GatewayEvent::PeerOpened { session, is_dialed } => {
                self.on_peer_opened(now, session, is_dialed, effects);
            }
            GatewayEvent::PeerClosed { session } => self.on_peer_closed(now, session),
            GatewayEvent::PeerMessage { session, message } => {
                self.on_peer_message(now, session, message, effects);
            }
            GatewayEvent::Configuration(configuration) => {
                self.apply(configuration, effects);
            }
            GatewayEvent::Evacuations(update) => self.on_evacuations_read(now, update, effects),
            GatewayEvent::ListPage(page) => self.membership.on_list_page(now, page),
            GatewayEvent::Stop => {
                self.stopping_since.get_or_insert(now);
            }
            GatewayEvent::Tick => {}
        }
    }

    /// Acts on the events since the last flush and on elapsed timers.
    pub fn flush(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        self.detect_suspension(now);
        self.expire_silent_agents(now, effects);
        self.choose_told_agent(now);
        self.start_window.expire(now);
        self.confirm_unresolved_crashes(now, effects);
        self.review_containment(now, effects);
        self.update_shares(now, effects);
        self.claim_long_jobs(now, effects);
        self.review_claim_leases(now, effects);
        let mut locality = LocalityRound::default();
        self.answer_offers(now, &mut locality, effects);
        self.place_waiting(now, &mut locality, effects);
        self.reject_by_forecast(now, effects);
        self.run_timers(now, effects);
        self.confirm_releases(now, effects);
        self.send_release_requests(now, effects);
        self.report_release_timeouts(now, effects);
        locality.forget_contention();
        self.announce_waiting(now, &mut locality, effects);
        self.request_configuration(now, effects);
        self.flush_membership(now, effects);
        self.send_cancels_to_agents(now, effects);
        self.record_met_gateways(now);
        self.review_cancel_rounds(now, effects);
        self.send_heartbeats(now, effects);
        self.review_capacity(now, effects);
        self.finish_stop(now, effects);
    }

    /// The next time at which [`LeasedGateway::flush`] has to be called even if no event
    /// arrives, or `None` if no timer is pending.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let timer = self.timers.first().map(|(at, _)| *at);
        let workers = self.workers.values().flat_map(|worker| {
            let expiry = (!worker.tasks.is_empty()).then(|| worker.expires_at());
            [expiry, worker.heartbeat_due()]
        });
        let stop = self.stopping_since.filter(|_| !self.stop_reported);
        let stop = stop.map(|since| {
            let times = self.identity.stop;
            let is_empty = self.jobs.is_empty();
            since.after(if is_empty { times.overlap } else { times.limit })
        });
        let opening = self.start_window.opens_at();
        let opening = opening.filter(|_| !self.waiting.is_empty());
        let members = self.membership.next_wakeup();
        let configuration = self.next_configuration_request_at();
        let claim = self.claims.next_due();
        let claim_lease = self.claim_leases.next_due();
        let rejoining = self.rejoining.next_due(self.claims.next_sending());
        let release = self.releases.next_due();
        let review = self.admission.next_review();
        let round = self.cancel_rounds.next_due();
        let others = [
            timer,
            stop,
            opening,
            members,
            configuration,
            claim,
            claim_lease,
            rejoining,
            release,
            review,
            round,
            self.next_late_at,
            self.next_near_wait_end,
        ];
        let others = others.into_iter().flatten();
        workers.flatten().chain(others).min()
    }

    fn on_agent_opened(
        &mut self,
        now: Timestamp,
        session: SessionId,
        remote: Remote,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let worker = self
            .workers
            .entry(remote.incarnation)
            .or_insert_with(|| Worker::new(now, &remote));
        if worker.has_later_session(remote.uptime) {
            // A delayed handshake. The agent has left this session, and its snapshot there lacks the
            // runs that were started on the later one.
            let agent = worker.name.clone();
            let decision = GatewayDecision::LateHandshake { agent };
            effects.push(GatewayEffect::Decided(decision));
            effects.push(GatewayEffect::Close(session));
            return;
        }
        effects.push(GatewayEffect::Decided(GatewayDecision::SessionAccepted {
            agent: worker.name.clone(),
            uptime: remote.uptime,
            is_replacement: worker.session.is_some(),
            runs: worker.tasks.len(),
        }));
        if let Some(old) = worker.session {
            self.agent_sessions.remove(&old);
            self.membership.on_agent_closed(old);
            effects.push(GatewayEffect::Close(old));
        }
        self.lost_agents.record_found(&remote.name);
        self.first_agent_at.get_or_insert(now);
        let cancelled = self.cancels.retained(now);
        worker.open_session(now, session, remote.uptime, cancelled);
        self.start_window.remove_agent(remote.incarnation);
        self.agent_sessions.insert(session, remote.incarnation);
        self.repeat_stops(now, remote.incarnation, effects);
        self.send_evacuations_to_agent(now, session, effects);
    }

    pub(super) fn on_agent_closed(
        &mut self,
        now: Timestamp,
        session: SessionId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(agent) = self.agent_sessions.remove(&session) else {
            return;
        };
        self.membership.on_agent_closed(session);
        self.start_window.remove_agent(agent);
        self.forget_announcements_to(agent);
        if let Some(worker) = self.workers.get_mut(&agent) {
            worker.session = None;
            worker.offers.clear();
        }
        self.record_agent_lost(now, agent);
        self.end_if_succeeded(now, agent, effects);
    }

    fn on_agent_message(
        &mut self,
        now: Timestamp,
        session: SessionId,
        message: FromAgent,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(agent) = self.agent_sessions.get(&session).copied() else {
            return;
        };
        self.ingress_delay.record(now, agent, message.clock);
        self.detect_isolation(now);
        let Some(worker) = self.workers.get_mut(&agent) else {
            return;
        };
        worker.last_heard = now;
        worker.may_be_succeeded = false;
        worker.is_ending |= message.is_ending;
        worker
            .confirmations
            .on_message(now, message.cancels_received);
        if message.cancels_received.is_some() {
            self.cancel_rounds.request_review();
        }
        worker.clock = worker.clock.max(message.clock);
        if let Some(report) = message.report {
            worker.on_report(report);
            self.start_window.on_report(now, agent, report.processed);
        }
        if let Some(usage) = message.usage {
            worker.usage.record(now, &usage);
            self.queue_loads.record_received();
        }
        worker.offers.extend(message.offers);
        if let Some(candidates) = &message.candidates {
            self.membership
                .on_candidates(session, &worker.name, candidates);
        }
        let name = worker.name.clone();
        if let Some(served) = &message.served {
            self.on_served_counts(now, agent, &served.0);
        }
        for notice in &message.notices {
            match notice {
                Notice::Cancelled(jobs) => {
                    let list = CancelList {
                        jobs: jobs.clone(),
                        ages_seconds: message.cancel_ages.clone(),
                    };
                    self.on_cancel_list(now, None, &list, effects);
                }
                Notice::Crash(evidence) => self.on_crash_evidence(now, evidence, effects),
            }
        }
        match message.body {
            FromAgentBody::Heartbeat => {}
            FromAgentBody::Ends(ends) => {
                for end in ends {
                    self.on_task_end(now, agent, &end, effects);
                }
            }
            FromAgentBody::Snapshot(snapshot) => {
                let zone = &snapshot.zone;
                self.membership.on_zone_reported(session, &name, zone);
                self.on_snapshot(now, agent, snapshot, effects);
            }
            FromAgentBody::Crashes(crashes) => {
                if let Some(worker) = self.workers.get_mut(&agent) {
                    worker.has_crashed = true;
                }
                self.on_agent_crashes(now, &crashes, effects);
            }
            FromAgentBody::ClaimsHonored { number, refused } => {
                self.on_claims_honored(agent, number, &refused);
            }
        }
    }

    fn send(
        &mut self,
        now: Timestamp,
        agent: Incarnation,
        body: ToAgentBody,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(worker) = self.workers.get_mut(&agent) else {
            return;
        };
        let Some(session) = worker.session else {
            return;
        };
        worker.record_sent(now);
        let cancelled = CancelList::new(now, &worker.take_unsent_cancels());
        let cancel_position = (!cancelled.jobs.is_empty()).then_some(self.cancel_position);
        if let Some(position) = cancel_position {
            worker.confirmations.record_sent(now, position);
        }
        let message = ToAgent {
            echo: worker.clock,
            acknowledged: worker.last_received_end,
            cancelled: cancelled.jobs,
            cancel_position,
            cancel_ages: cancelled.ages_seconds,
            served: self.served_tally.take_for(now, agent),
            body,
        };
        effects.push(GatewayEffect::ToAgent { session, message });
    }

    /// Sends heartbeats to agents that are owed an echo or an acknowledgement and were sent
    /// nothing else within the heartbeat interval.
    fn send_heartbeats(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        let due: Vec<Incarnation> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.heartbeat_due().is_some_and(|due| now >= due))
            .map(|(agent, _)| *agent)
            .collect();
        for agent in due {
            self.send(now, agent, ToAgentBody::Heartbeat, effects);
        }
    }

    /// Sends the stops again that may have been lost with an agent's previous session. They must not
    /// wait for the snapshot, since the first echo already keeps the agent's runs alive.
    fn repeat_stops(
        &mut self,
        now: Timestamp,
        agent: Incarnation,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let unwanted = self.workers.get(&agent).map(Worker::unwanted);
        let unwanted = unwanted.unwrap_or_default();
        if !unwanted.is_empty() {
            self.send(now, agent, ToAgentBody::Stop(unwanted), effects);
        }
    }

    fn stop_tasks(&mut self, now: Timestamp, job: JobId, effects: &mut Vec<GatewayEffect>) {
        let workers = self.workers.iter_mut();
        let stops: Vec<(Incarnation, Vec<TaskId>)> = workers
            .map(|(agent, worker)| (*agent, worker.abandon_job(job)))
            .filter(|(_, tasks)| !tasks.is_empty())
            .collect();
        for (agent, tasks) in stops {
            self.send(now, agent, ToAgentBody::Stop(tasks), effects);
        }
    }

    /// Completes a graceful shutdown once the overlap has passed and no job is left; ends the
    /// remaining jobs at the limit.
    fn finish_stop(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        let Some(since) = self.stopping_since else {
            return;
        };
        if now >= since.after(self.identity.stop.limit) {
            self.end_all_jobs(now, effects);
        }
        let is_overlap_over = now >= since.after(self.identity.stop.overlap);
        if is_overlap_over && self.jobs.is_empty() && !self.stop_reported {
            self.stop_reported = true;
            effects.push(GatewayEffect::Stopped);
        }
    }
}
