//! The command that runs seeds of leased workers.

use std::collections::BTreeMap;
use std::process::ExitCode;

use laurelstile_history::leased::DoubleRun;
use laurelstile_sim::leased::{
    Disruption, Outcome, Partition, Sabotage, run_cancel_seed, run_disruption_seed,
    run_hazard_seed, run_herd_seed, run_leaving_seed, run_other_kinds_seed, run_other_writers_seed,
    run_partition_seed, run_resending_seed, run_returning_seed, run_seed, run_silences_seed,
};

use crate::flags::{Leased, seed_range};

/// Runs the seeds and prints what they broke.
pub fn run(flags: &Leased) -> ExitCode {
    let Some((from, to)) = seed_range(&flags.seeds) else {
        eprintln!("--seeds takes A..B");
        return ExitCode::from(2);
    };
    let sabotage = match flags.without.as_deref() {
        None => None,
        Some("owner-silence") => Some(Sabotage::NoOwnerSilence),
        Some("leases") => Some(Sabotage::NoLeases),
        Some("takeover") => Some(Sabotage::NoTakeover),
        Some("drains") => Some(Sabotage::NoDrains),
        Some("evacuations") => Some(Sabotage::NoEvacuations),
        Some("crash-news") => Some(Sabotage::NoCrashNews),
        Some("capacity-news") => Some(Sabotage::NoCapacityNews),
        Some("steady-clocks") => Some(Sabotage::SteadyClocks),
        Some("cancel-news") => Some(Sabotage::NoCancelNews),
        Some("claims") => Some(Sabotage::NoClaims),
        Some("deregistrations") => Some(Sabotage::DeregistrationIsEnd),
        Some("births") => Some(Sabotage::NoBirths),
        Some("session-order") => Some(Sabotage::NoSessionOrder),
        Some("process-order") => Some(Sabotage::NoProcessOrder),
        Some(_) => {
            eprintln!(
                "--without takes owner-silence, leases, takeover, drains, evacuations, \
                 crash-news, capacity-news, steady-clocks, cancel-news, claims, \
                 deregistrations, births, session-order or process-order"
            );
            return ExitCode::from(2);
        }
    };
    let disruption = match flags.disruption.as_deref() {
        None => None,
        Some(name) => {
            let Some(disruption) = Disruption::named(name) else {
                eprintln!(
                    "--disruption takes commands, sessions, closing-workers, \
                     succeeded-workers, clock-steps, slow-processes, timed-faults, \
                     overlapping-sessions, late-handshakes, short-lived-processes, \
                     restarted-machines or old-statements"
                );
                return ExitCode::from(2);
            };
            Some(disruption)
        }
    };
    let partition = match flags.partition.as_deref() {
        None => None,
        Some(name) => {
            let Some(partition) = Partition::named(name) else {
                eprintln!("--partition takes gateways, one-way, slow-gateways, mixed or zone");
                return ExitCode::from(2);
            };
            Some(partition)
        }
    };
    let mut bad = 0_u64;
    let (mut prompt, mut late, mut excused) = (0_u64, 0_u64, 0_u64);
    let mut told = BTreeMap::<&str, u64>::new();
    let mut faults = BTreeMap::<&str, u64>::new();
    let mut calm_percents = Vec::new();
    for seed in from..to {
        let outcome = if let Some(disruption) = disruption {
            run_disruption_seed(seed, disruption, sabotage, flags.trace)
        } else if let Some(partition) = partition {
            run_partition_seed(seed, partition, sabotage, flags.trace)
        } else if flags.leaving {
            run_leaving_seed(seed, sabotage)
        } else if flags.herds {
            run_herd_seed(seed, sabotage, flags.trace)
        } else if flags.cancels || flags.lost_callers {
            run_cancel_seed(seed, flags.lost_callers, sabotage, flags.trace)
        } else if flags.other_writers {
            run_other_writers_seed(seed, sabotage)
        } else if flags.other_kinds {
            run_other_kinds_seed(seed, sabotage)
        } else if flags.returning {
            run_returning_seed(seed, sabotage)
        } else if flags.resending {
            let latest_notice = flags.notice_millis.map(|millis| millis * 1_000);
            run_resending_seed(seed, sabotage, latest_notice, flags.trace)
        } else if flags.silences {
            let latest_notice = flags.notice_millis.map(|millis| millis * 1_000);
            run_silences_seed(seed, sabotage, latest_notice, flags.trace)
        } else if flags.hazards {
            run_hazard_seed(seed, sabotage)
        } else {
            run_seed(seed, sabotage, flags.trace)
        };
        add(&mut told, &outcome.told);
        add(&mut faults, &outcome.faults);
        calm_percents.push(outcome.calm_percent);
        for double_run in &outcome.double_runs {
            if double_run.is_excused() {
                excused += 1;
            } else if double_run.has_late_start() {
                late += 1;
            } else {
                prompt += 1;
            }
        }
        if !outcome.violations.is_empty() || !outcome.unused_workers.is_empty() {
            bad += 1;
            show(seed, &outcome);
        }
        if flags.verbose {
            show_history(&outcome);
        }
    }
    let least = calm_percents.iter().min().copied().unwrap_or(100);
    println!(
        "{} seeds, {bad} with violations; calls {told:?}; of the jobs after the faults at least \
         {least}% done; faults {faults:?}",
        to.saturating_sub(from)
    );
    println!(
        "double runs: {prompt} by orders carried out at once, {late} with one carried out late, \
         {excused} excused with one that outlived its process"
    );
    if bad == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn add(sum: &mut BTreeMap<&'static str, u64>, more: &BTreeMap<&'static str, u64>) {
    for (kind, count) in more {
        *sum.entry(kind).or_default() += count;
    }
}

fn show(seed: u64, outcome: &Outcome) {
    if !outcome.unused_workers.is_empty() {
        let workers = &outcome.unused_workers;
        println!("seed {seed}: workers {workers:?} are well and not used");
    }
    for double_run in &outcome.double_runs {
        show_double_run(seed, double_run);
    }
    for violation in &outcome.violations {
        println!(
            "seed {seed}: {:?} at {:.3} s: {}",
            violation.rule,
            seconds(violation.at),
            violation.message
        );
    }
}

fn show_double_run(seed: u64, double_run: &DoubleRun) {
    let gateways = if double_run.has_one_gateway() {
        "one gateway"
    } else {
        "two gateways"
    };
    println!(
        "seed {seed}: {:?} runs twice from {:.3} s, ordered by {gateways}, job submitted {} times{}",
        double_run.task,
        seconds(double_run.at),
        double_run.submissions,
        if double_run.is_excused() {
            ", excused"
        } else {
            ""
        }
    );
    for run in &double_run.runs {
        println!("  {run:?}");
    }
    println!("  {}", double_run.lost_track());
}

fn show_history(outcome: &Outcome) {
    for record in &outcome.records {
        println!("{}", serde_json::to_string(record).unwrap_or_default());
    }
}

#[expect(clippy::cast_precision_loss, reason = "a time of a short run")]
fn seconds(micros: u64) -> f64 {
    micros as f64 / 1_000_000.0
}
