//! Entries of the event queue.

use std::cmp::Ordering;

use super::fault::Micros;

/// An event and when it happens.
#[derive(Debug)]
pub struct Scheduled<E> {
    /// When it happens.
    pub at: Micros,
    /// Orders events at the same time.
    pub number: u64,
    /// What happens.
    pub event: E,
}

impl<E> Scheduled<E> {
    fn key(&self) -> (Micros, u64) {
        (self.at, self.number)
    }
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The earliest entry is the greatest, as a binary heap returns the greatest first.
impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        other.key().cmp(&self.key())
    }
}
