//! Socket options by which a dead link is noticed.
//!
//! A machine without power or behind a cut says nothing: without these options
//! a write to it succeeds for minutes.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How long sent bytes may go without being acknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_000);
/// Silence after which a connection is probed.
const PROBE_AFTER: Duration = Duration::from_secs(2);
/// Pause between probes.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
/// Probes without an answer that end a connection.
const PROBES: u32 = 2;

/// Sets the options on a connection.
///
/// # Errors
/// If the system refuses one.
pub fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_PAUSE)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
