//! What a load run gave, and what its phases cost.

use std::time::Instant;

use laurelstile_lab::error::LabError;
use laurelstile_store::http::HttpClient;
use laurelstile_wire::traffic::SENT_BYTES;
use laurelstiled::telemetry::{MESSAGES_SENT, TASK_STARTS};
use serde::Serialize;

use super::preset::Preset;
use super::{Mixed, PATIENCE, THOUSAND, float};
use crate::cell::Cell;
use crate::measure::{self, Counts, Figures};

const PERCENT: f64 = 100.0;

/// What a load run gave.
#[derive(Debug, Serialize)]
pub(super) struct Report {
    pub(super) preset: &'static str,
    pub(super) load: f64,
    pub(super) task_time_factor: f64,
    pub(super) seconds: u64,
    /// Response time over ideal under the mixed load.
    pub(super) response_over_ideal: Option<Figures>,
    /// Time of a one-task job less its run time, in ms.
    pub(super) job_overhead_ms: Option<Figures>,
    /// Time of a direct call of a back end less its run time, in ms.
    pub(super) direct_overhead_ms: Option<Figures>,
    pub(super) added_latency_p50_ms: Option<f64>,
    pub(super) added_latency_p99_ms: Option<f64>,
    /// Jobs that got no answer.
    pub(super) unanswered: u64,
    /// Nothing to do, after all sessions are open.
    pub(super) idle: Phase,
    pub(super) saturation: Phase,
}

/// What a phase cost.
#[derive(Debug, Default, Serialize)]
pub(super) struct Phase {
    pub(super) seconds: f64,
    pub(super) task_starts: u64,
    pub(super) starts_per_second: f64,
    pub(super) messages_per_task: f64,
    /// Messages that moved no work: refused starts and superseded work.
    pub(super) wasted_messages: u64,
    pub(super) messages: Counts,
    /// Bytes of messages that all nodes sent, a second.
    pub(super) bytes_per_second: f64,
    /// Share of a core that the gateways used together, in percent.
    pub(super) gateways_core_percent: f64,
    /// Share of a core that the agents used together, in percent.
    pub(super) agents_core_percent: f64,
    pub(super) processor_seconds_per_1000_tasks: Processors,
    pub(super) gateway_mebibytes: u64,
}

#[derive(Debug, Default, Serialize)]
pub(super) struct Processors {
    pub(super) gateways: f64,
    pub(super) agents: f64,
    pub(super) backends: f64,
}

/// Everything that is counted at one point in time.
pub(super) struct Reading {
    pub(super) at: Instant,
    pub(super) messages: Counts,
    pub(super) bytes: u64,
    pub(super) starts: u64,
    pub(super) gateways: f64,
    pub(super) agents: f64,
    pub(super) backends: f64,
}

pub(super) async fn read(cell: &Cell) -> Result<Reading, LabError> {
    let http = HttpClient::new(PATIENCE);
    let mut messages = Counts::new();
    let (mut starts, mut bytes) = (0, 0);
    for gateway in &cell.gateways {
        let counts = measure::scrape(&http, &gateway.api, MESSAGES_SENT).await?;
        measure::add(&mut messages, counts);
        bytes += total(&measure::scrape(&http, &gateway.api, SENT_BYTES).await?);
    }
    for node in cell.agent_metrics() {
        measure::add(
            &mut messages,
            measure::scrape(&http, &node, MESSAGES_SENT).await?,
        );
        bytes += total(&measure::scrape(&http, &node, SENT_BYTES).await?);
        starts += total(&measure::scrape(&http, &node, TASK_STARTS).await?);
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

pub(super) fn phase_of(cell: &Cell, before: &Reading, after: &Reading) -> Phase {
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

pub(super) fn report_of(
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

pub(super) fn print(report: &Report) {
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
