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
const OFFER_TIMEOUT: Span = Span::from_millis(10);

impl LeasedAgent {
    pub(super) fn on_announced(
        &mut self,
        now: Timestamp,
        gateway: Incarnation,
        announcements: &[Announcement],
    ) {
        if let Some(owner) = self.owners.get_mut(&gateway) {
            for announcement in announcements {
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
        if !self.is_available(now) || self.limit_left(now) != NO_TASK_LIMIT {
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
        self.owners
            .iter()
            .filter(|(_, owner)| {
                owner.session.is_some() && owner.has_snapshot && !owner.is_released
            })
            .flat_map(|(gateway, owner)| {
                owner
                    .announced(now)
                    .map(move |(step, announced)| (*gateway, step, announced))
            })
            .filter(|(_, _, announced)| announced.resources.fits_in(free))
            .min_by_key(|(_, _, announced)| (announced.rank, announced.until))
    }
}
