//! The gateway to leased workers: takes jobs, places their tasks on workers
//! with room, and answers each caller once.
//!
//! Every gateway places its own callers' tasks. Agents alone decide what
//! starts, so gateways need no agreement; what one of them leaves behind its
//! agents stop, and its callers hand in again.

mod cancels;
mod candidate;
mod containment;
mod ends;
mod evacuation;
pub mod events;
mod intake;
pub mod job;
mod offers;
pub mod path_delay;
mod peers;
mod placement;
pub mod queues;
pub mod run_times;
pub mod shares;
pub mod stages;
mod standstill;
pub mod start_window;
mod suspects;
pub mod way_in;
mod workers;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::crashes::CrashLog;
use super::evacuation::Evacuations;
use super::membership::Membership;
use super::messages::{FromAgent, FromAgentBody, Member, ToAgent, ToAgentBody};
use super::task::{JobId, TaskId};
use crate::session::{Remote, SessionId};
use cancels::Cancels;
use containment::Containment;
pub use events::{Answer, EndSource, GatewayDecision, GatewayEffect, GatewayEvent, Refusal};
use job::{CallNumber, Job};
use offers::AnnouncedJob;
use peers::Peer;
use queues::QueueConfiguration;
use run_times::RunTimes;
use shares::Shares;
use standstill::Standstill;
use start_window::StartWindow;
use way_in::WayIn;
use workers::Worker;

/// What distinguishes one gateway process from another.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its name, its zone, and the address at which its sessions are accepted.
    pub member: Member,
    /// Times of a planned stop.
    pub stop: StopTimes,
}

/// Times of a planned stop, counted from its begin.
#[derive(Clone, Copy, Debug)]
pub struct StopTimes {
    /// How long jobs are still taken, for callers that have not moved on.
    pub overlap: Span,
    /// When every job that is left is given up.
    pub limit: Span,
}

/// The gateway's machine.
#[derive(Debug)]
pub struct LeasedGateway {
    identity: Identity,
    configuration: Option<Arc<QueueConfiguration>>,
    evacuations: Evacuations,
    workers: BTreeMap<Incarnation, Worker>,
    agent_sessions: BTreeMap<SessionId, Incarnation>,
    peers: BTreeMap<SessionId, Peer>,
    /// The peer that was last asked for its configuration, and when.
    asked_peer: Option<(SessionId, Timestamp)>,
    membership: Membership,
    jobs: BTreeMap<JobId, Job>,
    calls: BTreeMap<CallNumber, JobId>,
    /// Jobs with tasks to be placed, the most urgent first.
    waiting: BTreeSet<(Timestamp, JobId)>,
    /// When to look at a job again: it is refused, given up, or tried again.
    timers: BTreeSet<(Timestamp, JobId)>,
    /// Waiting jobs of which agents were told.
    announced: BTreeMap<JobId, AnnouncedJob>,
    /// How long tasks take.
    run_times: RunTimes,
    /// Who was served lately.
    shares: Shares,
    /// How long messages and calls wait on the way in.
    way_in: WayIn,
    /// Starts under way to agents.
    start_window: StartWindow,
    /// Jobs that were cancelled of late.
    cancels: Cancels,
    /// Workers that have crashed, and what ran there.
    crashes: CrashLog,
    /// Queues whose tasks take workers down.
    containment: Containment,
    /// When a job first came while there was no worker at all.
    without_worker_since: Option<Timestamp>,
    stopping_since: Option<Timestamp>,
    stop_reported: bool,
    standstill: Standstill,
}

impl LeasedGateway {
    /// A gateway without a configuration.
    pub fn new(identity: Identity) -> Self {
        Self {
            membership: Membership::new(identity.member.clone()),
            identity,
            configuration: None,
            evacuations: Evacuations::default(),
            workers: BTreeMap::new(),
            agent_sessions: BTreeMap::new(),
            peers: BTreeMap::new(),
            asked_peer: None,
            jobs: BTreeMap::new(),
            calls: BTreeMap::new(),
            waiting: BTreeSet::new(),
            timers: BTreeSet::new(),
            announced: BTreeMap::new(),
            run_times: RunTimes::default(),
            shares: Shares::default(),
            way_in: WayIn::default(),
            start_window: StartWindow::default(),
            cancels: Cancels::default(),
            crashes: CrashLog::default(),
            containment: Containment::default(),
            without_worker_since: None,
            stopping_since: None,
            stop_reported: false,
            standstill: Standstill::default(),
        }
    }

    /// The configuration in force here.
    pub fn configuration(&self) -> Option<&Arc<QueueConfiguration>> {
        self.configuration.as_ref()
    }

    /// Whether new connections are wanted.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        self.stopping_since.is_none() && self.configuration.is_some() && self.has_worker(now)
    }

    /// Whether any worker is under the control of an agent that is there.
    fn has_worker(&self, now: Timestamp) -> bool {
        self.workers
            .values()
            .any(|worker| worker.is_present(now) && worker.snapshot.is_some())
    }

    /// Whether a job is here and has not ended.
    pub fn has_job(&self, job: JobId) -> bool {
        self.jobs.contains_key(&job)
    }

    /// Jobs that have not ended.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// The gateways that are known here, this one among them.
    pub fn known_members(&self) -> impl Iterator<Item = &Member> {
        self.membership.members()
    }

    /// Whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.is_some()
    }

    /// Takes in one event. Call [`LeasedGateway::flush`] after a batch.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: GatewayEvent,
        effects: &mut Vec<GatewayEffect>,
    ) {
        match event {
            GatewayEvent::Submit { call, request } => self.on_submit(now, call, request, effects),
            GatewayEvent::CallerGone { call } => self.on_caller_gone(now, call, effects),
            GatewayEvent::Cancel { call, job } => self.on_cancel(now, call, job, effects),
            GatewayEvent::AgentOpened { session, remote } => {
                self.on_agent_opened(now, session, remote, effects);
            }
            GatewayEvent::AgentClosed { session } => self.on_agent_closed(session),
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
                self.adopt(configuration, effects);
            }
            GatewayEvent::Evacuations(news) => self.on_evacuations_read(now, news, effects),
            GatewayEvent::Listed(page) => self.membership.on_list_page(now, page),
            GatewayEvent::Stop => {
                self.stopping_since.get_or_insert(now);
            }
            GatewayEvent::Tick => {}
        }
    }

    /// Does what the events since the last flush, or time, gave rise to.
    pub fn flush(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        self.note_awake(now);
        self.end_lapsed_agents(now, effects);
        self.start_window.expire(now);
        self.review_containment(now, effects);
        self.use_offers(now, effects);
        self.place_waiting(now, effects);
        self.run_timers(now, effects);
        self.announce_waiting(now, effects);
        self.ask_for_configuration(now, effects);
        self.tend_membership(now, effects);
        self.send_heartbeats(now, effects);
        self.finish_stop(now, effects);
    }

    /// When time alone makes the gateway act, if nothing happens before.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let timer = self.timers.first().map(|(at, _)| *at);
        let workers = self.workers.values().flat_map(|worker| {
            let lapse = (!worker.tasks.is_empty()).then(|| worker.lapses_at());
            [lapse, worker.beat_due()]
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
        let peers = self.ask_again_at();
        let others = [timer, stop, opening, members, peers].into_iter().flatten();
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
            .or_insert_with(|| Worker::new(now, remote.name));
        if let Some(old) = worker.session {
            self.agent_sessions.remove(&old);
            self.membership.on_agent_closed(old);
            effects.push(GatewayEffect::Close(old));
        }
        worker.open(now, session);
        self.start_window.forget(remote.incarnation);
        self.agent_sessions.insert(session, remote.incarnation);
        self.tell_agent_evacuations(now, session, effects);
        self.tell_predecessor(now, remote.incarnation, effects);
    }

    /// Tells an agent how long ago an earlier one of its name was heard.
    fn tell_predecessor(
        &mut self,
        now: Timestamp,
        agent: Incarnation,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let name = self.workers.get(&agent).map(|worker| &worker.name);
        let earlier = self.workers.iter().filter(|(other, worker)| {
            **other != agent && Some(&worker.name) == name && worker.snapshot.is_some()
        });
        let heard = earlier.map(|(_, worker)| worker.heard).max();
        if let Some(heard) = heard {
            let silence = now.since(heard);
            self.send(now, agent, ToAgentBody::Predecessor { silence }, effects);
        }
    }

    fn on_agent_closed(&mut self, session: SessionId) {
        let Some(agent) = self.agent_sessions.remove(&session) else {
            return;
        };
        self.membership.on_agent_closed(session);
        self.start_window.forget(agent);
        if let Some(worker) = self.workers.get_mut(&agent) {
            worker.session = None;
            worker.offers.clear();
        }
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
        let Some(worker) = self.workers.get_mut(&agent) else {
            return;
        };
        self.way_in.note(now, agent, message.clock);
        worker.heard = now;
        worker.clock = worker.clock.max(message.clock);
        if let Some(report) = message.report {
            worker.on_report(report);
            self.start_window.on_report(now, agent, report.processed);
        }
        worker.offers.extend(message.offers);
        if let Some(candidates) = &message.candidates {
            self.membership
                .on_candidates(session, &worker.name, candidates);
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
                self.membership
                    .on_zone_reported(session, &worker.name, zone);
                self.on_snapshot(now, agent, snapshot, effects);
            }
            FromAgentBody::Crashes(crashes) => {
                worker.has_crashed = true;
                self.on_crashes_at_agent(now, &crashes, effects);
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
        worker.note_sent(now);
        let message = ToAgent {
            echo: worker.clock,
            acknowledged: worker.seen,
            body,
        };
        effects.push(GatewayEffect::ToAgent { session, message });
    }

    /// Echoes and acknowledges where nothing else was sent for a while.
    fn send_heartbeats(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        let due: Vec<Incarnation> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.beat_due().is_some_and(|due| now >= due))
            .map(|(agent, _)| *agent)
            .collect();
        for agent in due {
            self.send(now, agent, ToAgentBody::Heartbeat, effects);
        }
    }

    fn stop_tasks(&mut self, now: Timestamp, job: JobId, effects: &mut Vec<GatewayEffect>) {
        let workers = self.workers.iter_mut();
        let stops: Vec<(Incarnation, Vec<TaskId>)> = workers
            .map(|(agent, worker)| (*agent, worker.give_up(job)))
            .filter(|(_, tasks)| !tasks.is_empty())
            .collect();
        for (agent, tasks) in stops {
            self.send(now, agent, ToAgentBody::Stop(tasks), effects);
        }
    }

    /// Ends a planned stop once no job is left and none is taken any more, or
    /// at its limit.
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
