//! The commands.

use std::io::BufReader;
use std::path::{Path, PathBuf};
use std::time::Duration;

use laurelstile::error::OperatorError;
use laurelstile::explain::explain;
use laurelstile::loss::Accountant;
use laurelstile::operator::{ChangeOrder, Operator, draw_change_id};
use laurelstile::plan::Plan;
use laurelstile_history::check::{Bounds, check};
use laurelstile_history::file::read_histories;
use laurelstile_sim::replay::{jobs_of, replay};
use laurelstile_types::api::{NodeStatus, Status};
use laurelstile_types::configuration::Configuration;
use laurelstile_types::id::ChangeId;
use laurelstile_types::json::read_json_file;
use laurelstile_types::revision::Change;
use serde::Serialize;

use crate::flags::{Laurelstile, LaurelstileCmd};
use crate::output::say;

const DEFAULT_TIMEOUT_SECONDS: u64 = 30;
const TOKEN_VARIABLE: &str = "LAURELSTILE_TOKEN";

/// Runs the command of the command line.
pub async fn run(flags: Laurelstile) -> Result<(), OperatorError> {
    let json = flags.json;
    match &flags.subcommand {
        LaurelstileCmd::Check(flags) => run_check(&flags.file, json),
        LaurelstileCmd::Apply(apply) => {
            let configuration = read_configuration(&apply.file)?;
            let order = order(
                Change::Apply(configuration),
                apply.change_id.as_deref(),
                apply.expect,
                apply.timeout,
            );
            run_change(&flags, &order, apply.wait).await
        }
        LaurelstileCmd::Explain(flags) => run_explain(&flags.job, &flags.logs, json),
        LaurelstileCmd::Loss(flags) => run_loss(&flags.logs, json),
        LaurelstileCmd::Drain(drain) => {
            let change = Change::Drain(drain.backend.as_str().into());
            let order = order(change, drain.change_id.as_deref(), None, drain.timeout);
            run_change(&flags, &order, drain.wait).await
        }
        LaurelstileCmd::Stop(stop) => {
            let change = Change::Stop(stop.service.as_str().into());
            let order = order(change, stop.change_id.as_deref(), None, stop.timeout);
            run_change(&flags, &order, stop.wait).await
        }
        LaurelstileCmd::Status(_) => run_status(&flags).await,
        LaurelstileCmd::Plan(plan) => run_plan(&flags, &plan.file).await,
        LaurelstileCmd::Replay(flags) => run_replay(&flags.file, &flags.histories, json),
        LaurelstileCmd::CheckHistory(flags) => run_check_history(&flags.histories, json),
    }
}

fn run_check(file: &Path, json: bool) -> Result<(), OperatorError> {
    let configuration = read_configuration(file)?;
    let checked = Checked {
        pools: configuration.pools.len(),
        backends: configuration.backends().count(),
        services: configuration.services.len(),
        tenants: configuration.tenants.len(),
    };
    if json {
        return print_json(&checked);
    }
    say!(
        "{}: {} pools, {} back ends, {} services, {} tenants",
        file.display(),
        checked.pools,
        checked.backends,
        checked.services,
        checked.tenants
    );
    Ok(())
}

#[derive(Serialize)]
struct Checked {
    pools: usize,
    backends: usize,
    services: usize,
    tenants: usize,
}

fn read_configuration(file: &Path) -> Result<Configuration, OperatorError> {
    let configuration: Configuration = read_json_file(file)?;
    configuration.check()?;
    Ok(configuration)
}

fn order(
    change: Change,
    id: Option<&str>,
    expected_head: Option<u64>,
    timeout_seconds: Option<u64>,
) -> ChangeOrder {
    ChangeOrder {
        id: id.map_or_else(draw_change_id, ChangeId::from),
        change,
        expected_head,
        patience: Duration::from_secs(timeout_seconds.unwrap_or(DEFAULT_TIMEOUT_SECONDS)),
    }
}

#[derive(Serialize)]
struct Accepted {
    change: ChangeId,
    revision: u64,
    in_force_everywhere: bool,
}

async fn run_change(
    flags: &Laurelstile,
    order: &ChangeOrder,
    wait: bool,
) -> Result<(), OperatorError> {
    let operator = operator(flags)?;
    let revision = operator.change(order).await?;
    if wait {
        operator.wait_in_force(revision, order.patience).await?;
    }
    if flags.json {
        return print_json(&Accepted {
            change: order.id.clone(),
            revision,
            in_force_everywhere: wait,
        });
    }
    let state = if wait {
        "in force everywhere"
    } else {
        "accepted"
    };
    say!("revision {revision} {state}");
    Ok(())
}

#[derive(Serialize)]
struct GatewayStatus {
    address: String,
    status: Option<Status>,
    error: Option<String>,
}

async fn run_status(flags: &Laurelstile) -> Result<(), OperatorError> {
    let mut all = Vec::new();
    for (address, status) in operator(flags)?.statuses().await {
        let (status, error) = match status {
            Ok(status) => (Some(status), None),
            Err(error) => (None, Some(error.to_string())),
        };
        all.push(GatewayStatus {
            address,
            status,
            error,
        });
    }
    if flags.json {
        print_json(&all)?;
    } else {
        all.iter().for_each(print_status);
    }
    if all.iter().all(|gateway| gateway.status.is_none()) {
        return Err(OperatorError::NoGateway(None));
    }
    Ok(())
}

fn print_status(gateway: &GatewayStatus) {
    let Some(status) = &gateway.status else {
        let error = gateway.error.as_deref().unwrap_or("no answer");
        say!("{}: {error}", gateway.address);
        return;
    };
    let state = if status.ready { "ready" } else { "not ready" };
    say!(
        "gateway {} at {}: {state}, revision {}, {} submissions, {} queued tasks",
        status.gateway,
        gateway.address,
        status.revision,
        status.submissions,
        status.queued_tasks
    );
    for peer in &status.peers {
        print_node("peer", peer);
    }
    for agent in &status.agents {
        print_node("agent", agent);
    }
}

fn print_node(kind: &str, node: &NodeStatus) {
    let state = match (node.live, node.draining) {
        (false, _) => "no session",
        (true, true) => "draining",
        (true, false) => "live",
    };
    say!(
        "  {kind} {}: {state}, revision {}, {} free slots",
        node.name,
        node.revision,
        node.free_slots
    );
}

async fn run_plan(flags: &Laurelstile, file: &Path) -> Result<(), OperatorError> {
    let configuration = read_configuration(file)?;
    let current = operator(flags)?.configuration().await?;
    let plan = Plan::of(
        current.as_ref().map_or(0, |revision| revision.number),
        current.as_ref().map(|revision| &revision.configuration),
        &configuration,
    );
    if flags.json {
        return print_json(&plan);
    }
    crate::output::write(format_args!("{plan}"));
    Ok(())
}

fn run_replay(file: &Path, histories: &[PathBuf], json: bool) -> Result<(), OperatorError> {
    let configuration = read_configuration(file)?;
    let jobs = jobs_of(&read_histories(histories)?);
    let count = jobs.len();
    let outcome = replay(&configuration, jobs);
    if json {
        return print_json(&outcome);
    }
    say!(
        "{count} jobs: response over ideal mean {:.3}, p50 {:.3}, p99 {:.3}; \
         {:.2} messages per task",
        outcome.mean,
        outcome.p50,
        outcome.p99,
        outcome.messages_per_task
    );
    Ok(())
}

fn run_check_history(histories: &[PathBuf], json: bool) -> Result<(), OperatorError> {
    let report = check(&read_histories(histories)?, Bounds::default());
    if json {
        print_json(&report)?;
    } else {
        say!(
            "{} submissions: {} answered, {} refused as not run, {} failed, {} lost; {} starts",
            report.submissions,
            report.answered,
            report.refused_not_run,
            report.failed,
            report.lost,
            report.starts
        );
        for violation in &report.violations {
            say!("broken: {:?}: {}", violation.point, violation.message);
            for event in &violation.events {
                say!("  {}", serde_json::to_string(event)?);
            }
        }
    }
    if report.violations.is_empty() {
        return Ok(());
    }
    Err(OperatorError::Violations {
        violations: report.violations.len(),
    })
}

fn operator(flags: &Laurelstile) -> Result<Operator, OperatorError> {
    if flags.gateway.is_empty() {
        return Err(OperatorError::NoAddress);
    }
    let token = match &flags.token_file {
        Some(path) => std::fs::read_to_string(path).map_err(OperatorError::TokenFile)?,
        None => std::env::var(TOKEN_VARIABLE).map_err(|_| OperatorError::NoToken)?,
    };
    Ok(Operator::new(flags.gateway.clone(), token.trim()))
}

fn print_json<T: Serialize>(value: &T) -> Result<(), OperatorError> {
    say!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

fn run_loss(logs: &[PathBuf], json: bool) -> Result<(), OperatorError> {
    let mut accountant = Accountant::default();
    for path in logs {
        let unreadable = |source| OperatorError::Log {
            path: path.clone(),
            source,
        };
        let log = std::fs::File::open(path).map_err(unreadable)?;
        accountant
            .read(&path.display().to_string(), BufReader::new(log))
            .map_err(unreadable)?;
    }
    let account = accountant.finish();
    if json {
        return print_json(&account);
    }
    say!("{account}");
    Ok(())
}

fn run_explain(job: &str, logs: &[PathBuf], json: bool) -> Result<(), OperatorError> {
    let mut texts = Vec::with_capacity(logs.len());
    for path in logs {
        let text = std::fs::read_to_string(path).map_err(|source| OperatorError::Log {
            path: path.clone(),
            source,
        })?;
        texts.push((path.display().to_string(), text));
    }
    let named = texts
        .iter()
        .map(|(name, text)| (name.as_str(), text.as_str()));
    let explanation = explain(job, named);
    if json {
        return print_json(&explanation);
    }
    say!("{explanation}");
    Ok(())
}
