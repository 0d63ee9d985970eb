//! Reads the bodies of engines' answers.

use crate::buffer_budget::{BodyBuffer, BufferBudget, BuffersFull, Source};
use crate::engines::connection::EngineConnection;
use bytes::Bytes;
use http::{header, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;

/// Why a body was not read to its end.
#[derive(Debug, thiserror::Error)]
pub enum AnswerBodyError {
    /// The connection failed, or what came is no body.
    #[error("{0}")]
    Broken(hyper::Error),
    /// The body is longer than this number of bytes.
    #[error("its body is over {0} bytes")]
    TooLong(usize),
    /// The process holds as many bytes as it may.
    #[error("{0}")]
    BuffersFull(#[from] BuffersFull),
}

/// Whether an answer has a body that ends only with its connection: the head states no length and no chunks. The end of
/// such a body looks the same whether the engine finished it or ended before the first byte, so an empty one is not
/// complete.
pub fn ends_with_connection(head: &http::response::Parts) -> bool {
    let has_body = !matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let is_framed =
        head.headers.contains_key(header::CONTENT_LENGTH) || head.headers.contains_key(header::TRANSFER_ENCODING);
    has_body && !is_framed
}

/// Reads a body of at most `limit` bytes to its end.
///
/// # Errors
/// [`AnswerBodyError`].
pub async fn read_answer_body(
    connection: &EngineConnection,
    mut body: Incoming,
    limit: usize,
    budget: &Arc<BufferBudget>,
) -> Result<Bytes, AnswerBodyError> {
    // One buffer, since a list of pieces needs many times the memory of a body that comes in pieces of a few bytes.
    let mut read = BodyBuffer::new(budget, Source::Payload);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(AnswerBodyError::Broken)?;
        connection.note_body_progress();
        let Ok(data) = frame.into_data() else { continue };
        if read.len() + data.len() > limit {
            return Err(AnswerBodyError::TooLong(limit));
        }
        read.append(&data)?;
    }
    Ok(read.freeze())
}

/// Reads a body of at most `limit` bytes to its end and keeps nothing of it.
///
/// # Errors
/// [`AnswerBodyError`].
pub async fn discard_answer_body(
    connection: &EngineConnection,
    mut body: Incoming,
    limit: usize,
) -> Result<(), AnswerBodyError> {
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(AnswerBodyError::Broken)?;
        connection.note_body_progress();
        length += frame.data_ref().map_or(0, Bytes::len);
        if length > limit {
            return Err(AnswerBodyError::TooLong(limit));
        }
    }
    Ok(())
}
