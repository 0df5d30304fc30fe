//! Offers of free resources by agents, and the announcements of waiting jobs that agents base
//! them on.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::candidate::Candidate;
use super::job::Job;
use super::locality::{LocalityRound, StepLocality};
use super::on_time_rates::SizeGroup;
use super::placement::allowed_tasks;
use super::preemption::PreemptionRight;
use super::priorities::MAX_POSITION;
use super::queues::QueueSettings;
use super::shares::Standing;
use super::workers::Worker;
use super::{GatewayDecision, GatewayEffect, LeasedGateway};
use crate::leased::messages::{Announcement, Offer, ToAgentBody};
use crate::leased::queue_key::QueueKey;
use crate::leased::task::JobId;

/// Number of agents to which each waiting task is announced. More agents would split capacity
/// into more batches, each of which carries the job's input, without improving placement.
const AGENTS_PER_TASK: usize = 1;
/// Interval after which a waiting job is announced again with its current rank. Shorter
/// intervals add traffic to links that may already be saturated.
const REANNOUNCE_INTERVAL: Span = Span::from_millis(1_000);

/// Rank of the first unstarted jobs of guaranteed queues.
const FIRST_GUARANTEED_RANK: u32 = 1;
/// Rank of the first unstarted jobs of contending queues of priority 0. Above the ranks of guaranteed
/// queues, of which there is one per thousandth of an on-time rate.
const FIRST_CONTENDING_RANK: u32 = 10_000;
/// Distance between the ranks of two priorities; more than there are on-time rates in thousandths.
const RANKS_PER_PRIORITY: u32 = 2_000;
/// Rank of unstarted jobs that can no longer be in time, under contention; above all other ranks.
const LATE_RANK: u32 = u32::MAX;
const _: () = assert!(
    (LATE_RANK - FIRST_CONTENDING_RANK) / RANKS_PER_PRIORITY > MAX_POSITION,
    "each priority has a rank"
);

/// The ranks of unstarted jobs by queue and size group, which are calculated once per round instead
/// of once per job.
#[derive(Debug, Default)]
struct GroupRanks<'a>(Vec<(&'a Arc<QueueSettings>, SizeGroup, u32)>);

impl<'a> GroupRanks<'a> {
    /// The rank of a group, which `calculate` returns if it is not known yet.
    fn rank(
        &mut self,
        queue: &'a Arc<QueueSettings>,
        group: SizeGroup,
        calculate: impl FnOnce() -> u32,
    ) -> u32 {
        let known = self.0.iter().find(|(known_queue, known_group, _)| {
            Arc::ptr_eq(known_queue, queue) && *known_group == group
        });
        if let Some((_, _, rank)) = known {
            return *rank;
        }
        let rank = calculate();
        self.0.push((queue, group, rank));
        rank
    }
}

/// The latest announcement of a job.
#[derive(Clone, Debug)]
pub struct AnnouncedJob {
    /// Time of the announcement.
    at: Timestamp,
    /// The announced rank.
    rank: u32,
    /// The notified agents, with the announced step.
    agents: Vec<(Incarnation, u32)>,
    /// Whether it is repeated before [`REANNOUNCE_INTERVAL`] has passed: the session to a notified agent
    /// has closed, with which the agent drops the announcement, or there was no agent to notify.
    needs_renewal: bool,
    /// Whether the job was announced to agents of workers far from its data too; `true` if it has
    /// none, or the `locality` policy is off.
    includes_remote: bool,
}

/// When a step may use an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OfferUse {
    /// In the order of the waiting jobs.
    InOrder,
    /// After the jobs whose data are near the worker and those without data.
    AfterOthers,
    /// Not now: the worker is far from its data.
    Declined,
}

/// Announcements to send, by agent.
type PendingAnnouncements = BTreeMap<Incarnation, Vec<Announcement>>;

impl LeasedGateway {
    /// Rank of a waiting job; lower ranks go first. A started job has rank 0, because it
    /// occupies resources without a result until it completes; other jobs are ranked by the
    /// standing of their queue and the on-time rate of their queue and size group.
    ///
    /// Under contention, a started job that can no longer be in time is ranked as an unstarted one of
    /// its queue. It is among the first of these, since its latest start is the earliest: behind all
    /// of them it would wait until its caller's deadline, and the work that it has done would be
    /// lost. Unstarted jobs that can no longer be in time go last. A job with a waiting preempted
    /// task is ranked as an unstarted one too: otherwise the task would take the freed resources
    /// back.
    fn rank<'a>(&'a self, now: Timestamp, job: &'a Job, groups: &mut GroupRanks<'a>) -> u32 {
        let is_late = job.is_late(now) && self.are_shares_in_force(now, &job.queue.service);
        if is_late && job.is_unstarted() {
            LATE_RANK
        } else if is_late || job.is_unstarted() || job.has_waiting_preempted() {
            let mut rank_of =
                |group| groups.rank(&job.queue, group, || self.group_rank(now, job, group));
            if job.is_reviewed {
                // Later jobs of a better group would make the forecast of its wait wrong.
                let ranks = SizeGroup::ALL.map(rank_of);
                ranks.into_iter().min().unwrap_or(FIRST_GUARANTEED_RANK)
            } else {
                rank_of(job.group)
            }
        } else {
            0
        }
    }

    /// Rank of the unstarted jobs of a job's queue and of a size group.
    fn group_rank(&self, now: Timestamp, job: &Job, group: SizeGroup) -> u32 {
        let on_time = self.on_time_rates.permille(now, &job.queue.name, group);
        match self.standing(now, &job.queue) {
            Standing::Guaranteed => FIRST_GUARANTEED_RANK + on_time,
            Standing::Contending => {
                let position = self.priority_order.position(job.queue.priority);
                FIRST_CONTENDING_RANK + position * RANKS_PER_PRIORITY + on_time
            }
        }
    }

    /// Jobs with placeable tasks, in order of rank and latest start time.
    pub(super) fn waiting_in_order(&self, now: Timestamp) -> Vec<JobId> {
        let order = self.ranked_waiting(now).into_iter();
        order.map(|(_, _, id)| id).collect()
    }

    /// Jobs with placeable tasks and their ranks, in order of rank and latest start time.
    fn ranked_waiting(&self, now: Timestamp) -> Vec<(u32, Timestamp, JobId)> {
        let mut groups = GroupRanks::default();
        let mut order: Vec<(u32, Timestamp, JobId)> = self
            .waiting
            .iter()
            .filter_map(|(latest_start, id)| {
                let job = self.jobs.get(id)?;
                Some((self.rank(now, job, &mut groups), *latest_start, *id))
            })
            .collect();
        order.sort_unstable();
        order
    }

    /// Answers each offer with tasks of the first waiting job that can use it, or declines it.
    pub(super) fn answer_offers(
        &mut self,
        now: Timestamp,
        round: &mut LocalityRound,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let offers: Vec<(Incarnation, Offer)> = self
            .workers
            .iter_mut()
            .flat_map(|(agent, worker)| {
                let agent = *agent;
                worker.offers.drain(..).map(move |offer| (agent, offer))
            })
            .collect();
        for (agent, offer) in offers {
            let is_used = self.answer_offer(now, agent, offer, round, effects);
            let decision = GatewayDecision::OfferAnswered { is_used };
            effects.push(GatewayEffect::Decided(decision));
            if !is_used {
                let decline = ToAgentBody::Decline(vec![offer.number]);
                self.send(now, agent, decline, effects);
            }
        }
    }

    fn answer_offer(
        &mut self,
        now: Timestamp,
        agent: Incarnation,
        offer: Offer,
        round: &mut LocalityRound,
        effects: &mut Vec<GatewayEffect>,
    ) -> bool {
        if !self.start_window.is_open() {
            return false;
        }
        let mut far_steps = Vec::new();
        for id in self.waiting_in_order(now) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if !job.is_placeable_at(now) || self.is_rejoining(now) {
                continue;
            }
            for step in job.placeable_steps() {
                match self.offer_use(now, id, step, agent, round) {
                    OfferUse::InOrder => {}
                    OfferUse::AfterOthers => {
                        far_steps.push((id, step));
                        continue;
                    }
                    OfferUse::Declined => continue,
                }
                if self.place_in_offer(now, id, step, agent, offer, effects) {
                    return true;
                }
            }
        }
        far_steps
            .into_iter()
            .any(|(id, step)| self.place_in_offer(now, id, step, agent, offer, effects))
    }

    /// When a waiting step may use an offer of this agent, as to the distance from its data.
    fn offer_use(
        &self,
        now: Timestamp,
        id: JobId,
        step: usize,
        agent: Incarnation,
        round: &mut LocalityRound,
    ) -> OfferUse {
        let (Some(job), Some(worker)) = (self.jobs.get(&id), self.workers.get(&agent)) else {
            return OfferUse::Declined;
        };
        if !worker.is_remote_from(&job.steps[step].request) {
            return OfferUse::InOrder;
        }
        let locality = self.step_locality(now, job, step, round);
        match locality.filter(StepLocality::has_near) {
            None => OfferUse::InOrder,
            Some(locality) if !locality.allows_remote(worker.report.run_time_percent) => {
                OfferUse::Declined
            }
            Some(_) if job.is_unstarted() => OfferUse::AfterOthers,
            Some(_) => OfferUse::InOrder,
        }
    }

    /// Places tasks of a step in offered resources; returns `false` if none fits.
    fn place_in_offer(
        &mut self,
        now: Timestamp,
        id: JobId,
        step: usize,
        agent: Incarnation,
        offer: Offer,
        effects: &mut Vec<GatewayEffect>,
    ) -> bool {
        let Some(candidate) = self.candidate_for_offer(now, id, step, agent, offer) else {
            return false;
        };
        self.place(now, id, step, candidate, effects);
        self.dequeue_if_placed(id);
        true
    }

    /// The tasks of a step that fit into the offered resources, or `None`.
    fn candidate_for_offer(
        &self,
        now: Timestamp,
        id: JobId,
        step: usize,
        agent: Incarnation,
        offer: Offer,
    ) -> Option<Candidate> {
        let job = self.jobs.get(&id)?;
        if !self.may_use_worker(&job.queue, agent) {
            return None;
        }
        let worker = self.workers.get(&agent)?;
        let best_percent = self.best_run_time_percent(now, &job.queue.service)?;
        let wanted = allowed_tasks_at(now, job, step, best_percent, worker)?;
        let request = &job.steps[step].request;
        let fitting = request.resources.count_fitting_in(offer.resources);
        let batchable = u32::try_from(job.steps[step].waiting.len()).unwrap_or(u32::MAX);
        let tasks = fitting.min(wanted).min(batchable);
        if tasks > 0 {
            return Some(Candidate::offered(agent, tasks, offer.number));
        }
        if fitting == 0 || self.has_task_with_crashes(agent) {
            return None;
        }
        let index = self.first_separated_task(job, step)?;
        Some(Candidate::offered(agent, 1, offer.number).with_separated(index))
    }

    fn dequeue_if_placed(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get(&id)
            && !job.has_placeable()
        {
            self.waiting.remove(&(job.latest_start, id));
        }
    }

    /// Announces waiting jobs to agents and withdraws announcements of jobs that no longer
    /// wait.
    pub(super) fn announce_waiting(
        &mut self,
        now: Timestamp,
        round: &mut LocalityRound,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.next_late_at = None;
        if self.waiting.is_empty() && self.announced.is_empty() {
            return;
        }
        let mut pending = PendingAnnouncements::new();
        self.withdraw_not_waiting(&mut pending);
        // While the start window is full, jobs wait for the window and not for resources.
        let is_open = self.start_window.is_open();
        for (rank, _, id) in self.ranked_waiting(now) {
            if is_open {
                self.announce(now, id, rank, round, &mut pending);
            }
        }
        if is_open {
            self.next_late_at = self.next_late_at(now);
        }
        for (agent, announcements) in pending {
            self.send(now, agent, ToAgentBody::Announce(announcements), effects);
        }
    }

    /// When the first of the announced jobs turns late; `None` if shares of queues are off.
    fn next_late_at(&self, now: Timestamp) -> Option<Timestamp> {
        self.policies.queue_shares?;
        let jobs = self.announced.keys().filter_map(|id| self.jobs.get(id));
        let late_from = jobs.map(|job| job.latest_in_time().after(Span(1)));
        late_from.filter(|late_from| *late_from > now).min()
    }

    /// Has the jobs that were announced to an agent announced again, to other agents as well, since its
    /// session has closed. With shares of queues only: otherwise they wait for the next announcement, and
    /// jobs with a short objective may be refused before.
    pub(super) fn forget_announcements_to(&mut self, agent: Incarnation) {
        if self.policies.queue_shares.is_some() {
            self.renew_announcements_to(agent);
        }
    }

    /// Has the jobs that were announced to an agent announced again, since the agent has forgotten them.
    pub(super) fn renew_announcements_to(&mut self, agent: Incarnation) {
        for announced in self.announced.values_mut() {
            let notified = announced.agents.len();
            announced.agents.retain(|(to, _)| *to != agent);
            announced.needs_renewal |= announced.agents.len() < notified;
        }
    }

    fn withdraw_not_waiting(&mut self, pending: &mut PendingAnnouncements) {
        let waiting: BTreeSet<JobId> = self.waiting.iter().map(|(_, id)| *id).collect();
        let not_waiting: Vec<JobId> = self
            .announced
            .keys()
            .filter(|id| !waiting.contains(id))
            .copied()
            .collect();
        for id in not_waiting {
            let Some(announced) = self.announced.remove(&id) else {
                continue;
            };
            for (agent, step) in announced.agents {
                pending
                    .entry(agent)
                    .or_default()
                    .push(Announcement::withdrawn(id, step));
            }
        }
    }

    fn announce(
        &mut self,
        now: Timestamp,
        id: JobId,
        rank: u32,
        round: &mut LocalityRound,
        pending: &mut PendingAnnouncements,
    ) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let mut is_recent = self.announced.get(&id).is_some_and(|announced| {
            let has_started_since = rank == 0 && announced.rank > 0;
            // Only started jobs: one whose tasks were returned unstarted stays announced as it is.
            let has_lost_precedence = rank > 0 && announced.rank == 0 && !job.is_unstarted();
            let is_late_since = rank == LATE_RANK && announced.rank < LATE_RANK;
            let has_changed = has_started_since || has_lost_precedence || is_late_since;
            now.since(announced.at) < REANNOUNCE_INTERVAL
                && !has_changed
                && !announced.needs_renewal
        });
        let is_near_only = self.announced.get(&id);
        let is_near_only = is_near_only.is_some_and(|announced| !announced.includes_remote);
        if is_recent && is_near_only {
            let mut steps = job.placeable_steps().into_iter();
            is_recent = !steps.any(|step| {
                let locality = self.step_locality(now, job, step, round);
                locality.is_some_and(|locality| locality.allows_any_remote())
            });
        }
        if is_recent || !job.is_placeable_at(now) || self.is_rejoining(now) {
            return;
        }
        let queue_shares = self.policies.queue_shares;
        let queue = queue_shares.map(|_| QueueKey::of(&job.queue.name));
        let mut agents = Vec::new();
        let mut includes_remote = true;
        for step in job.placeable_steps() {
            if self.is_withheld(job, step) {
                continue;
            }
            let index = u32::try_from(step).unwrap_or(u32::MAX);
            let preemption = self.preemption_right(now, job);
            let mut announcement = announcement_of(now, job, step, rank, preemption);
            announcement.queue = queue;
            let locality = self.step_locality(now, job, step, round);
            let locality = locality.filter(StepLocality::has_near);
            let is_near_only = locality
                .as_ref()
                .is_some_and(|locality| !locality.allows_any_remote());
            includes_remote &= !is_near_only;
            let waiting = job.steps[step].waiting_count();
            let targets = self.announcement_targets(now, job, step, locality.as_ref());
            for (position, agent) in targets.into_iter().enumerate() {
                let announcement = if queue.is_some() && position >= waiting {
                    without_demand(announcement)
                } else {
                    announcement
                };
                pending.entry(agent).or_default().push(announcement);
                agents.push((agent, index));
            }
        }
        let announced = AnnouncedJob {
            at: now,
            rank,
            needs_renewal: queue_shares.is_some() && agents.is_empty(),
            agents,
            includes_remote,
        };
        let earlier = self.announced.insert(id, announced.clone());
        for (agent, step) in earlier.map(|earlier| earlier.agents).unwrap_or_default() {
            if !announced.agents.contains(&(agent, step)) {
                let withdrawn = Announcement::withdrawn(id, step);
                pending.entry(agent).or_default().push(withdrawn);
            }
        }
    }

    /// Whether a task of a step fits the capacity of a worker. Without shares of queues it is not
    /// checked, since announcements are then the same as before.
    fn may_ever_hold(&self, job: &Job, step: usize, worker: &Worker) -> bool {
        let needed = job.steps[step].request.resources;
        let snapshot = worker.snapshot.as_ref();
        self.policies.queue_shares.is_none()
            || snapshot.is_some_and(|snapshot| needed.fits_in(snapshot.capacity))
    }

    /// The agents to which a waiting step is announced. They are chosen in an order based on a
    /// hash that differs between jobs, which spreads the jobs over the agents. A step with data is
    /// announced to agents near it, and to others as well once it may use these.
    fn announcement_targets(
        &self,
        now: Timestamp,
        job: &Job,
        step: usize,
        locality: Option<&StepLocality>,
    ) -> Vec<Incarnation> {
        let waiting = job.steps[step].waiting_count();
        let Some(best_percent) = self.best_run_time_percent(now, &job.queue.service) else {
            return Vec::new();
        };
        let mut agents: Vec<(Incarnation, &Worker)> = self
            .workers
            .iter()
            .filter(|(_, worker)| allowed_tasks_at(now, job, step, best_percent, worker).is_some())
            .filter(|(agent, _)| self.may_use_worker(&job.queue, **agent))
            .filter(|(_, worker)| self.may_ever_hold(job, step, worker))
            .map(|(agent, worker)| (*agent, worker))
            .collect();
        agents.sort_unstable_by_key(|(agent, _)| Reverse(affinity(job.id, *agent)));
        let count = waiting * AGENTS_PER_TASK;
        let Some(locality) = locality else {
            agents.truncate(count);
            return agents.into_iter().map(|(agent, _)| agent).collect();
        };
        let request = &job.steps[step].request;
        let (remote, near): (Vec<_>, Vec<_>) = agents
            .into_iter()
            .partition(|(_, worker)| worker.is_remote_from(request));
        let remote = remote
            .into_iter()
            .filter(|(_, worker)| locality.allows_remote(worker.report.run_time_percent));
        let near = near.into_iter().take(count);
        let targets = near.chain(remote.take(count));
        targets.map(|(agent, _)| agent).collect()
    }
}

/// Maximum number of tasks of a step that `worker` may receive, regardless of its free
/// resources; `None` if it may receive none. `best_percent` is the run time percentage of the
/// fastest worker of the service.
fn allowed_tasks_at(
    now: Timestamp,
    job: &Job,
    step: usize,
    best_percent: u32,
    worker: &Worker,
) -> Option<u32> {
    let step = &job.steps[step];
    if !worker.is_usable(now, &job.queue.service) || !worker.has_required_label(&step.request) {
        return None;
    }
    let waiting = u32::try_from(step.waiting_count()).unwrap_or(u32::MAX);
    allowed_tasks(job, &step.request, waiting, best_percent, worker)
}

/// The announcement of a step, with what it may have stopped.
fn announcement_of(
    now: Timestamp,
    job: &Job,
    step: usize,
    rank: u32,
    preemption: Option<PreemptionRight>,
) -> Announcement {
    let until = if job.is_unstarted() {
        job.refuse_at
    } else {
        job.deadline
    };
    Announcement {
        job: job.id,
        step: u32::try_from(step).unwrap_or(u32::MAX),
        resources: job.steps[step].request.resources,
        count: u32::try_from(job.steps[step].waiting_count()).unwrap_or(u32::MAX),
        rank,
        ttl_millis: u32::try_from(until.since(now).as_millis()).unwrap_or(u32::MAX),
        queue: None,
        may_preempt: preemption.is_some(),
        preemption_budget_percent: preemption.map_or(0, |right| right.budget_percent),
        preempted_queue: preemption.map(|right| right.queue),
    }
}

/// An announcement to an agent beyond the number of waiting tasks. Agents count a task of the queue
/// for each announcement that names it, and would otherwise count more tasks than wait. It may not
/// preempt either, since an agent that does not know the queue might stop runs of the same queue.
fn without_demand(announcement: Announcement) -> Announcement {
    Announcement {
        queue: None,
        may_preempt: false,
        preemption_budget_percent: 0,
        preempted_queue: None,
        ..announcement
    }
}

/// Hash of a job and an agent, for a stable but unordered assignment of jobs to agents.
fn affinity(job: JobId, agent: Incarnation) -> u64 {
    let mut hasher = DefaultHasher::new();
    (job.0, agent.0).hash(&mut hasher);
    hasher.finish()
}
