//! One seed: jobs, faults, the run, and its judgement.

use std::collections::BTreeMap;

use laurelstile_history::leased::{
    Bounds, DoubleRun, Record, Seen, Told, Violation, double_runs, judge,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::disruptions::Disruption;
use super::faults::{
    Sabotage, ScheduledFault, draw, draw_hazards, draw_of_herds, draw_of_leaving,
    draw_of_operators, draw_of_other_writers, draw_of_outages, draw_of_resending,
    draw_of_returning, draw_of_silences, draw_of_successors,
};
use super::partitions::Partition;
use super::worker::SimWorker;
use super::world::handshakes::{HandshakeDelays, Handshakes};
use super::world::partial_cuts::PartialCuts;
use super::world::timed_faults::TimedFaults;
use super::world::{DEADLINE, SimJob, TASK_ROOM, World};

const GATEWAYS: usize = 3;
const WORKERS: usize = 5;
/// Length of the faulty part, in microseconds.
const FAULTY: u64 = 20_000_000;
/// Time in which everything settles and callers are still served.
const SETTLING: u64 = 16_000_000;
/// Callers hand in until so long after the faults.
const CALM_CALLS: u64 = 9_000_000;
const SEED_STREAM: u64 = 0x1ea5ed;
/// Of its own, so that the other faults of a seed stay as they are.
const OPERATORS_STREAM: u64 = 0x0e7ac;
const HAZARDS_STREAM: u64 = 0x4a2a7d;
const LEAVING_STREAM: u64 = 0x1ea71;
const RETURNING_STREAM: u64 = 0x2e7a2;
const OTHER_WRITERS_STREAM: u64 = 0x07e2;
const HERDS_STREAM: u64 = 0x4e2d;
const RESENDING_STREAM: u64 = 0x2e5e4d;
const SILENCES_STREAM: u64 = 0x511e;
const FEW_WORKERS_STREAM: u64 = 0xfe3;
const CANCELS_STREAM: u64 = 0xca2c;
const OTHER_KINDS_STREAM: u64 = 0x4e1d5;
/// How soon after a worker is replaced jobs come, in microseconds.
const AROUND_REPLACEMENT: u64 = 60_000;
/// Kinds of workers, if there are any.
const KINDS: u64 = 2;
/// Largest numbers of gateways and workers beside partitions.
const MANY_GATEWAYS: usize = 5;
const MANY_WORKERS: usize = 8;
/// One in so many jobs is a chain, of less than so many steps.
const CHAINS_ONE_IN: u32 = 12;
const MAX_CHAIN: usize = 20;
/// How long its caller waits, and the latest time of its cancellation, in microseconds.
const LONG_PATIENCE: u64 = 25_000_000;
const LATEST_CHAIN_CANCEL: u64 = 6_000_000;
/// One in so many jobs has a task that takes its workers down.
const POISON_ONE_IN: u32 = 150;
/// One in so many is cancelled, at the latest so long after it came, in microseconds.
const CANCELLED_ONE_IN: u32 = 30;
const LATEST_CANCEL: u64 = 1_000_000;

/// Longest stop of a worker, and latest notice of a broken connection, in microseconds.
const LONGEST_STOP: u64 = 50_000;
const LATEST_NOTICE: u64 = 1_200_000;

/// What became of a seed.
#[derive(Debug)]
pub struct Outcome {
    /// Rules that were broken.
    pub violations: Vec<Violation>,
    /// Tasks that ran on two workers at once, including those that the judge excuses.
    pub double_runs: Vec<DoubleRun>,
    /// Calls by what their callers were told.
    pub told: BTreeMap<&'static str, u64>,
    /// Share of the jobs handed in after the faults that were done, in percent.
    pub calm_percent: u64,
    /// Workers that are well and that their agent does not use in the end.
    pub unused_workers: Vec<usize>,
    /// Faults by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// What was seen.
    pub records: Vec<Record>,
}

/// Runs one seed and judges it.
pub fn run_seed(seed: u64, sabotage: Option<Sabotage>, traced: Option<u64>) -> Outcome {
    let mut random = Pcg64::seed_from_u64(seed ^ SEED_STREAM);
    let mut scene = draw_scene(seed, sabotage, &mut random);
    scene.traced = traced;
    play(random, sabotage, scene, false)
}

/// Runs one seed with hazards besides: tasks that take their workers down, workers that die,
/// rooms that shrink, machines that are suspended, jobs that are cancelled at any gateway.
pub fn run_hazard_seed(seed: u64, sabotage: Option<Sabotage>) -> Outcome {
    let mut random = Pcg64::seed_from_u64(seed ^ SEED_STREAM);
    let mut scene = draw_scene(seed, sabotage, &mut random);
    let mut hazards = Pcg64::seed_from_u64(seed ^ HAZARDS_STREAM);
    let faults = draw_hazards(FAULTY, GATEWAYS, WORKERS, &mut hazards);
    scene.faults.extend(faults);
    for job in &mut scene.jobs {
        let is_calm = job.at >= FAULTY;
        if !is_calm && hazards.random_ratio(1, POISON_ONE_IN) {
            job.crashing = Some(hazards.random_range(0..job.tasks));
        }
        if hazards.random_ratio(1, CANCELLED_ONE_IN) {
            job.cancelled_after = Some(hazards.random_range(0..LATEST_CANCEL));
        }
    }
    play(random, sabotage, scene, true)
}

/// Runs one seed with workers that leave and sessions that break besides.
pub fn run_leaving_seed(seed: u64, sabotage: Option<Sabotage>) -> Outcome {
    let mut random = Pcg64::seed_from_u64(seed ^ SEED_STREAM);
    let mut scene = draw_scene(seed, sabotage, &mut random);
    let mut leaving = Pcg64::seed_from_u64(seed ^ LEAVING_STREAM);
    let faults = draw_of_leaving(FAULTY, GATEWAYS, WORKERS, &mut leaving);
    scene.faults.extend(faults);
    play(random, sabotage, scene, true)
}

/// Runs one seed with losses of many processes at once besides, and jobs that are cancelled.
pub fn run_herd_seed(seed: u64, sabotage: Option<Sabotage>, traced: Option<u64>) -> Outcome {
    let mut random = Pcg64::seed_from_u64(seed ^ SEED_STREAM);
    let mut scene = draw_scene(seed, sabotage, &mut random);
    let mut herds = Pcg64::seed_from_u64(seed ^ HERDS_STREAM);
    let faults = draw_of_herds(FAULTY, GATEWAYS, WORKERS, &mut herds);
    scene.faults.extend(faults);
    for job in &mut scene.jobs {
        if herds.random_ratio(1, CANCELLED_ONE_IN) {
            job.cancelled_after = Some(herds.random_range(0..LATEST_CANCEL));
        }
    }
    scene.traced = traced;
    play(random, sabotage, scene, true)
}

/// Runs one seed with jobs in chains whose callers wait for long, half of which are cancelled, at any
/// gateway, while gateways are cut off, stand still, are suspended or are stopped. With `loses_callers`,
/// callers whose connections break submit their jobs again besides.
pub fn run_cancel_seed(
    seed: u64,
    loses_callers: bool,
    sabotage: Option<Sabotage>,
    traced: Option<u64>,
) -> Outcome {
    let mut random = Pcg64::seed_from_u64(seed ^ SEED_STREAM);
    let mut scene = draw_scene(seed, sabotage, &mut random);
    let mut cancels = Pcg64::seed_from_u64(seed ^ CANCELS_STREAM);
    if cancels.random_bool(0.5) {
        scene.faults.clear();
    }
    let faults = draw_of_outages(FAULTY, GATEWAYS, WORKERS, loses_callers, &mut cancels);
    scene.faults.extend(faults);
    for job in &mut scene.jobs {
        if job.at < FAULTY && cancels.random_ratio(1, CHAINS_ONE_IN) {
            job.tasks = 1;
            job.steps = cancels.random_range(2..MAX_CHAIN);
            job.duration = cancels.random_range(200_000..900_000);
            job.patience = LONG_PATIENCE;
            if cancels.random_bool(0.5) {
                job.cancelled_after = Some(cancels.random_range(0..LATEST_CHAIN_CANCEL));
            }
        }
    }
    scene.traced = traced;
    play(random, sabotage, scene, true)
}

/// Runs one seed with workers that start again under the ids that they had, and soon leave
/// or shrink.
pub fn run_returning_seed(seed: u64, sabotage: Option<Sabotage>) -> Outcome {
    let mut random = Pcg64::seed_from_u64(seed ^ SEED_STREAM);
    let scene = draw_returning_scene(seed, sabotage, &mut random);
    play(random, sabotage, scene, true)
}

/// Runs the same with heartbeats of other writers besides.
pub fn run_other_writers_seed(seed: u64, sabotage: Option<Sabotage>) -> Outcome {
    let mut random = Pcg64::seed_from_u64(seed ^ SEED_STREAM);
    let mut scene = draw_returning_scene(seed, sabotage, &mut random);
    let mut others = Pcg64::seed_from_u64(seed ^ OTHER_WRITERS_STREAM);
    let faults = draw_of_other_writers(FAULTY, WORKERS, &mut others);
    scene.faults.extend(faults);
    play(random, sabotage, scene, true)
}

/// Runs one seed with workers of several kinds, which are replaced by ones of other kinds, and jobs that
/// require a kind.
pub fn run_other_kinds_seed(seed: u64, sabotage: Option<Sabotage>) -> Outcome {
    let mut random = Pcg64::seed_from_u64(seed ^ SEED_STREAM);
    let mut scene = draw_scene(seed, sabotage, &mut random);
    let mut kinds = Pcg64::seed_from_u64(seed ^ OTHER_KINDS_STREAM);
    let replacements = draw_of_successors(FAULTY, WORKERS, &mut kinds);
    for worker in &mut scene.workers {
        worker.kinds = KINDS;
    }
    for job in &mut scene.jobs {
        let requires_kind = kinds.random_bool(0.7);
        job.kind = requires_kind.then(|| kinds.random_range(0..KINDS));
        // Starts are on their way while a worker is replaced.
        if job.at < FAULTY && kinds.random_bool(0.5) {
            let replacement = replacements[kinds.random_range(0..replacements.len())];
            job.at = replacement.at + kinds.random_range(0..AROUND_REPLACEMENT);
        }
    }
    scene.jobs.sort_by_key(|job| job.at);
    scene.faults.extend(replacements);
    play(random, sabotage, scene, true)
}

/// Runs one seed with two or three gateways, few workers and long tasks, where connections of
/// callers break besides; their gateways notice within `latest_notice`, if that is given.
pub fn run_resending_seed(
    seed: u64,
    sabotage: Option<Sabotage>,
    latest_notice: Option<u64>,
    traced: Option<u64>,
) -> Outcome {
    let mut random = Pcg64::seed_from_u64(seed ^ SEED_STREAM);
    let mut scene = draw_small_scene(seed, sabotage, &mut random);
    let mut resending = Pcg64::seed_from_u64(seed ^ RESENDING_STREAM);
    let faults = draw_of_resending(FAULTY, scene.gateways, latest_notice, &mut resending);
    scene.faults.extend(faults);
    scene.traced = traced;
    play(random, sabotage, scene, true)
}

/// Runs one seed of the same scene, where agents fall silent soon after connections of callers
/// have broken, and stops take up to 50 ms.
pub fn run_silences_seed(
    seed: u64,
    sabotage: Option<Sabotage>,
    latest_notice: Option<u64>,
    traced: Option<u64>,
) -> Outcome {
    let mut random = Pcg64::seed_from_u64(seed ^ SEED_STREAM);
    let mut scene = draw_small_scene(seed, sabotage, &mut random);
    let mut silences = Pcg64::seed_from_u64(seed ^ SILENCES_STREAM);
    for worker in &mut scene.workers {
        worker.stop_time = silences.random_range(5_000..=LONGEST_STOP);
    }
    let latest_notice = latest_notice.unwrap_or(LATEST_NOTICE);
    let (gateways, workers) = (scene.gateways, scene.workers.len());
    scene.faults = draw_of_silences(FAULTY, gateways, workers, latest_notice, &mut silences);
    scene.traced = traced;
    play(random, sabotage, scene, true)
}

/// Runs one seed of the same scene with a further kind of disruption, beside the faults of a
/// plain seed in half of the seeds.
pub fn run_disruption_seed(
    seed: u64,
    disruption: Disruption,
    sabotage: Option<Sabotage>,
    traced: Option<u64>,
) -> Outcome {
    let mut random = Pcg64::seed_from_u64(seed ^ SEED_STREAM);
    let mut scene = draw_small_scene(seed, sabotage, &mut random);
    let mut disrupting = Pcg64::seed_from_u64(seed ^ disruption.stream());
    for worker in &mut scene.workers {
        worker.stop_time = disrupting.random_range(5_000..=LONGEST_STOP);
    }
    if disrupting.random_bool(0.5) {
        scene.faults.clear();
    }
    if disruption.keeps_ids(&mut disrupting) {
        for worker in &mut scene.workers {
            worker.keeps_id = true;
            worker.tells_birth = true;
        }
    }
    if disruption.kinds() > 0 {
        draw_kinds(disruption.kinds(), &mut scene, &mut disrupting);
    }
    let (gateways, workers) = (scene.gateways, scene.workers.len());
    let faults = disruption.draw(FAULTY, gateways, workers, &mut disrupting);
    scene.faults.extend(faults);
    scene.traced = traced;
    scene.limits_commands = true;
    scene.call_limit = disruption.call_limit();
    scene.timed_faults = disruption.timed_faults(FAULTY, &mut disrupting);
    scene.handshakes = disruption.handshakes(FAULTY, &mut disrupting);
    play(random, sabotage, scene, true)
}

/// Gives the workers kinds, one of which most jobs require. Jobs have short tasks, so that workers are
/// idle and full in turn.
fn draw_kinds(kinds: u64, scene: &mut Scene, random: &mut Pcg64) {
    for worker in &mut scene.workers {
        worker.kinds = kinds;
    }
    for job in &mut scene.jobs {
        let requires_kind = random.random_bool(0.7);
        job.kind = requires_kind.then(|| random.random_range(0..kinds));
        job.duration = random.random_range(40_000..800_000);
        job.tasks = random.random_range(1..9);
    }
}

/// Runs one seed with partitions that leave some links, and callers that resubmit at other gateways,
/// beside the faults of a plain seed in half of the seeds.
pub fn run_partition_seed(
    seed: u64,
    partition: Partition,
    sabotage: Option<Sabotage>,
    traced: Option<u64>,
) -> Outcome {
    let mut random = Pcg64::seed_from_u64(seed ^ SEED_STREAM);
    let mut partitions = Pcg64::seed_from_u64(seed ^ partition.stream());
    let gateways = partitions.random_range(2..=MANY_GATEWAYS);
    let workers = partitions.random_range(2..=MANY_WORKERS);
    let mut scene = draw_scene_of(seed, sabotage, gateways, workers, &mut random);
    draw_long_jobs(&mut scene.jobs, &mut partitions);
    draw_patient_callers(&mut scene.jobs, &mut partitions);
    for worker in &mut scene.workers {
        worker.stop_time = partitions.random_range(5_000..=LONGEST_STOP);
    }
    if partitions.random_bool(0.5) {
        scene.faults.clear();
    }
    let faults = partition.draw(FAULTY, gateways, workers, &mut partitions);
    scene.faults.extend(faults);
    scene.traced = traced;
    scene.has_partial_cuts = true;
    play(random, sabotage, scene, true)
}

/// Half of the callers wait for long, and half of their jobs are chains.
fn draw_patient_callers(jobs: &mut [SimJob], random: &mut Pcg64) {
    for job in jobs.iter_mut().filter(|job| job.at < FAULTY) {
        if random.random_bool(0.5) {
            job.patience = LONG_PATIENCE;
            if random.random_bool(0.5) {
                job.steps = random.random_range(2..MAX_CHAIN / 2);
                job.duration = random.random_range(200_000..900_000);
                job.tasks = 1;
            }
        }
    }
}

/// Few gateways and workers, and tasks of some seconds.
fn draw_small_scene(seed: u64, sabotage: Option<Sabotage>, random: &mut Pcg64) -> Scene {
    let mut small = Pcg64::seed_from_u64(seed ^ FEW_WORKERS_STREAM);
    let gateways = small.random_range(2..=GATEWAYS);
    let workers = small.random_range(2..=WORKERS);
    let mut scene = draw_scene_of(seed, sabotage, gateways, workers, random);
    draw_long_jobs(&mut scene.jobs, &mut small);
    scene
}

/// Fewer jobs, half of them with tasks of some seconds.
fn draw_long_jobs(jobs: &mut Vec<SimJob>, random: &mut Pcg64) {
    for job in jobs.iter_mut() {
        if random.random_bool(0.5) {
            job.duration = random.random_range(1_000_000..4_000_000);
            job.tasks = random.random_range(1..4);
        }
    }
    let every = random.random_range(2..8);
    let mut number = 0_u64;
    jobs.retain(|_| {
        number += 1;
        number.is_multiple_of(every)
    });
}

fn draw_returning_scene(seed: u64, sabotage: Option<Sabotage>, random: &mut Pcg64) -> Scene {
    let mut scene = draw_scene(seed, sabotage, random);
    let mut returning = Pcg64::seed_from_u64(seed ^ RETURNING_STREAM);
    let faults = draw_of_returning(FAULTY, WORKERS, &mut returning);
    scene.faults.extend(faults);
    for worker in &mut scene.workers {
        worker.keeps_id = true;
        worker.tells_birth = sabotage != Some(Sabotage::NoBirths);
    }
    scene
}

/// What a seed plays.
struct Scene {
    gateways: usize,
    workers: Vec<SimWorker>,
    jobs: Vec<SimJob>,
    faults: Vec<ScheduledFault>,
    /// The job whose events are printed.
    traced: Option<u64>,
    /// Whether agents send few commands at once.
    limits_commands: bool,
    /// How long a call waits for its answer, if that is less than its caller does.
    call_limit: Option<u64>,
    /// Events after which faults follow, if there are any.
    timed_faults: Option<TimedFaults>,
    /// How sessions are opened, if their handshakes take time step by step.
    handshakes: Option<HandshakeDelays>,
    /// Whether single links are cut.
    has_partial_cuts: bool,
}

fn draw_scene(seed: u64, sabotage: Option<Sabotage>, random: &mut Pcg64) -> Scene {
    draw_scene_of(seed, sabotage, GATEWAYS, WORKERS, random)
}

fn draw_scene_of(
    seed: u64,
    sabotage: Option<Sabotage>,
    gateways: usize,
    worker_count: usize,
    random: &mut Pcg64,
) -> Scene {
    let workers = (0..worker_count)
        .map(|_| draw_worker(sabotage, random))
        .collect();
    let jobs = draw_jobs(random);
    let count = random.random_range(2..22);
    let mut faults = draw(count, FAULTY, gateways, worker_count, random);
    let mut operators = Pcg64::seed_from_u64(seed ^ OPERATORS_STREAM);
    faults.extend(draw_of_operators(FAULTY, worker_count, &mut operators));
    Scene {
        gateways,
        workers,
        jobs,
        faults,
        traced: None,
        limits_commands: false,
        call_limit: None,
        timed_faults: None,
        handshakes: None,
        has_partial_cuts: false,
    }
}

fn play(random: Pcg64, sabotage: Option<Sabotage>, scene: Scene, has_peers: bool) -> Outcome {
    let Scene {
        gateways,
        workers,
        jobs,
        faults,
        traced,
        limits_commands,
        call_limit,
        timed_faults,
        handshakes,
        has_partial_cuts,
    } = scene;
    let mut kinds = BTreeMap::new();
    for fault in &faults {
        *kinds.entry(fault.fault.kind()).or_default() += 1;
    }
    let arrivals: Vec<u64> = jobs.iter().map(|job| job.at).collect();
    let mut world = World::new(random, sabotage, gateways, workers, jobs, faults);
    world.limits_commands = limits_commands;
    world.call_limit = call_limit;
    world.timed_faults = timed_faults;
    world.handshakes = handshakes.map(Handshakes::new);
    world.partial_cuts = has_partial_cuts.then(PartialCuts::default);
    if let Some(job) = traced {
        world.trace(job);
    }
    if has_peers {
        world.join_peers();
    }
    world.run(FAULTY + SETTLING);
    let unused_workers = world.unused_workers();
    let records = world.records;
    Outcome {
        violations: judge(&records, Bounds::default()),
        double_runs: double_runs(&records),
        told: count_answers(&records),
        calm_percent: calm_percent(&records, &arrivals),
        unused_workers,
        faults: kinds,
        records,
    }
}

fn draw_worker(sabotage: Option<Sabotage>, random: &mut Pcg64) -> SimWorker {
    let tasks: u32 = random.random_range(4..12);
    let spare: u32 = random.random_range(0..TASK_ROOM);
    let rate = random.random_range(980..=1_000);
    let offset = random.random_range(0..1_000_000);
    let mut worker = SimWorker::new(tasks * TASK_ROOM + spare, rate, offset);
    worker.has_leases = sabotage != Some(Sabotage::NoLeases);
    worker
}

fn draw_jobs(random: &mut Pcg64) -> Vec<SimJob> {
    let pause = random.random_range(25_000..90_000);
    let mut jobs = Vec::new();
    let mut at = 500_000;
    while at < FAULTY + CALM_CALLS {
        at += random.random_range(1..2 * pause);
        let is_long = random.random_bool(0.1);
        let duration = if is_long {
            random.random_range(800_000..2_500_000)
        } else {
            random.random_range(40_000..300_000)
        };
        let tasks = random.random_range(1..9);
        jobs.push(SimJob {
            at,
            tasks,
            duration,
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

fn count_answers(records: &[Record]) -> BTreeMap<&'static str, u64> {
    let mut told = BTreeMap::new();
    for record in records {
        if let Seen::Answered { told: kind, .. } = &record.seen {
            let name = match kind {
                Told::Completed => "completed",
                Told::Failed => "failed",
                Told::Refused => "refused",
                Told::GivenUp => "given_up",
                Told::Nothing => "nothing",
            };
            *told.entry(name).or_default() += 1;
        }
    }
    told
}

/// Of the jobs that came in the last two seconds, when all faults are over,
/// the share that was done.
fn calm_percent(records: &[Record], arrivals: &[u64]) -> u64 {
    let from = FAULTY + CALM_CALLS - 2_000_000;
    let calm = arrivals.iter().filter(|at| **at >= from).count() as u64;
    let done = records
        .iter()
        .filter_map(|record| match &record.seen {
            Seen::Answered {
                job,
                told: Told::Completed,
                ..
            } => Some(*job),
            _ => None,
        })
        .filter(|job| {
            let index = usize::try_from(*job).unwrap_or(usize::MAX);
            arrivals.get(index).is_some_and(|at| *at >= from)
        })
        .count() as u64;
    (done * 100).checked_div(calm).unwrap_or(100)
}
