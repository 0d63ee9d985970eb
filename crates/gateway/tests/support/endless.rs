//! Bytes that engines send without end in place of an answer or a part of one.

use bytes::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Size of each write, in bytes.
const WRITE_BYTES: usize = 64 * 1024;

/// Where in an answer the bytes without end come, and what they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessBytes {
    /// Heads of informational answers, each of them complete.
    InformationalHeads,
    /// Lines of a head that never ends.
    HeadLines,
    /// One line of a head that never ends.
    HeadLine,
    /// A status line that never ends.
    StatusLine,
    /// Empty lines before a status line.
    EmptyLines,
    /// Bytes that are no HTTP.
    Garbage,
    /// The size of a chunk, as zeros that never end.
    ChunkSize,
    /// The extension of a chunk that never ends.
    ChunkExtension,
    /// Chunks of one byte, each of them with an extension.
    SmallChunks,
    /// Lines of a trailer after the last chunk.
    Trailers,
    /// A body.
    Body,
    /// The body of a refusal that states that the request was not run.
    RefusalBody,
    /// Comments in a stream of events.
    Comments,
    /// Empty events in a stream of events.
    EmptyEvents,
    /// One event of a stream.
    Event,
    /// A complete answer, and then further bytes on the same connection.
    AfterAnswer,
}

impl EndlessBytes {
    /// Returns the bytes that come once, before those without end.
    fn start(self, attempt: &str) -> String {
        let signed = format!("t-attempt: {attempt}\r\nt-seal: s\r\n");
        let chunked = format!("HTTP/1.1 200 OK\r\n{signed}transfer-encoding: chunked\r\n\r\n");
        match self {
            Self::InformationalHeads | Self::EmptyLines | Self::Garbage => String::new(),
            Self::HeadLines => "HTTP/1.1 200 OK\r\n".to_owned(),
            Self::HeadLine => "HTTP/1.1 200 OK\r\nx-line: ".to_owned(),
            Self::StatusLine => "HTTP/1.1 200 ".to_owned(),
            Self::RefusalBody => format!(
                "HTTP/1.1 503 Service Unavailable\r\nt-attempt: {attempt}\r\nt-not-run: 1\r\ntransfer-encoding: \
                 chunked\r\n\r\n"
            ),
            Self::ChunkExtension => format!("{chunked}5;extension="),
            Self::Trailers => format!("{chunked}0\r\n"),
            Self::Event => format!("{chunked}6\r\ndata: \r\n"),
            Self::AfterAnswer => format!("HTTP/1.1 200 OK\r\n{signed}content-length: 5\r\n\r\nright"),
            Self::ChunkSize | Self::SmallChunks | Self::Body | Self::Comments | Self::EmptyEvents => chunked,
        }
    }

    /// Returns the bytes that are repeated without end.
    fn unit(self) -> String {
        match self {
            Self::InformationalHeads => "HTTP/1.1 100 Continue\r\n\r\n".to_owned(),
            Self::HeadLines | Self::Trailers => "x-line: x\r\n".to_owned(),
            Self::HeadLine | Self::StatusLine | Self::ChunkExtension | Self::Garbage | Self::AfterAnswer => {
                "x".to_owned()
            }
            Self::EmptyLines => "\r\n".to_owned(),
            Self::ChunkSize => "0".to_owned(),
            Self::SmallChunks => "1;e\r\nx\r\n".to_owned(),
            Self::Body | Self::RefusalBody | Self::Event => format!("1000\r\n{}\r\n", "x".repeat(0x1000)),
            Self::Comments => "8\r\n: ping\n\n\r\n".to_owned(),
            Self::EmptyEvents => format!("1000\r\n{}\r\n", "\n".repeat(0x1000)),
        }
    }

    /// Sends the bytes as fast as the connection takes them, until it is closed.
    pub async fn send(self, stream: &mut TcpStream, attempt: &str) {
        let unit = self.unit();
        let bytes = Bytes::from(unit.repeat(WRITE_BYTES.div_ceil(unit.len())));
        let mut is_open = stream.write_all(self.start(attempt).as_bytes()).await.is_ok();
        while is_open {
            is_open = stream.write_all(&bytes).await.is_ok();
        }
    }
}
