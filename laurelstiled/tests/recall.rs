//! What a new agent recalls of its worker from the record store.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use laurelstile_core::leased::agent::AgentEvent;
use laurelstile_core::leased::agent::worker::{
    FenceToken, IncarnationRecord, Registration, WorkerClock,
};
use laurelstile_core::leased::resources::Resources;
use laurelstile_core::leased::worker_incarnation::{StartTime, WorkerIncarnation};
use laurelstiled::leased::input::AgentInput;
use laurelstiled::leased::ports::{Listing, Record, RecordStore, Replaced, StoreError};
use laurelstiled::leased::recall::{RecordKeeper, keep, recall};
use tokio::sync::mpsc;

/// What becomes of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It is not done.
    Refused,
    /// It gets no answer, and is done when the test says so.
    Late,
}

/// A write: table, key, value, and the version that must stand there.
type Write = (String, String, Vec<u8>, u64);

/// Rows by table and key, each with its version.
type Rows = BTreeMap<(String, String), (u64, Vec<u8>)>;

/// A store in memory.
#[derive(Default)]
struct MemoryStore {
    rows: Mutex<Rows>,
    fates: Mutex<VecDeque<Fate>>,
    late: Mutex<Vec<Write>>,
}

impl MemoryStore {
    fn write(&self, (table, key, value, expected): Write) -> Replaced {
        let mut rows = self.rows.lock().expect("a lock");
        let versions = rows.values().map(|(version, _)| *version);
        let next = versions.max().unwrap_or(0) + 1;
        let row = rows.entry((table, key)).or_default();
        if row.0 != expected {
            return Replaced::Changed;
        }
        *row = (next, value);
        Replaced::Done
    }

    fn do_late_writes(&self) {
        for write in std::mem::take(&mut *self.late.lock().expect("a lock")) {
            self.write(write);
        }
    }

    /// Another writer leaves something in the place of the record.
    fn overwrite(&self, value: &[u8]) {
        let key = ("workers".to_owned(), "agent-1".to_owned());
        let mut rows = self.rows.lock().expect("a lock");
        rows.insert(key, (1, value.to_vec()));
    }

    fn fails(&self, fates: &[Fate]) {
        self.fates.lock().expect("a lock").extend(fates);
    }
}

impl RecordStore for MemoryStore {
    async fn list(&self, _: &str, _: &str, _: usize) -> Result<Listing, StoreError> {
        Err(StoreError::Unavailable)
    }

    async fn get(&self, table: &str, key: &str) -> Result<Option<Record>, StoreError> {
        let rows = self.rows.lock().expect("a lock");
        let row = rows.get(&(table.to_owned(), key.to_owned())).cloned();
        Ok(row.map(|(version, value)| Record {
            key: key.to_owned(),
            value,
            version,
        }))
    }

    async fn put(&self, _table: &str, _key: &str, _value: &[u8]) -> Result<(), StoreError> {
        Err(StoreError::Unavailable)
    }

    async fn replace(
        &self,
        table: &str,
        key: &str,
        value: &[u8],
        expected: u64,
    ) -> Result<Replaced, StoreError> {
        let write = (table.to_owned(), key.to_owned(), value.to_vec(), expected);
        let fate = self.fates.lock().expect("a lock").pop_front();
        match fate {
            None => Ok(self.write(write)),
            Some(Fate::Refused) => Err(StoreError::Unavailable),
            Some(Fate::Late) => {
                self.late.lock().expect("a lock").push(write);
                Err(StoreError::Unavailable)
            }
        }
    }

    async fn remove(&self, _table: &str, _key: &str) -> Result<(), StoreError> {
        Err(StoreError::Unavailable)
    }
}

/// A life of the worker, which keeps its id.
fn life(started_at: u64) -> WorkerIncarnation {
    WorkerIncarnation {
        id: "worker-1".into(),
        started_at: Some(StartTime(started_at)),
    }
}

fn known(started_at: u64, cpu_millis: u32, draining: bool, is_vital: bool) -> IncarnationRecord {
    let registration = Registration {
        incarnation: life(started_at),
        service: "parcels".into(),
        capacity: Resources {
            cpu_millis,
            ..Resources::default()
        },
        labels: Vec::new(),
        clock: WorkerClock(5),
        draining,
        sequence: 1,
    };
    IncarnationRecord {
        registration,
        is_vital,
    }
}

fn keeper(store: &Arc<MemoryStore>, writer: u64) -> RecordKeeper {
    keep(Arc::clone(store), "agent-1".into(), FenceToken(writer))
}

/// Long enough for all that a keeper repeats.
async fn settled() {
    tokio::time::sleep(Duration::from_secs(60)).await;
}

async fn recalled(store: &Arc<MemoryStore>) -> Option<Registration> {
    let (input, mut inputs) = mpsc::unbounded_channel();
    recall(Arc::clone(store), "agent-1".into(), input).await;
    match inputs.recv().await {
        Some(AgentInput::Event(AgentEvent::RecordLoaded(registration))) => Some(registration),
        _ => None,
    }
}

/// Found by the soak (seed 106): a worker that drained was given work by the next
/// agent, which recalled it as it had been registered first.
#[tokio::test(start_paused = true)]
async fn a_worker_that_drains_is_recalled_as_draining() {
    let store = Arc::new(MemoryStore::default());
    let keeper = keeper(&store, 1);
    keeper.remember(known(1, 4_000, false, false));
    settled().await;
    store.fails(&[Fate::Refused; 3]);
    keeper.remember(known(1, 4_000, true, true));
    settled().await;
    let worker = recalled(&store).await.expect("the worker is recalled");
    assert_eq!(worker.incarnation, life(1));
    assert!(worker.draining);
}

/// It may start again under its id: that it drained before is not true of the next life.
#[tokio::test(start_paused = true)]
async fn the_next_life_of_a_worker_that_drained_is_recalled_as_it_is() {
    let store = Arc::new(MemoryStore::default());
    let keeper = keeper(&store, 1);
    keeper.remember(known(1, 4_000, true, true));
    settled().await;
    keeper.remember(known(2, 4_000, false, false));
    settled().await;
    let worker = recalled(&store).await.expect("the worker is recalled");
    assert_eq!(worker.incarnation, life(2));
    assert!(!worker.draining);
}

/// What a life said first may have shrunk since.
#[tokio::test(start_paused = true)]
async fn a_worker_is_recalled_with_the_least_room_that_its_life_has_had() {
    let store = Arc::new(MemoryStore::default());
    let keeper = keeper(&store, 1);
    keeper.remember(known(1, 4_000, false, false));
    settled().await;
    store.fails(&[Fate::Refused; 3]);
    keeper.remember(known(1, 2_000, false, true));
    settled().await;
    let worker = recalled(&store).await.expect("the worker is recalled");
    assert_eq!(worker.capacity.cpu_millis, 2_000);
}

/// A write without an answer may be done seconds later: it put an earlier life's state in the
/// place of the present one's, and the next agent gave work to a worker that leaves.
#[tokio::test(start_paused = true)]
async fn a_write_of_before_that_is_done_late_hides_nothing() {
    let store = Arc::new(MemoryStore::default());
    let keeper = keeper(&store, 1);
    store.fails(&[Fate::Late]);
    keeper.remember(known(1, 4_000, true, true));
    settled().await;
    keeper.remember(known(2, 4_000, true, true));
    settled().await;
    store.do_late_writes();
    let worker = recalled(&store).await.expect("the worker is recalled");
    assert_eq!(worker.incarnation, life(2));
    assert!(worker.draining);
}

/// Writes are repeated for long: what has come since takes their place.
#[tokio::test(start_paused = true)]
async fn what_is_repeated_is_the_latest() {
    let store = Arc::new(MemoryStore::default());
    let keeper = keeper(&store, 1);
    store.fails(&[Fate::Refused; 5]);
    keeper.remember(known(1, 4_000, true, true));
    tokio::time::sleep(Duration::from_millis(100)).await;
    keeper.remember(known(2, 4_000, true, true));
    settled().await;
    let worker = recalled(&store).await.expect("the worker is recalled");
    assert_eq!(worker.incarnation, life(2));
}

/// Two agents of a worker overlap for a moment while the first one stops.
#[tokio::test(start_paused = true)]
async fn an_earlier_agent_does_not_replace_what_a_later_one_has_written() {
    let store = Arc::new(MemoryStore::default());
    let (earlier, later) = (keeper(&store, 1), keeper(&store, 2));
    later.remember(known(2, 4_000, true, true));
    settled().await;
    earlier.remember(known(1, 4_000, true, true));
    settled().await;
    let worker = recalled(&store).await.expect("the worker is recalled");
    assert_eq!(worker.incarnation, life(2));
}

#[tokio::test]
async fn nothing_is_recalled_of_an_unknown_worker() {
    let store = Arc::new(MemoryStore::default());
    assert!(recalled(&store).await.is_none());
}

/// Another writer may have left something else there.
#[tokio::test]
async fn nothing_is_recalled_of_a_record_that_cannot_be_read() {
    let store = Arc::new(MemoryStore::default());
    for value in [
        &b"\xff\x00"[..],
        b"{}",
        br#"{"registration":{"life":7},"writer":1}"#,
    ] {
        store.overwrite(value);
        assert!(recalled(&store).await.is_none());
    }
}
