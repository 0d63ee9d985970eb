//! Ports for processes that are about to be started.

use foxnotch_lab::ports::free_ports;
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};

/// Tests that run side by side each start processes: none may be given a port of another.
#[test]
fn no_port_is_given_twice_in_a_process() {
    let threads: Vec<_> = (0..8).map(|_| std::thread::spawn(|| free_ports(12).unwrap())).collect();
    let ports: Vec<u16> = threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect();
    let distinct: BTreeSet<u16> = ports.iter().copied().collect();
    assert_eq!(distinct.len(), ports.len());
}

#[test]
fn a_given_port_is_free_also_while_other_processes_are_started() {
    let done = AtomicBool::new(false);
    let refused = std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    Command::new("true").stdin(Stdio::null()).status().unwrap();
                }
            });
        }
        let refused: Vec<_> = (0..2_000).flat_map(|_| free_ports(1).unwrap()).filter_map(bind).collect();
        done.store(true, Ordering::Relaxed);
        refused
    });
    assert!(refused.is_empty(), "{} of 2000 ports were taken: {refused:?}", refused.len());
}

/// Binds a port as a process does that was started on it; gives why that is not possible.
fn bind(port: u16) -> Option<std::io::Error> {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    TcpListener::bind(address).err().or_else(|| UdpSocket::bind(address).err())
}
