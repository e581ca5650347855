//! Options of TCP connections.

use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Silence after which a connection is probed, and time between probes. A path that swallows packets
/// gives no other sign.
const PROBE_TIME: Duration = Duration::from_secs(1);

/// Probes without an answer that end a connection.
const PROBES: u32 = 3;

/// Longest time that sent bytes stay unacknowledged: some retransmissions at a loss of a few percent.
const UNACKED_TIME: Duration = Duration::from_millis(2_500);

/// Sends small pieces at once and notices a silent other end.
pub fn tune(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_TIME)
        .with_interval(PROBE_TIME)
        .with_retries(PROBES);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&probes))
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKED_TIME)));
    if let Err(error) = set {
        // The connection works without them; only a silent end is noticed later.
        log::debug!("socket options not set: {error}");
    }
}
