//! Gateways make themselves known through records of the store, so that a
//! process whose seeds are all stale still finds the others.

use std::sync::Arc;
use std::time::Duration;

use laurelstile_core::leased::gateway::GatewayEvent;
use laurelstile_core::leased::membership::page::{PAGE_RECORDS, Page, record_key};
use laurelstile_core::leased::messages::Member;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use super::input::GatewayInput;
use super::ports::{Record, RecordStore, StoreError};

/// Table of the records.
const TABLE: &str = "gateways";
/// How often a gateway renews its record and reads some of the others'.
const RENEWAL: Duration = Duration::from_secs(8);
/// Age of a record, by the store's clock, after which its gateway is gone. One that is as far
/// ahead was not written by a gateway, and would never expire.
const EXPIRY_MILLIS: u64 = 30_000;
/// Longest that a call to the store may take.
const CALL_LIMIT: Duration = Duration::from_millis(1_500);
/// Longest that the removal of a record may take; the store answers within some 5 ms.
const WITHDRAWAL_LIMIT: Duration = Duration::from_millis(200);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// A gateway's record.
#[derive(Debug, Serialize, Deserialize)]
struct MemberRecord {
    member: Member,
    /// The store's clock as its gateway last knew it.
    renewed_millis: u64,
}

/// Keeps the record of `member`, and tells `input` of the others, page by page.
pub async fn keep<S: RecordStore>(
    store: Arc<S>,
    member: Member,
    input: mpsc::UnboundedSender<GatewayInput>,
) {
    let mut from = record_key(&member.name);
    while !input.is_closed() {
        let pause = match renew(store.as_ref(), &member, &from).await {
            Ok(pages) => {
                from = pages.last().map_or("", Page::next).to_owned();
                for page in pages {
                    let _ = input.send(GatewayInput::Event(GatewayEvent::ListPage(page)));
                }
                RENEWAL
            }
            Err(error) => {
                log::warn!(event = "membership_failed", error:% = error; "the list of gateways was not renewed");
                RETRY_PAUSE
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// Removes the record of `member` before a planned end. The last moments of a planned stop
/// belong to callers, and a record that stays expires: the store gets little time.
pub async fn withdraw<S: RecordStore>(store: &S, member: &Member) {
    let key = record_key(&member.name);
    let removal = store.remove(TABLE, &key);
    if !matches!(
        tokio::time::timeout(WITHDRAWAL_LIMIT, removal).await,
        Ok(Ok(()))
    ) {
        log::warn!(event = "withdrawal_failed"; "the record of this gateway will expire");
    }
}

/// Some of the gateways that the store lists, from the place of a process of that name on.
///
/// # Errors
/// [`StoreError`] if it cannot be read.
pub async fn read<S: RecordStore>(store: &S, name: &str) -> Result<Vec<Member>, StoreError> {
    let (pages, _) = read_round(store, &record_key(name)).await?;
    Ok(pages.into_iter().flat_map(|page| page.members).collect())
}

async fn renew<S: RecordStore>(
    store: &S,
    member: &Member,
    from: &str,
) -> Result<Vec<Page>, StoreError> {
    let (pages, now_millis) = read_round(store, from).await?;
    let record = MemberRecord {
        member: member.clone(),
        renewed_millis: now_millis,
    };
    let value = serde_json::to_vec(&record).map_err(|_| StoreError::Garbled)?;
    let key = record_key(&member.name);
    let writing = store.put(TABLE, &key, &value);
    tokio::time::timeout(CALL_LIMIT, writing)
        .await
        .unwrap_or(Err(StoreError::Unavailable))?;
    Ok(pages)
}

/// Reads a page, and on from the beginning of the list if it ends within the page.
async fn read_round<S: RecordStore>(store: &S, from: &str) -> Result<(Vec<Page>, u64), StoreError> {
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
    let listing = tokio::time::timeout(CALL_LIMIT, reading)
        .await
        .unwrap_or(Err(StoreError::Unavailable))?;
    let now = listing.now_millis;
    let records = listing.records.iter();
    let last = records.clone().next_back().map(|record| record.key.clone());
    let members = records
        .filter_map(readable)
        .filter(|record| now.abs_diff(record.renewed_millis) <= EXPIRY_MILLIS)
        .map(|record| record.member)
        .collect();
    let page = Page {
        from: from.to_owned(),
        until: last.filter(|_| listing.has_more),
        members,
    };
    Ok((page, now))
}

/// The gateway of a record; a record that cannot be read is left out.
fn readable(record: &Record) -> Option<MemberRecord> {
    let member = serde_json::from_slice(&record.value);
    let member = member.inspect_err(|error| {
        log::warn!(event = "member_set_aside", key = record.key.as_str(), error:% = error; "it cannot be read");
    });
    member.ok()
}
