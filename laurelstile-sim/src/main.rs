//! The emulator's command line.
#![deny(warnings)]
#![forbid(unsafe_code)]

mod crashes_command;
mod flags;
mod leased_command;
mod scale_command;
mod search_command;

use std::process::ExitCode;

use flags::{LaurelstileSim, LaurelstileSimCmd, Prove};
use laurelstile_sim::prove::run_seed;
use laurelstile_sim::world::Sabotage;

fn main() -> ExitCode {
    match LaurelstileSim::from_env_or_exit().subcommand {
        LaurelstileSimCmd::Prove(prove) => run_prove(&prove),
        LaurelstileSimCmd::Leased(flags) => leased_command::run(&flags),
        LaurelstileSimCmd::Crashes(flags) => crashes_command::run(&flags),
        LaurelstileSimCmd::Scale(flags) => scale_command::run(&flags),
        LaurelstileSimCmd::Search(flags) => search_command::run(&flags),
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
