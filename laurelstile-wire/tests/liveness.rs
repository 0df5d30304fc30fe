//! Options of sockets that detect dead connections.

use laurelstile_wire::liveness::set_socket_options;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

/// Guards against connections that end though both sides live: the system closes an idle connection at the
/// first keepalive timer after the user time-out if any probe is unanswered, and one may be late.
#[tokio::test]
async fn as_many_probes_are_sent_as_are_set_before_the_user_timeout_ends_a_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("it listens");
    let address = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(address).await.expect("it connects");
    set_socket_options(&stream).expect("options are set");
    let socket = SockRef::from(&stream);
    let user_timeout = socket.tcp_user_timeout().expect("an option");
    let user_timeout = user_timeout.expect("a user time-out");
    let idle = socket.tcp_keepalive_time().expect("an option");
    let interval = socket.tcp_keepalive_interval().expect("an option");
    let probes = socket.tcp_keepalive_retries().expect("an option");
    let timers = (0..).map(|number| idle + interval * number);
    let sent = timers.take_while(|timer| *timer < user_timeout).count();
    assert_eq!(u32::try_from(sent), Ok(probes));
}
