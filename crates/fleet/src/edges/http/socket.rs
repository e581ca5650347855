//! Options of TCP sockets.

use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Idle time after which a connection is probed, and interval between probes. A network path that
/// silently drops packets shows no other sign.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Unanswered probes after which the connection is closed.
const MAX_PROBES: u32 = 3;

/// Bound on the time that sent bytes stay unacknowledged. It allows several retransmissions at a
/// packet loss of a few percent.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Disables Nagle's algorithm, so that small writes are sent at once, and enables the detection of
/// a silent peer.
pub fn set_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_PERIOD)
        .with_interval(PROBE_PERIOD)
        .with_retries(MAX_PROBES);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&probes))
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT)));
    if let Err(error) = set {
        // The connection works without the options; only a silent peer is detected later.
        log::debug!("socket options not set: {error}");
    }
}
