//! Logging as JSON lines, to standard error or to non-blocking standard output.

use logforth::Append;
use logforth::append::Stderr;
use logforth::layout::JsonLayout;
use logforth::record::{Level, LevelFilter};

use crate::error::DaemonError;
use crate::leased::log_output::NonBlockingStdout;
use crate::settings::LogLevel;

/// Starts logging to standard error.
///
/// # Errors
/// [`DaemonError::Logger`] if a logger is installed already.
pub fn start(level: LogLevel) -> Result<(), DaemonError> {
    start_with(level, Stderr::default().with_layout(JsonLayout::default()))
}

/// Starts logging to standard output. Lines that would block are dropped.
///
/// # Errors
/// [`DaemonError::Logger`] if a logger is installed already.
pub fn start_on_stdout(level: LogLevel) -> Result<(), DaemonError> {
    start_with(level, NonBlockingStdout::new())
}

fn start_with(level: LogLevel, output: impl Into<Box<dyn Append>>) -> Result<(), DaemonError> {
    let min_level = match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(LevelFilter::MoreSevereEqual(min_level))
                .append(output)
        })
        .try_apply()
        .map_err(|_| DaemonError::Logger)?;
    // Without this limit, trace lines of libraries would be formatted before the filter drops them.
    log::set_max_level(match level {
        LogLevel::Error => log::LevelFilter::Error,
        LogLevel::Warn => log::LevelFilter::Warn,
        LogLevel::Info => log::LevelFilter::Info,
        LogLevel::Debug => log::LevelFilter::Debug,
    });
    Ok(())
}
