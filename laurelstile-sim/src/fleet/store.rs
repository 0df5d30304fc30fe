//! The store, as far as a fleet uses it for itself: the list of gateways.

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_core::leased::messages::Member;

/// Bytes of a row of the list, as the store writes it.
pub const ROW: usize = 260;
/// Age after which a record counts as gone, in microseconds.
const EXPIRY: u64 = 30_000_000;

/// The list of gateways, and who reaches it.
#[derive(Debug, Default)]
pub struct Store {
    records: BTreeMap<String, (Member, u64)>,
    /// Machines that the store turns away.
    pub shut_out: BTreeSet<usize>,
    /// Bytes that it has sent.
    pub bytes_read: u64,
    /// Calls that it has answered.
    pub calls: u64,
}

impl Store {
    /// Reads the list.
    pub fn list(&mut self, now: u64) -> Vec<Member> {
        self.calls += 1;
        self.bytes_read += (self.records.len() * ROW) as u64;
        let records = self.records.values();
        let present = records.filter(|(_, renewed)| now.saturating_sub(*renewed) <= EXPIRY);
        present.map(|(member, _)| member.clone()).collect()
    }

    /// Writes a record.
    pub fn put(&mut self, now: u64, member: Member) {
        self.calls += 1;
        self.records.insert(member.name.clone(), (member, now));
    }

    /// Notes another reading.
    pub fn note_read(&mut self, bytes: usize) {
        self.calls += 1;
        self.bytes_read += bytes as u64;
    }
}
