//! A burst of one queue, with which the queues ask for more than the workers have room for: what
//! each queue gets of it.

use laurelstile_history::leased::{Bounds, Seen, Told, Violation, judge};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::nodes::{Deployment, QUEUES};
use super::served::{SECOND, index_of, is_in_time};
use super::worker::SimWorker;
use super::world::{DEADLINE, SimJob, TASK_ROOM, World};

const GATEWAYS: usize = 4;
const WORKERS: usize = 12;
/// Tasks that a worker has room for.
const TASKS_PER_WORKER: u32 = 10;
/// Seconds of calls.
const LENGTH: u64 = 6;
/// Seconds after the last call in which the last jobs end.
const SETTLING: u64 = 2;
/// Jobs a second of each queue, tasks of each job and their duration, in microseconds: 78 tasks at a
/// time on average, where all workers have room for 120. A sixth of a deployment with 51 workers.
const QUEUE_LOADS: [(u64, u32, u64); QUEUES] =
    [(34, 8, 60_000), (6, 4, 900_000), (100, 2, 200_000)];

/// A burst of one queue.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// The queue.
    pub queue: usize,
    /// How many times its usual rate.
    pub factor: u64,
    /// The first second.
    pub from: u64,
    /// The second after the last.
    pub until: u64,
}

/// What became of the jobs that came during a burst.
#[derive(Debug)]
pub struct ContentionOutcome {
    /// Rules that were broken.
    pub violations: Vec<Violation>,
    /// Share of the jobs of each queue that were answered in time, in thousandths.
    pub in_time: [u64; QUEUES],
    /// Share of all jobs that were answered in time, in thousandths.
    pub all_in_time: u64,
    /// Share of the jobs of each queue that were refused, in thousandths.
    pub refused: [u64; QUEUES],
}

impl ContentionOutcome {
    /// The lowest share of a queue in percent of the share of all jobs.
    pub fn worst_percent(&self) -> u64 {
        let worst = self.in_time.iter().min().copied().unwrap_or_default();
        worst * 100 / self.all_in_time.max(1)
    }
}

/// Plays the usual load of all queues with a burst of one of them.
pub fn run_contention(seed: u64, burst: Burst, deployment: Deployment) -> ContentionOutcome {
    let mut random = Pcg64::seed_from_u64(seed);
    let workers = (0..WORKERS)
        .map(|_| SimWorker::new(TASKS_PER_WORKER * TASK_ROOM, 1_000, 0))
        .collect();
    let jobs = draw_jobs(burst, &mut random);
    let mut world = World::new(random, None, GATEWAYS, workers, jobs.clone(), Vec::new());
    world.deploy(deployment);
    world.join_peers();
    world.run((LENGTH + SETTLING) * SECOND);
    let (mut came, mut in_time, mut refused) = ([0; QUEUES], [0; QUEUES], [0; QUEUES]);
    let is_counted = |job: &SimJob| (burst.from..burst.until).contains(&(job.at / SECOND));
    for job in jobs.iter().filter(|job| is_counted(job)) {
        came[job.queue] += 1;
    }
    for record in &world.records {
        let Seen::Answered { job, told, .. } = &record.seen else {
            continue;
        };
        let job = &jobs[index_of(*job)];
        match told {
            Told::Completed => {
                in_time[job.queue] += u64::from(is_counted(job) && is_in_time(job, record.at));
            }
            Told::Refused => refused[job.queue] += u64::from(is_counted(job)),
            _ => {}
        }
    }
    let permille = |in_time: u64, came: u64| (in_time * 1_000).checked_div(came).unwrap_or(1_000);
    ContentionOutcome {
        violations: judge(&world.records, Bounds::default()),
        in_time: std::array::from_fn(|queue| permille(in_time[queue], came[queue])),
        all_in_time: permille(in_time.iter().sum(), came.iter().sum()),
        refused: std::array::from_fn(|queue| permille(refused[queue], came[queue])),
    }
}

fn draw_jobs(burst: Burst, random: &mut Pcg64) -> Vec<SimJob> {
    let mut jobs = Vec::new();
    for (queue, (rate, tasks, duration)) in QUEUE_LOADS.into_iter().enumerate() {
        let mut at = SECOND;
        while at < LENGTH * SECOND {
            let is_burst =
                queue == burst.queue && (burst.from..burst.until).contains(&(at / SECOND));
            let rate = rate * if is_burst { burst.factor } else { 1 };
            at += random.random_range(1..2 * SECOND / rate);
            jobs.push(SimJob {
                at,
                tasks,
                duration,
                queue,
                cancelled_after: None,
                steps: 1,
                patience: DEADLINE,
                crashing: None,
                kind: None,
            });
        }
    }
    jobs.sort_by_key(|job| job.at);
    jobs
}
