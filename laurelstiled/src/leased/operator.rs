//! Follows what operators leave in the store, the configuration and the evacuated zones:
//! reads it, waits for changes, reads it again whenever it cannot be sure to have seen
//! them all.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use laurelstile_core::leased::evacuation::Evacuations;
use laurelstile_core::leased::gateway::GatewayEvent;
use tokio::sync::mpsc;

use super::input::GatewayInput;
use super::ports::{EvacuationChange, OperatorNews, OperatorSource, StoreError};

/// How long the store may hold a wait for changes. Short, since a wait whose
/// answer was lost says nothing.
const WAIT: Duration = Duration::from_millis(2_000);
/// How long an answer may take beyond that.
const ANSWER_LIMIT: Duration = Duration::from_millis(400);
/// First pause after a failure; it doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Follows what operators leave until the gateway has ended.
pub async fn follow<S: OperatorSource>(source: Arc<S>, input: mpsc::UnboundedSender<GatewayInput>) {
    let mut follower = Follower::default();
    let mut pause = FIRST_PAUSE;
    let mut is_lost = false;
    while !input.is_closed() {
        match next(source.as_ref(), follower.cursor).await {
            Ok(news) => {
                if is_lost || follower.cursor.is_none() {
                    log::info!(event = "store_regained", cursor = news.cursor; "the configuration can be read");
                }
                is_lost = false;
                pause = FIRST_PAUSE;
                for event in follower.take(news) {
                    let _ = input.send(GatewayInput::Event(event));
                }
            }
            Err(error) => {
                follower.forget();
                if !is_lost {
                    log::warn!(event = "store_lost", error:% = error; "the configuration cannot be read");
                }
                is_lost = error != StoreError::HistoryGone;
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// What is known of the store, and up to which revision.
#[derive(Debug, Default)]
pub struct Follower {
    /// The revision to go on from; `None` if all has to be read.
    cursor: Option<u64>,
    evacuated: BTreeSet<String>,
}

impl Follower {
    /// Takes a reading in: a whole one if no revision was known, else what has changed.
    /// Gives what the gateway has to be told, evacuations first, so that nothing is
    /// placed in an evacuated zone as soon as there is a configuration.
    pub fn take(&mut self, news: OperatorNews) -> Vec<GatewayEvent> {
        let is_whole = self.cursor.is_none();
        if is_whole {
            self.evacuated.clear();
        }
        let has_changes = is_whole || !news.evacuations.is_empty();
        for change in news.evacuations {
            self.apply(change);
        }
        self.cursor = Some(news.cursor);
        let evacuations = has_changes.then(|| {
            GatewayEvent::Evacuations(Evacuations {
                revision: news.cursor,
                zones: self.evacuated.clone(),
            })
        });
        let configuration = news.configuration.map(GatewayEvent::Configuration);
        evacuations.into_iter().chain(configuration).collect()
    }

    /// What changes from now on may be missed: the next reading has to be whole.
    pub fn forget(&mut self) {
        self.cursor = None;
    }

    fn apply(&mut self, change: EvacuationChange) {
        if change.is_evacuated {
            self.evacuated.insert(change.zone);
        } else {
            self.evacuated.remove(&change.zone);
        }
    }
}

async fn next<S: OperatorSource>(
    source: &S,
    cursor: Option<u64>,
) -> Result<OperatorNews, StoreError> {
    let answer = match cursor {
        None => tokio::time::timeout(ANSWER_LIMIT, source.read_all()).await,
        Some(cursor) => {
            tokio::time::timeout(WAIT + ANSWER_LIMIT, source.changes(cursor, WAIT)).await
        }
    };
    answer.unwrap_or(Err(StoreError::Unavailable))
}
