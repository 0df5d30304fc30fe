//! Real processes under a seeded schedule of faults, judged by the history
//! checker.

mod actors;
mod schedule;

use std::collections::BTreeMap;
use std::time::Duration;

use laurelstile_history::check::{Bounds, Point, check};
use laurelstile_history::file::{HistoryWriter, read_histories};
use laurelstile_types::configuration::Tenant;
use laurelstiled::settings::LogLevel;
use serde::Serialize;
use tokio::time::Instant;

use crate::cell::{Cell, CellPlan};
use crate::flags::Prove;
use laurelstile_lab::error::LabError;

const GATEWAYS: usize = 3;
const BACKENDS: usize = 5;
const SLOTS: u32 = 4;
/// Deadline of every job.
const DEADLINE: Duration = Duration::from_secs(12);
/// How long callers wait, longer than every deadline.
const CALLER_PATIENCE: Duration = Duration::from_secs(20);
/// Time after the last fault for everything to settle.
const SETTLING: Duration = Duration::from_secs(14);
/// Names of the tenants.
pub const TENANTS: [&str; 2] = ["advisers", "laboratories"];

/// What a run prints.
#[derive(Debug, Serialize)]
struct Summary {
    seed: u64,
    seconds: u64,
    submissions: u64,
    answered: u64,
    refused_not_run: u64,
    failed: u64,
    lost: u64,
    starts: u64,
    faults: BTreeMap<String, u64>,
    fault_kinds_not_injected: Vec<String>,
    violations: BTreeMap<Point, u64>,
    config_max_seconds_in_force: f64,
    drain_max_seconds: f64,
    cut_off_by_planned_stop: u64,
    claims_not_judged: u64,
}

/// Runs a cell under faults.
///
/// # Errors
/// [`LabError`]; `Unexpected` if a point is broken or a fault kind was not
/// injected.
pub async fn run(flags: Prove) -> Result<(), LabError> {
    let seconds = flags.seconds.unwrap_or(60);
    let mut cell = Cell::start(plan()).await?;
    let lab = HistoryWriter::open(&cell.history_of("lab"), "lab")?;
    let operators = HistoryWriter::open(&cell.history_of("operators"), "operator")?;
    let callers = HistoryWriter::open(&cell.history_of("callers"), "caller")?;
    actors::apply(&cell, &operators).await?;

    let end = Instant::now() + Duration::from_secs(seconds);
    let addresses = actors::addresses(&cell);
    let load = tokio::spawn(actors::submit_until(end, flags.seed, addresses, callers));
    let kinds = schedule::inject(&mut cell, &lab, &operators, flags.seed, end).await?;
    tokio::time::sleep_until(end).await;
    let _ = load.await;
    tokio::time::sleep(SETTLING).await;

    let records = read_histories(&cell.histories())?;
    let report = check(&records, Bounds::default());
    let missing: Vec<String> = schedule::KINDS
        .iter()
        .filter(|kind| !kinds.contains_key(**kind))
        .map(|kind| (*kind).to_owned())
        .collect();
    let summary = Summary {
        seed: flags.seed,
        seconds,
        submissions: report.submissions,
        answered: report.answered,
        refused_not_run: report.refused_not_run,
        failed: report.failed,
        lost: report.lost,
        starts: report.starts,
        faults: kinds,
        fault_kinds_not_injected: missing,
        violations: report.violations_by_point(),
        config_max_seconds_in_force: report.config_max_seconds_in_force,
        drain_max_seconds: report.drain_max_seconds,
        cut_off_by_planned_stop: report.cut_off_by_planned_stop,
        claims_not_judged: report.claims_not_judged,
    };
    if flags.json {
        println!("{}", serde_json::to_string_pretty(&summary)?);
    } else {
        println!("{summary:#?}");
    }
    if let Some(directory) = flags.keep {
        cell.keep(&directory)?;
    }
    for violation in report.violations.iter().take(10) {
        eprintln!("{}", serde_json::to_string(violation)?);
    }
    if summary.violations.is_empty() && summary.fault_kinds_not_injected.is_empty() {
        return Ok(());
    }
    Err(LabError::Unexpected {
        what: format!(
            "violations {:?}, kinds of fault not injected {:?}",
            summary.violations, summary.fault_kinds_not_injected
        ),
    })
}

fn plan() -> CellPlan {
    let slots = SLOTS * u32::try_from(BACKENDS).unwrap_or(u32::MAX);
    CellPlan {
        gateways: GATEWAYS,
        backends: BACKENDS,
        hollow: false,
        slots: SLOTS,
        zones: ["a", "b", "c"].map(str::to_owned).to_vec(),
        tenants: TENANTS
            .iter()
            .map(|name| Tenant {
                name: (*name).into(),
                weight: 1,
                quota_slots: slots * 3 / 4,
                max_queued_tasks: 2_000,
            })
            .collect(),
        deadline: DEADLINE,
        expected_run: Duration::from_millis(300),
        relays: true,
        histories: true,
        log_level: LogLevel::Info,
    }
}
