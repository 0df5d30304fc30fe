//! Callers and operators of a run under faults.

use std::time::Duration;

use laurelstile::operator::{ChangeOrder, draw_change_id};
use laurelstile_history::event::Event;
use laurelstile_history::file::HistoryWriter;
use laurelstile_types::id::IdempotencyKey;
use laurelstile_types::revision::Change;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::{CALLER_PATIENCE, TENANTS};
use crate::caller::{Caller, Job, Outcome};
use crate::cell::Cell;
use laurelstile_lab::error::LabError;

/// Mean time between two jobs.
const MEAN_GAP_MILLIS: f64 = 130.0;
/// Bursts of twice the capacity: the gaps shrink by this factor.
const BURST_FACTOR: f64 = 4.0;
/// Length of a burst, and of the lull after it.
const BURST: Duration = Duration::from_secs(5);
/// How long an operator tries to have a change accepted.
const OPERATOR_PATIENCE: Duration = Duration::from_secs(60);
/// Most submissions of one request.
const MOST_TRIES: u32 = 3;
/// Pause before a lost request is submitted again.
const RESUBMIT_PAUSE: Duration = Duration::from_millis(100);

/// Names and API addresses of the gateways.
pub fn addresses(cell: &Cell) -> Vec<(String, String)> {
    cell.gateways
        .iter()
        .map(|gateway| (gateway.process.name().to_owned(), gateway.api.clone()))
        .collect()
}

/// Submits jobs until `end`, then waits for their answers.
pub async fn submit_until(
    end: Instant,
    seed: u64,
    gateways: Vec<(String, String)>,
    history: HistoryWriter,
) {
    let mut random = Pcg64::seed_from_u64(seed);
    let caller = Caller::new(CALLER_PATIENCE, history);
    let begin = Instant::now();
    let mut running = JoinSet::new();
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        let in_burst = (begin.elapsed().as_millis() / BURST.as_millis()) % 2 == 1;
        let factor = if in_burst { BURST_FACTOR } else { 1.0 };
        let unit: f64 = random.random();
        let gap = -unit.max(1e-9).ln() * MEAN_GAP_MILLIS / factor;
        tokio::time::sleep(Duration::from_secs_f64(gap / 1_000.0)).await;
        let job = draw_job(number, &mut random);
        let first = random.random_range(0..gateways.len());
        let (caller, gateways) = (caller.clone(), gateways.clone());
        running.spawn(submit_with_retries(caller, gateways, first, job));
    }
    while running.join_next().await.is_some() {}
}

/// A client whose job is lost submits it again, at another gateway, with the
/// same key.
async fn submit_with_retries(
    caller: Caller,
    gateways: Vec<(String, String)>,
    first: usize,
    job: Job,
) {
    for number in 0..MOST_TRIES {
        let (name, api) = &gateways[(first + number as usize) % gateways.len()];
        let job = Job {
            request: format!("{}-{number}", job.request),
            ..job.clone()
        };
        let (outcome, _) = caller.submit(name, api, &job).await;
        let may_retry = match outcome {
            Outcome::Answered => false,
            Outcome::Lost => true,
            Outcome::Failed(failure) => failure.retry_after_millis.is_some(),
        };
        if !may_retry {
            return;
        }
        tokio::time::sleep(RESUBMIT_PAUSE).await;
    }
}

fn draw_job(number: u64, random: &mut Pcg64) -> Job {
    let tasks = random.random_range(1..=8);
    let runs = (0..tasks)
        .map(|_| Duration::from_millis(random.random_range(50..700)))
        .collect();
    let unrepeatable = random.random_bool(0.3);
    Job {
        request: format!("request-{number}"),
        tenant: TENANTS[random.random_range(0..TENANTS.len())].to_owned(),
        runs,
        key: unrepeatable.then(|| IdempotencyKey(format!("key-{number}"))),
        fail: random.random_bool(0.02),
    }
}

/// Applies the cell's configuration and waits until it is in force.
pub async fn apply(cell: &Cell, history: &HistoryWriter) -> Result<(), LabError> {
    let revision = change(cell, history, Change::Apply(cell.configuration())).await?;
    let operator = cell.operator();
    operator.wait_in_force(revision, OPERATOR_PATIENCE).await?;
    Ok(())
}

/// Has a change accepted, however long it takes.
pub async fn change(cell: &Cell, history: &HistoryWriter, change: Change) -> Result<u64, LabError> {
    let order = ChangeOrder {
        id: draw_change_id(),
        change,
        expected_head: None,
        patience: OPERATOR_PATIENCE,
    };
    let drains = match &order.change {
        Change::Drain(backend) => Some(backend.to_string()),
        _ => None,
    };
    history.record(Event::ChangeRequested {
        change: order.id.clone(),
    });
    let revision = cell.operator().change(&order).await?;
    history.record(Event::ChangeAccepted {
        change: order.id,
        revision,
        drains,
    });
    Ok(revision)
}
