//! A surge of calls over thin links: what is served in time, second by second.

use laurelstile_core::leased::input::JobInput;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::served::{SECOND, served};
use super::worker::SimWorker;
use super::world::{DEADLINE, SimJob, TASK_ROOM, World};

const GATEWAYS: usize = 3;
const WORKERS: usize = 60;
/// Tasks that a worker has room for.
const TASKS_PER_WORKER: u32 = 2;
/// Bytes a second of a gateway's link, each way: 2 Mbit/s.
const LINK_BYTES: u64 = 250_000;
/// Jobs a second at the usual load, of all callers.
const USUAL_LOAD: u64 = 70;
/// Seconds of calls.
const LENGTH: u64 = 16;

/// Times of a surge, in seconds, and its factor on the usual load.
#[derive(Clone, Copy, Debug)]
pub struct Surge {
    /// When it begins.
    pub from: u64,
    /// When it is over.
    pub until: u64,
    /// How many times the usual load.
    pub factor: u64,
}

/// Share of the jobs that were answered in time, in percent, by the second in which they
/// came; 100 where none came.
pub fn run_surge(seed: u64, surge: Surge) -> Vec<u64> {
    let mut random = Pcg64::seed_from_u64(seed);
    let workers = (0..WORKERS)
        .map(|_| SimWorker::new(TASKS_PER_WORKER * TASK_ROOM, 1_000, 0))
        .collect();
    let jobs = draw_jobs(surge, &mut random);
    let input = draw_input(&mut random);
    let mut world = World::new(random, None, GATEWAYS, workers, jobs.clone(), Vec::new());
    world.thin_links(LINK_BYTES, input);
    world.run((LENGTH + 6) * SECOND);
    served(&jobs, &world.records, LENGTH, |_| true)
}

fn draw_jobs(surge: Surge, random: &mut Pcg64) -> Vec<SimJob> {
    let mut jobs = Vec::new();
    let mut at = SECOND;
    while at < LENGTH * SECOND {
        let is_surge = (surge.from..surge.until).contains(&(at / SECOND));
        let load = USUAL_LOAD * if is_surge { surge.factor } else { 1 };
        at += random.random_range(1..2 * SECOND / load);
        jobs.push(SimJob {
            at,
            tasks: random.random_range(2..9),
            duration: random.random_range(60_000..200_000),
            queue: 0,
            cancelled_after: None,
            steps: 1,
            patience: DEADLINE,
            crashing: None,
            kind: None,
        });
    }
    jobs
}

/// A text that packs to half of its length.
fn draw_input(random: &mut Pcg64) -> JobInput {
    let text: String = (0..1_200)
        .map(|_| char::from_digit(random.random_range(0..16), 16).unwrap_or('0'))
        .collect();
    text.as_str().into()
}
