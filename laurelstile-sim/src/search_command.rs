//! The command that searches for two runs of a task at the same time.

use std::process::ExitCode;

use laurelstile_sim::search::fault::Basis;
use laurelstile_sim::search::{
    Class, Mechanism, SUBMITTED_AT, SearchOptions, Setup, search, timeline,
};

use crate::flags::Search;

/// Runs a search and prints the classes of histories that it finds.
pub fn run(flags: &Search) -> ExitCode {
    let without = match flags.without.as_deref() {
        None => None,
        Some("leases") => Some(Mechanism::Leases),
        Some("owner-timeout") => Some(Mechanism::OwnerTimeout),
        Some(_) => {
            eprintln!("--without takes leases or owner-timeout");
            return ExitCode::from(2);
        }
    };
    let setup = Setup {
        has_start_times: flags.start_times,
        has_busy_sessions: flags.busy_sessions,
        has_same_gateway: flags.same_gateway,
        without,
    };
    let options = SearchOptions {
        setup,
        detail: None,
        faults: flags.faults,
        threads: flags.threads.unwrap_or(2),
        only_stated: flags.only_stated,
        kinds: flags.kinds.as_deref().map(split_kinds).unwrap_or_default(),
        first: flags.first.clone().unwrap_or_default(),
        stride: flags.stride.unwrap_or(1),
    };
    if !(1..=3).contains(&options.faults) {
        eprintln!("--faults takes 1, 2 or 3");
        return ExitCode::from(2);
    }
    let report = search(&options);
    for class in &report.classes {
        show(setup, class, flags.verbose);
    }
    let stated = report
        .classes
        .iter()
        .filter(|class| class.basis == Basis::Stated)
        .count();
    println!(
        "{} histories of {} faults, {} classes with two runs at the same time, {stated} of them \
         by faults that the platform's documents state",
        report.played,
        options.faults,
        report.classes.len(),
    );
    if report.classes.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn split_kinds(kinds: &str) -> Vec<String> {
    kinds.split(';').map(|kind| kind.trim().into()).collect()
}

fn show(setup: Setup, class: &Class, is_verbose: bool) {
    println!("== {} ({} histories)", class.kinds.join(" + "), class.count);
    let overlap = &class.overlap;
    let [earlier, later] = &overlap.runs;
    println!(
        "   worker-{} runs it for gateway-{} since {}, worker-{} for gateway-{} since {}; submitted {} times",
        earlier.worker,
        earlier.gateway,
        relative(earlier.started),
        later.worker,
        later.gateway,
        relative(later.started),
        overlap.submissions,
    );
    for scheduled in &class.faults {
        let (basis, source) = scheduled.fault.basis();
        println!(
            "   {} {:?} [{basis:?}: {source}]",
            relative(scheduled.at),
            scheduled.fault
        );
    }
    if is_verbose {
        for (at, line) in timeline(setup, &class.faults) {
            println!("      {} {line}", relative(at));
        }
    }
}

/// A time relative to the submission, in milliseconds.
fn relative(at: u64) -> String {
    let micros = i64::try_from(at).unwrap_or(i64::MAX) - i64::try_from(SUBMITTED_AT).unwrap_or(0);
    format!("{:+.1} ms", micros as f64 / 1_000.0)
}
