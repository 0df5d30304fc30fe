//! Zones that operators have evacuated: their workers get no tasks.
//!
//! Gateways read the evacuated zones from the store, pass them on to each other and to their
//! agents, and place no tasks there. An agent rejects starts while its own zone is evacuated, since
//! the gateway that sent them may not know of the evacuation yet.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// The evacuated zones, as of a revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Revision of the store, which rises with each write; 0 before the first read.
    #[serde(rename = "v")]
    pub revision: u64,
    /// Names of the evacuated zones.
    #[serde(rename = "z", default, skip_serializing_if = "BTreeSet::is_empty")]
    pub zones: BTreeSet<String>,
}

/// Effect of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Update {
    /// None: the same or a later revision is known.
    Stale,
    /// Only the revision changed.
    Unchanged,
    /// The set of zones changed.
    Changed,
}

impl Evacuations {
    /// Whether `zone` is evacuated.
    pub fn covers(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    /// Replaces the zones by those of a later revision; an older or equal revision is ignored.
    pub fn update(&mut self, received: Self) -> Update {
        if received.revision <= self.revision {
            return Update::Stale;
        }
        let has_changed = received.zones != self.zones;
        *self = received;
        if has_changed {
            Update::Changed
        } else {
            Update::Unchanged
        }
    }
}
