//! How many jobs were served in time, second by second.

use laurelstile_history::leased::{Record, Seen, Told};

use super::world::SimJob;

/// A second, in microseconds.
pub const SECOND: u64 = 1_000_000;
/// In time is what is answered within this many percent of its run time, and some.
const OBJECTIVE_PERCENT: u64 = 160;
const OBJECTIVE_SLACK: u64 = 60_000;

/// Share of the jobs that `is_counted` names which were answered in time, in percent, by the
/// second in which they came, up to `length` seconds; 100 where none came.
pub fn served(
    jobs: &[SimJob],
    records: &[Record],
    length: u64,
    is_counted: impl Fn(&SimJob) -> bool,
) -> Vec<u64> {
    let seconds = index_of(length) + 1;
    let (mut came, mut in_time) = (vec![0; seconds], vec![0; seconds]);
    let second = |job: &SimJob| index_of(job.at / SECOND);
    for job in jobs.iter().filter(|job| is_counted(job)) {
        came[second(job)] += 1;
    }
    for record in records {
        let Seen::Answered {
            job,
            told: Told::Completed,
            ..
        } = &record.seen
        else {
            continue;
        };
        let job = &jobs[index_of(*job)];
        in_time[second(job)] += u64::from(is_counted(job) && is_in_time(job, record.at));
    }
    let percent = |(came, served): (&u64, &u64)| (served * 100).checked_div(*came).unwrap_or(100);
    came.iter().zip(&in_time).map(percent).collect()
}

/// Whether an answer to a job at this time is in time.
pub fn is_in_time(job: &SimJob, answered_at: u64) -> bool {
    let objective = job.duration * OBJECTIVE_PERCENT / 100 + OBJECTIVE_SLACK;
    answered_at <= job.at + objective
}

/// A number as an index.
pub fn index_of(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
