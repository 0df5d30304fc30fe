//! Zones whose workers are to be given nothing, as operators ask.
//!
//! Gateways read from the store which zones are evacuated, tell each other and their
//! agents, and place nothing there. An agent refuses starts while its zone is evacuated,
//! whatever gateway they come from: the one that placed them may not have heard of it.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// The zones that are evacuated, as of a revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// The store's revision; rises with every write to it. 0 before anything was read.
    #[serde(rename = "v")]
    pub revision: u64,
    /// Names of the zones.
    #[serde(rename = "z", default, skip_serializing_if = "BTreeSet::is_empty")]
    pub zones: BTreeSet<String>,
}

/// What news have changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Update {
    /// Nothing: newer ones are known.
    Stale,
    /// The revision only.
    Unchanged,
    /// The zones.
    Changed,
}

impl Evacuations {
    /// Whether the workers of `zone` are to be given nothing.
    pub fn covers(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    /// Takes over what is known as of a later revision; news that come late are ignored.
    pub fn update(&mut self, news: Self) -> Update {
        if news.revision <= self.revision {
            return Update::Stale;
        }
        let has_changed = news.zones != self.zones;
        *self = news;
        if has_changed {
            Update::Changed
        } else {
            Update::Unchanged
        }
    }
}
