//! The list of gateways in the record store, where other writers leave entries too.

use laurelstile_core::leased::messages::Member;
use laurelstiled::leased::membership;
use laurelstiled::leased::ports::{Listing, Record, RecordStore, Replaced, StoreError};

const NOW: u64 = 500_000;

/// A store that lists these values.
struct Listed(Vec<Vec<u8>>);

impl RecordStore for Listed {
    async fn list(&self, _: &str, from: &str, limit: usize) -> Result<Listing, StoreError> {
        let records = self.0.iter().zip(0..).map(|(value, index)| Record {
            key: format!("{index:08x}"),
            value: value.clone(),
            version: index,
        });
        let records = records.filter(|record| *record.key >= *from).take(limit);
        Ok(Listing {
            records: records.collect(),
            has_more: false,
            version: 9,
            now_millis: NOW,
        })
    }

    async fn get(&self, _: &str, _: &str) -> Result<Option<Record>, StoreError> {
        Err(StoreError::Unavailable)
    }

    async fn put(&self, _: &str, _: &str, _: &[u8]) -> Result<(), StoreError> {
        Err(StoreError::Unavailable)
    }

    async fn replace(&self, _: &str, _: &str, _: &[u8], _: u64) -> Result<Replaced, StoreError> {
        Err(StoreError::Unavailable)
    }

    async fn remove(&self, _: &str, _: &str) -> Result<(), StoreError> {
        Err(StoreError::Unavailable)
    }
}

fn entry(name: &str, renewed_millis: u64) -> Vec<u8> {
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
async fn entries_that_name_no_gateway_are_left_out_and_the_others_hold() {
    let store = Listed(vec![
        entry("present", NOW - 8_000),
        entry("expired", NOW - 31_000),
        entry("never-expires", u64::MAX),
        b"\xff\x00".to_vec(),
        br#"{"member":{"name":3},"renewed_millis":1}"#.to_vec(),
        entry("present-too", NOW),
    ]);
    let members = membership::read(&store, "agent").await.expect("a list");
    let names: Vec<&str> = members.iter().map(|member| member.name.as_str()).collect();
    assert_eq!(names, ["present", "present-too"]);
}
