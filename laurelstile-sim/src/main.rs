//! The emulator's command line.
#![deny(warnings)]
#![forbid(unsafe_code)]

mod flags;
mod leased_command;

use std::process::ExitCode;

use flags::{LaurelstileSim, LaurelstileSimCmd, Prove};
use laurelstile_core::gateway::{Order, Policy, Routing};
use laurelstile_sim::experiment;
use laurelstile_sim::prove::run_seed;
use laurelstile_sim::world::Sabotage;

fn main() -> ExitCode {
    match LaurelstileSim::from_env_or_exit().subcommand {
        LaurelstileSimCmd::Prove(prove) => run_prove(&prove),
        LaurelstileSimCmd::Leased(flags) => leased_command::run(&flags),
        LaurelstileSimCmd::Experiment(flags) => {
            run_experiments(flags.seconds.unwrap_or(120), flags.seed.unwrap_or(1));
            ExitCode::SUCCESS
        }
    }
}

fn run_prove(flags: &Prove) -> ExitCode {
    let Some((from, to)) = flags::seed_range(&flags.seeds) else {
        eprintln!("--seeds takes A..B");
        return ExitCode::from(2);
    };
    let sabotage = match flags.without.as_deref() {
        None => None,
        Some("recovery") => Some(Sabotage::NoRecovery),
        Some("claims") => Some(Sabotage::NoClaims),
        Some("drains") => Some(Sabotage::NoDrains),
        Some("push") => Some(Sabotage::NoPush),
        Some("hand-over") => Some(Sabotage::NoHandOver),
        Some("submission-ids") => Some(Sabotage::NoSubmissionIds),
        Some("wholeness") => Some(Sabotage::NoWholeness),
        Some("proof") => Some(Sabotage::NoProof),
        Some(_) => {
            eprintln!(
                "--without takes recovery, claims, drains, push, hand-over, submission-ids, \
                 wholeness or proof"
            );
            return ExitCode::from(2);
        }
    };
    let (mut bad, mut submissions, mut answered, mut failed, mut not_run, mut lost) =
        (0_u64, 0, 0, 0, 0, 0);
    let mut faults = std::collections::BTreeMap::<String, u64>::new();
    for seed in from..to {
        let (report, records) = run_seed(seed, sabotage);
        submissions += report.submissions;
        answered += report.answered;
        failed += report.failed;
        not_run += report.refused_not_run;
        lost += report.lost;
        for (kind, count) in &report.faults {
            *faults.entry(kind.clone()).or_default() += count;
        }
        if !report.violations.is_empty() {
            bad += 1;
            println!("seed {seed}: {:?}", report.violations_by_point());
            if flags.verbose {
                for violation in &report.violations {
                    println!("  {:?}: {}", violation.point, violation.message);
                    for event in &violation.events {
                        println!("    {}", serde_json::to_string(event).unwrap_or_default());
                    }
                }
            }
        }
        if flags.history {
            for record in &records {
                println!("{}", serde_json::to_string(record).unwrap_or_default());
            }
        }
    }
    println!(
        "{} seeds, {bad} with violations; {submissions} submissions: {answered} answered, \
         {not_run} refused as not run, {failed} failed, {lost} lost; faults {faults:?}",
        to.saturating_sub(from)
    );
    if bad == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn run_experiments(seconds: u64, seed: u64) {
    let least_remaining = |ageing_permille| Order::LeastRemaining { ageing_permille };
    let one = Routing::OnePerPool;
    let ways = [
        ("fifo, one scheduler", Order::Fifo, one),
        ("each entry gateway", least_remaining(20), Routing::Entry),
        ("one scheduler, no ageing", least_remaining(0), one),
        ("one scheduler, ageing 0.01", least_remaining(10), one),
        ("one scheduler, ageing 0.02", least_remaining(20), one),
        ("one scheduler, ageing 0.05", least_remaining(50), one),
        ("one scheduler, ageing 0.1", least_remaining(100), one),
        ("one scheduler, ageing 0.5", least_remaining(500), one),
    ];
    println!("way | load | answered | mean | p50 | p99 | messages per task");
    for (name, order, routing) in ways {
        for load in [0.5, 0.8, 0.95] {
            let outcome = experiment::run(Policy { order, routing }, load, seconds, seed);
            println!(
                "{name} | {load} | {} | {:.3} | {:.3} | {:.3} | {:.2}",
                outcome.answered, outcome.mean, outcome.p50, outcome.p99, outcome.messages_per_task
            );
        }
    }
}
