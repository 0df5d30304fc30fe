//! The demonstration: the whole path as processes, with a short report.

use std::time::{Duration, Instant};

use laurelstile::operator::{ChangeOrder, draw_change_id};
use laurelstile_history::file::HistoryWriter;
use laurelstile_types::configuration::Tenant;
use laurelstile_types::revision::Change;
use laurelstiled::settings::LogLevel;

use crate::caller::{Caller, Job, Outcome};
use crate::cell::{Cell, CellPlan};
use laurelstile_lab::error::LabError;

const PATIENCE: Duration = Duration::from_secs(20);
const JOBS: usize = 40;
const TASKS_PER_JOB: usize = 12;

/// Runs the demonstration.
///
/// # Errors
/// [`LabError`] if anything does not go as it should.
pub async fn run() -> Result<(), LabError> {
    let began = Instant::now();
    let mut cell = Cell::start(plan()).await?;
    println!(
        "started    platform, {} gateways, {} agents and back ends as processes ({:.1} s)",
        cell.gateways.len(),
        cell.agents.len(),
        began.elapsed().as_secs_f64()
    );
    let revision = cell.apply().await?;
    println!("applied    a file; revision {revision} is in force everywhere");

    run_jobs(&cell, "before").await?;
    run_once(&cell).await?;
    drain(&cell).await?;
    run_jobs(&cell, "drained").await?;
    stop(&mut cell).await?;
    println!(
        "done       every process has ended ({:.1} s in all)",
        began.elapsed().as_secs_f64()
    );
    Ok(())
}

fn plan() -> CellPlan {
    CellPlan {
        gateways: 2,
        backends: 3,
        hollow: false,
        slots: 8,
        zones: ["rennes", "vannes", "brest"].map(str::to_owned).to_vec(),
        tenants: vec![Tenant {
            name: "advisers".into(),
            weight: 1,
            quota_slots: 24,
            max_queued_tasks: 10_000,
        }],
        deadline: Duration::from_secs(20),
        expected_run: Duration::from_millis(50),
        relays: false,
        histories: false,
        log_level: LogLevel::Info,
    }
}

async fn run_jobs(cell: &Cell, label: &str) -> Result<(), LabError> {
    let caller = Caller::new(PATIENCE, HistoryWriter::none());
    let began = Instant::now();
    let mut running = tokio::task::JoinSet::new();
    for index in 0..JOBS {
        let gateway = &cell.gateways[index % cell.gateways.len()];
        let (name, api) = (gateway.process.name().to_owned(), gateway.api.clone());
        let job = job(format!("{label}-{index}"), None);
        let caller = caller.clone();
        running.spawn(async move { caller.submit(&name, &api, &job).await });
    }
    let mut slowest = Duration::ZERO;
    while let Some(ended) = running.join_next().await {
        match ended {
            Ok((Outcome::Answered, elapsed)) => slowest = slowest.max(elapsed),
            other => {
                return Err(LabError::Unexpected {
                    what: format!("{other:?}"),
                });
            }
        }
    }
    println!(
        "answered   {JOBS} jobs of {TASKS_PER_JOB} tasks over both gateways, all whole ({:.2} s, slowest {:.2} s)",
        began.elapsed().as_secs_f64(),
        slowest.as_secs_f64()
    );
    Ok(())
}

/// A request that may not be repeated, sent twice.
async fn run_once(cell: &Cell) -> Result<(), LabError> {
    let caller = Caller::new(PATIENCE, HistoryWriter::none());
    let mut outcomes = Vec::new();
    for (index, gateway) in cell.gateways.iter().enumerate() {
        let job = job(format!("once-{index}"), Some("charged-search-1"));
        let name = gateway.process.name();
        outcomes.push(caller.submit(name, &gateway.api, &job).await.0);
    }
    match outcomes.as_slice() {
        [Outcome::Answered, Outcome::Failed(failure)] => {
            println!(
                "once       a charged search ran; the same key at another gateway: {}",
                failure.message
            );
            Ok(())
        }
        other => Err(LabError::Unexpected {
            what: format!("{other:?}"),
        }),
    }
}

async fn drain(cell: &Cell) -> Result<(), LabError> {
    let operator = cell.operator();
    let name = cell.agents[0].process.name();
    let order = ChangeOrder {
        id: draw_change_id(),
        change: Change::Drain(name.into()),
        expected_head: None,
        patience: PATIENCE,
    };
    let began = Instant::now();
    let revision = operator.change(&order).await?;
    operator.wait_in_force(revision, PATIENCE).await?;
    println!(
        "drained    {name}; revision {revision} in force everywhere after {:.2} s",
        began.elapsed().as_secs_f64()
    );
    Ok(())
}

/// Stops every process in a planned way: gateways, then agents.
async fn stop(cell: &mut Cell) -> Result<(), LabError> {
    let gateways = cell.gateways.iter_mut().map(|gateway| &mut gateway.process);
    let agents = cell.agents.iter_mut().map(|agent| &mut agent.process);
    for process in gateways.chain(agents) {
        process.terminate()?;
        if !process.wait(PATIENCE).await {
            return Err(LabError::TimedOut {
                what: "a planned stop",
            });
        }
    }
    println!("stopped    gateways and agents, in a planned way");
    for agent in &mut cell.agents {
        agent.backend.kill().await?;
    }
    cell.platform.kill().await
}

fn job(request: String, key: Option<&str>) -> Job {
    Job {
        request,
        tenant: "advisers".to_owned(),
        runs: vec![Duration::from_millis(50); TASKS_PER_JOB],
        key: key.map(Into::into),
        fail: false,
    }
}
