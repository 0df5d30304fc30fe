//! What a new agent recalls of its worker from the record store.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use laurelstile_core::leased::agent::AgentEvent;
use laurelstile_core::leased::agent::worker::{Registration, ShrunkRoom, WorkerClock};
use laurelstile_core::leased::room::Room;
use laurelstiled::leased::input::AgentInput;
use laurelstiled::leased::ports::{Listing, Record, RecordStore, StoreError};
use laurelstiled::leased::recall::{recall, remember, remember_draining, remember_shrunk};
use rstest::rstest;
use tokio::sync::mpsc;

/// A store in memory that fails as many writes as it is told.
#[derive(Default)]
struct MemoryStore {
    rows: Mutex<BTreeMap<(String, String), Vec<u8>>>,
    failures: Mutex<u32>,
}

impl RecordStore for MemoryStore {
    async fn list(&self, _table: &str) -> Result<Listing, StoreError> {
        Err(StoreError::Unavailable)
    }

    async fn get(&self, table: &str, key: &str) -> Result<Option<Record>, StoreError> {
        let rows = self.rows.lock().expect("a lock");
        let value = rows.get(&(table.to_owned(), key.to_owned())).cloned();
        Ok(value.map(|value| Record {
            key: key.to_owned(),
            value,
            version: 1,
        }))
    }

    async fn put(&self, table: &str, key: &str, value: &[u8]) -> Result<(), StoreError> {
        let mut failures = self.failures.lock().expect("a lock");
        if *failures > 0 {
            *failures -= 1;
            return Err(StoreError::Unavailable);
        }
        let mut rows = self.rows.lock().expect("a lock");
        rows.insert((table.to_owned(), key.to_owned()), value.to_vec());
        Ok(())
    }

    async fn remove(&self, _table: &str, _key: &str) -> Result<(), StoreError> {
        Err(StoreError::Unavailable)
    }
}

fn registration(life: &str) -> Registration {
    Registration {
        life: life.into(),
        service: "parcels".into(),
        capacity: Room::default(),
        labels: Vec::new(),
        clock: WorkerClock(5),
        draining: false,
        sequence: 1,
    }
}

async fn recalled(store: &Arc<MemoryStore>) -> Option<Registration> {
    let (input, mut inputs) = mpsc::unbounded_channel();
    recall(Arc::clone(store), "agent-1".into(), input).await;
    match inputs.recv().await {
        Some(AgentInput::Event(AgentEvent::Recalled(registration))) => Some(registration),
        _ => None,
    }
}

/// Found by the soak (seed 106): a worker that drained was given work by the next
/// agent, which recalled it as it had been registered first.
#[rstest]
#[case::this_life("life-1", true)]
#[case::an_earlier_life("life-0", false)]
#[tokio::test(start_paused = true)]
async fn a_worker_that_drains_is_recalled_as_draining(
    #[case] draining: &str,
    #[case] expected: bool,
) {
    let store = Arc::new(MemoryStore::default());
    let name = || "agent-1".to_owned();
    remember(Arc::clone(&store), name(), registration("life-1")).await;
    *store.failures.lock().expect("a lock") = 3;
    remember_draining(Arc::clone(&store), name(), draining.into()).await;
    let worker = recalled(&store).await.expect("the worker is recalled");
    assert_eq!(worker.life, "life-1");
    assert_eq!(worker.draining, expected);
}

/// What a life said first may have shrunk since.
#[rstest]
#[case::this_life("life-1", 2_000)]
#[case::an_earlier_life("life-0", 4_000)]
#[tokio::test(start_paused = true)]
async fn a_worker_is_recalled_with_the_least_room_that_its_life_has_had(
    #[case] shrunk: &str,
    #[case] expected: u32,
) {
    let store = Arc::new(MemoryStore::default());
    let name = || "agent-1".to_owned();
    let room = |cpu_millis| Room {
        cpu_millis,
        ..Room::default()
    };
    let mut known = registration("life-1");
    known.capacity = room(4_000);
    remember(Arc::clone(&store), name(), known).await;
    *store.failures.lock().expect("a lock") = 3;
    let shrunk = ShrunkRoom {
        life: shrunk.into(),
        capacity: room(2_000),
    };
    remember_shrunk(Arc::clone(&store), name(), shrunk).await;
    let worker = recalled(&store).await.expect("the worker is recalled");
    assert_eq!(worker.capacity, room(expected));
}

#[tokio::test]
async fn nothing_is_recalled_of_an_unknown_worker() {
    let store = Arc::new(MemoryStore::default());
    assert!(recalled(&store).await.is_none());
}
