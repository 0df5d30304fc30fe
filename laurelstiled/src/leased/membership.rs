//! Each gateway keeps a record of itself in the record store, so that a process whose seeds are
//! all stale still finds the other gateways.

use std::sync::Arc;
use std::time::Duration;

use laurelstile_core::leased::gateway::GatewayEvent;
use laurelstile_core::leased::membership::page::{PAGE_RECORDS, Page, record_key};
use laurelstile_core::leased::messages::Member;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use super::input::GatewayInput;
use super::ports::{Record, RecordStore, StoreError};
use super::set_aside::{self, Entry};

/// Table that holds the records.
const TABLE: &str = "gateways";
/// Interval at which a gateway renews its record and reads a page of the list of gateways.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(8);
/// Age of a record, by the store's clock, above which it is ignored. A record dated further than
/// this into the future is ignored too: no gateway wrote it, and it might never expire.
const EXPIRY_MILLIS: u64 = 30_000;
/// Time-out of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time-out of the removal of a record, short since it is part of a graceful shutdown. The store
/// answers within some 5 ms.
const REMOVAL_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay before a failed renewal is retried.
const RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// A gateway's record.
#[derive(Debug, Serialize, Deserialize)]
struct MemberRecord {
    member: Member,
    /// Time of the renewal on the store's clock, in milliseconds.
    renewed_millis: u64,
}

/// Renews the record of `member` until `input` is closed, and sends the list of gateways to
/// `input` page by page.
pub async fn maintain_record<S: RecordStore>(
    store: Arc<S>,
    member: Member,
    input: mpsc::UnboundedSender<GatewayInput>,
) {
    let mut from = record_key(&member.name);
    while !input.is_closed() {
        let delay = match renew(store.as_ref(), &member, &from).await {
            Ok(pages) => {
                from = pages.last().map_or("", Page::next).to_owned();
                for page in pages {
                    let _ = input.send(GatewayInput::Event(GatewayEvent::ListPage(page)));
                }
                RENEWAL_INTERVAL
            }
            Err(error) => {
                // Whatever made the page unreadable must not keep the record from being renewed.
                from = record_key(&member.name);
                log::warn!(event = "membership_failed", error:% = error; "the gateway record was not renewed");
                RETRY_DELAY
            }
        };
        tokio::time::sleep(delay).await;
    }
}

/// Removes the record of `member` at the end of a graceful shutdown. A record that cannot be
/// removed in time expires.
pub async fn remove_record<S: RecordStore>(store: &S, member: &Member) {
    let key = record_key(&member.name);
    let removal = store.remove(TABLE, &key);
    if !matches!(
        tokio::time::timeout(REMOVAL_TIMEOUT, removal).await,
        Ok(Ok(()))
    ) {
        log::warn!(event = "withdrawal_failed"; "the gateway record was not removed; it will expire");
    }
}

/// Reads a page of the list of gateways, starting at the key of a process called `name`, so that
/// readers are spread over the list.
///
/// # Errors
/// [`StoreError`] if the store does not answer in time, or its answer is malformed.
pub async fn read_members<S: RecordStore>(
    store: &S,
    name: &str,
) -> Result<Vec<Member>, StoreError> {
    let (pages, _) = read_wrapping(store, &record_key(name)).await?;
    Ok(pages.into_iter().flat_map(|page| page.members).collect())
}

async fn renew<S: RecordStore>(
    store: &S,
    member: &Member,
    from: &str,
) -> Result<Vec<Page>, StoreError> {
    let (pages, now_millis) = read_wrapping(store, from).await?;
    let record = MemberRecord {
        member: member.clone(),
        renewed_millis: now_millis,
    };
    let value = serde_json::to_vec(&record).map_err(|_| StoreError::Malformed)?;
    let key = record_key(&member.name);
    let writing = store.put(TABLE, &key, &value);
    tokio::time::timeout(CALL_TIMEOUT, writing)
        .await
        .unwrap_or(Err(StoreError::Unavailable))?;
    Ok(pages)
}

/// Reads a page from the key `from` on. If the list ends within it, wraps around to the start of
/// the list. Also returns the store's clock, in milliseconds.
async fn read_wrapping<S: RecordStore>(
    store: &S,
    from: &str,
) -> Result<(Vec<Page>, u64), StoreError> {
    let (page, now_millis) = read_page(store, from).await?;
    let mut pages = vec![page];
    if pages[0].until.is_none() && !from.is_empty() {
        let mut first = read_page(store, "").await?.0;
        first.truncate_at(from);
        pages.push(first);
    }
    Ok((pages, now_millis))
}

async fn read_page<S: RecordStore>(store: &S, from: &str) -> Result<(Page, u64), StoreError> {
    let reading = store.list(TABLE, from, PAGE_RECORDS);
    let listing = tokio::time::timeout(CALL_TIMEOUT, reading)
        .await
        .unwrap_or(Err(StoreError::Unavailable))?;
    let now = listing.now_millis;
    let members = listing.records.iter().filter_map(parse_record);
    let members = members
        .filter(|record| now.abs_diff(record.renewed_millis) <= EXPIRY_MILLIS)
        .map(|record| record.member)
        .collect();
    let page = Page {
        from: from.to_owned(),
        until: listing.last_key.filter(|_| listing.has_more),
        members,
    };
    Ok((page, now))
}

/// Parses a record; logs, counts and skips one that is malformed.
fn parse_record(record: &Record) -> Option<MemberRecord> {
    let parsed = serde_json::from_slice(&record.value);
    let parsed = parsed.inspect_err(|error| set_aside::record(Entry::Member, &record.key, error));
    parsed.ok()
}
