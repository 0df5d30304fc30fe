//! Offers: which gateway gets resources that become free.
//!
//! Gateways announce the tasks that wait for resources, with a rank. Free resources are reserved
//! for the gateway with the best rank and offered to it. Gateways then don't compete for the
//! same resources, and the highest-ranked job gets them whichever gateway holds it. An offer is
//! only a hint: it may expire, and nothing starts without a request.

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::super::messages::{Announcement, NO_TASK_LIMIT};
use super::super::resources::Resources;
use super::owner::{AnnouncedStep, Owner, StepKey};
use super::{AgentDecision, AgentEffect, LeasedAgent};

/// How long resources are reserved for a gateway that does not answer: several round trips.
pub(super) const OFFER_TIMEOUT: Span = Span::from_millis(10);

impl LeasedAgent {
    pub(super) fn on_announced(
        &mut self,
        now: Timestamp,
        gateway: Incarnation,
        announcements: &[Announcement],
    ) {
        for announcement in announcements {
            self.update_preemption_budget(now, announcement);
            if let Some(owner) = self.owners.get_mut(&gateway) {
                owner.announce(now, announcement);
            }
        }
    }

    /// Resources reserved for gateways.
    pub(super) fn offered_resources(&self) -> Resources {
        self.owners
            .values()
            .map(Owner::offered_resources)
            .fold(Resources::default(), Resources::saturating_add)
    }

    /// Offers free resources to the gateways with waiting tasks, best rank first.
    pub(super) fn offer_resources(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        for owner in self.owners.values_mut() {
            if owner.expire_offers(now) {
                effects.push(AgentEffect::Decided(AgentDecision::OfferExpired));
            }
        }
        let is_limited = !self.is_available(now) || self.limit_left(now) != NO_TASK_LIMIT;
        self.end_preemptions(now, is_limited);
        if is_limited {
            return;
        }
        while let Some((gateway, step, announced)) = self.best_ranked_step(now) {
            let tasks = announced.resources.count_fitting_in(self.free_resources());
            let tasks = tasks.min(announced.count);
            let Some(owner) = self.owners.get_mut(&gateway) else {
                return;
            };
            owner.offer(
                step,
                announced.resources.multiplied_by(tasks),
                tasks,
                now.after(OFFER_TIMEOUT),
            );
        }
    }

    /// The best-ranked announced step whose tasks fit into the free resources.
    fn best_ranked_step(&self, now: Timestamp) -> Option<(Incarnation, StepKey, AnnouncedStep)> {
        let free = self.free_resources();
        self.offerable_steps(now)
            .filter(|(_, _, announced)| announced.resources.fits_in(free))
            .min_by_key(|(_, _, announced)| (announced.rank, announced.until))
    }

    /// The announced steps to whose gateways resources may be offered.
    pub(super) fn offerable_steps(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (Incarnation, StepKey, AnnouncedStep)> {
        self.owners
            .iter()
            .filter(|(_, owner)| owner.may_be_offered())
            .flat_map(move |(gateway, owner)| {
                owner
                    .announced(now)
                    .map(move |(step, announced)| (*gateway, step, announced))
            })
    }
}
