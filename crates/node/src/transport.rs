//! Sends and receives messages between nodes. Membership probes are sent by UDP, all other messages by TCP. A TCP frame
//! has the length of an envelope in four little-endian bytes, followed by the envelope.

use crate::logging::part;
use foxnotch_core::effect::Event;
use foxnotch_wire::{decode, encode_in_version, MemberAddress, Message, NodeId, ProtocolVersion, MAX_MESSAGE_BYTES};
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, Ipv6Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, Semaphore};

/// Maximum number of messages waiting to be sent to one peer. Further messages are dropped, which the protocols handle
/// as they handle messages lost on the network.
const QUEUE_LENGTH: usize = 4096;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a connection could not be opened or accepted, or a datagram could not be received.
const PAUSE_AFTER_ERROR: Duration = Duration::from_millis(200);
/// Time without a message to send after which an outgoing connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of open connections from other nodes.
const MAX_INCOMING_CONNECTIONS: usize = 4096;
/// Maximum size of a received datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// The address of a member in the form that is sent to other nodes.
pub fn member_address(peer: SocketAddr, caller: SocketAddr) -> MemberAddress {
    let ip = match peer.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    MemberAddress { ip: ip.octets(), peer_port: peer.port(), caller_port: caller.port() }
}

fn ip_of(address: &MemberAddress) -> IpAddr {
    let ip = Ipv6Addr::from(address.ip);
    ip.to_ipv4_mapped().map_or(IpAddr::V6(ip), IpAddr::V4)
}

/// The address at which a member listens for other nodes.
pub fn peer_socket(address: &MemberAddress) -> SocketAddr {
    SocketAddr::new(ip_of(address), address.peer_port)
}

/// The address at which a member listens for callers.
pub fn caller_socket(address: &MemberAddress) -> SocketAddr {
    SocketAddr::new(ip_of(address), address.caller_port)
}

/// Bytes sent to other nodes.
#[derive(Clone, Debug, Default)]
pub struct TrafficCounters {
    /// Bytes sent in datagrams: membership probes.
    pub datagram_bytes: Arc<AtomicU64>,
    /// Bytes sent in TCP streams: histories and configuration.
    pub stream_bytes: Arc<AtomicU64>,
}

/// Sends messages to other nodes, without any guarantee of delivery.
pub struct PeerSender {
    node: NodeId,
    datagrams: Arc<UdpSocket>,
    streams: HashMap<SocketAddr, mpsc::Sender<Vec<u8>>>,
    events: mpsc::Sender<Event>,
    traffic: TrafficCounters,
}

impl PeerSender {
    /// Creates a sender without open connections. `node` is this node's identifier.
    pub fn new(node: NodeId, datagrams: Arc<UdpSocket>, events: mpsc::Sender<Event>, traffic: TrafficCounters) -> Self {
        Self { node, datagrams, streams: HashMap::new(), events, traffic }
    }

    /// Sends a message to node `to`, as a datagram or through the stream to that node. The first message for the stream
    /// opens it.
    pub fn send(&mut self, to: NodeId, address: &MemberAddress, message: Message, datagram: bool) {
        // The format of these messages is the same in all protocol versions. The oldest version number is used so that
        // nodes of older builds read them.
        let bytes = match encode_in_version(ProtocolVersion::OLDEST, self.node, message) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(target: part::PEER, "A message to node {to} was dropped: {error}");
                return;
            }
        };
        let socket = peer_socket(address);
        if datagram {
            self.traffic.datagram_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
            // A datagram that cannot be sent has the same effect as a lost one: the membership protocol sends another
            // probe.
            if let Err(error) = self.datagrams.try_send_to(&bytes, socket) {
                log::debug!(target: part::PEER, "A datagram to node {to} was not sent: {error}.");
            }
            return;
        }
        self.traffic.stream_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        let is_closed = self.streams.get(&socket).is_none_or(mpsc::Sender::is_closed);
        if is_closed {
            let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
            tokio::spawn(run_stream(to, socket, receiver, self.events.clone()));
            self.streams.insert(socket, sender);
        }
        if let Some(stream) = self.streams.get(&socket) {
            if stream.try_send(bytes).is_err() {
                log::debug!(target: part::PEER, "A message to node {to} was dropped: the queue is full or the connection failed.");
            }
        }
    }
}

/// Connects to a peer and sends the queued messages until none has come for [`IDLE_TIMEOUT`] or the connection fails.
async fn run_stream(to: NodeId, socket: SocketAddr, mut queue: mpsc::Receiver<Vec<u8>>, events: mpsc::Sender<Event>) {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(socket)).await;
    let mut stream = match connected {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) | Err(_) => {
            log::info!(target: part::PEER, "No connection to node {to} can be opened.");
            if events.send(Event::Unreachable(to)).await.is_err() {
                log::debug!(target: part::PEER, "Node {to} is not reported as unreachable: the driver has ended.");
            }
            tokio::time::sleep(PAUSE_AFTER_ERROR).await;
            return;
        }
    };
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: part::PEER, "TCP_NODELAY cannot be set, so messages to node {to} may be delayed: {error}.");
    }
    while let Ok(Some(bytes)) = tokio::time::timeout(IDLE_TIMEOUT, queue.recv()).await {
        if write_frame(&mut stream, &bytes).await.is_err() {
            log::info!(target: part::PEER, "The connection to node {to} failed.");
            return;
        }
    }
}

async fn write_frame(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let mut frame = Vec::with_capacity(bytes.len() + 4);
    frame.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    frame.extend_from_slice(bytes);
    stream.write_all(&frame).await
}

/// Receives datagrams until the driver ends.
pub async fn run_datagrams(socket: Arc<UdpSocket>, events: mpsc::Sender<Event>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(PAUSE_AFTER_ERROR).await;
            continue;
        };
        match decode(&buffer[..length]) {
            Ok(envelope) if is_membership(&envelope.message) => {
                let event = Event::Message { from: envelope.from, message: envelope.message };
                if events.send(event).await.is_err() {
                    return;
                }
            }
            Ok(_) => {
                log::warn!(target: part::PEER, "A datagram from {from} was ignored: it is not a membership probe.")
            }
            Err(error) => log::warn!(target: part::PEER, "A datagram from {from} was ignored: {error}."),
        }
    }
}

fn is_membership(message: &Message) -> bool {
    matches!(message, Message::Ping(_) | Message::PingRequest(_) | Message::Ack(_))
}

/// Accepts connections from other nodes for as long as the process runs.
pub async fn run_listener(listener: TcpListener, events: mpsc::Sender<Event>) {
    let connection_slots = Arc::new(Semaphore::new(MAX_INCOMING_CONNECTIONS));
    loop {
        let Ok(slot) = connection_slots.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, from)) => {
                let events = events.clone();
                tokio::spawn(async move {
                    if let Err(error) = receive_messages(stream, events).await {
                        log::info!(target: part::PEER, "The connection from {from} ended: {error}.");
                    }
                    drop(slot);
                });
            }
            Err(error) => {
                log::warn!(target: part::PEER, "A connection could not be accepted: {error}.");
                tokio::time::sleep(PAUSE_AFTER_ERROR).await;
            }
        }
    }
}

/// Receives messages from one connection until the other node closes it. Any other end of the connection is an error.
async fn receive_messages(mut stream: TcpStream, events: mpsc::Sender<Event>) -> anyhow::Result<()> {
    loop {
        let mut length = [0; 4];
        if let Err(error) = stream.read_exact(&mut length).await {
            let is_closed_by_peer = error.kind() == io::ErrorKind::UnexpectedEof;
            return if is_closed_by_peer { Ok(()) } else { Err(error.into()) };
        }
        let length = u32::from_le_bytes(length) as usize;
        anyhow::ensure!(
            length <= MAX_MESSAGE_BYTES,
            "a frame of {length} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes"
        );
        let mut bytes = Vec::new();
        let read = (&mut stream).take(length as u64).read_to_end(&mut bytes).await?;
        anyhow::ensure!(read == length, "the connection closed in the middle of a frame");
        let envelope = decode(&bytes)?;
        events.send(Event::Message { from: envelope.from, message: envelope.message }).await?;
    }
}
