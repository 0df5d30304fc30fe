//! Logs as JSON lines on standard error.

use logforth::append::Stderr;
use logforth::layout::JsonLayout;
use logforth::record::{Level, LevelFilter};

use crate::error::DaemonError;
use crate::settings::LogLevel;

/// Starts logging.
///
/// # Errors
/// [`DaemonError::Logger`] if a logger is installed already.
pub fn start(level: LogLevel) -> Result<(), DaemonError> {
    let least = match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(LevelFilter::MoreSevereEqual(least))
                .append(Stderr::default().with_layout(JsonLayout::default()))
        })
        .try_apply()
        .map_err(|_| DaemonError::Logger)?;
    // Without this every trace line of a library would be formatted first.
    log::set_max_level(match level {
        LogLevel::Error => log::LevelFilter::Error,
        LogLevel::Warn => log::LevelFilter::Warn,
        LogLevel::Info => log::LevelFilter::Info,
        LogLevel::Debug => log::LevelFilter::Debug,
    });
    Ok(())
}
