//! Scenes with one further kind of disruption each.

use rand::Rng;
use rand_pcg::Pcg64;

use super::faults::{Fault, ScheduledFault, draw_of_resending};
use super::world::commands::CommandGroup;

/// Latest notice of a caller's broken connection, in microseconds.
const LATEST_NOTICE: u64 = 20_000;

/// A kind of disruption.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disruption {
    /// Commands to workers that wait, arrive late, or are lost or rejected.
    Commands,
}

impl Disruption {
    /// The kind of this name on the command line.
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "commands" => Some(Self::Commands),
            _ => None,
        }
    }

    /// Separates the random choices of each kind.
    pub(super) fn stream(self) -> u64 {
        match self {
            Self::Commands => 0xc033a,
        }
    }

    /// Draws the faults of a scene, beside connections of callers that break.
    pub(super) fn draw(
        self,
        length: u64,
        gateways: usize,
        workers: usize,
        random: &mut Pcg64,
    ) -> Vec<ScheduledFault> {
        let mut faults = draw_of_resending(length, gateways, Some(LATEST_NOTICE), random);
        match self {
            Self::Commands => draw_of_commands(length, workers, random, &mut faults),
        }
        faults
    }
}

fn draw_of_commands(
    length: u64,
    workers: usize,
    random: &mut Pcg64,
    faults: &mut Vec<ScheduledFault>,
) {
    let groups = [
        CommandGroup::Starts,
        CommandGroup::Stops,
        CommandGroup::StartsAndStops,
        CommandGroup::Watches,
    ];
    for _ in 0..random.random_range(4..16) {
        let worker = random.random_range(0..workers);
        let group = groups[random.random_range(0..groups.len())];
        let fault = match random.random_range(0..3) {
            0 => Fault::DelayCommands(worker),
            1 => Fault::UnansweredCommands(worker, group),
            _ => Fault::RejectCommands(worker, group),
        };
        faults.push(ScheduledFault {
            at: random.random_range(500_000..length),
            length: random.random_range(50_000..2_000_000),
            fault,
        });
    }
}
