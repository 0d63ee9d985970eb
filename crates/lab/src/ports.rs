//! Free ports for processes that are about to start.

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::{Mutex, OnceLock, PoisonError};
use tokio::net::TcpSocket;

/// Range of the returned ports. It lies below the ports that the system assigns to outgoing connections, so that no
/// such connection takes a port before the process binds it.
const PORT_RANGE: std::ops::Range<u16> = 12_000..30_000;

/// The next port of the range to try; the first port is chosen at random.
static CURSOR: OnceLock<Mutex<u16>> = OnceLock::new();

/// Returns the next port to try. A process tries no port twice until it has tried the whole range.
fn next_port() -> u16 {
    let cursor = CURSOR.get_or_init(|| Mutex::new(rand::random_range(PORT_RANGE)));
    let mut cursor = cursor.lock().unwrap_or_else(PoisonError::into_inner);
    let port = *cursor;
    *cursor = if port + 1 < PORT_RANGE.end { port + 1 } else { PORT_RANGE.start };
    port
}

/// Returns `count` ports that are free for TCP and UDP on the loopback address. They are not reserved, so that another
/// process can bind them. No thread of this process gets a port again before the whole range has been tried.
///
/// # Errors
/// When too few ports are free, or a port cannot be checked.
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

/// Whether a process can listen at an address. The check binds a test socket but does not listen on it. A process that
/// another thread is starting inherits a copy of the socket until it executes its own program, and a copy that listens
/// would keep the port in use.
fn is_free_for_tcp(address: SocketAddr) -> bool {
    TcpSocket::new_v4().and_then(|socket| socket.set_reuseaddr(true).and_then(|()| socket.bind(address))).is_ok()
}

/// Whether no process receives datagrams at an address: the system must refuse a datagram sent there. The check binds
/// no test socket to the address, because a process that is being started could inherit a copy of that socket too.
fn is_free_for_udp(address: SocketAddr) -> std::io::Result<bool> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    socket.set_nonblocking(true)?;
    socket.connect(address)?;
    socket.send(&[])?;
    Ok(socket.recv(&mut []).is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused))
}
