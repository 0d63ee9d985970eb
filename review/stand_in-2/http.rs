//! HTTP/1.1 over blocking sockets, as much of it as the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A connection with the bytes that were read from it and not used yet.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// The first line and the headers of a message; names are in lower case.
pub struct Head {
    pub first_line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|value| value.contains("chunked"))
    }
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        // Without the option the answers only come later.
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads more bytes into the buffer. Returns false at the end of the stream.
    fn fill(&mut self) -> io::Result<bool> {
        let mut piece = [0; 64 * 1024];
        let length = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..length]);
        Ok(length > 0)
    }

    /// Reads the head of the next message; none if the peer has closed the connection before it.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first_line = lines.next().unwrap_or_default().to_owned();
                let pair = |line: &str| {
                    let (name, value) = line.split_once(':')?;
                    Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                };
                return Ok(Some(Head { first_line, headers: lines.filter_map(pair).collect() }));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = self.buffer.drain(..end + 2).take(end).collect();
                return Ok(String::from_utf8(line).unwrap_or_default());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a body, and passes its pieces on as they come.
    pub fn read_body(&mut self, head: &Head, mut on_piece: impl FnMut(&[u8])) -> io::Result<()> {
        if head.is_chunked() {
            loop {
                let line = self.read_line()?;
                let digits = line.split(';').next().unwrap_or_default().trim();
                let length = usize::from_str_radix(digits, 16).map_err(|_| io::ErrorKind::InvalidData)?;
                if length == 0 {
                    while !self.read_line()?.is_empty() {}
                    return Ok(());
                }
                on_piece(&self.read_exact(length)?);
                self.read_line()?;
            }
        }
        let length = head.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        if length > 0 {
            on_piece(&self.read_exact(length)?);
        }
        Ok(())
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

/// A request of a caller.
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub headers: &'a [(&'a str, String)],
    pub body: &'a [u8],
}

/// What a caller has received. `status` is 0 if no head has come.
#[derive(Default)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the answer has come to its end.
    pub is_whole: bool,
    pub error: String,
}

/// Sends a request on a new connection and reads the answer. `on_piece` gets what has come so far of the body.
pub fn exchange(address: SocketAddr, request: &Request, timeout: Duration, mut on_piece: impl FnMut(&[u8])) -> Answer {
    let mut answer = Answer::default();
    if let Err(error) = try_exchange(address, request, timeout, &mut answer, &mut on_piece) {
        answer.error = error.to_string();
    }
    answer
}

fn try_exchange(
    address: SocketAddr,
    request: &Request,
    timeout: Duration,
    answer: &mut Answer,
    on_piece: &mut impl FnMut(&[u8]),
) -> io::Result<()> {
    let mut connection = Connection::open(address, timeout)?;
    let mut head = format!("{} {} HTTP/1.1\r\n", request.method, request.path);
    for (name, value) in request.headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !request.body.is_empty() {
        head += &format!("Content-Length: {}\r\n", request.body.len());
    }
    head += "Connection: close\r\n\r\n";
    // An answer may come before the body was read.
    let sent = connection.write(head.as_bytes()).and_then(|()| connection.write(request.body));
    let head = match connection.read_head() {
        Ok(Some(head)) => head,
        Ok(None) => return sent.and(Err(io::ErrorKind::UnexpectedEof.into())),
        Err(error) => return sent.and(Err(error)),
    };
    answer.status = head.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    connection.read_body(&head, |piece| {
        answer.body.extend_from_slice(piece);
        on_piece(&answer.body);
    })?;
    answer.is_whole = true;
    Ok(())
}
