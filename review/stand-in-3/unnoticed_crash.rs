//! An idle worker crashes, and starts again as one of another kind under the id that it had. Jobs for its
//! old kind arrive before its first heartbeat.

use std::path::Path;
use std::time::Duration;

use crate::cell::Cell;
use crate::link::Cut;
use crate::load;
use crate::record::Record;
use crate::worker::Work;

const KINDS: [&str; 2] = ["a", "b"];
const ROUNDS: usize = 4;
const CAPACITY: u64 = 16_000;
const AWAY: Duration = Duration::from_millis(2_500);
/// Time from the moment at which the worker listens to its first heartbeat.
const REGISTERING: Duration = Duration::from_millis(100);
const JOBS: usize = 5;
const TASKS: u64 = 2;

pub fn play(directory: &Path, record: &Record, has_trouble: bool) -> bool {
    let cell = Cell::start(3, 1, directory, record, &Cut::default());
    let worker = &cell.workers[0];
    std::thread::sleep(Duration::from_secs(3));
    for round in 0..ROUNDS {
        let kind = KINDS[round % KINDS.len()];
        submit_jobs(&cell, round, 0, kind);
        // The agent forgets nothing of what it has, and has nothing to do.
        std::thread::sleep(Duration::from_secs(2));
        let beats = || record.count("worker-0 beats ");
        let before = beats();
        while beats() == before {
            std::thread::sleep(Duration::from_millis(20));
        }
        std::thread::sleep(Duration::from_millis(50));
        let next = if has_trouble {
            KINDS[(round + 1) % KINDS.len()]
        } else {
            kind
        };
        if has_trouble {
            worker.crash();
            std::thread::sleep(AWAY);
            worker.boot(next, CAPACITY);
        }
        std::thread::scope(|scope| {
            scope.spawn(|| submit_jobs(&cell, round, 1, kind));
            std::thread::sleep(REGISTERING);
            if has_trouble {
                worker.beat();
            }
        });
        if !has_trouble && round == 0 {
            // Without the disruption the worker stays of its first kind.
            break;
        }
    }
    std::thread::sleep(Duration::from_secs(1));
    drop(cell);
    judge(record)
}

fn submit_jobs(cell: &Cell, round: usize, half: usize, kind: &str) {
    let work = Work {
        cpu: 1_600,
        millis: 200,
        label: kind.to_owned(),
    };
    std::thread::scope(|scope| {
        for of in 0..JOBS {
            let number = (round * 2 + half) * JOBS + of;
            let id = format!("{:016x}", 0x5c0e_7a21_d94b_0000 + number);
            let (front, work) = (cell.fronts[of % cell.fronts.len()], work.clone());
            let (jobs, record) = (&cell.jobs, &cell.record);
            scope.spawn(move || load::submit(&id, &work, TASKS, front, jobs, record));
        }
    });
}

/// Looks for tasks that have started on a worker without the label that they require.
fn judge(record: &Record) -> bool {
    let text = record.read();
    let mut starts = text
        .lines()
        .filter(|line| line.contains("worker-0 starts "));
    let word = |line: &str, name: &str| {
        let word = line
            .split_whitespace()
            .find_map(|word| word.strip_prefix(name));
        word.unwrap_or_default().to_owned()
    };
    let all = starts.clone().count();
    let wrong = starts
        .by_ref()
        .filter(|line| word(line, "kind=") != word(line, "needs="));
    let wrong = wrong.count();
    record.add(&format!(
        "verdict: {wrong} of {all} tasks started on a worker without the label that they require"
    ));
    if all < JOBS * TASKS as usize {
        eprintln!("the cell has hardly worked");
        std::process::exit(2);
    }
    wrong == 0
}
