//! Stub engines: tasks on the test's runtime that write HTTP responses as bytes. A test sets how an engine responds,
//! including protocol violations, and reads which requests and connections it received. An address at which nothing
//! answers takes the place of a lost engine.

use crate::support::endless::EndlessBytes;
use bytes::Bytes;
use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A request that an engine received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Request line and headers.
    pub head: String,
    /// The whole request body.
    pub body: Vec<u8>,
    /// The time at which the engine had read the whole request.
    pub at: Instant,
}

impl ReceivedRequest {
    /// Returns the value of a header; its name is case-insensitive.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }

    /// Returns whether the head or the body contains this text.
    pub fn contains(&self, text: &str) -> bool {
        self.head.contains(text) || String::from_utf8_lossy(&self.body).contains(text)
    }
}

/// Time between the last event of a stream and the end of the engine's process.
const EVENT_DELIVERY_TIME: Duration = Duration::from_millis(30);

/// Length of the line that makes a slow head last longer than any request.
const SLOW_HEAD_LINE_BYTES: usize = 10_000;
/// Time for which an engine works on a request, so that requests at the same time go to several engines.
const SHORT_WORK: Duration = Duration::from_millis(30);
/// Time for which the connections of a machine that has restarted stay open and silent.
const SILENT_CONNECTION_TIME: Duration = Duration::from_secs(60);

/// Time from the last byte until a connection is reset, so that the gateway has read the byte.
const RESET_DELAY: Duration = Duration::from_millis(30);

/// How an engine responds to a request.
#[derive(Clone, Debug)]
pub enum Behaviour {
    /// Status 200 with this body.
    Answer(&'static str),
    /// Status 200 with this body, after a delay.
    AnswerAfter(Duration, &'static str),
    /// Status 200 with these events, in chunks.
    Stream(Vec<&'static str>),
    /// Sends some events, then closes the connection.
    BrokenStream(Vec<&'static str>),
    /// Status 503 with the header that marks the request as not run: the engine has no free slot.
    Full,
    /// The same without the attempt's identifier.
    FullUnnamed,
    /// Status 421: another engine has the address now.
    Replaced,
    /// Reads the request and closes the connection.
    CloseWithoutAnswer,
    /// Begins a response and closes the connection in the middle of its body.
    TruncatedAnswer,
    /// Sends this text of an answer, in which `{attempt}` stands for the attempt, and closes the connection.
    Cut(String),
    /// The same, but resets the connection.
    Reset(String),
    /// Responds with the attempt identifier of another request.
    WrongAttempt,
    /// Status 200 without a signature.
    Unsigned,
    /// Status 500 with a signature.
    Failure,
    /// Status 503 without the header that marks the request as not run.
    UnmarkedRefusal,
    /// First a copy of an answer to another attempt, with this status and the mark that the attempt was not run; then
    /// the complete answer to the request.
    LateCopyBeforeAnswer(&'static str),
    /// Refuses each attempt once, as not run. When the attempt comes again on the same connection, a copy of that
    /// refusal comes before the answer `right`.
    RefuseOnceAndRepeat,
    /// Refuses requests that contain the marker, as not run and without naming the attempt. Other requests get the
    /// response `right`; a copy of the refusal comes first if the connection carried one.
    RefuseUnnamedAndRepeat(&'static str),
    /// The engine's first request gets the head of a refusal that was not run and a part of its body, and the connection
    /// stays open. Other requests get the response `right`.
    CutFirstRefusal,
    /// Bytes of this kind that never end.
    Endless(EndlessBytes),
    /// Sends the head of a response one byte at a time, with this pause after each.
    SlowHead(Duration),
    /// A complete response, followed by a response that belongs to no request.
    ExtraBytes,
    /// Never responds.
    Hang,
    /// Sends these events, then the engine's process ends, if head or body of the request contain the marker. Other
    /// requests get the response `done`, as a stream if there are events.
    EndUnder(&'static str, Vec<&'static str>),
    /// Works on a request that contains the marker for a while, then the engine's process ends, also if the caller has
    /// left. Other requests get the response `done`.
    EndLaterUnder(&'static str, Duration),
    /// If the request contains the marker, sends an answer to another attempt, and then the engine's process ends. Other
    /// requests get the response `done`.
    EndAfterOtherAnswerUnder(&'static str),
    /// If the request contains the marker, begins a response with status 500, and the engine's process ends before the
    /// body is complete. Other requests get the response `done`.
    EndInFailureUnder(&'static str),
    /// Closes the connection without an answer if the request contains the marker. Other requests get the response `done`
    /// after a short time.
    CloseUnder(&'static str),
    /// Under a request that contains the marker, the engine's machine restarts: open connections stay silent without
    /// being closed, and new ones are refused. Other requests get the response `done`.
    RestartMachineUnder(&'static str),
}

/// A running stub engine. Dropping it stops it from accepting connections.
pub struct StubEngine {
    /// The address at which the engine listens.
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    behaviour: Arc<Mutex<Behaviour>>,
    closed: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
    ended: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Drop for StubEngine {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl StubEngine {
    /// Starts an engine on a free port.
    pub async fn start(behaviour: Behaviour) -> Self {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), behaviour).await
    }

    /// Starts an engine at an address.
    pub async fn start_at(address: SocketAddr, behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind(address).await.expect("the address is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        let received = Arc::new(Mutex::new(Vec::new()));
        let behaviour = Arc::new(Mutex::new(behaviour));
        let closed = Arc::new(AtomicUsize::new(0));
        let connections = Arc::new(AtomicUsize::new(0));
        let ended = watch::Sender::new(false);
        let shared = (received.clone(), behaviour.clone(), closed.clone(), connections.clone(), ended.clone());
        let task = tokio::spawn(async move {
            let (received, behaviour, closed, connections, ended) = shared;
            let mut end = ended.subscribe();
            loop {
                let stream = tokio::select! {
                    accepted = listener.accept() => accepted,
                    _ = end.wait_for(|ended| *ended) => return,
                };
                let Ok((stream, _)) = stream else { return };
                connections.fetch_add(1, Ordering::SeqCst);
                let (received, behaviour, closed) = (received.clone(), behaviour.clone(), closed.clone());
                let (ended, mut end) = (ended.clone(), ended.subscribe());
                tokio::spawn(async move {
                    tokio::select! {
                        () = serve(stream, &received, &behaviour, &ended) => {}
                        _ = end.wait_for(|ended| *ended) => {}
                    }
                    closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        Self { address, received, behaviour, closed, connections, ended, task }
    }

    /// Ends the engine's process: closes all its connections and its listener.
    pub fn end(&self) {
        self.ended.send_replace(true);
    }

    /// Returns whether the engine's process has ended.
    pub fn has_ended(&self) -> bool {
        *self.ended.borrow()
    }

    /// Sets how the engine responds to requests from now on.
    pub fn set(&self, behaviour: Behaviour) {
        *self.behaviour.lock().expect("no thread panicked while holding the lock") = behaviour;
    }

    /// Returns all requests that the engine received.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().expect("no thread panicked while holding the lock").clone()
    }

    /// Returns the number of connections that have ended.
    pub fn closed_connections(&self) -> usize {
        self.closed.load(Ordering::SeqCst)
    }

    /// Returns the number of connections that were accepted.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}

async fn serve(
    mut stream: TcpStream,
    received: &Mutex<Vec<ReceivedRequest>>,
    behaviour: &Mutex<Behaviour>,
    ended: &watch::Sender<bool>,
) {
    let mut refused = Vec::new();
    let mut has_refused_unnamed = false;
    while let Some(request) = read_request(&mut stream).await {
        let attempt = request.header("t-attempt").unwrap_or_default().to_owned();
        let behaviour = behaviour.lock().expect("no thread panicked while holding the lock").clone();
        let behaviour = match behaviour {
            Behaviour::EndUnder(marker, events) if request.contains(marker) => {
                received.lock().expect("no thread panicked while holding the lock").push(request);
                send_events_and_end(&mut stream, &attempt, events, ended).await;
                return;
            }
            Behaviour::RefuseOnceAndRepeat => {
                let is_copied = refused.contains(&attempt);
                let is_refused = !push_and_check_known(received, request, &attempt);
                if is_refused {
                    refused.push(attempt.clone());
                }
                if (is_refused || is_copied) && !respond(&mut stream, &attempt, Behaviour::Full).await {
                    return;
                }
                if !is_refused && !respond(&mut stream, &attempt, Behaviour::Answer("right")).await {
                    return;
                }
                continue;
            }
            Behaviour::RefuseUnnamedAndRepeat(marker) if request.contains(marker) => {
                has_refused_unnamed = true;
                Behaviour::FullUnnamed
            }
            Behaviour::RefuseUnnamedAndRepeat(_) => {
                if has_refused_unnamed && !respond(&mut stream, &attempt, Behaviour::FullUnnamed).await {
                    return;
                }
                Behaviour::Answer("right")
            }
            Behaviour::EndLaterUnder(marker, time) if request.contains(marker) => {
                end_after(time, ended.clone());
                Behaviour::Hang
            }
            Behaviour::RestartMachineUnder(marker) if request.contains(marker) => {
                received.lock().expect("no thread panicked while holding the lock").push(request);
                keep_silent(stream);
                ended.send_replace(true);
                return;
            }
            Behaviour::EndAfterOtherAnswerUnder(marker) | Behaviour::EndInFailureUnder(marker)
                if request.contains(marker) =>
            {
                received.lock().expect("no thread panicked while holding the lock").push(request);
                let bytes = match behaviour {
                    Behaviour::EndInFailureUnder(_) => format!(
                        "HTTP/1.1 500 Internal Server Error\r\nt-attempt: {attempt}\r\nt-seal: s\r\n\
                         content-length: 100\r\n\r\nhalf"
                    )
                    .into(),
                    _ => complete_response("200 OK", "t-attempt: other\r\nt-seal: s\r\n", "not yours"),
                };
                // The write fails if the gateway has closed the connection.
                let _ = stream.write_all(&bytes).await;
                tokio::time::sleep(EVENT_DELIVERY_TIME).await;
                ended.send_replace(true);
                return;
            }
            Behaviour::EndAfterOtherAnswerUnder(_) | Behaviour::EndInFailureUnder(_) => Behaviour::Answer("done"),
            Behaviour::CutFirstRefusal if has_received(received) => Behaviour::Answer("right"),
            Behaviour::CloseUnder(marker) if request.contains(marker) => Behaviour::CloseWithoutAnswer,
            Behaviour::CloseUnder(_) => Behaviour::AnswerAfter(SHORT_WORK, "done"),
            Behaviour::EndLaterUnder(..) | Behaviour::RestartMachineUnder(_) => Behaviour::Answer("done"),
            Behaviour::EndUnder(_, events) if events.is_empty() => Behaviour::Answer("done"),
            Behaviour::EndUnder(..) => Behaviour::Stream(vec!["data: done\n\n"]),
            other => other,
        };
        received.lock().expect("no thread panicked while holding the lock").push(request);
        if !respond(&mut stream, &attempt, behaviour).await {
            return;
        }
    }
}

fn has_received(received: &Mutex<Vec<ReceivedRequest>>) -> bool {
    !received.lock().expect("no thread panicked while holding the lock").is_empty()
}

/// Adds a request to the received ones. Returns whether its attempt was received before.
fn push_and_check_known(received: &Mutex<Vec<ReceivedRequest>>, request: ReceivedRequest, attempt: &str) -> bool {
    let mut received = received.lock().expect("no thread panicked while holding the lock");
    let is_known = received.iter().any(|other| other.header("t-attempt") == Some(attempt));
    received.push(request);
    is_known
}

/// Ends the engine's process after a while.
fn end_after(time: Duration, ended: watch::Sender<bool>) {
    tokio::spawn(async move {
        tokio::time::sleep(time).await;
        ended.send_replace(true);
    });
}

/// Keeps a connection open on which nothing more is sent.
fn keep_silent(stream: TcpStream) {
    tokio::spawn(async move {
        tokio::time::sleep(SILENT_CONNECTION_TIME).await;
        drop(stream);
    });
}

/// Sends the first events of a stream, if there are any, and ends the engine's process.
async fn send_events_and_end(
    stream: &mut TcpStream,
    attempt: &str,
    events: Vec<&'static str>,
    ended: &watch::Sender<bool>,
) {
    if !events.is_empty() {
        respond(stream, attempt, Behaviour::BrokenStream(events)).await;
        tokio::time::sleep(EVENT_DELIVERY_TIME).await;
    }
    ended.send_replace(true);
}

async fn read_request(stream: &mut TcpStream) -> Option<ReceivedRequest> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut request = ReceivedRequest { head, body: bytes[end..].to_vec(), at: Instant::now() };
    let length: usize = request.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    while request.body.len() < length {
        if stream.read_buf(&mut request.body).await.ok()? == 0 {
            return None;
        }
    }
    request.at = Instant::now();
    Some(request)
}

fn complete_response(status: &str, headers: &str, body: &str) -> Bytes {
    Bytes::from(format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n{body}", body.len()))
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Responds to one request. Returns whether the connection stays open.
async fn respond(stream: &mut TcpStream, attempt: &str, behaviour: Behaviour) -> bool {
    let signed = format!("t-attempt: {attempt}\r\nt-seal: s\r\n");
    let streamed =
        format!("HTTP/1.1 200 OK\r\n{signed}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n");
    let bytes = match behaviour {
        Behaviour::Answer(body) => complete_response("200 OK", &signed, body),
        Behaviour::AnswerAfter(time, body) => {
            tokio::time::sleep(time).await;
            complete_response("200 OK", &signed, body)
        }
        Behaviour::Stream(events) => {
            let chunks: String = events.iter().map(|event| chunk(event)).collect();
            Bytes::from(format!("{streamed}{chunks}0\r\n\r\n"))
        }
        Behaviour::BrokenStream(events) => {
            let chunks: String = events.iter().map(|event| chunk(event)).collect();
            // The write fails if the gateway has closed the connection.
            let _ = stream.write_all(format!("{streamed}{chunks}").as_bytes()).await;
            return false;
        }
        Behaviour::Full => {
            let headers = format!("t-attempt: {attempt}\r\nt-not-run: 1\r\n");
            complete_response("503 Service Unavailable", &headers, "")
        }
        Behaviour::FullUnnamed => complete_response("503 Service Unavailable", "t-not-run: 1\r\n", ""),
        Behaviour::Replaced => complete_response("421 Misdirected Request", "", ""),
        Behaviour::CloseWithoutAnswer => return false,
        Behaviour::TruncatedAnswer => {
            let incomplete = format!("HTTP/1.1 200 OK\r\n{signed}content-length: 100\r\n\r\nhalf");
            // The write fails if the gateway has closed the connection.
            let _ = stream.write_all(incomplete.as_bytes()).await;
            return false;
        }
        Behaviour::Cut(text) => {
            // The write fails if the gateway has closed the connection.
            let _ = stream.write_all(text.replace("{attempt}", attempt).as_bytes()).await;
            return false;
        }
        Behaviour::Reset(text) => {
            let _ = stream.write_all(text.replace("{attempt}", attempt).as_bytes()).await;
            tokio::time::sleep(RESET_DELAY).await;
            // Closing such a socket resets its connection.
            stream.set_zero_linger().expect("the socket is open");
            return false;
        }
        Behaviour::WrongAttempt => complete_response("200 OK", "t-attempt: other\r\nt-seal: s\r\n", "not yours"),
        Behaviour::LateCopyBeforeAnswer(status) => {
            let copy = complete_response(status, "t-attempt: other\r\nt-not-run: 1\r\nt-seal: s\r\n", "");
            Bytes::from([copy, complete_response("200 OK", &signed, "late")].concat())
        }
        Behaviour::CutFirstRefusal => {
            let head = format!("HTTP/1.1 503 Service Unavailable\r\nt-attempt: {attempt}\r\nt-not-run: 1\r\n");
            let cut = format!("{head}content-length: 100\r\n\r\nhalf");
            let mut ignored = [0; 1];
            // The write fails, and the read ends, when the gateway closes the connection.
            let _ = stream.write_all(cut.as_bytes()).await;
            let _ = stream.read(&mut ignored).await;
            return false;
        }
        Behaviour::SlowHead(pause) => {
            let head = format!("HTTP/1.1 200 OK\r\n{signed}x-line: {}", "x".repeat(SLOW_HEAD_LINE_BYTES));
            for byte in head.as_bytes() {
                if stream.write_all(&[*byte]).await.is_err() {
                    break;
                }
                tokio::time::sleep(pause).await;
            }
            return false;
        }
        Behaviour::Endless(bytes) => {
            bytes.send(stream, attempt).await;
            return false;
        }
        Behaviour::Unsigned => complete_response("200 OK", &format!("t-attempt: {attempt}\r\n"), "unsigned"),
        Behaviour::Failure => complete_response("500 Internal Server Error", &signed, "broken"),
        Behaviour::UnmarkedRefusal => complete_response("503 Service Unavailable", &signed, "doubtful"),
        Behaviour::ExtraBytes => {
            let first = complete_response("200 OK", &signed, "right");
            let second = complete_response("200 OK", "t-attempt: other\r\nt-seal: s\r\n", "surplus");
            Bytes::from([first, second].concat())
        }
        Behaviour::CloseUnder(_)
        | Behaviour::RefuseOnceAndRepeat
        | Behaviour::RefuseUnnamedAndRepeat(_)
        | Behaviour::EndUnder(..)
        | Behaviour::EndLaterUnder(..)
        | Behaviour::EndAfterOtherAnswerUnder(_)
        | Behaviour::EndInFailureUnder(_)
        | Behaviour::RestartMachineUnder(_) => {
            unreachable!("serve() handles this behaviour")
        }
        Behaviour::Hang => {
            let mut ignored = [0; 1];
            // The read ends when the gateway closes the connection.
            let _ = stream.read(&mut ignored).await;
            return false;
        }
    };
    stream.write_all(&bytes).await.is_ok()
}

/// Maximum time from the end of a caller's connection until the gateway has closed its connection to the engine.
pub const CLOSE_TIME: Duration = Duration::from_secs(5);

/// An address at which nothing answers: connection attempts are neither accepted nor refused.
pub struct SilentAddress {
    /// The address at which nothing answers.
    pub address: SocketAddr,
    _listener: Socket,
    /// Connections that fill the listener's queue.
    _queued: Vec<TcpStream>,
}

/// Time after which an unanswered connection attempt shows that the listener's queue is full.
const QUEUE_FULL_TIMEOUT: Duration = Duration::from_millis(150);

impl SilentAddress {
    /// Listens at a free port, accepts no connections and fills the listener's queue.
    pub async fn start() -> Self {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket can be created");
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port is free");
        listener.listen(0).expect("the socket can listen");
        let address =
            listener.local_addr().ok().and_then(|address| address.as_socket()).expect("the listener is bound");
        let mut queued = Vec::new();
        while let Ok(Ok(stream)) = tokio::time::timeout(QUEUE_FULL_TIMEOUT, TcpStream::connect(address)).await {
            queued.push(stream);
        }
        Self { address, _listener: listener, _queued: queued }
    }
}
