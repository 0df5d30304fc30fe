//! Loads a cell and reports response time over ideal, added latency, messages
//! and processor time per task.

mod preset;
mod report;
mod workload;

use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use http::Method;
use laurelstile_history::file::HistoryWriter;
use laurelstile_lab::error::LabError;
use laurelstile_store::http::HttpClient;
use laurelstile_types::configuration::Tenant;
use laurelstiled::settings::LogLevel;
use rand::Rng;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

use crate::caller::{Caller, Job, Outcome};
use crate::cell::{Cell, CellPlan};
use crate::flags::Load;
use crate::measure;
use crate::standin::backend::TaskInput;
use preset::{PRESETS, Preset};
use report::{Phase, Report, phase_of, print, read, report_of};
use workload::Workload;

const TENANT: &str = "measured";
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
const THOUSAND: f64 = 1_000.0;

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

fn gateway_address(cell: &Cell, index: usize) -> (String, String) {
    let gateway = &cell.gateways[index];
    (gateway.process.name().to_owned(), gateway.api.clone())
}

#[expect(clippy::cast_precision_loss, reason = "a figure for people")]
fn float(value: u64) -> f64 {
    value as f64
}
