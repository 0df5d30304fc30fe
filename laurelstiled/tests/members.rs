//! Reading the list of gateways from the record store, which may contain records that no gateway
//! wrote.

use laurelstile_core::leased::messages::Member;
use laurelstiled::leased::membership;
use laurelstiled::leased::ports::{Listing, Record, RecordStore, ReplaceOutcome, StoreError};

const NOW_MILLIS: u64 = 500_000;

/// A store with these values as its records; everything but `list` fails.
struct ListStore(Vec<Vec<u8>>);

impl RecordStore for ListStore {
    async fn list(&self, _: &str, from: &str, limit: usize) -> Result<Listing, StoreError> {
        let records = self.0.iter().zip(0..).map(|(value, index)| Record {
            key: format!("{index:08x}"),
            value: value.clone(),
            version: index,
        });
        let records = records.filter(|record| *record.key >= *from).take(limit);
        let records: Vec<Record> = records.collect();
        Ok(Listing {
            last_key: records.last().map(|record| record.key.clone()),
            records,
            has_more: false,
            version: 9,
            now_millis: NOW_MILLIS,
        })
    }

    async fn get(&self, _: &str, _: &str) -> Result<Option<Record>, StoreError> {
        Err(StoreError::Unavailable)
    }

    async fn put(&self, _: &str, _: &str, _: &[u8]) -> Result<(), StoreError> {
        Err(StoreError::Unavailable)
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

fn record(name: &str, renewed_millis: u64) -> Vec<u8> {
    let member = Member {
        name: name.into(),
        address: ([127, 0, 0, 1], 7720).into(),
        zone: "here".into(),
    };
    serde_json::json!({"member": member, "renewed_millis": renewed_millis})
        .to_string()
        .into_bytes()
}

#[tokio::test]
async fn invalid_and_expired_records_are_skipped() {
    let store = ListStore(vec![
        record("present", NOW_MILLIS - 8_000),
        record("expired", NOW_MILLIS - 31_000),
        record("never-expires", u64::MAX),
        b"\xff\x00".to_vec(),
        br#"{"member":{"name":3},"renewed_millis":1}"#.to_vec(),
        record("present-too", NOW_MILLIS),
    ]);
    let members = membership::read_members(&store, "agent")
        .await
        .expect("a list");
    let names: Vec<&str> = members.iter().map(|member| member.name.as_str()).collect();
    assert_eq!(names, ["present", "present-too"]);
}
