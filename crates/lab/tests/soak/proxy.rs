//! A TCP proxy on loopback that can simulate faults of a network path.

use super::lock;
use super::plan::PathFault;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Maximum size of a chunk that the proxy forwards at once.
const MAX_CHUNK_BYTES: usize = 64 * 1024;
/// Maximum size of a chunk of a response under [`PathFault::Trickle`].
const TRICKLE_BYTES: usize = 2048;
/// Delay of each chunk of a response under [`PathFault::Trickle`]. Together with [`TRICKLE_BYTES`] it limits a response
/// to 40 KB per second.
const TRICKLE_PERIOD: Duration = Duration::from_millis(50);
/// Delay of each chunk under [`PathFault::Late`].
const LATE_DELAY: Duration = Duration::from_millis(120);

/// A proxy for one target.
#[derive(Clone)]
pub(crate) struct Proxy {
    address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    fault: watch::Sender<Option<PathFault>>,
    /// Set when the proxy no longer listens at this address.
    ended: watch::Sender<bool>,
}

impl Proxy {
    /// Listens at `address` and forwards connections to `target`.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub(crate) async fn start(address: SocketAddr, target: SocketAddr) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(address).await.map_err(|error| {
            anyhow::anyhow!("{address} cannot be bound ({error}); end the process that listens there")
        })?;
        let (fault, ended) = (watch::Sender::new(None), watch::Sender::new(false));
        let proxy = Self { address, target: Arc::new(Mutex::new(target)), fault, ended };
        tokio::spawn(proxy.clone().accept(listener));
        Ok(proxy)
    }

    /// The address at which the proxy listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections, as when the target's process ends, and listens at the next port.
    ///
    /// # Errors
    /// When the next port cannot be bound.
    pub(crate) fn move_to_next_port(&mut self) -> std::io::Result<()> {
        self.ended.send_replace(true);
        self.address.set_port(self.address.port() + 1);
        let listener = std::net::TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        self.ended = watch::Sender::new(false);
        tokio::spawn(self.clone().accept(TcpListener::from_std(listener)?));
        Ok(())
    }

    /// Sets the simulated fault; none for a working path.
    pub(crate) fn set_fault(&self, fault: Option<PathFault>) {
        self.fault.send_replace(fault);
    }

    async fn accept(self, listener: TcpListener) {
        let mut ended = self.ended.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = ended.wait_for(|ended| *ended) => return,
            };
            let Ok((client, _)) = accepted else { return };
            tokio::spawn(self.clone().forward(client));
        }
    }

    async fn forward(self, client: TcpStream) {
        let mut faults = self.fault.subscribe();
        let mut ended = self.ended.subscribe();
        if *faults.borrow_and_update() == Some(PathFault::Reset) {
            return;
        }
        let target = *lock(&self.target);
        // When the target does not accept the connection, the proxy closes it, as the target's machine would.
        let Ok(server) = TcpStream::connect(target).await else { return };
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let requests = forward_one_way(client_read, server_write, self.fault.subscribe(), false);
        let responses = forward_one_way(server_read, client_write, self.fault.subscribe(), true);
        tokio::select! {
            () = requests => {}
            () = responses => {}
            _ = faults.wait_for(|fault| *fault == Some(PathFault::Reset)) => {}
            _ = ended.wait_for(|ended| *ended) => {}
        }
    }
}

async fn forward_one_way(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut faults: watch::Receiver<Option<PathFault>>,
    is_response: bool,
) {
    let mut bytes = vec![0; MAX_CHUNK_BYTES];
    loop {
        let fault = *faults.borrow();
        let max_bytes = if is_response && fault == Some(PathFault::Trickle) { TRICKLE_BYTES } else { MAX_CHUNK_BYTES };
        let Ok(length @ 1..) = from.read(&mut bytes[..max_bytes]).await else { return };
        if is_response && fault == Some(PathFault::Trickle) {
            tokio::time::sleep(TRICKLE_PERIOD).await;
        }
        if fault == Some(PathFault::Late) {
            tokio::time::sleep(LATE_DELAY).await;
        }
        let discards = |fault: &Option<PathFault>| match fault {
            Some(PathFault::Silent) => true,
            Some(PathFault::OneWay) => is_response,
            _ => false,
        };
        // Discarded bytes never arrive, also after the fault has ended: the connection stays silent permanently, like a
        // real one whose peer has lost its state.
        if discards(&faults.borrow_and_update()) {
            std::future::pending::<()>().await;
        }
        if let Some(fault) = fault.filter(|fault| is_response && PathFault::ENDLESS.contains(fault)) {
            send_endless_bytes(&mut to, fault, &bytes[..length]).await;
            return;
        }
        if to.write_all(&bytes[..length]).await.is_err() {
            return;
        }
    }
}

/// Sends bytes without end in place of a response or after it, until the connection is closed.
async fn send_endless_bytes(to: &mut OwnedWriteHalf, fault: PathFault, response: &[u8]) {
    let text = String::from_utf8_lossy(response);
    let attempt = text.lines().find(|line| line.to_ascii_lowercase().starts_with("x-attempt-id:")).unwrap_or_default();
    let (start, unit) = match fault {
        PathFault::EndlessHeads => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
        PathFault::EndlessHeadLines => ("HTTP/1.1 200 OK\r\n".to_owned(), "x-line: x\r\n"),
        PathFault::EndlessBody => (format!("HTTP/1.1 200 OK\r\n{attempt}\r\nx-server-seal: s\r\n\r\n"), "x"),
        PathFault::EndlessAfterResponse => (text.clone().into_owned(), "x"),
        _ => (String::new(), "x"),
    };
    let bytes = unit.repeat(MAX_CHUNK_BYTES / unit.len());
    let mut is_open = to.write_all(start.as_bytes()).await.is_ok();
    while is_open {
        is_open = to.write_all(bytes.as_bytes()).await.is_ok();
    }
}
