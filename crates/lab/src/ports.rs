//! Ports for processes that are about to be started.

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::{Mutex, OnceLock, PoisonError};
use tokio::net::TcpSocket;

/// Ports below those that the system gives to outgoing connections, so that none is taken before it is bound.
const PORT_RANGE: std::ops::Range<u16> = 12_000..30_000;

/// How far this process has come in the range, from a place that it chose at random.
static CURSOR: OnceLock<Mutex<u16>> = OnceLock::new();

/// The next port to look at: no port twice in a process, until the range has been gone through.
fn next_port() -> u16 {
    let cursor = CURSOR.get_or_init(|| Mutex::new(rand::random_range(PORT_RANGE)));
    let mut cursor = cursor.lock().unwrap_or_else(PoisonError::into_inner);
    let port = *cursor;
    *cursor = if port + 1 < PORT_RANGE.end { port + 1 } else { PORT_RANGE.start };
    port
}

/// Ports that are free for TCP and UDP on the loopback address. They aren't held, so that a process can bind them;
/// what is given once is therefore not given again, also to another thread.
///
/// # Errors
/// When there are not enough.
pub fn free_ports(count: usize) -> anyhow::Result<Vec<u16>> {
    let mut ports = Vec::new();
    for _ in PORT_RANGE {
        if ports.len() == count {
            break;
        }
        let port = next_port();
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if is_free_for_tcp(address) && is_free_for_udp(address)? {
            ports.push(port);
        }
    }
    let range = PORT_RANGE;
    anyhow::ensure!(ports.len() == count, "fewer than {count} ports are free from {} to {}", range.start, range.end);
    Ok(ports)
}

/// Whether a process can listen here. The socket that tries it doesn't listen: a process that another thread is just
/// starting holds a copy of it until its own program is loaded, and a copy that listens would keep the port taken.
fn is_free_for_tcp(address: SocketAddr) -> bool {
    TcpSocket::new_v4().and_then(|socket| socket.set_reuseaddr(true).and_then(|()| socket.bind(address))).is_ok()
}

/// Whether nobody takes datagrams here, by the refusal of one; a socket bound here could stay as a copy too.
fn is_free_for_udp(address: SocketAddr) -> std::io::Result<bool> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    socket.set_nonblocking(true)?;
    socket.connect(address)?;
    socket.send(&[])?;
    Ok(socket.recv(&mut []).is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused))
}
