//! The part of HTTP/1.1 that the stand-ins need: reading and writing messages on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A message without its first line.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(known, _)| known == name).map_or("", |(_, value)| value)
    }

    /// The word of the first line with this index.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }

    /// The status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// A connection with the bytes that were received and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn early_end() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the message ended early")
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr, within: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, within)?))
    }

    /// Reads more bytes into the buffer; false at the end of the stream.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0u8; 16384];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Err(early_end());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.take(end + 2)?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(early_end());
            }
        }
    }

    /// Reads one message. With `is_answer`, a message without a length lasts until the connection closes. `None` if the
    /// connection closes before the message begins.
    pub fn read(&mut self, is_answer: bool) -> io::Result<Option<Message>> {
        if self.buffer.is_empty() && !self.fill()? {
            return Ok(None);
        }
        let mut message = Message { first_line: self.take_line()?, ..Message::default() };
        loop {
            let line = self.take_line()?;
            let Some((name, value)) = line.split_once(':') else { break };
            message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
        if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let size = usize::from_str_radix(self.take_line()?.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "a chunk has no size"))?;
                let chunk = self.take(size + 2)?;
                message.body.extend_from_slice(&chunk[..size]);
                if size == 0 {
                    break;
                }
            }
        } else if let Ok(length) = message.header("content-length").parse() {
            message.body = self.take(length)?;
        } else if is_answer && !matches!(message.status(), 100..=199 | 204 | 304) {
            while self.fill()? {}
            message.body = std::mem::take(&mut self.buffer);
        }
        Ok(Some(message))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// The bytes of a request with a body of known length.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if method != "GET" || !body.is_empty() {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    let mut bytes = (head + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// The bytes of an answer with a body of known length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    let mut bytes = (head + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a new connection and waits for the whole answer, at most for `within`.
pub fn exchange(address: SocketAddr, request: &[u8], within: Duration) -> io::Result<Message> {
    let until = Instant::now() + within;
    let mut connection = Connection::open(address, within.min(Duration::from_secs(1)))?;
    connection.write(request)?;
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    connection.stream.set_read_timeout(Some(left))?;
    connection.read(true)?.ok_or_else(early_end)
}
