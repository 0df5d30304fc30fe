//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Runs of laurelstile on one machine, with stand-ins for the platform
    /// and the back ends.
    cmd laurelstile-lab {
        /// Show the whole path: start a cell, apply, run jobs, drain, stop.
        cmd demo { }
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
