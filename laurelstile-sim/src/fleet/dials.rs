//! Which addresses a process dials, by the rules of the real dialer.

use std::collections::BTreeMap;

use laurelstile_core::leased::redial::MAX_DIAL_ATTEMPTS;

/// How far the dialing of one address has come.
#[derive(Debug)]
pub struct Dial {
    /// Failures since the last session.
    pub failures: u32,
    /// Number of the present attempt.
    pub attempt: u64,
    /// Whether a session is open.
    pub is_open: bool,
    /// Whether no session is wanted any more.
    pub is_released: bool,
}

/// The addresses, by the machine that stands there.
#[derive(Debug, Default)]
pub struct Dials {
    dials: BTreeMap<usize, Dial>,
    seeds: Vec<usize>,
}

impl Dials {
    /// A dialer with these seeds.
    pub fn new(seeds: Vec<usize>) -> Self {
        Self {
            dials: BTreeMap::new(),
            seeds,
        }
    }

    /// Wants a session; `true` if dialing has to begin.
    pub fn want(&mut self, machine: usize) -> bool {
        if let Some(dial) = self.dials.get_mut(&machine) {
            dial.is_released = false;
            return false;
        }
        let dial = Dial {
            failures: 0,
            attempt: 0,
            is_open: false,
            is_released: false,
        };
        self.dials.insert(machine, dial);
        true
    }

    /// Dials no more the machines that `is_wanted` does not name.
    pub fn release(&mut self, is_wanted: impl Fn(usize) -> bool) {
        for (machine, dial) in &mut self.dials {
            dial.is_released |= !is_wanted(*machine);
        }
    }

    /// The dial of a machine.
    pub fn get_mut(&mut self, machine: usize) -> Option<&mut Dial> {
        self.dials.get_mut(&machine)
    }

    /// Notes a failed dial or the end of a session. Gives the failures so far if the machine
    /// is to be dialed again.
    pub fn fail(&mut self, machine: usize) -> Option<u32> {
        let is_seed = self.seeds.contains(&machine);
        let dial = self.dials.get_mut(&machine)?;
        dial.is_open = false;
        dial.failures += 1;
        if dial.is_released || (dial.failures >= MAX_DIAL_ATTEMPTS && !is_seed) {
            self.dials.remove(&machine);
            return None;
        }
        Some(dial.failures)
    }
}
