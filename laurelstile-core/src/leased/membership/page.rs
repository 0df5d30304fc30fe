//! The list of gateways in the store, read page by page.
//!
//! Records lie in the order of a ring of hashed names, so that each gateway begins to read
//! at its own place, and readers are spread over the list. A page has a bound: what the
//! store sends grows with the gateways, and not with their square.

use super::super::messages::Member;
use super::rank;

/// Records that are read at a time. Lists that are shorter are read whole each time.
pub const PAGE_RECORDS: usize = 32;

/// Key of a gateway's record, or place at which a process of that name begins to read.
pub fn record_key(name: &str) -> String {
    format!("{:016x}-{name}", rank::hash_of_name(name))
}

/// Some records of the list, one after the other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Where reading began.
    pub from: String,
    /// The last key that was read; none if the list ended.
    pub until: Option<String>,
    /// The gateways whose records are there and have not expired.
    pub members: Vec<Member>,
}

impl Page {
    /// Whether a member would be on the page, if it were listed.
    pub fn covers(&self, member: &Member) -> bool {
        let key = record_key(&member.name);
        key >= self.from && self.until.as_ref().is_none_or(|until| key <= *until)
    }

    /// Leaves out what lies from a key on: another page has it.
    pub fn truncate_at(&mut self, key: &str) {
        self.members
            .retain(|member| *record_key(&member.name) < *key);
    }

    /// Where to read on.
    pub fn next(&self) -> &str {
        self.until.as_deref().unwrap_or_default()
    }
}
