//! The log of configuration revisions in the platform's table.
//!
//! One transaction writes the next revision, the row of the change that made
//! it, and the head, on condition that the head has not moved. After a lost
//! reply the change's row tells whether the write took effect, so that the
//! outcome is never guessed.

use std::time::Duration;

use laurelstile_types::id::ChangeId;
use laurelstile_types::platform::{Row, Transaction};
use laurelstile_types::revision::{Change, Revision, RevisionNumber};
use thiserror::Error;

use crate::client::Platform;
use crate::http::HttpError;

/// Revisions kept in the table besides the head.
const KEPT_REVISIONS: u64 = 50;
/// How often an append is tried before the table counts as unavailable.
const APPEND_TRIES: u32 = 8;
/// Pause between tries.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

const HEAD_KEY: &str = "configuration/head";

/// Why a change was not accepted.
#[derive(Debug, Error)]
pub enum AppendError {
    /// The table cannot be reached; the change may or may not be accepted.
    /// Ask again with the same identifier.
    #[error("the table cannot be reached; ask again with the same change id")]
    Unavailable(#[source] HttpError),
    /// Other operators moved the head at every try.
    #[error("other changes were accepted at every try")]
    Contended,
    /// The head is not the revision that the operator expected.
    #[error("the head is revision {head}, not {expected}")]
    HeadMoved {
        /// Revision of the head.
        head: RevisionNumber,
        /// Revision that was expected.
        expected: RevisionNumber,
    },
    /// The change names a back end or service that is not configured.
    #[error("the change names something that is not configured")]
    UnknownTarget,
}

/// Reads the number of the newest revision; 0 if there is none.
///
/// # Errors
/// [`HttpError`] if the table cannot be read.
pub async fn read_head<P: Platform>(platform: &P) -> Result<RevisionNumber, HttpError> {
    let rows = platform.read(vec![HEAD_KEY.to_owned()]).await?;
    Ok(number_in(rows.first()).unwrap_or(0))
}

/// Reads a revision; `None` if it is not there (any more).
///
/// # Errors
/// [`HttpError`] if the table cannot be read.
pub async fn read_revision<P: Platform>(
    platform: &P,
    number: RevisionNumber,
) -> Result<Option<Revision>, HttpError> {
    let mut rows = platform.read(vec![revision_key(number)]).await?;
    let Some(value) = rows.pop().and_then(|row| row.value) else {
        return Ok(None);
    };
    Ok(Some(serde_json::from_value(value)?))
}

/// Appends a change and gives its revision, the same one however often the
/// same change is appended. Whoever appends can put the revision in force at
/// once, even if the table goes down now.
///
/// # Errors
/// [`AppendError`].
pub async fn append<P: Platform>(
    platform: &P,
    id: &ChangeId,
    change: &Change,
    expected_head: Option<RevisionNumber>,
) -> Result<Accepted, AppendError> {
    let mut last_error = None;
    for _ in 0..APPEND_TRIES {
        match try_append(platform, id, change, expected_head).await {
            Ok(Some(accepted)) => return Ok(accepted),
            Ok(None) => last_error = None,
            Err(TryError::Refused(error)) => return Err(error),
            Err(TryError::Table(error)) => {
                last_error = Some(error);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
    Err(last_error.map_or(AppendError::Contended, AppendError::Unavailable))
}

/// An accepted change.
#[derive(Debug)]
pub struct Accepted {
    /// Number of its revision.
    pub number: RevisionNumber,
    /// The revision, unless it is too old to be in the table still.
    pub revision: Option<Revision>,
}

enum TryError {
    Refused(AppendError),
    Table(HttpError),
}

impl From<HttpError> for TryError {
    fn from(error: HttpError) -> Self {
        Self::Table(error)
    }
}

/// One try; `None` if the head moved meanwhile.
async fn try_append<P: Platform>(
    platform: &P,
    id: &ChangeId,
    change: &Change,
    expected_head: Option<RevisionNumber>,
) -> Result<Option<Accepted>, TryError> {
    let keys = vec![change_key(id), HEAD_KEY.to_owned()];
    let rows = platform.read(keys).await?;
    if let Some(number) = number_in(rows.first()) {
        let revision = read_revision(platform, number).await?;
        return Ok(Some(Accepted { number, revision }));
    }
    let head = number_in(rows.get(1)).unwrap_or(0);
    if let Some(expected) = expected_head.filter(|expected| *expected != head) {
        let moved = AppendError::HeadMoved { head, expected };
        return Err(TryError::Refused(moved));
    }
    let previous = read_revision(platform, head).await?;
    if previous.is_none() && head > 0 {
        return Ok(None);
    }
    let next = Revision::following(previous.as_ref(), id.clone(), change.clone())
        .ok_or(TryError::Refused(AppendError::UnknownTarget))?;
    let transaction = transaction_of(platform, head, &next).await?;
    let reply = platform.transact(&transaction).await?;
    Ok(reply.committed.then_some(Accepted {
        number: next.number,
        revision: Some(next),
    }))
}

async fn transaction_of<P: Platform>(
    platform: &P,
    head: RevisionNumber,
    next: &Revision,
) -> Result<Transaction, HttpError> {
    let change = change_key(&next.change);
    let mut writes = vec![
        row(HEAD_KEY.to_owned(), Some(next.number.into())),
        row(change.clone(), Some(next.number.into())),
        row(revision_key(next.number), Some(serde_json::to_value(next)?)),
    ];
    if let Some(old_number) = next.number.checked_sub(KEPT_REVISIONS)
        && let Some(old) = read_revision(platform, old_number).await?
    {
        writes.push(row(revision_key(old_number), None));
        writes.push(row(change_key(&old.change), None));
    }
    let head_value = (head > 0).then(|| head.into());
    Ok(Transaction {
        conditions: vec![row(HEAD_KEY.to_owned(), head_value), row(change, None)],
        writes,
    })
}

fn row(key: String, value: Option<serde_json::Value>) -> Row {
    Row { key, value }
}

fn number_in(row: Option<&Row>) -> Option<u64> {
    row?.value.as_ref()?.as_u64()
}

fn revision_key(number: RevisionNumber) -> String {
    format!("configuration/revision/{number}")
}

fn change_key(id: &ChangeId) -> String {
    format!("configuration/change/{id}")
}
