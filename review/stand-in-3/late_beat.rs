//! A worker is cut off from all machines. A heartbeat that it has sent on an open connection is held up; then
//! its room shrinks. When the cut ends, the heartbeat arrives, and tells the room of before.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::cell::Cell;
use crate::link::Cut;
use crate::load::{self, Callers, SHRUNK};
use crate::record::Record;

/// Ends between two heartbeats: 0.1 s after the worker has given the last one up.
const CUT: Duration = Duration::from_millis(8_500);

pub fn play(directory: &Path, record: &Record, has_trouble: bool) -> bool {
    let cut = Cut::default();
    let cell = Cell::start(3, 4, directory, record, &cut);
    std::thread::sleep(Duration::from_secs(3));
    let callers = Callers::start(&cell);
    std::thread::sleep(Duration::from_secs(3));
    // The cut begins after a heartbeat, so that the next one is the first that it holds up.
    let beats = || record.count("worker-0 beats ");
    let before = beats();
    while beats() == before {
        std::thread::sleep(Duration::from_millis(20));
    }
    std::thread::sleep(Duration::from_millis(100));
    let began = Instant::now();
    let wait_until = |at: Duration| std::thread::sleep(at.saturating_sub(began.elapsed()));
    if has_trouble {
        cut.set(true, record);
    }
    wait_until(Duration::from_millis(1_800));
    cell.workers[0].set_capacity(SHRUNK);
    let shrunk_at = record.now();
    wait_until(CUT);
    cut.set(false, record);
    wait_until(CUT + Duration::from_secs(4));
    drop(callers);
    drop(cell);
    load::keeps_room(record, shrunk_at)
}
