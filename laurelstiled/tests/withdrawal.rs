//! A stopping gateway removes its record, but does not wait for a store that does not answer.

use std::future::pending;
use std::time::Duration;

use laurelstile_core::leased::messages::Member;
use laurelstiled::leased::membership::remove_record;
use laurelstiled::leased::ports::{Listing, Record, RecordStore, ReplaceOutcome, StoreError};

/// Maximum time for the removal: part of the grace period that is left once the last job has ended.
const REMOVAL_BUDGET: Duration = Duration::from_millis(250);

struct UnresponsiveStore;

impl RecordStore for UnresponsiveStore {
    async fn list(&self, _: &str, _: &str, _: usize) -> Result<Listing, StoreError> {
        pending().await
    }

    async fn get(&self, _: &str, _: &str) -> Result<Option<Record>, StoreError> {
        pending().await
    }

    async fn put(&self, _: &str, _: &str, _: &[u8]) -> Result<(), StoreError> {
        pending().await
    }

    async fn replace(
        &self,
        _: &str,
        _: &str,
        _: &[u8],
        _: u64,
    ) -> Result<ReplaceOutcome, StoreError> {
        pending().await
    }

    async fn remove(&self, _: &str, _: &str) -> Result<(), StoreError> {
        pending().await
    }
}

#[tokio::test(start_paused = true)]
async fn an_unresponsive_store_does_not_delay_the_shutdown() {
    let member = Member {
        name: "gateway".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "here".into(),
    };
    let began = tokio::time::Instant::now();
    remove_record(&UnresponsiveStore, &member).await;
    assert!(began.elapsed() <= REMOVAL_BUDGET, "{:?}", began.elapsed());
}
