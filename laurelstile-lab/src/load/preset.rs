//! The sizes that can be loaded.

/// Sizes of a preset.
pub(super) struct Preset {
    pub(super) name: &'static str,
    pub(super) gateways: usize,
    pub(super) backends: usize,
    /// Back ends that are hollow agents of one process.
    pub(super) hollow: bool,
    /// Tasks take time; otherwise they end at once.
    pub(super) timed: bool,
    pub(super) slots: u32,
    pub(super) max_tasks: usize,
}

pub(super) const PRESETS: [Preset; 4] = [
    Preset {
        name: "rennes",
        gateways: 3,
        backends: 11,
        hollow: false,
        timed: true,
        slots: 8,
        max_tasks: 24,
    },
    Preset {
        name: "krystalon",
        gateways: 3,
        backends: 11,
        hollow: false,
        timed: true,
        slots: 8,
        max_tasks: 120,
    },
    Preset {
        name: "hollow",
        gateways: 1,
        backends: 40,
        hollow: true,
        timed: false,
        slots: 16,
        max_tasks: 820,
    },
    Preset {
        name: "scale",
        gateways: 3,
        backends: 780,
        hollow: true,
        timed: true,
        slots: 16,
        max_tasks: 820,
    },
];
