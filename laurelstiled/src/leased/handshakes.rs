//! Connections to the session address that have not said who they are.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use metrics::counter;
use nix::sys::resource::{Resource, getrlimit};
use tokio::sync::Notify;

use crate::telemetry::HANDSHAKES_DISPLACED;

/// Share of the process's descriptors for handshakes, as a divisor: 512 on the smallest machine, more
/// than the agents that dial a gateway at the same moment.
const DESCRIPTOR_DIVISOR: u64 = 8;
/// Handshakes of a process whose limit of descriptors cannot be read.
const DEFAULT_MAX_HANDSHAKES: usize = 128;

/// The handshakes in progress. One that is added to a full table ends the oldest.
#[derive(Debug)]
pub struct PendingHandshakes {
    max: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    next: u64,
    pending: BTreeMap<u64, Arc<Notify>>,
}

/// A handshake in progress; it leaves the table when it is dropped.
#[derive(Debug)]
pub struct Handshake {
    table: Arc<PendingHandshakes>,
    number: u64,
    displaced: Arc<Notify>,
}

impl PendingHandshakes {
    /// Creates a table for at most `max` handshakes.
    pub fn new(max: usize) -> Arc<Self> {
        Arc::new(Self {
            max,
            state: Mutex::default(),
        })
    }

    /// Creates a table whose limit follows from the descriptors that the process may open.
    pub fn for_this_process() -> Arc<Self> {
        let max = getrlimit(Resource::RLIMIT_NOFILE)
            .ok()
            .and_then(|(soft, _)| usize::try_from(soft / DESCRIPTOR_DIVISOR).ok());
        Self::new(max.unwrap_or(DEFAULT_MAX_HANDSHAKES).max(1))
    }

    /// Adds a handshake.
    pub fn begin(self: &Arc<Self>) -> Handshake {
        let displaced = Arc::new(Notify::new());
        let mut state = self.lock();
        if state.pending.len() >= self.max
            && let Some((_, oldest)) = state.pending.pop_first()
        {
            oldest.notify_one();
            counter!(HANDSHAKES_DISPLACED).increment(1);
        }
        let number = state.next;
        state.next += 1;
        state.pending.insert(number, Arc::clone(&displaced));
        drop(state);
        Handshake {
            table: Arc::clone(self),
            number,
            displaced,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Handshake {
    /// Runs the handshake; `None` if it gave way to a later one.
    pub async fn run<T>(self, handshake: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            result = handshake => Some(result),
            () = self.displaced.notified() => None,
        }
    }
}

impl Drop for Handshake {
    fn drop(&mut self) {
        self.table.lock().pending.remove(&self.number);
    }
}
