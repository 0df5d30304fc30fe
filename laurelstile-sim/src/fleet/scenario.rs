//! What befalls a fleet.

use super::machines::member;
use super::report::{FleetReport, Mark};
use super::world::FleetWorld;

/// Microseconds in a second.
const SECOND: u64 = 1_000_000;
/// When a fleet that has started has come to rest.
const SETTLED: u64 = 12 * SECOND;
/// How long is looked at after a scenario's event.
const LENGTH: u64 = 10 * SECOND;
/// How long machines that lose power stay off.
const DOWN: u64 = 1_100_000;
/// Pause between two restarts.
const RESTART_GAP: u64 = 50_000;
/// How long a restarted process is away.
const AWAY: u64 = 300_000;
/// How often a look is taken at who is ready.
const LOOK: u64 = 20_000;

/// How large a fleet is.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Gateways.
    pub gateways: usize,
    /// Agents.
    pub agents: usize,
}

/// What befalls it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// All processes begin.
    ColdStart,
    /// All processes are lost at once and begin anew.
    AllKilled,
    /// Half of the gateways are restarted one after the other.
    Rolled,
    /// A quarter of the gateways is added to the others.
    Added,
    /// The configuration changes while the store turns a third of the gateways away.
    Configured,
}

/// Plays a scenario and reports of the time since its event.
pub fn play(world: &mut FleetWorld, scenario: Scenario) -> FleetReport {
    let machines: Vec<usize> = (0..world.machines.len()).collect();
    if scenario == Scenario::ColdStart {
        let mark = Mark::take(world);
        start(world, &machines);
        return watch(world, &mark);
    }
    let late = if scenario == Scenario::Added {
        world.gateways - world.gateways / 4
    } else {
        world.gateways
    };
    let is_late = |machine: &usize| (late..world.gateways).contains(machine);
    let (added, first): (Vec<usize>, Vec<usize>) = machines.iter().partition(|one| is_late(one));
    start(world, &first);
    world.run_until(SETTLED);
    let mark = Mark::take(world);
    match scenario {
        Scenario::ColdStart => {}
        Scenario::AllKilled => {
            for machine in machines {
                world.kill(machine);
                world.start_after(SETTLED + DOWN, machine);
            }
        }
        Scenario::Rolled => roll(world),
        Scenario::Added => start(world, &added),
        Scenario::Configured => {
            world.store.shut_out = (0..world.gateways).filter(|one| one % 3 == 0).collect();
            world.version += 1;
            world.in_force_at.clear();
            for gateway in 0..world.gateways {
                world.read_configuration(gateway);
            }
        }
    }
    watch(world, &mark)
}

fn start(world: &mut FleetWorld, machines: &[usize]) {
    for machine in machines {
        world.start_after(world.now, *machine);
    }
}

/// Restarts each second gateway.
fn roll(world: &mut FleetWorld) {
    for gateway in (0..world.gateways).step_by(2) {
        let next = world.now + RESTART_GAP;
        world.run_until(next);
        world.kill(gateway);
        world.start_after(next + AWAY, gateway);
    }
}

/// Lets time pass, and notes how long it takes until all gateways are ready again and know
/// each other and the configuration.
fn watch(world: &mut FleetWorld, mark: &Mark) -> FleetReport {
    let began = world.now;
    let mut listed_at = None;
    while world.now < began + LENGTH {
        world.run_until(world.now + LOOK);
        if listed_at.is_none() && knows_all(world) {
            listed_at = Some(world.now - mark.at);
        }
    }
    FleetReport::since(mark, world, listed_at)
}

/// Whether each gateway knows all that run.
fn knows_all(world: &FleetWorld) -> bool {
    let running = (0..world.gateways).filter(|one| world.machines[*one].is_up);
    let running: Vec<usize> = running.collect();
    running.len() == world.gateways
        && running.iter().all(|one| {
            let known = world.known_to(*one);
            running.iter().all(|other| known.contains(&member(*other)))
        })
}
