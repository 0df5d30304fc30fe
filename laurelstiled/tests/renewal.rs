//! Renewal of a gateway's record in the store while a part of the list of gateways cannot be read.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use laurelstile_core::leased::membership::page::record_key;
use laurelstile_core::leased::messages::Member;
use laurelstiled::leased::membership;
use laurelstiled::leased::ports::{Listing, Record, RecordStore, ReplaceOutcome, StoreError};
use tokio::sync::mpsc;

/// A store in which only the page from one key on can be read, and others follow.
struct OnePage {
    readable_from: String,
    renewals: AtomicUsize,
}

impl RecordStore for OnePage {
    async fn list(&self, _: &str, from: &str, _: usize) -> Result<Listing, StoreError> {
        if from != self.readable_from {
            return Err(StoreError::Malformed);
        }
        Ok(Listing {
            last_key: Some(format!("{from}~")),
            has_more: true,
            ..Listing::default()
        })
    }

    async fn get(&self, _: &str, _: &str) -> Result<Option<Record>, StoreError> {
        Err(StoreError::Unavailable)
    }

    async fn put(&self, _: &str, _: &str, _: &[u8]) -> Result<(), StoreError> {
        self.renewals.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    async fn replace(
        &self,
        _: &str,
        _: &str,
        _: &[u8],
        _: u64,
    ) -> Result<ReplaceOutcome, StoreError> {
        Err(StoreError::Unavailable)
    }

    async fn remove(&self, _: &str, _: &str) -> Result<(), StoreError> {
        Err(StoreError::Unavailable)
    }
}

/// Guards against a gateway that is taken for gone, since it asks for the page that it cannot read
/// again and again, and renews its record only once it has read one.
#[tokio::test(start_paused = true)]
async fn a_gateway_renews_its_record_although_the_next_page_is_unreadable() {
    let member = Member {
        name: "gateway-1".into(),
        address: ([127, 0, 0, 1], 7_720).into(),
        zone: "here".into(),
    };
    let store = Arc::new(OnePage {
        readable_from: record_key(&member.name),
        renewals: AtomicUsize::default(),
    });
    let (input, _inputs) = mpsc::unbounded_channel();
    tokio::spawn(membership::maintain_record(
        Arc::clone(&store),
        member,
        input,
    ));
    tokio::time::sleep(Duration::from_secs(60)).await;
    let renewals = store.renewals.load(Ordering::Relaxed);
    // A record expires after 30 s without a renewal.
    assert!(renewals >= 4, "{renewals} renewals in 60 s");
}
