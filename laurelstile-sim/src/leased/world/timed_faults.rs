//! Faults that strike within milliseconds of an event.

use rand::Rng;

use super::super::faults::{Fault, ScheduledFault};
use super::commands::CommandGroup;
use super::{Happening, World};

/// Latest time after the event, in microseconds.
const LATEST_STRIKE: u64 = 5_000;
/// Longest of these faults.
const LONGEST: u64 = 2_000_000;
/// Latest notice of a caller's broken connection.
const LATEST_NOTICE: u64 = 20_000;
/// Other faults that strike a few milliseconds after one, at most.
const MOST_FOLLOWING: usize = 2;

/// Events after which faults strike.
#[derive(Debug)]
pub struct TimedFaults {
    /// Events without a fault are one in so many.
    pub one_in: u32,
    /// When the last faults strike.
    pub until: u64,
}

impl World {
    /// An order was given, an end was reported, or a session was opened, between these two.
    pub(super) fn strike(&mut self, agent: usize, gateway: usize) {
        let Some(timed) = &self.timed_faults else {
            return;
        };
        let one_in = timed.one_in;
        if self.now >= timed.until || !self.random.random_ratio(1, one_in) {
            return;
        }
        for _ in 0..self.random.random_range(1..=MOST_FOLLOWING) {
            let fault = self.draw_timed(agent, gateway);
            let length = match fault {
                Fault::BreakCallers(_) => self.random.random_range(100..LATEST_NOTICE),
                _ => self.random.random_range(20_000..LONGEST),
            };
            let at = self.now + self.random.random_range(0..LATEST_STRIKE);
            let scheduled = ScheduledFault { at, length, fault };
            self.schedule(at, Happening::TimedFault(scheduled));
        }
    }

    fn draw_timed(&mut self, agent: usize, gateway: usize) -> Fault {
        let groups = [
            CommandGroup::Starts,
            CommandGroup::Stops,
            CommandGroup::StartsAndStops,
            CommandGroup::Watches,
        ];
        let group = groups[self.random.random_range(0..groups.len())];
        match self.random.random_range(0..20) {
            0 => Fault::KillGateway(gateway),
            1 => Fault::DarkGateway(gateway),
            2 => Fault::FreezeGateway(gateway),
            3 => Fault::StopGateway(gateway),
            4 => Fault::KillAgent(agent),
            5 => Fault::FreezeAgent(agent),
            6 => Fault::Cut(agent, gateway),
            7 => Fault::SeverSessions(gateway),
            8..11 => Fault::BreakCallers(gateway),
            11 => Fault::LeaveWorker(agent),
            12 => Fault::RefuseSessions(agent, gateway),
            13 => Fault::DarkAgent(agent),
            14 => Fault::DelayHandshakes(agent),
            15 => Fault::DelayCommands(agent),
            16 => Fault::UnansweredCommands(agent, group),
            17 => Fault::RejectCommands(agent, group),
            18 => Fault::SlowAgent(agent, 50),
            _ => Fault::KillWorker(agent),
        }
    }
}
