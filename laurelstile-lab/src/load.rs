//! Loads a cell and reports response time over ideal, added latency, messages
//! and processor time per task.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use http::Method;
use laurelstile_history::file::HistoryWriter;
use laurelstile_store::http::HttpClient;
use laurelstile_types::configuration::Tenant;
use laurelstile_wire::session::SENT_BYTES;
use laurelstiled::settings::LogLevel;
use laurelstiled::telemetry::{MESSAGES, STARTS};
use rand::distr::{Distribution, Uniform};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde::Serialize;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

use crate::caller::{Caller, Job, Outcome};
use crate::cell::{Cell, CellPlan};
use crate::flags::Load;
use crate::measure::{self, Counts, Figures};
use crate::standin::backend::TaskInput;
use laurelstile_lab::error::LabError;

const TENANT: &str = "measured";
const SHORTEST_MILLIS: f64 = 50.0;
const LONGEST_MILLIS: f64 = 1_000.0;
const PATIENCE: Duration = Duration::from_secs(120);
/// Interval of the probes that measure added latency.
const PROBE_INTERVAL: Duration = Duration::from_millis(25);
/// Run time of a probe.
const PROBE_RUN: Duration = Duration::from_millis(5);
/// Jobs in flight at saturation, as a multiple of what fills the slots.
const SATURATION: usize = 3;
const IDLE_SETTLING_SECONDS: u64 = 6;
const IDLE_SECONDS: u64 = 9;
const STEADY_SECONDS: u64 = 8;
const SATURATION_SECONDS: u64 = 6;
/// Time for caches and means to settle before anything is counted.
const WARM_UP: Duration = Duration::from_secs(1);
const PERCENT: f64 = 100.0;
const THOUSAND: f64 = 1_000.0;

/// Sizes of a preset.
struct Preset {
    name: &'static str,
    gateways: usize,
    backends: usize,
    /// Back ends that are hollow agents of one process.
    hollow: bool,
    /// Tasks take time; otherwise they end at once.
    timed: bool,
    slots: u32,
    max_tasks: usize,
}

const PRESETS: [Preset; 4] = [
    Preset {
        name: "rennes",
        gateways: 3,
        backends: 11,
        hollow: false,
        timed: true,
        slots: 8,
        max_tasks: 24,
    },
    Preset {
        name: "krystalon",
        gateways: 3,
        backends: 11,
        hollow: false,
        timed: true,
        slots: 8,
        max_tasks: 120,
    },
    Preset {
        name: "hollow",
        gateways: 1,
        backends: 40,
        hollow: true,
        timed: false,
        slots: 16,
        max_tasks: 820,
    },
    Preset {
        name: "scale",
        gateways: 3,
        backends: 780,
        hollow: true,
        timed: true,
        slots: 16,
        max_tasks: 820,
    },
];

/// What a load run gave.
#[derive(Debug, Serialize)]
struct Report {
    preset: &'static str,
    load: f64,
    task_time_factor: f64,
    seconds: u64,
    /// Response time over ideal under the mixed load.
    response_over_ideal: Option<Figures>,
    /// Time of a one-task job less its run time, in ms.
    job_overhead_ms: Option<Figures>,
    /// Time of a direct call of a back end less its run time, in ms.
    direct_overhead_ms: Option<Figures>,
    added_latency_p50_ms: Option<f64>,
    added_latency_p99_ms: Option<f64>,
    /// Jobs that got no answer.
    unanswered: u64,
    /// Nothing to do, after all sessions are open.
    idle: Phase,
    saturation: Phase,
}

/// What a phase cost.
#[derive(Debug, Default, Serialize)]
struct Phase {
    seconds: f64,
    task_starts: u64,
    starts_per_second: f64,
    messages_per_task: f64,
    /// Messages that moved no work: refused starts and superseded work.
    wasted_messages: u64,
    messages: Counts,
    /// Bytes of messages that all nodes sent, a second.
    bytes_per_second: f64,
    /// Share of a core that the gateways used together, in percent.
    gateways_core_percent: f64,
    /// Share of a core that the agents used together, in percent.
    agents_core_percent: f64,
    processor_seconds_per_1000_tasks: Processors,
    gateway_mebibytes: u64,
}

#[derive(Debug, Default, Serialize)]
struct Processors {
    gateways: f64,
    agents: f64,
    backends: f64,
}

/// Everything that is counted at one point in time.
struct Reading {
    at: Instant,
    messages: Counts,
    bytes: u64,
    starts: u64,
    gateways: f64,
    agents: f64,
    backends: f64,
}

/// Runs a load.
///
/// # Errors
/// [`LabError`].
pub async fn run(flags: Load) -> Result<(), LabError> {
    let preset = PRESETS
        .iter()
        .find(|preset| preset.name == flags.preset)
        .ok_or_else(|| LabError::Flag {
            flag: "preset",
            value: flags.preset.clone(),
        })?;
    let load = flags.load.unwrap_or(0.5);
    let scale = flags.scale.unwrap_or(1.0);
    let seconds = flags.seconds.unwrap_or(20);
    let cell = Arc::new(Cell::start(plan(preset)).await?);
    cell.apply().await?;
    let mut workload = Workload::new(preset, scale, flags.seed.unwrap_or(1));
    let mixed = if preset.hollow {
        None
    } else {
        let (job_overhead, direct_overhead) = run_steady(&cell, &mut workload, load).await?;
        let (ratios, unanswered) = run_mixed(&cell, &mut workload, load, seconds).await;
        Some(Mixed {
            ratios,
            job_overhead,
            direct_overhead,
            unanswered,
        })
    };
    let idle = run_idle(&cell).await?;
    let saturation = run_saturated(&cell, &mut workload).await?;
    let report = Report {
        idle,
        ..report_of(preset, load, scale, seconds, mixed, saturation)
    };
    if flags.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print(&report);
    }
    Ok(())
}

fn plan(preset: &Preset) -> CellPlan {
    let slots = preset.slots * u32::try_from(preset.backends).unwrap_or(u32::MAX);
    CellPlan {
        gateways: preset.gateways,
        backends: preset.backends,
        hollow: preset.hollow,
        slots: preset.slots,
        zones: ["a", "b", "c"].map(str::to_owned).to_vec(),
        tenants: vec![Tenant {
            name: TENANT.into(),
            weight: 1,
            quota_slots: slots,
            max_queued_tasks: 1_000_000,
        }],
        deadline: PATIENCE,
        expected_run: Duration::from_millis(500),
        relays: false,
        histories: false,
        log_level: LogLevel::Warn,
    }
}

/// Draws jobs.
struct Workload {
    random: Pcg64,
    millis: Uniform<f64>,
    scale: f64,
    max_tasks: usize,
    slots: f64,
    next: u64,
    timed: bool,
}

impl Workload {
    fn new(preset: &Preset, scale: f64, seed: u64) -> Self {
        let millis = Uniform::new(SHORTEST_MILLIS, LONGEST_MILLIS)
            .unwrap_or_else(|_| unreachable!("the range is not empty"));
        let backends = u32::try_from(preset.backends).unwrap_or(u32::MAX);
        Self {
            random: Pcg64::seed_from_u64(seed),
            millis,
            scale,
            max_tasks: preset.max_tasks,
            slots: f64::from(preset.slots * backends),
            next: 0,
            timed: preset.timed,
        }
    }

    fn draw(&mut self) -> Job {
        let tasks = if self.timed {
            self.random.random_range(1..=self.max_tasks)
        } else {
            self.max_tasks
        };
        let runs = (0..tasks).map(|_| self.draw_run()).collect();
        self.job(runs)
    }

    fn draw_run(&mut self) -> Duration {
        if !self.timed {
            return Duration::ZERO;
        }
        let millis = self.millis.sample(&mut self.random) * self.scale;
        Duration::from_secs_f64(millis / THOUSAND)
    }

    fn job(&mut self, runs: Vec<Duration>) -> Job {
        self.next += 1;
        Job {
            request: format!("request-{}", self.next),
            tenant: TENANT.to_owned(),
            runs,
            key: None,
            fail: false,
        }
    }

    /// Mean time between two jobs at a load.
    fn draw_gap(&mut self, load: f64) -> Duration {
        let mean_run = (SHORTEST_MILLIS + LONGEST_MILLIS) / 2.0 / THOUSAND * self.scale;
        let max_tasks = f64::from(u32::try_from(self.max_tasks).unwrap_or(u32::MAX));
        let mean_work = mean_run * (1.0 + max_tasks) / 2.0;
        let mean_gap = mean_work / (self.slots * load);
        let unit: f64 = self.random.random();
        Duration::from_secs_f64(-unit.max(1e-9).ln() * mean_gap)
    }

    /// What an idle, perfect system would take.
    fn ideal(&self, job: &Job) -> Duration {
        let longest = job.runs.iter().copied().max().unwrap_or_default();
        let total: Duration = job.runs.iter().sum();
        longest.max(total.div_f64(self.slots))
    }
}

/// What the phases before saturation gave.
struct Mixed {
    ratios: Histogram<u64>,
    job_overhead: Histogram<u64>,
    direct_overhead: Histogram<u64>,
    unanswered: u64,
}

/// One-task jobs that keep a share of the slots busy all the time, with probes
/// beside them: what they find is never a full pool.
async fn run_steady(
    cell: &Arc<Cell>,
    workload: &mut Workload,
    load: f64,
) -> Result<(Histogram<u64>, Histogram<u64>), LabError> {
    let caller = Caller::new(PATIENCE, HistoryWriter::none());
    let end = Instant::now() + WARM_UP + Duration::from_secs(STEADY_SECONDS);
    let probes = tokio::spawn(run_probes(Arc::clone(cell), caller.clone(), end));
    let mut running = JoinSet::new();
    let mut index = 0;
    while Instant::now() < end {
        while float(running.len() as u64) < workload.slots * load {
            index += 1;
            let run = workload.draw_run();
            let job = workload.job(vec![run]);
            let (name, api) = gateway_address(cell, index % cell.gateways.len());
            let caller = caller.clone();
            running.spawn(async move { caller.submit(&name, &api, &job).await });
        }
        running.join_next().await;
    }
    while running.join_next().await.is_some() {}
    probes.await.map_err(|_| LabError::Unexpected {
        what: "the probes broke off".to_owned(),
    })
}

/// Jobs in a Poisson stream.
async fn run_mixed(
    cell: &Arc<Cell>,
    workload: &mut Workload,
    load: f64,
    seconds: u64,
) -> (Histogram<u64>, u64) {
    let caller = Caller::new(PATIENCE, HistoryWriter::none());
    let end = Instant::now() + Duration::from_secs(seconds);
    let ratios = Arc::new(Mutex::new(measure::times()));
    let unanswered = Arc::new(Mutex::new(0));
    let mut running = JoinSet::new();
    while Instant::now() < end {
        tokio::time::sleep(workload.draw_gap(load)).await;
        let job = workload.draw();
        let ideal = workload.ideal(&job);
        let gateway = workload.random.random_range(0..cell.gateways.len());
        let (name, api) = gateway_address(cell, gateway);
        let (caller, ratios) = (caller.clone(), Arc::clone(&ratios));
        let unanswered = Arc::clone(&unanswered);
        running.spawn(async move {
            let (outcome, elapsed) = caller.submit(&name, &api, &job).await;
            if matches!(outcome, Outcome::Answered) {
                let ratio = elapsed.as_secs_f64() / ideal.as_secs_f64();
                let ratio = Duration::from_secs_f64(ratio / THOUSAND);
                measure::note(&mut *ratios.lock().await, ratio);
            } else {
                *unanswered.lock().await += 1;
            }
        });
    }
    while running.join_next().await.is_some() {}
    let ratios = ratios.lock().await.clone();
    let unanswered = *unanswered.lock().await;
    (ratios, unanswered)
}

/// One-task jobs and direct calls of a back end in turn.
async fn run_probes(
    cell: Arc<Cell>,
    caller: Caller,
    end: Instant,
) -> (Histogram<u64>, Histogram<u64>) {
    let http = HttpClient::new(PATIENCE);
    let mut job_overhead = measure::times();
    let mut direct_overhead = measure::times();
    let warm = Instant::now() + WARM_UP;
    let mut index = 0;
    while Instant::now() < end {
        index += 1;
        let (name, api) = gateway_address(&cell, index % cell.gateways.len());
        let job = Job {
            request: format!("probe-{index}"),
            tenant: TENANT.to_owned(),
            runs: vec![PROBE_RUN],
            key: None,
            fail: false,
        };
        let (outcome, elapsed) = caller.submit(&name, &api, &job).await;
        let direct = call_directly(&http, &cell, index).await;
        if Instant::now() > warm {
            if matches!(outcome, Outcome::Answered) {
                measure::note(&mut job_overhead, elapsed.saturating_sub(PROBE_RUN));
            }
            if let Some(direct) = direct {
                measure::note(&mut direct_overhead, direct.saturating_sub(PROBE_RUN));
            }
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
    (job_overhead, direct_overhead)
}

async fn call_directly(http: &HttpClient, cell: &Cell, index: usize) -> Option<Duration> {
    let backend = &cell.agents[index % cell.agents.len()].backend_address;
    let input = TaskInput {
        request: format!("direct-{index}"),
        task: 0,
        run_micros: u64::try_from(PROBE_RUN.as_micros()).unwrap_or(0),
        fail: false,
        key: None,
    };
    let uri = format!("{backend}/run/direct/probe");
    let headers = [("content-type", "application/json")];
    let body = serde_json::to_vec(&input).ok()?;
    let started = Instant::now();
    let response = http.exchange(Method::POST, &uri, &headers, body).await;
    response.ok().map(|_| started.elapsed())
}

/// Nothing to do.
async fn run_idle(cell: &Cell) -> Result<Phase, LabError> {
    tokio::time::sleep(Duration::from_secs(IDLE_SETTLING_SECONDS)).await;
    let before = read(cell).await?;
    tokio::time::sleep(Duration::from_secs(IDLE_SECONDS)).await;
    let after = read(cell).await?;
    Ok(phase_of(cell, &before, &after))
}

/// More jobs than the slots can hold, in a closed loop.
async fn run_saturated(cell: &Arc<Cell>, workload: &mut Workload) -> Result<Phase, LabError> {
    let caller = Caller::new(PATIENCE, HistoryWriter::none());
    let mut running = JoinSet::new();
    let begin = Instant::now();
    let end = begin + WARM_UP + Duration::from_secs(SATURATION_SECONDS);
    let mut before = None;
    let mut tasks_in_flight = 0;
    let slots = cell.plan.slots as usize * cell.plan.backends;
    let mut index = 0;
    while Instant::now() < end {
        while tasks_in_flight < slots * SATURATION {
            index += 1;
            let job = workload.draw();
            tasks_in_flight += job.runs.len();
            let (name, api) = gateway_address(cell, index % cell.gateways.len());
            let caller = caller.clone();
            running.spawn(async move {
                let _ = caller.submit(&name, &api, &job).await;
                job.runs.len()
            });
        }
        if let Ok(Some(Ok(tasks))) = tokio::time::timeout(WARM_UP, running.join_next()).await {
            tasks_in_flight -= tasks;
        }
        if before.is_none() && begin.elapsed() > WARM_UP {
            before = Some(read(cell).await?);
        }
    }
    let after = read(cell).await?;
    while running.join_next().await.is_some() {}
    let before = before.ok_or(LabError::TimedOut {
        what: "the first answers",
    })?;
    Ok(phase_of(cell, &before, &after))
}

async fn read(cell: &Cell) -> Result<Reading, LabError> {
    let http = HttpClient::new(PATIENCE);
    let mut messages = Counts::new();
    let (mut starts, mut bytes) = (0, 0);
    for gateway in &cell.gateways {
        let counts = measure::scrape(&http, &gateway.api, MESSAGES).await?;
        measure::add(&mut messages, counts);
        bytes += total(&measure::scrape(&http, &gateway.api, SENT_BYTES).await?);
    }
    for node in cell.agent_metrics() {
        measure::add(
            &mut messages,
            measure::scrape(&http, &node, MESSAGES).await?,
        );
        bytes += total(&measure::scrape(&http, &node, SENT_BYTES).await?);
        starts += total(&measure::scrape(&http, &node, STARTS).await?);
    }
    let gateways = cell.gateways.iter().map(|gateway| gateway.process.pid());
    let agents = cell.agents.iter().map(|agent| agent.process.pid());
    let backends = cell.agents.iter().map(|agent| agent.backend.pid());
    Ok(Reading {
        at: Instant::now(),
        messages,
        bytes,
        starts,
        gateways: gateways.map(measure::processor_seconds).sum(),
        agents: agents
            .chain([cell.hollow_pid()])
            .map(measure::processor_seconds)
            .sum(),
        backends: backends.map(measure::processor_seconds).sum(),
    })
}

fn phase_of(cell: &Cell, before: &Reading, after: &Reading) -> Phase {
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    let messages = measure::since(&before.messages, &after.messages);
    let starts = after.starts - before.starts;
    let sent = total(&messages);
    let wasted = ["not_started", "superseded", "not_here"]
        .iter()
        .filter_map(|kind| messages.get(*kind))
        .sum();
    let per_thousand = |used: f64| used * THOUSAND / float(starts.max(1));
    let percent = |used: f64| used / seconds * PERCENT;
    let memory = cell
        .gateways
        .iter()
        .map(|gateway| measure::resident_mebibytes(gateway.process.pid()))
        .max();
    Phase {
        seconds,
        task_starts: starts,
        starts_per_second: float(starts) / seconds,
        messages_per_task: float(sent) / float(starts.max(1)),
        wasted_messages: wasted,
        messages,
        bytes_per_second: float(after.bytes - before.bytes) / seconds,
        gateways_core_percent: percent(after.gateways - before.gateways),
        agents_core_percent: percent(after.agents - before.agents),
        processor_seconds_per_1000_tasks: Processors {
            gateways: per_thousand(after.gateways - before.gateways),
            agents: per_thousand(after.agents - before.agents),
            backends: per_thousand(after.backends - before.backends),
        },
        gateway_mebibytes: memory.unwrap_or(0),
    }
}

fn report_of(
    preset: &Preset,
    load: f64,
    scale: f64,
    seconds: u64,
    mixed: Option<Mixed>,
    saturation: Phase,
) -> Report {
    let job = mixed
        .as_ref()
        .map(|mixed| measure::figures(&mixed.job_overhead));
    let direct = mixed
        .as_ref()
        .map(|mixed| measure::figures(&mixed.direct_overhead));
    Report {
        preset: preset.name,
        load,
        task_time_factor: scale,
        seconds,
        response_over_ideal: mixed.as_ref().map(|mixed| measure::figures(&mixed.ratios)),
        job_overhead_ms: job,
        direct_overhead_ms: direct,
        added_latency_p50_ms: job.zip(direct).map(|(job, direct)| job.p50 - direct.p50),
        added_latency_p99_ms: job.zip(direct).map(|(job, direct)| job.p99 - direct.p99),
        unanswered: mixed.map_or(0, |mixed| mixed.unanswered),
        idle: Phase::default(),
        saturation,
    }
}

fn print(report: &Report) {
    println!(
        "{} at load {}, task times x {}, {} s",
        report.preset, report.load, report.task_time_factor, report.seconds
    );
    if let Some(ratio) = report.response_over_ideal {
        println!(
            "response over ideal: mean {:.3}, p50 {:.3}, p99 {:.3} ({} jobs, {} unanswered)",
            ratio.mean, ratio.p50, ratio.p99, ratio.count, report.unanswered
        );
    }
    if let (Some(p50), Some(p99)) = (report.added_latency_p50_ms, report.added_latency_p99_ms) {
        println!("added latency per task: p50 {p50:.3} ms, p99 {p99:.3} ms");
    }
    let idle = &report.idle;
    println!(
        "idle: {:.0} bytes/s, gateways {:.2}% and agents {:.2}% of a core; {:?}",
        idle.bytes_per_second, idle.gateways_core_percent, idle.agents_core_percent, idle.messages
    );
    let phase = &report.saturation;
    println!(
        "saturation: {:.0} starts/s, {:.3} messages per task, {} wasted; {:?}",
        phase.starts_per_second, phase.messages_per_task, phase.wasted_messages, phase.messages
    );
    println!(
        "processor seconds per 1,000 tasks: {:?}; largest gateway {} MiB",
        phase.processor_seconds_per_1000_tasks, phase.gateway_mebibytes
    );
}

fn total(counts: &Counts) -> u64 {
    counts.values().sum()
}

fn gateway_address(cell: &Cell, index: usize) -> (String, String) {
    let gateway = &cell.gateways[index];
    (gateway.process.name().to_owned(), gateway.api.clone())
}

#[expect(clippy::cast_precision_loss, reason = "a figure for people")]
fn float(value: u64) -> f64 {
    value as f64
}
