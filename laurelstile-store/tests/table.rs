//! The configuration log and the claims over a table that loses replies.

use std::collections::BTreeMap;
use std::sync::Mutex;

use laurelstile_store::claims::{Claim, ClaimFate, claim_all, release_all};
use laurelstile_store::client::Platform;
use laurelstile_store::configuration_log::{AppendError, append, read_head, read_revision};
use laurelstile_store::http::HttpError;
use laurelstile_types::configuration::Configuration;
use laurelstile_types::id::{Incarnation, SubmissionId};
use laurelstile_types::platform::{MachineList, Row, Transaction, TransactionReply};
use laurelstile_types::revision::Change;

/// A table in memory that loses the replies of some writes.
#[derive(Default)]
struct Table {
    rows: Mutex<BTreeMap<String, serde_json::Value>>,
    /// Replies to lose from now on.
    lose: Mutex<u32>,
    writes: Mutex<u32>,
}

impl Platform for Table {
    async fn transact(&self, transaction: &Transaction) -> Result<TransactionReply, HttpError> {
        *self.writes.lock().unwrap() += 1;
        let mut rows = self.rows.lock().unwrap();
        let committed = transaction
            .conditions
            .iter()
            .all(|row| rows.get(&row.key) == row.value.as_ref());
        if committed {
            for row in &transaction.writes {
                match &row.value {
                    Some(value) => rows.insert(row.key.clone(), value.clone()),
                    None => rows.remove(&row.key),
                };
            }
        }
        let mut lose = self.lose.lock().unwrap();
        if *lose > 0 {
            *lose -= 1;
            return Err(HttpError::Timeout);
        }
        Ok(TransactionReply { committed })
    }

    async fn read(&self, keys: Vec<String>) -> Result<Vec<Row>, HttpError> {
        let rows = self.rows.lock().unwrap();
        Ok(keys
            .into_iter()
            .map(|key| Row {
                value: rows.get(&key).cloned(),
                key,
            })
            .collect())
    }

    async fn machines(&self) -> Result<MachineList, HttpError> {
        Ok(MachineList::default())
    }
}

fn apply() -> Change {
    Change::Apply(Configuration {
        version: 1,
        pools: Vec::new(),
        services: Vec::new(),
        tenants: Vec::new(),
    })
}

#[tokio::test]
async fn a_change_whose_reply_was_lost_is_accepted_once() {
    let table = Table::default();
    *table.lose.lock().unwrap() = 1;
    let first = append(&table, &"a".into(), &apply(), None).await.unwrap();
    let again = append(&table, &"a".into(), &apply(), None).await.unwrap();
    assert_eq!((first.number, again.number), (1, 1));
    assert_eq!(read_head(&table).await.unwrap(), 1);
    assert_eq!(*table.writes.lock().unwrap(), 1);
}

#[tokio::test]
async fn racing_changes_get_numbers_of_their_own() {
    let table = Table::default();
    let (a, b, c) = (apply(), apply(), apply());
    let ids = ["a", "b", "c"].map(Into::into);
    let (one, two, three) = tokio::join!(
        append(&table, &ids[0], &a, None),
        append(&table, &ids[1], &b, None),
        append(&table, &ids[2], &c, None),
    );
    let mut numbers = [one, two, three].map(|accepted| accepted.unwrap().number);
    numbers.sort_unstable();
    assert_eq!(numbers, [1, 2, 3]);
}

#[tokio::test]
async fn an_expected_head_that_moved_is_refused() {
    let table = Table::default();
    append(&table, &"a".into(), &apply(), Some(0))
        .await
        .unwrap();
    let refused = append(&table, &"b".into(), &apply(), Some(0)).await;
    assert!(matches!(
        refused,
        Err(AppendError::HeadMoved {
            head: 1,
            expected: 0
        })
    ));
}

#[tokio::test]
async fn old_revisions_are_removed() {
    let table = Table::default();
    for number in 0..60 {
        let id = format!("change-{number}").as_str().into();
        append(&table, &id, &apply(), None).await.unwrap();
    }
    assert!(read_revision(&table, 1).await.unwrap().is_none());
    assert!(read_revision(&table, 60).await.unwrap().is_some());
}

fn claim(key: &str, number: u64) -> Claim {
    Claim {
        service: "service".into(),
        tenant: "tenant".into(),
        key: key.into(),
        submission: SubmissionId {
            entry: Incarnation(1),
            number,
        },
    }
}

#[tokio::test]
async fn a_group_of_claims_is_one_write_even_if_its_reply_is_lost() {
    let table = Table::default();
    *table.lose.lock().unwrap() = 1;
    let fates = claim_all(&table, &[claim("a", 1), claim("b", 2), claim("a", 3)]).await;
    assert_eq!(
        fates,
        [ClaimFate::Granted, ClaimFate::Granted, ClaimFate::Taken]
    );
    assert_eq!(*table.writes.lock().unwrap(), 1);
}

#[tokio::test]
async fn only_the_holder_releases_a_claim() {
    let table = Table::default();
    claim_all(&table, &[claim("a", 1)]).await;
    release_all(&table, &[claim("a", 2)]).await.unwrap();
    assert_eq!(
        claim_all(&table, &[claim("a", 3)]).await,
        [ClaimFate::Taken]
    );
    let own = [claim("a", 1), claim("b", 9)];
    release_all(&table, &own).await.unwrap();
    assert_eq!(
        claim_all(&table, &[claim("a", 3)]).await,
        [ClaimFate::Granted]
    );
}
