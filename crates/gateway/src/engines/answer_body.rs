//! Reads the bodies of engines' answers.

use crate::engines::connection::EngineConnection;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Why a body was not read to its end.
#[derive(Debug, thiserror::Error)]
pub enum AnswerBodyError {
    /// The connection failed, or what came is no body.
    #[error("{0}")]
    Broken(hyper::Error),
    /// The body is longer than this number of bytes.
    #[error("its body is over {0} bytes")]
    TooLong(usize),
}

/// Reads a body of at most `limit` bytes to its end.
///
/// # Errors
/// [`AnswerBodyError`].
pub async fn read_answer_body(
    connection: &EngineConnection,
    mut body: Incoming,
    limit: usize,
) -> Result<Bytes, AnswerBodyError> {
    // One buffer, since a list of pieces needs many times the memory of a body that comes in pieces of a few bytes.
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(AnswerBodyError::Broken)?;
        connection.note_body_progress();
        let Ok(data) = frame.into_data() else { continue };
        if read.len() + data.len() > limit {
            return Err(AnswerBodyError::TooLong(limit));
        }
        read.extend_from_slice(&data);
    }
    Ok(read.freeze())
}
