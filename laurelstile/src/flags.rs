//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Drive laurelstile: check and apply configuration files, drain back
    /// ends, stop services, see what is in force, judge histories.
    ///
    /// Exit codes: 0 done; 1 refused, or a check found a fault; 2 wrong usage;
    /// 3 no gateway gave a final word (repeat with the same --change-id);
    /// 4 accepted, but not in force everywhere in time.
    cmd laurelstile {
        /// Address of a gateway, http://IP:port; may be repeated.
        repeated --gateway address: String
        /// File with the operator token; otherwise LAURELSTILE_TOKEN is read.
        optional --token-file path: PathBuf
        /// Print JSON for scripts.
        optional --json

        /// Check a configuration file without applying it.
        cmd check {
            /// The file.
            required file: PathBuf
        }
        /// Apply a configuration file as a whole.
        cmd apply {
            /// The file.
            required file: PathBuf
            /// Wait until it is in force everywhere, or say who lags.
            optional --wait
            /// Longest time to try and to wait, in seconds (default 30).
            optional --timeout seconds: u64
            /// Refuse unless this revision is the newest.
            optional --expect revision: u64
            /// Repeat an earlier command whose outcome was not learned.
            optional --change-id id: String
        }
        /// Drain a back end: it gets no new work.
        cmd drain {
            /// Name of the back end.
            required backend: String
            /// Wait until it is in force everywhere, or say who lags.
            optional --wait
            /// Longest time to try and to wait, in seconds (default 30).
            optional --timeout seconds: u64
            /// Repeat an earlier command whose outcome was not learned.
            optional --change-id id: String
        }
        /// Stop a service: it takes no new jobs, those in flight end.
        cmd stop {
            /// Name of the service.
            required service: String
            /// Wait until it is in force everywhere, or say who lags.
            optional --wait
            /// Longest time to try and to wait, in seconds (default 30).
            optional --timeout seconds: u64
            /// Repeat an earlier command whose outcome was not learned.
            optional --change-id id: String
        }
        /// Show what the gateways know.
        cmd status { }
        /// Run the jobs of a recorded history through the emulator, on the
        /// capacity of a configuration file.
        cmd replay {
            /// The configuration file.
            required file: PathBuf
            /// The histories.
            repeated histories: PathBuf
        }
        /// Judge histories by what must always hold.
        cmd check-history {
            /// The histories.
            repeated histories: PathBuf
        }
        /// Explain what became of one job, from the logs of all processes.
        cmd explain {
            /// Id of the job: 16 hexadecimal digits.
            required job: String
            /// The logs.
            repeated logs: PathBuf
        }
        /// Account for what became of all jobs, from the logs of all processes.
        cmd loss {
            /// The logs.
            repeated logs: PathBuf
        }
        /// Show what applying a file would change.
        cmd plan {
            /// The file.
            required file: PathBuf
        }
    }
}
