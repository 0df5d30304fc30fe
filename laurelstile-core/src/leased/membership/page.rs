//! Pages of the list of gateways in the store.
//!
//! Records are ordered by hashed names. Each gateway begins to read at its own position, so that
//! reads are spread over the list, and reads one page at a time: the store's load grows linearly
//! with the number of gateways and not with its square.

use super::super::messages::Member;
use super::rank;

/// Records per page. Shorter lists are read whole each time.
pub const PAGE_RECORDS: usize = 32;

/// Key of a gateway's record, and the position at which a process of that name begins to read.
pub fn record_key(name: &str) -> String {
    format!("{:016x}-{name}", rank::hash_of_name(name))
}

/// Consecutive records of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Key at which the read began.
    pub from: String,
    /// Key of the last record that was read; `None` at the end of the list.
    pub until: Option<String>,
    /// Gateways with a record that has not expired.
    pub members: Vec<Member>,
}

impl Page {
    /// Whether the record of a member would lie on this page.
    pub fn covers(&self, member: &Member) -> bool {
        let key = record_key(&member.name);
        key >= self.from && self.until.as_ref().is_none_or(|until| key <= *until)
    }

    /// Drops the members from `key` on, which another page covers.
    pub fn truncate_at(&mut self, key: &str) {
        self.members
            .retain(|member| *record_key(&member.name) < *key);
    }

    /// Key from which to read the next page; empty for the start of the list.
    pub fn next(&self) -> &str {
        self.until.as_deref().unwrap_or_default()
    }
}
