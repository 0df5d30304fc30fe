//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Runs of laurelstile on one machine, with stand-ins for the platform
    /// and the back ends.
    cmd laurelstile-lab {
        /// Show the whole path: start a cell, apply, run jobs, drain, stop.
        cmd demo { }
        /// Load a cell and report what it costs and how it answers.
        cmd load {
            /// Sizes: rennes, krystalon, hollow (one gateway, hollow agents,
            /// as many starts as it can do), or scale (780 hollow agents).
            required --preset preset: String
            /// Share of the slots that the load keeps busy (default 0.5).
            optional --load load: f64
            /// Seconds of load (default 20).
            optional --seconds seconds: u64
            /// Factor on all task times (default 1).
            optional --scale scale: f64
            /// Seed of the workload (default 1).
            optional --seed seed: u64
            /// Print JSON.
            optional --json
        }
        /// Run a cell under a seeded schedule of faults and judge its history.
        cmd prove {
            /// Seed of the faults and the load.
            required --seed seed: u64
            /// Seconds of faults and load (default 60).
            optional --seconds seconds: u64
            /// Copy logs and histories into this directory.
            optional --keep directory: PathBuf
            /// Print JSON.
            optional --json
        }
        /// Run many hollow agents in one process (used by load).
        cmd hollow {
            /// Settings file.
            required --settings settings: PathBuf
        }
        /// Run the daemon (used by the other commands to start processes).
        cmd daemon {
            /// Settings file.
            required --settings settings: PathBuf
        }
        /// Run the stand-in platform.
        cmd platform {
            /// Where to listen.
            required --listen listen: SocketAddr
        }
        /// Run a stand-in back end.
        cmd backend {
            /// Where to listen.
            required --listen listen: SocketAddr
            /// Name, for the history.
            required --name name: String
            /// File to append the history to.
            optional --history history: PathBuf
        }
    }
}
