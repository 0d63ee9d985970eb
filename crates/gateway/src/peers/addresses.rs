//! Socket addresses on which other nodes listen for node-to-node traffic.

use foxnotch_wire::{MemberAddress, ReplicaMember};
use std::net::{Ipv6Addr, SocketAddr};

/// The socket address on which a member listens for other nodes; none if its IP address is not IPv4.
pub fn member_socket_address(address: &MemberAddress) -> Option<SocketAddr> {
    let ip = Ipv6Addr::from(address.ip).to_ipv4_mapped()?;
    Some(SocketAddr::from((ip, address.peer_port)))
}

/// The socket address on which a member of the replica set listens for other nodes.
pub fn replica_socket_address(member: &ReplicaMember) -> SocketAddr {
    SocketAddr::from((member.ip, member.port))
}
