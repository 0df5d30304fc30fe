//! The store, as far as a fleet uses it for itself: the list of gateways.

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_core::leased::membership::page::{PAGE_RECORDS, Page, record_key};
use laurelstile_core::leased::messages::Member;

/// Bytes of a row of the list, as the store writes it.
pub const ROW: usize = 260;
/// Age after which a record counts as gone, in microseconds.
const EXPIRY: u64 = 30_000_000;

/// The list of gateways, and who reaches it.
#[derive(Debug, Default)]
pub struct Store {
    /// By key: the member, and when its record was renewed.
    records: BTreeMap<String, (Member, u64)>,
    /// Machines that the store turns away.
    pub shut_out: BTreeSet<usize>,
    /// Bytes that it has sent.
    pub bytes_read: u64,
    /// Calls that it has answered.
    pub calls: u64,
}

impl Store {
    /// Reads a page of the list.
    pub fn list(&mut self, now: u64, from: &str) -> Page {
        self.calls += 1;
        let mut records = self.records.range(from.to_owned()..);
        let read: Vec<_> = records.by_ref().take(PAGE_RECORDS).collect();
        self.bytes_read += (read.len() * ROW) as u64;
        let has_more = records.next().is_some();
        let last = read.last().map(|(key, _)| (*key).clone());
        let is_present = |renewed: u64| now.saturating_sub(renewed) <= EXPIRY;
        let present = read.iter().filter(|(_, (_, renewed))| is_present(*renewed));
        Page {
            from: from.to_owned(),
            until: last.filter(|_| has_more),
            members: present.map(|(_, (member, _))| member.clone()).collect(),
        }
    }

    /// Writes a record.
    pub fn put(&mut self, now: u64, member: Member) {
        self.calls += 1;
        let key = record_key(&member.name);
        self.records.insert(key, (member, now));
    }

    /// Notes another reading.
    pub fn note_read(&mut self, bytes: usize) {
        self.calls += 1;
        self.bytes_read += bytes as u64;
    }
}
