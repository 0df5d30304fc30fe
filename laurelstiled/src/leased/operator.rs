//! Watches the configuration and the evacuated zones in the store: reads everything once,
//! long-polls for changes, and reads everything again whenever changes may have been missed.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use laurelstile_core::leased::evacuation::Evacuations;
use laurelstile_core::leased::gateway::GatewayEvent;
use tokio::sync::mpsc;

use super::input::GatewayInput;
use super::ports::{EvacuationChange, OperatorSource, OperatorUpdate, StoreError};

/// Time that the store may hold a long poll. Short, since a lost answer is only noticed at its end.
const LONG_POLL_WAIT: Duration = Duration::from_millis(2_000);
/// Time-out of an answer, in addition to the long poll.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before the first retry; it doubles up to the maximum.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Watches the operator's data until `input` is closed.
pub async fn watch<S: OperatorSource>(source: Arc<S>, input: mpsc::UnboundedSender<GatewayInput>) {
    let mut watcher = OperatorWatcher::default();
    let mut backoff = INITIAL_BACKOFF;
    let mut is_lost = false;
    while !input.is_closed() {
        match read_next(source.as_ref(), watcher.cursor).await {
            Ok(update) => {
                if is_lost || watcher.cursor.is_none() {
                    log::info!(event = "store_regained", cursor = update.cursor; "reading the configuration from the store succeeded");
                }
                is_lost = false;
                backoff = INITIAL_BACKOFF;
                for event in watcher.apply_update(update) {
                    let _ = input.send(GatewayInput::Event(event));
                }
            }
            Err(error) => {
                watcher.reset();
                if !is_lost {
                    log::warn!(event = "store_lost", error:% = error; "reading the configuration from the store failed; retrying");
                }
                is_lost = error != StoreError::HistoryTruncated;
                tokio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// The evacuated zones as read so far, and the store version up to which they are complete.
#[derive(Debug, Default)]
pub struct OperatorWatcher {
    /// Store version after which changes are requested; `None` if everything has to be read.
    cursor: Option<u64>,
    evacuated: BTreeSet<String>,
}

impl OperatorWatcher {
    /// Applies a snapshot if no store version was known, otherwise the changes since that version.
    /// Returns the events for the gateway. Evacuations come first, so that a new configuration
    /// does not lead to placements in an evacuated zone.
    pub fn apply_update(&mut self, update: OperatorUpdate) -> Vec<GatewayEvent> {
        let is_snapshot = self.cursor.is_none();
        if is_snapshot {
            self.evacuated.clear();
        }
        let has_changes = is_snapshot || !update.evacuations.is_empty();
        for change in update.evacuations {
            self.apply_change(change);
        }
        self.cursor = Some(update.cursor);
        let evacuations = has_changes.then(|| {
            GatewayEvent::Evacuations(Evacuations {
                revision: update.cursor,
                zones: self.evacuated.clone(),
            })
        });
        let configuration = update.configuration.map(GatewayEvent::Configuration);
        evacuations.into_iter().chain(configuration).collect()
    }

    /// Discards the cursor, since changes may have been missed; the next update has to be a
    /// snapshot.
    pub fn reset(&mut self) {
        self.cursor = None;
    }

    fn apply_change(&mut self, change: EvacuationChange) {
        if change.is_evacuated {
            self.evacuated.insert(change.zone);
        } else {
            self.evacuated.remove(&change.zone);
        }
    }
}

async fn read_next<S: OperatorSource>(
    source: &S,
    cursor: Option<u64>,
) -> Result<OperatorUpdate, StoreError> {
    let answer = match cursor {
        None => tokio::time::timeout(ANSWER_TIMEOUT, source.read_all()).await,
        Some(cursor) => {
            tokio::time::timeout(
                LONG_POLL_WAIT + ANSWER_TIMEOUT,
                source.changes(cursor, LONG_POLL_WAIT),
            )
            .await
        }
    };
    answer.unwrap_or(Err(StoreError::Unavailable))
}
