//! Tasks that take each worker down that starts them, beside sound ones: how many workers
//! each takes, and how the others are served meanwhile.

use std::collections::BTreeMap;

use laurelstile_history::leased::{Bounds, Seen, TaskName, Told, Violation, judge};
use rand::seq::index::sample;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::faults::{Fault, Sabotage, ScheduledFault};
use super::served::{SECOND, index_of, served};
use super::worker::SimWorker;
use super::world::{DEADLINE, SimJob, TASK_ROOM, World};

const GATEWAYS: usize = 3;
const WORKERS: usize = 11;
/// Tasks that a worker has room for.
const TASKS_PER_WORKER: u32 = 10;
/// Seconds of calls.
const LENGTH: u64 = 16;
/// Jobs a second, tasks of each and their duration: 79 tasks at a time on average, where
/// all workers have room for 110.
const KINDS: [(u64, u32, u64); 3] = [(34, 8, 60_000), (6, 4, 900_000), (100, 2, 200_000)];

/// The kind, and queue, with the poison tasks.
const MOST_FREQUENT: usize = KINDS.len() - 1;

/// Which jobs have a task that takes workers down.
#[derive(Clone, Debug)]
pub enum PoisonTasks {
    /// One job each, handed in at these times, in microseconds.
    At(Vec<u64>),
    /// So many in a thousand of the most frequent kind, between two seconds.
    Share {
        /// How many in a thousand.
        permille: u32,
        /// The first second.
        from: u64,
        /// The second after the last.
        until: u64,
    },
}

/// What is played.
#[derive(Clone, Debug)]
pub struct CrashPlan {
    /// Tasks that take workers down.
    pub poison_tasks: PoisonTasks,
    /// Workers that end by themselves: when, in microseconds, and how many at once.
    pub deaths: Vec<(u64, usize)>,
    /// A mechanism that is switched off.
    pub sabotage: Option<Sabotage>,
    /// Whether a worker that has ended refuses connections until it starts again.
    pub dead_workers_refuse: bool,
}

impl CrashPlan {
    /// PoisonTasks alone.
    pub fn of(poison_tasks: PoisonTasks) -> Self {
        Self {
            poison_tasks,
            deaths: Vec::new(),
            sabotage: None,
            dead_workers_refuse: false,
        }
    }
}

/// What became of a run.
#[derive(Debug)]
pub struct CrashOutcome {
    /// Rules that were broken.
    pub violations: Vec<Violation>,
    /// Workers that each task has taken down.
    pub crashes: BTreeMap<TaskName, u32>,
    /// Most workers that were down at a time.
    pub most_down: usize,
    /// Share of the sound jobs that were answered in time, in percent, by the second in
    /// which they came; 100 where none came.
    pub served: Vec<u64>,
    /// The same for the jobs of queues without poison tasks.
    pub served_elsewhere: Vec<u64>,
    /// Sound jobs that were shown as failed.
    pub innocents_failed: u64,
    /// Jobs with a task that takes workers down.
    pub poison_tasks: u64,
}

/// Plays jobs of three kinds with poison tasks among them, while some workers die by themselves.
pub fn run_crashing(seed: u64, plan: &CrashPlan) -> CrashOutcome {
    let mut random = Pcg64::seed_from_u64(seed);
    let workers = (0..WORKERS)
        .map(|_| SimWorker::new(TASKS_PER_WORKER * TASK_ROOM, 1_000, 0))
        .collect();
    let jobs = draw_jobs(&plan.poison_tasks, &mut random);
    let faults = draw_deaths(&plan.deaths, &mut random);
    let mut world = World::new(
        random,
        plan.sabotage,
        GATEWAYS,
        workers,
        jobs.clone(),
        faults,
    );
    world.dead_workers_refuse = plan.dead_workers_refuse;
    world.join_peers();
    world.run((LENGTH + 6) * SECOND);
    let records = world.records;
    let mut outcome = CrashOutcome {
        violations: judge(&records, Bounds::default()),
        crashes: BTreeMap::new(),
        most_down: 0,
        served: served(&jobs, &records, LENGTH, is_sound),
        served_elsewhere: served(&jobs, &records, LENGTH, |job| {
            is_sound(job) && job.queue != MOST_FREQUENT
        }),
        innocents_failed: 0,
        poison_tasks: jobs.iter().filter(|job| job.crashing.is_some()).count() as u64,
    };
    let mut down = 0;
    for record in &records {
        match &record.seen {
            Seen::Crashed { by, .. } => {
                if let Some(task) = by {
                    *outcome.crashes.entry(*task).or_default() += 1;
                }
                down += 1;
                outcome.most_down = outcome.most_down.max(down);
            }
            Seen::Began { .. } if record.at > SECOND => down = down.saturating_sub(1),
            Seen::Answered {
                job,
                told: Told::Failed,
                ..
            } => {
                let is_innocent = is_sound(&jobs[index_of(*job)]);
                outcome.innocents_failed += u64::from(is_innocent);
            }
            _ => {}
        }
    }
    outcome
}

fn is_sound(job: &SimJob) -> bool {
    job.crashing.is_none()
}

fn draw_deaths(deaths: &[(u64, usize)], random: &mut Pcg64) -> Vec<ScheduledFault> {
    let mut faults = Vec::new();
    for (at, count) in deaths {
        for worker in sample(random, WORKERS, *count) {
            faults.push(ScheduledFault {
                at: *at,
                length: 0,
                fault: Fault::KillWorker(worker),
            });
        }
    }
    faults
}

fn draw_jobs(poison_tasks: &PoisonTasks, random: &mut Pcg64) -> Vec<SimJob> {
    let mut jobs = Vec::new();
    for (kind, (rate, tasks, duration)) in KINDS.into_iter().enumerate() {
        let mut at = SECOND;
        while at < LENGTH * SECOND {
            at += random.random_range(1..2 * SECOND / rate);
            let is_poison = match poison_tasks {
                PoisonTasks::At(_) => false,
                PoisonTasks::Share {
                    permille,
                    from,
                    until,
                } => {
                    kind == MOST_FREQUENT
                        && (*from..*until).contains(&(at / SECOND))
                        && random.random_ratio(*permille, 1_000)
                }
            };
            jobs.push(SimJob {
                at,
                tasks,
                duration,
                queue: kind,
                cancelled_after: None,
                steps: 1,
                patience: DEADLINE,
                crashing: is_poison.then_some(0),
                kind: None,
            });
        }
    }
    if let PoisonTasks::At(times) = poison_tasks {
        let (_, tasks, duration) = KINDS[MOST_FREQUENT];
        jobs.extend(times.iter().map(|at| SimJob {
            at: *at,
            tasks,
            duration,
            queue: MOST_FREQUENT,
            cancelled_after: None,
            steps: 1,
            patience: DEADLINE,
            crashing: Some(0),
            kind: None,
        }));
    }
    jobs.sort_by_key(|job| job.at);
    jobs
}
