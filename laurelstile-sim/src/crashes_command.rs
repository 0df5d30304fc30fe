//! The command that plays tasks which take their workers down.

use std::ops::Range;
use std::process::ExitCode;

use laurelstile_sim::leased::{CrashPlan, PoisonTasks, run_crashing};

use crate::flags::{Crashes, seed_range};

/// When the two tasks are handed in that are played without a share.
const TIMES: [u64; 2] = [4_000_000, 9_000_000];
/// The seconds in which a share of the jobs, or workers that die, come.
const FROM: u64 = 3;
const UNTIL: u64 = 9;
/// The seconds whose service is summed up.
const FAULTY: Range<usize> = 3..13;
/// Workers that die at once by themselves.
const DEATHS: usize = 2;
/// Times a second.
const DEATHS_A_SECOND: u64 = 2;

/// Plays the seeds, and prints a line for each and one for all.
pub fn run(flags: &Crashes) -> ExitCode {
    let Some((from, to)) = seed_range(&flags.seeds) else {
        eprintln!("--seeds takes A..B");
        return ExitCode::from(2);
    };
    let poison_tasks = match flags.permille {
        None => PoisonTasks::At(TIMES.to_vec()),
        Some(permille) => PoisonTasks::Share {
            permille,
            from: FROM,
            until: UNTIL,
        },
    };
    let times = (FROM * DEATHS_A_SECOND..UNTIL * DEATHS_A_SECOND).filter(|_| flags.deaths);
    let deaths = times.map(|time| (time * 1_000_000 / DEATHS_A_SECOND, DEATHS));
    let plan = CrashPlan {
        deaths: deaths.collect(),
        dead_workers_refuse: flags.dead_workers_refuse,
        ..CrashPlan::of(poison_tasks)
    };
    let (mut bad, mut poison_seen, mut crashes, mut innocents) = (0, 0, 0, 0);
    let (mut served, mut elsewhere) = (0, 0);
    for seed in from..to {
        let outcome = run_crashing(seed, &plan);
        let worst = outcome.crashes.values().max().copied().unwrap_or(0);
        let taken: u32 = outcome.crashes.values().sum();
        println!(
            "seed {seed}: {} poison tasks took {taken} workers down, one {worst}, at most {} down; \
             innocents failed {}; served {:?}; broken {:?}",
            outcome.poison_tasks,
            outcome.most_down,
            outcome.innocents_failed,
            outcome.served,
            outcome.violations
        );
        bad += u64::from(!outcome.violations.is_empty());
        poison_seen += outcome.poison_tasks;
        crashes += taken;
        innocents += outcome.innocents_failed;
        served += outcome.served[FAULTY].iter().sum::<u64>();
        elsewhere += outcome.served_elsewhere[FAULTY].iter().sum::<u64>();
    }
    let seeds = to.saturating_sub(from).max(1);
    println!(
        "{seeds} seeds, {bad} with violations; {poison_seen} poison tasks took {crashes} workers \
         down; {innocents} sound jobs failed; served in time from 3 to 13 s: {} percent, \
         of queues without poison tasks {} percent",
        served / (seeds * FAULTY.len() as u64),
        elsewhere / (seeds * FAULTY.len() as u64)
    );
    if bad == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
