//! The command that plays fleets of several sizes.

use std::process::ExitCode;

use laurelstile_sim::fleet::{FleetReport, FleetSize, Scenario, run_fleet};

use crate::flags::Scale;

/// Agents for each hundred gateways, unless they are given.
const AGENTS_PER_HUNDRED: usize = 435;

/// Plays the scenario at each size and prints what it cost.
pub fn run(flags: &Scale) -> ExitCode {
    let Some(scenario) = scenario_of(&flags.scenario) else {
        eprintln!("--scenario takes cold-start, all-killed, rolled, added or configured");
        return ExitCode::from(2);
    };
    let sizes: Result<Vec<usize>, _> = flags.gateways.split(',').map(str::parse).collect();
    let Ok(sizes) = sizes else {
        eprintln!("--gateways takes numbers, as in 46,92,184");
        return ExitCode::from(2);
    };
    for gateways in sizes {
        let agents = flags.agents.unwrap_or(gateways * AGENTS_PER_HUNDRED / 100);
        let size = FleetSize { gateways, agents };
        let report = run_fleet(size, scenario, flags.seed.unwrap_or(1));
        if flags.json {
            println!("{}", serde_json::to_string(&report).unwrap_or_default());
        } else {
            show(&report);
        }
    }
    ExitCode::SUCCESS
}

fn scenario_of(name: &str) -> Option<Scenario> {
    Some(match name {
        "cold-start" => Scenario::ColdStart,
        "all-killed" => Scenario::AllKilled,
        "rolled" => Scenario::Rolled,
        "added" => Scenario::Added,
        "configured" => Scenario::Configured,
        _ => return None,
    })
}

fn show(report: &FleetReport) {
    println!("{} gateways, {} agents", report.gateways, report.agents);
    for (name, role) in [("gateway", &report.gateway), ("agent", &report.agent)] {
        println!(
            "  {name}: {} sessions (most {}), sent {} B (most {}), received {} B, {} dials timed out",
            role.sessions,
            role.most_sessions,
            role.sent,
            role.most_sent,
            role.received,
            role.dials_timed_out
        );
        println!("    sent by kind {:?}", role.sent_by_kind);
    }
    println!(
        "  ready {:?}; configured {:?}; all listed {:?} ms",
        report.ready, report.configured, report.listed
    );
    println!(
        "  store: {} B, {} calls",
        report.store_bytes, report.store_calls
    );
}
