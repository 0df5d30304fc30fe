//! Offers of room: which gateway gets room that becomes free.
//!
//! Gateways announce tasks that wait for room, with a rank. Room that becomes free is
//! held for the gateway of the best rank and offered to it, so that gateways do not
//! run for the same room and the job that is worst off gets it, whoever keeps it. An
//! offer is a hint: an agent may let one lapse, and starts nothing without an order.

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::super::messages::{Announcement, NO_TASK_LIMIT};
use super::super::resources::Resources;
use super::owner::{AnnouncedStep, Owner, StepKey};
use super::{AgentDecision, AgentEffect, LeasedAgent};

/// How long room is held for a gateway that does not answer an offer: several times
/// the way there and back.
const OFFER_LIMIT: Span = Span::from_millis(10);

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

    /// Room that is held for gateways.
    pub(super) fn offered_room(&self) -> Resources {
        self.owners
            .values()
            .map(Owner::offered_room)
            .fold(Resources::default(), Resources::saturating_add)
    }

    /// Offers free room to the gateways that wait for it, the best rank first.
    pub(super) fn offer_room(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        for owner in self.owners.values_mut() {
            if owner.expire_offers(now) {
                effects.push(AgentEffect::Decided(AgentDecision::OfferExpired));
            }
        }
        if !self.is_available(now) || self.limit_left(now) != NO_TASK_LIMIT {
            return;
        }
        while let Some((gateway, step, announced)) = self.first_in_rank(now) {
            let tasks = announced.resources.count_fitting_in(self.free_room());
            let tasks = tasks.min(announced.count);
            let Some(owner) = self.owners.get_mut(&gateway) else {
                return;
            };
            owner.offer(
                step,
                announced.resources.multiplied_by(tasks),
                tasks,
                now.after(OFFER_LIMIT),
            );
        }
    }

    /// The announced step of the best rank that fits into the free room.
    fn first_in_rank(&self, now: Timestamp) -> Option<(Incarnation, StepKey, AnnouncedStep)> {
        let free = self.free_room();
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
