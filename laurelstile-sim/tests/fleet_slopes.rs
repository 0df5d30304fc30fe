//! What a fleet costs each gateway does not grow with the fleet.
//!
//! Seen: with 184 gateways, each sent 9 MB in the seconds after all machines had lost power, and
//! callers waited behind it. How it came about: each gateway kept two sessions to each other one
//! and told each new session the whole list of gateways, so that bytes grew with the square of
//! the fleet at each gateway. The same grew with each change of the configuration.

use laurelstile_sim::fleet::{FleetReport, FleetSize, Scenario, run_fleet};
use rstest::rstest;

/// Gateways of the smaller fleet, and how many times as many the larger one has.
const SMALL: usize = 24;
const FACTOR: usize = 4;
/// Agents for each gateway.
const AGENTS: usize = 2;
/// What is told once to all may take as many hops as the logarithm of their number: from 24
/// to 96 that is 1.44 times as many.
const MOST_GROWTH_PERCENT: u64 = 150;

fn play(gateways: usize, scenario: Scenario) -> FleetReport {
    let agents = gateways * AGENTS;
    run_fleet(FleetSize { gateways, agents }, scenario, 1)
}

fn assert_grows_little(what: &str, small: u64, large: u64) {
    let bound = small * MOST_GROWTH_PERCENT / 100;
    assert!(
        large <= bound,
        "{what}: {small} at {SMALL}, {large} at {FACTOR} times as many"
    );
}

#[rstest]
#[case::all_are_lost(Scenario::AllKilled)]
#[case::the_configuration_changes(Scenario::Configured)]
fn what_a_gateway_sends_does_not_grow_with_the_fleet(#[case] scenario: Scenario) {
    let small = play(SMALL, scenario);
    let large = play(SMALL * FACTOR, scenario);
    assert_grows_little("bytes sent", small.gateway.sent, large.gateway.sent);
    let (few, many) = (small.gateway.sessions, large.gateway.sessions);
    assert_grows_little("sessions", few as u64, many as u64);
    assert!(large.ready.all.is_some(), "not all serve again: {large:?}");
    assert!(
        large.configured.all.is_some(),
        "not all are configured: {large:?}"
    );
    assert!(large.listed.is_some(), "some do not know others: {large:?}");
}
