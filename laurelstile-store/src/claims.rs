//! Claims of idempotency keys in the platform's table, committed in groups to
//! stay within its write budget.

use std::collections::BTreeSet;
use std::time::Duration;

use laurelstile_types::id::{IdempotencyKey, ServiceName, SubmissionId, TenantName};
use laurelstile_types::platform::{Row, Transaction};

use crate::client::Platform;
use crate::http::HttpError;

/// How long a group of claims is tried before the table counts as unavailable.
pub const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after an error of the table.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A claim to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Service.
    pub service: ServiceName,
    /// Tenant whose key it is.
    pub tenant: TenantName,
    /// The key.
    pub key: IdempotencyKey,
    /// Submission that claims it.
    pub submission: SubmissionId,
}

/// What became of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimFate {
    /// It is written for this submission.
    Granted,
    /// It is written for another.
    Taken,
    /// The table did not answer in time.
    Unavailable,
}

impl Claim {
    fn row_key(&self) -> String {
        format!("claim/{}/{}/{}", self.service, self.tenant, self.key)
    }

    fn row_value(&self) -> serde_json::Value {
        self.submission.to_string().into()
    }
}

/// Claims a group of keys, all in one transaction where none is taken. Of two
/// claims of one key in the group the first goes first.
pub async fn claim_all<P: Platform>(platform: &P, claims: &[Claim]) -> Vec<ClaimFate> {
    let mut fates = vec![None; claims.len()];
    let end = tokio::time::Instant::now() + CLAIM_TIMEOUT;
    while fates.contains(&None) && tokio::time::Instant::now() < end {
        if claim_round(platform, claims, &mut fates).await.is_err() {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
    fates
        .into_iter()
        .map(|fate| fate.unwrap_or(ClaimFate::Unavailable))
        .collect()
}

/// Reads what is there, then claims what is free. A claim whose reply was
/// lost is found by the next round's read.
async fn claim_round<P: Platform>(
    platform: &P,
    claims: &[Claim],
    fates: &mut [Option<ClaimFate>],
) -> Result<(), HttpError> {
    let open: Vec<usize> = (0..claims.len())
        .filter(|index| fates[*index].is_none())
        .collect();
    let keys = open.iter().map(|index| claims[*index].row_key()).collect();
    let rows = platform.read(keys).await?;
    let mut writes = Vec::new();
    let mut written = Vec::new();
    let mut seen = BTreeSet::new();
    for (index, row) in open.into_iter().zip(rows) {
        let claim = &claims[index];
        match row.value {
            Some(value) if value == claim.row_value() => fates[index] = Some(ClaimFate::Granted),
            Some(_) => fates[index] = Some(ClaimFate::Taken),
            None if seen.insert(claim.row_key()) => {
                writes.push(Row {
                    key: claim.row_key(),
                    value: Some(claim.row_value()),
                });
                written.push(index);
            }
            None => {}
        }
    }
    if writes.is_empty() {
        return Ok(());
    }
    let conditions = absent(&writes);
    let transaction = Transaction { conditions, writes };
    if platform.transact(&transaction).await?.committed {
        for index in written {
            fates[index] = Some(ClaimFate::Granted);
        }
    }
    Ok(())
}

/// The same rows without their values.
fn absent(rows: &[Row]) -> Vec<Row> {
    let without_value = |row: &Row| Row {
        key: row.key.clone(),
        value: None,
    };
    rows.iter().map(without_value).collect()
}

/// Gives claims back whose requests were not run, those that are still their
/// submissions', in one transaction.
///
/// # Errors
/// [`HttpError`] if the table cannot be reached; try again.
pub async fn release_all<P: Platform>(platform: &P, claims: &[Claim]) -> Result<(), HttpError> {
    let keys = claims.iter().map(Claim::row_key).collect();
    let rows = platform.read(keys).await?;
    let conditions: Vec<Row> = claims
        .iter()
        .zip(rows)
        .filter(|(claim, row)| row.value == Some(claim.row_value()))
        .map(|(_, row)| row)
        .collect();
    if conditions.is_empty() {
        return Ok(());
    }
    let writes = absent(&conditions);
    let transaction = Transaction { conditions, writes };
    // Nobody else writes a row that is ours: the conditions hold.
    platform.transact(&transaction).await?;
    Ok(())
}
