//! The command line.

xflags::xflags! {
    /// The machines of laurelstile in virtual time.
    cmd laurelstile-sim {
        /// Run seeds under faults and judge their histories.
        cmd prove {
            /// Seeds to run, A..B.
            required --seeds seeds: String
            /// Show every violation with its events.
            optional --verbose
            /// Print the histories.
            optional --history
            /// Switch a mechanism off: recovery, claims, drains, push,
            /// hand-over, submission-ids, wholeness or proof.
            optional --without mechanism: String
        }
        /// Run seeds of leased workers beside tasks that take their workers down.
        cmd crashes {
            /// Seeds to run, A..B.
            required --seeds seeds: String
            /// Instead of two such tasks: so many in a thousand jobs of the most frequent
            /// kind, for six seconds.
            optional --permille permille: u32
            /// Two workers die by themselves every half second, for six seconds.
            optional --deaths
            /// Workers that have ended refuse connections until they start again.
            optional --dead-workers-refuse
        }
        /// Play a fleet of each size and report what it costs by itself.
        cmd scale {
            /// Numbers of gateways, as in 46,92,184.
            required --gateways gateways: String
            /// What befalls the fleet: cold-start, all-killed, rolled, added or configured.
            required --scenario scenario: String
            /// Agents; 435 for each hundred gateways unless given.
            optional --agents agents: usize
            /// Seed of the random choices.
            optional --seed seed: u64
            /// Print a JSON line for each size.
            optional --json
        }
        /// Play all combinations of a few faults in a small world, and print those that let a
        /// task run twice at the same time.
        cmd search {
            /// Number of faults in each history: 1, 2 or 3.
            required --faults faults: usize
            /// Number of threads; 2 unless given.
            optional --threads threads: usize
            /// Leave out faults that the platform's documents do not state.
            optional --only-stated
            /// Workers report when they started, and may restart under the same id.
            optional --start-times
            /// Each gateway has had a short job on each worker shortly before.
            optional --busy-sessions
            /// The caller submits its job again at the same gateway instead of the other.
            optional --same-gateway
            /// Switch a mechanism off: leases or owner-timeout.
            optional --without mechanism: String
            /// Play only faults of these kinds, separated by semicolons.
            optional --kinds kinds: String
            /// Play only first faults whose kind contains this text.
            optional --first kind: String
            /// Play only each n-th choice of the first fault.
            optional --stride stride: usize
            /// Print the timelines.
            optional --verbose
        }
        /// Run seeds of leased workers under faults and judge their histories.
        cmd leased {
            /// Seeds to run, A..B.
            required --seeds seeds: String
            /// Print the histories.
            optional --verbose
            /// Besides: tasks that take workers down, rooms that shrink, machines that are
            /// suspended, jobs that are cancelled.
            optional --hazards
            /// Instead of these: workers that leave while tasks run, and sessions that break.
            optional --leaving
            /// Instead of these: gateways, agents or all lost at once, in series, and jobs
            /// that are cancelled.
            optional --herds
            /// Instead of these: chains whose callers wait for long and cancel at any gateway, while
            /// gateways are cut off, stand still, are suspended or are stopped.
            optional --cancels
            /// The same, and callers whose connections break submit their jobs again.
            optional --lost-callers
            /// Instead of these: workers that start again under their ids, and soon leave or
            /// shrink.
            optional --returning
            /// The same with heartbeats of other writers.
            optional --other-writers
            /// Instead of these: workers of several kinds that are replaced by ones of other kinds,
            /// and jobs that require a kind.
            optional --other-kinds
            /// Instead of these: few gateways and workers, tasks of some seconds, and callers
            /// whose connections break while their gateways run on.
            optional --resending
            /// The same, with agents that fall silent soon after, and no other faults.
            optional --silences
            /// The same scene with another kind of disruption: commands, sessions,
            /// closing-workers, succeeded-workers, clock-steps, slow-processes,
            /// timed-faults, overlapping-sessions, late-handshakes, short-lived-processes,
            /// restarted-machines or old-statements.
            optional --disruption disruption: String
            /// Partitions that leave some links, and callers that resubmit at other gateways:
            /// gateways, one-way, slow-gateways, mixed or zone.
            optional --partition partition: String
            /// With --resending and --silences: gateways notice broken connections within so many ms.
            optional --notice-millis notice_millis: u64
            /// With these four, --herds, --cancels, --lost-callers or none: print what happens to the job of this number.
            optional --trace trace: u64
            /// Switch a mechanism off: owner-silence, leases, takeover,
            /// drains, evacuations, crash-news, capacity-news, steady-clocks,
            /// cancel-news, claims, deregistrations, births, session-order or process-order.
            optional --without mechanism: String
        }
    }
}

/// The bounds of `A..B`.
pub fn seed_range(text: &str) -> Option<(u64, u64)> {
    let (from, to) = text.split_once("..")?;
    Some((from.parse().ok()?, to.parse().ok()?))
}
