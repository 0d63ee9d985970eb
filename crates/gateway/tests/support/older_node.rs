//! A stub of a node with protocol version 7. It sends the bytes that such a node sent, which are stored as fixtures.
//!
//! Like a real node of version 7, the stub cannot read messages of other versions: it records such a frame and closes
//! the connection.

use crate::support::fixtures::bytes_by_name;
use foxnotch_wire::{
    encode_in_version, MemberAddress, MemberState, MemberUpdate, Message, NodeId, Ping, ProtocolVersion, ShortRevision,
    StoreUpdate,
};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// Requests and answers of version 7. Each line has a name and the bytes in hexadecimal.
const REQUESTS: &str = include_str!("../../../wire/tests/fixtures/version_7/requests.txt");
/// Datagrams of version 7, in the same format.
const DATAGRAMS: &str = include_str!("../../../wire/tests/fixtures/version_7/datagrams.txt");
/// The protocol version of the stub.
pub const VERSION: u8 = 7;
/// Bytes of a message that hold the exchange number. They follow the version and the sender.
const EXCHANGE_BYTES: std::ops::Range<usize> = 5..13;
/// Time between two probes of [`OlderGateway`], short enough that other nodes do not consider it dead.
const PROBE_PERIOD: Duration = Duration::from_millis(200);
/// Index of the byte of a message that holds its kind.
const KIND_INDEX: usize = 13;

/// Returns the bytes of the request or answer with this name in the fixture.
pub fn request(name: &str) -> Vec<u8> {
    bytes_by_name(REQUESTS).remove(name).expect("the fixture has this message")
}

/// Returns the bytes of the datagram with this name in the fixture.
pub fn datagram(name: &str) -> Vec<u8> {
    bytes_by_name(DATAGRAMS).remove(name).expect("the fixture has this message")
}

/// Returns a message's kind and content, without the header of version, sender and exchange number.
pub fn body_of(message: &[u8]) -> &[u8] {
    &message[KIND_INDEX..]
}

/// Returns the bytes of a message's exchange number.
pub fn exchange_of(message: &[u8]) -> &[u8] {
    &message[EXCHANGE_BYTES]
}

/// Sends a message with its length in front.
pub async fn write_frame(stream: &mut TcpStream, message: &[u8]) {
    let length = u32::try_from(message.len()).expect("a message is shorter than 4 GiB");
    let frame = [&length.to_le_bytes(), message].concat();
    stream.write_all(&frame).await.expect("the other node reads");
}

/// Reads the message of the next frame. Returns `None` at the end of the stream.
pub async fn read_frame(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let length = stream.read_u32_le().await.ok()?;
    let mut message = vec![0; length as usize];
    stream.read_exact(&mut message).await.ok()?;
    Some(message)
}

/// A node of version 7 that answers requests.
pub struct OlderNode {
    /// The address at which the node listens.
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl OlderNode {
    /// Starts a node that answers a request of each listed kind with the fixture of that name, and any other request
    /// with the fixture `not_served`.
    pub async fn start(answers: &[(u8, &'static str)]) -> Self {
        Self::start_with(answers.iter().map(|(kind, name)| (*kind, request(name))).collect()).await
    }

    /// Starts a node that answers a request of each listed kind with these bytes, and any other request with the
    /// fixture `not_served`.
    pub async fn start_with(answers: BTreeMap<u8, Vec<u8>>) -> Self {
        Self::start_at(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0), answers).await
    }

    /// Like [`OlderNode::start_with`], at this address; port 0 stands for any free port.
    pub async fn start_at(address: SocketAddrV4, answers: BTreeMap<u8, Vec<u8>>) -> Self {
        let listener = TcpListener::bind(address).await.expect("the address is free");
        let address = listener.local_addr().expect("the listener is bound");
        let received = Arc::new(Mutex::new(Vec::new()));
        let log = received.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, answers.clone(), log.clone()));
            }
        });
        Self { address, received }
    }

    /// Returns the bodies of all messages of one kind that the node received.
    pub fn received(&self, kind: u8) -> Vec<Vec<u8>> {
        let messages = self.received.lock().expect("no thread panicked while holding the lock").clone();
        messages.iter().map(|message| body_of(message).to_vec()).filter(|body| body[0] == kind).collect()
    }

    /// Returns the number of received messages of other protocol versions.
    pub fn unreadable_count(&self) -> usize {
        let messages = self.received.lock().expect("no thread panicked while holding the lock");
        messages.iter().filter(|message| message[0] != VERSION).count()
    }
}

/// A gateway of version 7 that other nodes consider alive: it repeatedly sends them probes with its own member update,
/// and store updates that report contact with the platform's store 0 ms ago.
pub struct OlderGateway {
    task: tokio::task::JoinHandle<()>,
}

impl Drop for OlderGateway {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl OlderGateway {
    /// Starts a gateway at `address` that probes `nodes`.
    pub async fn start(node: NodeId, address: SocketAddrV4, nodes: Vec<SocketAddr>) -> Self {
        Self::start_with_engines(node, address, nodes, 0).await
    }

    /// Like [`OlderGateway::start`], with a list of engines of this revision, which an [`OlderNode`] at the same address
    /// has to send to nodes that ask for it.
    pub async fn start_with_engines(
        node: NodeId,
        address: SocketAddrV4,
        nodes: Vec<SocketAddr>,
        engines_revision: u64,
    ) -> Self {
        let socket = UdpSocket::bind(address).await.expect("the address is free");
        let task = tokio::spawn(async move {
            for incarnation in 1.. {
                let ip = address.ip().to_ipv6_mapped().octets();
                let own = MemberUpdate {
                    node,
                    state: MemberState::Alive,
                    incarnation,
                    zone: 0,
                    address: MemberAddress { ip, peer_port: address.port(), caller_port: 80 },
                    config_revision: 0,
                };
                let probe = Message::Ping(Ping { sequence: incarnation as u32, updates: vec![own] });
                let update = Message::StoreUpdate(StoreUpdate {
                    configuration_revision: 0,
                    engines_revision,
                    retirements_revision: ShortRevision::of(0),
                    zone_drains_revision: ShortRevision::of(0),
                    contact_age_ms: 0,
                });
                for message in [probe, update] {
                    let bytes =
                        encode_in_version(ProtocolVersion::Seven, node, message).expect("the message can be encoded");
                    for node in &nodes {
                        socket.send_to(&bytes, node).await.expect("the datagram can be sent");
                    }
                }
                tokio::time::sleep(PROBE_PERIOD).await;
            }
        });
        Self { task }
    }
}

async fn serve(mut stream: TcpStream, answers: BTreeMap<u8, Vec<u8>>, log: Arc<Mutex<Vec<Vec<u8>>>>) {
    while let Some(message) = read_frame(&mut stream).await {
        log.lock().expect("no thread panicked while holding the lock").push(message.clone());
        if message[0] != VERSION {
            return;
        }
        let mut answer = answers.get(&message[KIND_INDEX]).cloned().unwrap_or_else(|| request("not_served"));
        answer[EXCHANGE_BYTES].copy_from_slice(exchange_of(&message));
        write_frame(&mut stream, &answer).await;
    }
}
