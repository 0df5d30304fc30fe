//! A gateway that stops takes its record back, but does not wait for a silent store.

use std::future::pending;
use std::time::Duration;

use laurelstile_core::leased::messages::Member;
use laurelstiled::leased::membership::withdraw;
use laurelstiled::leased::ports::{Listing, Record, RecordStore, Replaced, StoreError};

/// What a planned stop keeps for the end, beside the last calls (250 ms).
const LEFT_FOR_ANSWERS: Duration = Duration::from_millis(250);

struct SilentStore;

impl RecordStore for SilentStore {
    async fn list(&self, _: &str, _: &str, _: usize) -> Result<Listing, StoreError> {
        pending().await
    }

    async fn get(&self, _: &str, _: &str) -> Result<Option<Record>, StoreError> {
        pending().await
    }

    async fn put(&self, _: &str, _: &str, _: &[u8]) -> Result<(), StoreError> {
        pending().await
    }

    async fn replace(&self, _: &str, _: &str, _: &[u8], _: u64) -> Result<Replaced, StoreError> {
        pending().await
    }

    async fn remove(&self, _: &str, _: &str) -> Result<(), StoreError> {
        pending().await
    }
}

#[tokio::test(start_paused = true)]
async fn a_silent_store_does_not_outlast_the_grace_of_a_planned_stop() {
    let member = Member {
        name: "gateway".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "here".into(),
    };
    let began = tokio::time::Instant::now();
    withdraw(&SilentStore, &member).await;
    assert!(began.elapsed() <= LEFT_FOR_ANSWERS, "{:?}", began.elapsed());
}
