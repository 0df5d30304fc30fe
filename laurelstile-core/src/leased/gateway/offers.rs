//! Room that agents offer, and the announcements by which they know who waits.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::candidate::Candidate;
use super::job::Job;
use super::placement::wanted_of;
use super::workers::Worker;
use super::{GatewayDecision, GatewayEffect, LeasedGateway};
use crate::leased::messages::{Announcement, Offer, ToAgentBody};
use crate::leased::task::JobId;

/// Workers that are told of a waiting task. One of each is enough: with two, and two
/// more for each job, worth in overload is the same within noise (0.699 and 0.702 of
/// the worth owed, means of two seeds), and links of 2 Mbit/s lose 0.04 of theirs, since
/// room is split into more starts and each carries the job's input.
const AGENTS_PER_TASK: usize = 1;
/// After so long a job that still waits is announced anew, since its rank has changed.
/// Few jobs wait for longer. Announced each 25 ms, a job that waits behind a full link
/// adds to what fills it, and gains nothing where links are wide.
const REFRESH: Span = Span::from_millis(1_000);

/// A job that was announced.
#[derive(Clone, Debug)]
pub struct AnnouncedJob {
    /// When it was last announced.
    at: Timestamp,
    /// The rank that was told.
    rank: u32,
    /// Agents that were told, and the steps of which.
    agents: Vec<(Incarnation, u32)>,
}

/// What is to be announced, by agent.
type News = BTreeMap<Incarnation, Vec<Announcement>>;

impl LeasedGateway {
    /// Rank of a job among those that wait: 0 for one that has begun, since it takes
    /// room for nothing until it is done; else the share of its like that was served.
    fn rank(&self, now: Timestamp, job: &Job) -> u32 {
        if job.is_untouched() {
            1 + self.shares.permille(now, &job.queue.name, job.group)
        } else {
            0
        }
    }

    /// Jobs with tasks to be placed, in order.
    pub(super) fn waiting_in_order(&self, now: Timestamp) -> Vec<JobId> {
        let mut order: Vec<(u32, Timestamp, JobId)> = self
            .waiting
            .iter()
            .filter_map(|(latest_start, id)| {
                let job = self.jobs.get(id)?;
                Some((self.rank(now, job), *latest_start, *id))
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, _, id)| id).collect()
    }

    /// Answers each offer: with the tasks of the first job in order that can use it,
    /// else by declining it.
    pub(super) fn use_offers(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        let offers: Vec<(Incarnation, Offer)> = self
            .workers
            .iter_mut()
            .flat_map(|(agent, worker)| {
                let agent = *agent;
                worker.offers.drain(..).map(move |offer| (agent, offer))
            })
            .collect();
        for (agent, offer) in offers {
            let is_used = self.use_offer(now, agent, offer, effects);
            let decision = GatewayDecision::OfferAnswered { is_used };
            effects.push(GatewayEffect::Decided(decision));
            if !is_used {
                let decline = ToAgentBody::Decline(vec![offer.number]);
                self.send(now, agent, decline, effects);
            }
        }
    }

    fn use_offer(
        &mut self,
        now: Timestamp,
        agent: Incarnation,
        offer: Offer,
        effects: &mut Vec<GatewayEffect>,
    ) -> bool {
        if !self.start_window.is_open() {
            return false;
        }
        for id in self.waiting_in_order(now) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if now < job.not_before {
                continue;
            }
            for step in job.placeable() {
                let Some(candidate) = self.candidate_for(now, id, step, agent, offer) else {
                    continue;
                };
                self.place(now, id, step, candidate, effects);
                self.drop_if_placed(id);
                return true;
            }
        }
        false
    }

    /// Tasks of a step that the offered room is good for.
    fn candidate_for(
        &self,
        now: Timestamp,
        id: JobId,
        step: usize,
        agent: Incarnation,
        offer: Offer,
    ) -> Option<Candidate> {
        let job = self.jobs.get(&id)?;
        if !self.is_open_to(&job.queue, agent) {
            return None;
        }
        let worker = self.workers.get(&agent)?;
        let best_pace = self.best_pace(now, &job.queue.service)?;
        let wanted = wanted_from(now, job, step, best_pace, worker)?;
        let request = &job.steps[step].request;
        let fitting = request.resources.count_fitting_in(offer.resources);
        let together = u32::try_from(job.steps[step].waiting.len()).unwrap_or(u32::MAX);
        let tasks = fitting.min(wanted).min(together);
        if tasks > 0 {
            return Some(Candidate::offered(agent, tasks, offer.number));
        }
        if fitting == 0 || self.has_task_apart(agent) {
            return None;
        }
        let index = self.first_task_apart(job, step)?;
        Some(Candidate::offered(agent, 1, offer.number).apart(index))
    }

    fn drop_if_placed(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get(&id)
            && !job.has_placeable()
        {
            self.waiting.remove(&(job.latest_start, id));
        }
    }

    /// Tells agents which jobs wait for room, and which no longer do.
    pub(super) fn announce_waiting(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        if self.waiting.is_empty() && self.announced.is_empty() {
            return;
        }
        let mut news = News::new();
        self.withdraw_placed(&mut news);
        // With a full way out, jobs do not wait for room.
        let is_open = self.start_window.is_open();
        for id in self.waiting_in_order(now) {
            if is_open {
                self.announce(now, id, &mut news);
            }
        }
        for (agent, announcements) in news {
            self.send(now, agent, ToAgentBody::Announce(announcements), effects);
        }
    }

    fn withdraw_placed(&mut self, news: &mut News) {
        let waiting: BTreeSet<JobId> = self.waiting.iter().map(|(_, id)| *id).collect();
        let over: Vec<JobId> = self
            .announced
            .keys()
            .filter(|id| !waiting.contains(id))
            .copied()
            .collect();
        for id in over {
            let Some(announced) = self.announced.remove(&id) else {
                continue;
            };
            for (agent, step) in announced.agents {
                news.entry(agent)
                    .or_default()
                    .push(Announcement::withdrawn(id, step));
            }
        }
    }

    fn announce(&mut self, now: Timestamp, id: JobId, news: &mut News) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let rank = self.rank(now, job);
        let is_told = self.announced.get(&id).is_some_and(|announced| {
            let has_begun_since = rank == 0 && announced.rank > 0;
            now.since(announced.at) < REFRESH && !has_begun_since
        });
        if is_told || now < job.not_before {
            return;
        }
        let mut agents = Vec::new();
        for step in job.placeable() {
            let index = u32::try_from(step).unwrap_or(u32::MAX);
            let announcement = announcement_of(now, job, step, rank);
            for agent in self.agents_to_tell(now, job, step) {
                news.entry(agent).or_default().push(announcement);
                agents.push((agent, index));
            }
        }
        let announced = AnnouncedJob {
            at: now,
            rank,
            agents,
        };
        let earlier = self.announced.insert(id, announced.clone());
        for (agent, step) in earlier.map(|earlier| earlier.agents).unwrap_or_default() {
            if !announced.agents.contains(&(agent, step)) {
                let withdrawn = Announcement::withdrawn(id, step);
                news.entry(agent).or_default().push(withdrawn);
            }
        }
    }

    /// The agents that are told of a waiting step: enough that some have room soon,
    /// others for other jobs.
    fn agents_to_tell(&self, now: Timestamp, job: &Job, step: usize) -> Vec<Incarnation> {
        let waiting = job.steps[step].waiting_count();
        let Some(best_pace) = self.best_pace(now, &job.queue.service) else {
            return Vec::new();
        };
        let mut agents: Vec<Incarnation> = self
            .workers
            .iter()
            .filter(|(_, worker)| wanted_from(now, job, step, best_pace, worker).is_some())
            .filter(|(agent, _)| self.is_open_to(&job.queue, **agent))
            .map(|(agent, _)| *agent)
            .collect();
        agents.sort_unstable_by_key(|agent| Reverse(affinity(job.id, *agent)));
        agents.truncate(waiting * AGENTS_PER_TASK);
        agents
    }
}

/// Tasks of a step that `worker` would be given, if it had room for all; `best_pace` is
/// that of the fastest worker of the service.
fn wanted_from(
    now: Timestamp,
    job: &Job,
    step: usize,
    best_pace: u32,
    worker: &Worker,
) -> Option<u32> {
    let step = &job.steps[step];
    if !worker.is_usable(now, &job.queue.service) || !worker.fulfils(&step.request) {
        return None;
    }
    let waiting = u32::try_from(step.waiting_count()).unwrap_or(u32::MAX);
    wanted_of(job, &step.request, waiting, best_pace, worker)
}

fn announcement_of(now: Timestamp, job: &Job, step: usize, rank: u32) -> Announcement {
    let until = if job.is_untouched() {
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
    }
}

/// Spreads jobs over agents: the same for the same pair, without order otherwise.
fn affinity(job: JobId, agent: Incarnation) -> u64 {
    let mut hasher = DefaultHasher::new();
    (job.0, agent.0).hash(&mut hasher);
    hasher.finish()
}
