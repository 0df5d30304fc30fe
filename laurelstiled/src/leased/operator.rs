//! Follows the configuration: reads it, waits for changes, reads it again
//! whenever it cannot be sure to have seen them all.

use std::sync::Arc;
use std::time::Duration;

use laurelstile_core::leased::gateway::GatewayEvent;
use tokio::sync::mpsc;

use super::input::GatewayInput;
use super::ports::{ConfigurationNews, ConfigurationSource, StoreError};

/// How long the store may hold a wait for changes. Short, since a wait whose
/// answer was lost says nothing.
const WAIT: Duration = Duration::from_millis(2_000);
/// How long an answer may take beyond that.
const ANSWER_LIMIT: Duration = Duration::from_millis(400);
/// First pause after a failure; it doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Follows the configuration until the gateway has ended.
pub async fn follow<S: ConfigurationSource>(
    source: Arc<S>,
    input: mpsc::UnboundedSender<GatewayInput>,
) {
    let mut cursor = None;
    let mut pause = FIRST_PAUSE;
    let mut is_lost = false;
    while !input.is_closed() {
        match next(source.as_ref(), cursor).await {
            Ok(news) => {
                if is_lost || cursor.is_none() {
                    log::info!(event = "store_regained", cursor = news.cursor; "the configuration can be read");
                }
                is_lost = false;
                pause = FIRST_PAUSE;
                cursor = Some(news.cursor);
                if let Some(configuration) = news.configuration {
                    let event = GatewayEvent::Configuration(configuration);
                    let _ = input.send(GatewayInput::Event(event));
                }
            }
            Err(error) => {
                cursor = None;
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

async fn next<S: ConfigurationSource>(
    source: &S,
    cursor: Option<u64>,
) -> Result<ConfigurationNews, StoreError> {
    let answer = match cursor {
        None => tokio::time::timeout(ANSWER_LIMIT, source.read()).await,
        Some(cursor) => {
            tokio::time::timeout(WAIT + ANSWER_LIMIT, source.changes(cursor, WAIT)).await
        }
    };
    answer.unwrap_or(Err(StoreError::Unavailable))
}
