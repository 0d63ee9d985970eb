//! Frames on a TCP stream between nodes: the message's length (32 bits, little-endian), then the encoded message.

use crate::buffer_budget::{BufferBudget, BufferReservation, Source};
use bytes::{Buf, BytesMut};
use foxnotch_wire::{
    decode_rpc, encode_rpc_in_version, NodeId, ProtocolVersion, RpcBody, RpcMessage, WireError, MAX_MESSAGE_BYTES,
};
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Size of a frame's length field, in bytes.
const LENGTH_BYTES: usize = 4;
/// Free buffer space that is reserved before each read, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Encodes a frame in the newest version of the protocol.
///
/// # Errors
/// [`WireError`] if the message cannot be encoded.
pub fn encode_frame(from: NodeId, exchange: u64, body: RpcBody) -> Result<Vec<u8>, WireError> {
    encode_frame_in_version(ProtocolVersion::NEWEST, from, exchange, body)
}

/// Encodes a frame for a node that reads `version`.
///
/// # Errors
/// [`WireError`] if the message cannot be encoded in that version.
pub fn encode_frame_in_version(
    version: ProtocolVersion,
    from: NodeId,
    exchange: u64,
    body: RpcBody,
) -> Result<Vec<u8>, WireError> {
    let message = encode_rpc_in_version(version, from, exchange, body)?;
    let mut frame = Vec::with_capacity(message.len() + LENGTH_BYTES);
    frame.extend_from_slice(&(message.len() as u32).to_le_bytes());
    frame.extend_from_slice(&message);
    Ok(frame)
}

/// Reads frames from a stream.
pub struct FrameReader<S> {
    stream: S,
    buffer: BytesMut,
    /// Number of bytes received so far.
    received: Arc<AtomicU64>,
    /// Counts the frame that is read now.
    reservation: BufferReservation,
}

impl<S: AsyncRead + Unpin> FrameReader<S> {
    /// Creates a reader that has read nothing yet.
    pub fn new(stream: S) -> Self {
        let reservation = BufferBudget::unlimited().begin_read(Source::Control);
        Self { stream, buffer: BytesMut::with_capacity(READ_BYTES), received: Arc::default(), reservation }
    }

    /// Makes the reader add the number of bytes that it reads to `received`.
    pub fn with_byte_counter(self, received: Arc<AtomicU64>) -> Self {
        Self { received, ..self }
    }

    /// Makes the reader count the frames that it holds.
    pub fn with_buffers(self, buffers: &Arc<BufferBudget>) -> Self {
        Self { reservation: buffers.begin_read(Source::Control), ..self }
    }

    /// Reads the next message; none at the end of the stream.
    ///
    /// # Errors
    /// The stream's error, `InvalidData` for a frame that is too long or cannot be decoded, `OutOfMemory` for one that the
    /// process has no room for.
    pub async fn read_message(&mut self) -> io::Result<Option<RpcMessage>> {
        loop {
            if let Some(message) = self.decode_next_frame()? {
                return Ok(Some(message));
            }
            self.buffer.reserve(READ_BYTES);
            let length = self.stream.read_buf(&mut self.buffer).await?;
            if length == 0 {
                return Ok(None);
            }
            self.received.fetch_add(length as u64, Ordering::Relaxed);
        }
    }

    fn decode_next_frame(&mut self) -> io::Result<Option<RpcMessage>> {
        let Some(header) = self.buffer.get(..LENGTH_BYTES) else { return Ok(None) };
        let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(invalid_data(&format!(
                "a frame of {length} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes"
            )));
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            self.reservation.resize(length).map_err(|error| io::Error::new(io::ErrorKind::OutOfMemory, error))?;
            return Ok(None);
        }
        self.reservation.release();
        self.buffer.advance(LENGTH_BYTES);
        let bytes = self.buffer.split_to(length);
        let message = decode_rpc(&bytes).map_err(|error| invalid_data(&error.to_string()))?;
        Ok(Some(message))
    }
}

fn invalid_data(problem: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, problem.to_owned())
}
