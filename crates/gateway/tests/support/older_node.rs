//! A stand-in for a node of protocol version 7, by the bytes that such a node wrote.
//!
//! Like that node it reads nothing of another version: a frame of one ends the connection, and is counted.

use crate::support::fixtures::bytes_by_name;
use foxnotch_wire::{
    encode_in, MemberAddress, MemberState, MemberUpdate, Message, NodeId, Ping, ProtocolVersion, ShortRevision,
    StoreUpdate,
};
use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// Its requests and answers: a line each with the name and the bytes in hexadecimal.
const REQUESTS: &str = include_str!("../../../wire/tests/fixtures/version_7/requests.txt");
/// Its datagrams.
const DATAGRAMS: &str = include_str!("../../../wire/tests/fixtures/version_7/datagrams.txt");
/// The version that it speaks.
pub const VERSION: u8 = 7;
/// Where the number of an exchange stands: behind the version and the sender.
const EXCHANGE: std::ops::Range<usize> = 5..13;
/// Time between two probes of [`OlderGateway`]: soon enough that nobody finds it dead.
const PROBE_PERIOD: Duration = Duration::from_millis(200);
/// Where the kind of a request stands.
const KIND: usize = 13;

/// A request or an answer as it was written.
pub fn request(name: &str) -> Vec<u8> {
    bytes_by_name(REQUESTS).remove(name).expect("the fixture has it")
}

/// A datagram as it was written.
pub fn datagram(name: &str) -> Vec<u8> {
    bytes_by_name(DATAGRAMS).remove(name).expect("the fixture has it")
}

/// What a message is about: its bytes without version, sender and exchange.
pub fn body_of(message: &[u8]) -> &[u8] {
    &message[KIND..]
}

/// The number of a message's exchange.
pub fn exchange_of(message: &[u8]) -> &[u8] {
    &message[EXCHANGE]
}

/// Sends a message in a frame.
pub async fn write_frame(stream: &mut TcpStream, message: &[u8]) {
    let length = u32::try_from(message.len()).expect("it is short");
    let frame = [&length.to_le_bytes(), message].concat();
    stream.write_all(&frame).await.expect("the other node listens");
}

/// The message of the next frame; none at the end of the stream.
pub async fn read_frame(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let length = stream.read_u32_le().await.ok()?;
    let mut message = vec![0; length as usize];
    stream.read_exact(&mut message).await.ok()?;
    Some(message)
}

/// A node that answers requests.
pub struct OlderNode {
    /// Where it listens.
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl OlderNode {
    /// Starts a node that answers a request of a kind with the answer of that name, and others with "not served".
    pub async fn start(answers: &[(u8, &'static str)]) -> Self {
        Self::start_with(answers.iter().map(|(kind, name)| (*kind, request(name))).collect()).await
    }

    /// Starts a node that answers a request of a kind with these bytes, and others with "not served".
    pub async fn start_with(answers: BTreeMap<u8, Vec<u8>>) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("an address can be had");
        let address = listener.local_addr().expect("it is bound");
        let received = Arc::new(Mutex::new(Vec::new()));
        let log = received.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, answers.clone(), log.clone()));
            }
        });
        Self { address, received }
    }

    /// The bodies of all messages of one kind that arrived.
    pub fn received(&self, kind: u8) -> Vec<Vec<u8>> {
        let messages = self.received.lock().expect("nobody has panicked").clone();
        messages.iter().map(|message| body_of(message).to_vec()).filter(|body| body[0] == kind).collect()
    }

    /// How many messages arrived that it cannot read.
    pub fn unreadable(&self) -> usize {
        let messages = self.received.lock().expect("nobody has panicked");
        messages.iter().filter(|message| message[0] != VERSION).count()
    }
}

/// A gateway of version 7 that is alive to other nodes: it probes them with word of itself, again and again, and tells
/// them that the platform's store has just answered it.
pub struct OlderGateway {
    task: tokio::task::JoinHandle<()>,
}

impl Drop for OlderGateway {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl OlderGateway {
    /// Starts a gateway at an address, which probes these nodes.
    pub async fn start(node: NodeId, address: SocketAddrV4, nodes: Vec<SocketAddr>) -> Self {
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
                    engines_revision: 0,
                    retirements_revision: ShortRevision::of(0),
                    zone_drains_revision: ShortRevision::of(0),
                    contact_age_ms: 0,
                });
                for message in [probe, update] {
                    let bytes = encode_in(ProtocolVersion::Seven, node, message).expect("it can be coded");
                    for node in &nodes {
                        socket.send_to(&bytes, node).await.expect("it can be sent");
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
        log.lock().expect("nobody has panicked").push(message.clone());
        if message[0] != VERSION {
            return;
        }
        let mut answer = answers.get(&message[KIND]).cloned().unwrap_or_else(|| request("not_served"));
        answer[EXCHANGE].copy_from_slice(exchange_of(&message));
        write_frame(&mut stream, &answer).await;
    }
}
