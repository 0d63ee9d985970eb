//! Ports for processes that are about to be started.

use foxnotch_lab::ports::free_ports;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

/// Held by a test that binds ports: all tests here ask for ports from one place on.
static BINDING: Mutex<()> = Mutex::new(());

/// Tests that run side by side each start processes: none may be given a port of another.
#[test]
fn no_port_is_given_twice_in_a_process() {
    let threads: Vec<_> = (0..8).map(|_| std::thread::spawn(|| free_ports(12).unwrap())).collect();
    let ports: Vec<u16> = threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect();
    let distinct: BTreeSet<u16> = ports.iter().copied().collect();
    assert_eq!(distinct.len(), ports.len());
}

#[test]
fn a_port_that_is_in_use_is_not_given() {
    let _alone = BINDING.lock().unwrap_or_else(PoisonError::into_inner);
    for _ in 0..100 {
        let last = free_ports(1).unwrap()[0];
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, last + 1));
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, last + 2));
        let given = free_ports(1).unwrap()[0];
        assert!(listener.is_err() || given != last + 1, "{given} is listened on");
        assert!(socket.is_err() || given != last + 2, "{given} takes datagrams");
    }
}

/// A stand-in could not bind the port that it had been given ("127.0.0.1:17887 cannot be bound ... Address
/// already in use"), and its test waited for an answer in vain. The port had been tried with a socket that listened;
/// a process started by another thread at that moment inherits a copy, and keeps it until its own program is loaded.
#[test]
fn a_given_port_is_free_also_while_other_processes_are_started() {
    let _alone = BINDING.lock().unwrap_or_else(PoisonError::into_inner);
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
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    TcpListener::bind(address).err().or_else(|| UdpSocket::bind(address).err())
}
