//! Socket options that detect dead connections.
//!
//! A machine without power or beyond a network partition sends nothing: without these options,
//! writes to it succeed for minutes.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How long sent bytes may stay unacknowledged before the connection is closed. The system also closes an
/// idle connection at the first keepalive timer after this time if any probe is unanswered, whatever
/// [`KEEPALIVE_PROBES`] is: two are sent before that.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_250);
/// Idle time after which keepalive probes are sent.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Enables this module's time-outs and keepalive probes on a connection, and disables Nagle's
/// algorithm.
///
/// # Errors
/// If the system rejects an option.
pub fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
