//! The room of a worker shrinks while the store is down. Its agent is killed shortly before the store is
//! back, and is started again soon after.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::cell::Cell;
use crate::link::Cut;
use crate::load::{self, Callers, SHRUNK};
use crate::record::Record;

const STORE_DOWN: Duration = Duration::from_millis(7_000);
/// How long the agent is away; the store is back in the middle of it.
const AWAY: Duration = Duration::from_millis(1_000);

pub fn play(directory: &Path, record: &Record, has_trouble: bool) -> bool {
    let mut cell = Cell::start(3, 4, directory, record, &Cut::default());
    std::thread::sleep(Duration::from_secs(3));
    let callers = Callers::start(&cell);
    std::thread::sleep(Duration::from_secs(3));
    let began = Instant::now();
    let wait_until = |at: Duration| std::thread::sleep(at.saturating_sub(began.elapsed()));
    // `TROUBLE` may name one of the two disruptions.
    let one = std::env::var("TROUBLE").unwrap_or_default();
    let (is_down, is_killed) = (has_trouble && one != "kill", has_trouble && one != "store");
    if is_down {
        cell.store.set_down(true);
    }
    wait_until(Duration::from_millis(100));
    cell.workers[0].set_capacity(SHRUNK);
    wait_until(STORE_DOWN - AWAY / 2);
    if is_killed {
        cell.agents[0].kill();
    }
    wait_until(STORE_DOWN);
    cell.store.set_down(false);
    wait_until(STORE_DOWN + AWAY / 2);
    if is_killed {
        cell.agents[0].start();
    }
    wait_until(Duration::from_secs(12));
    drop(callers);
    drop(cell);
    // The time after which the room counts runs from the first acknowledged heartbeat that tells it.
    let text = record.read();
    let told = format!("worker-0 beat capacity={SHRUNK} ");
    let mut told = text
        .lines()
        .filter(|line| line.contains(&told) && line.ends_with(": 200"));
    let Some(told) = told.next() else {
        eprintln!("no heartbeat was acknowledged");
        std::process::exit(2);
    };
    load::keeps_room(record, load::time_of(told))
}
