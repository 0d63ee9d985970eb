//! An HTTP client on top of volo-http's client.
//!
//! Response bodies have a limited size, and JSON is decoded by serde_json. The client never sends a request again.

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io;
use std::time::Duration;
use volo_http::body::Body;
use volo_http::client::{Client, ClientBuilder};
use volo_http::error::client::ErrorKind;
use volo_http::error::ClientError;
use volo_http::http::{HeaderName, HeaderValue, Method, StatusCode};
use volo_http::response::Response;

/// Maximum size of a response body that is read into memory, in bytes.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a request failed.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The machine refused the connection, since no process listens on the port. Nothing was sent.
    #[error("{0} refuses connections; check that its process runs")]
    Refused(String),
    /// No connection could be opened. Nothing was sent.
    #[error("{0} cannot be reached; check its address and that its process runs")]
    Unreachable(String),
    /// The connection failed after it was opened. The request may have arrived.
    #[error("the request to {0} failed ({1}); it may have arrived")]
    Failed(String, String),
    /// No response came before the timeout. The request may have arrived.
    #[error("{0} did not respond before the timeout; the request may have arrived")]
    TimedOut(String),
    /// The response body cannot be decoded as the expected type.
    #[error("the response of {0} cannot be decoded ({1}); check that it runs this version")]
    Unreadable(String, String),
}

impl HttpError {
    /// Whether it is certain that the request has not arrived.
    pub fn is_undelivered(&self) -> bool {
        matches!(self, Self::Unreachable(_) | Self::Refused(_))
    }

    /// Whether the machine refused the connection because no process listens on the port.
    pub fn is_process_gone(&self) -> bool {
        matches!(self, Self::Refused(_))
    }
}

/// Status and body of a response.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status of the response.
    pub status: StatusCode,
    /// The body, read to its end.
    pub body: Bytes,
}

impl Answer {
    /// Decodes the body as JSON. `address` is the server's address, which the error names.
    ///
    /// # Errors
    /// [`HttpError::Unreadable`].
    pub fn json<T: DeserializeOwned>(&self, address: &str) -> Result<T, HttpError> {
        serde_json::from_slice(&self.body)
            .map_err(|error| HttpError::Unreadable(address.to_owned(), format!("status {}: {error}", self.status)))
    }
}

/// A header of a request.
#[derive(Clone, Debug)]
pub struct Header {
    /// Name, in lowercase.
    pub name: &'static str,
    /// Value. A header whose value has invalid characters is not sent.
    pub value: String,
}

/// An HTTP client that reuses its connections.
#[derive(Clone)]
pub struct HttpClient {
    client: Client,
}

impl HttpClient {
    /// Creates a client with a timeout for opening connections and none for responses.
    ///
    /// # Errors
    /// When the library cannot build a client.
    pub fn new() -> anyhow::Result<Self> {
        let mut builder = ClientBuilder::new();
        builder.set_connect_timeout(CONNECT_TIMEOUT);
        let client = builder
            .build()
            .map_err(|error| anyhow::anyhow!("the HTTP client cannot be built ({error}); report this as a bug"))?;
        Ok(Self { client })
    }

    /// Sends a request and returns the response as soon as its status and headers have arrived.
    ///
    /// # Errors
    /// [`HttpError::Refused`] or [`HttpError::Unreachable`] when nothing was sent, [`HttpError::Failed`] otherwise.
    pub async fn send(
        &self,
        method: Method,
        address: &str,
        path: &str,
        headers: &[Header],
        body: Vec<u8>,
    ) -> Result<Response, HttpError> {
        let mut request = self.client.request(method, format!("http://{address}{path}"));
        for header in headers {
            if let Ok(value) = HeaderValue::from_str(&header.value) {
                request.headers_mut().insert(HeaderName::from_static(header.name), value);
            }
        }
        let sent = request.body(Body::from(body)).send().await;
        sent.map_err(|error| classify_error(address, &error))
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    /// Any [`HttpError`] except [`HttpError::Unreadable`].
    pub async fn exchange(
        &self,
        method: Method,
        address: &str,
        path: &str,
        headers: &[Header],
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Answer, HttpError> {
        let work = async {
            let response = self.send(method, address, path, headers, body).await?;
            read_whole(address, response).await
        };
        tokio::time::timeout(timeout, work).await.unwrap_or_else(|_| Err(HttpError::TimedOut(address.to_owned())))
    }

    /// Sends a `GET` request and decodes the JSON of its response.
    ///
    /// # Errors
    /// Any [`HttpError`].
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        timeout: Duration,
    ) -> Result<T, HttpError> {
        let answer = self.exchange(Method::GET, address, path, &[], Vec::new(), timeout).await?;
        answer.json(address)
    }

    /// Sends a request with a JSON body and reads the whole response.
    ///
    /// # Errors
    /// Any [`HttpError`] except [`HttpError::Unreadable`].
    pub async fn send_json<T: Serialize>(
        &self,
        method: Method,
        address: &str,
        path: &str,
        headers: &[Header],
        body: &T,
        timeout: Duration,
    ) -> Result<Answer, HttpError> {
        let body = serde_json::to_vec(body).unwrap_or_default();
        self.exchange(method, address, path, headers, body, timeout).await
    }
}

/// Reads a response with a body of at most [`MAX_BODY_BYTES`]. `address` is the server's address,
/// which the error names.
///
/// # Errors
/// [`HttpError::Failed`].
pub async fn read_whole(address: &str, response: Response) -> Result<Answer, HttpError> {
    let status = response.status();
    let limited = Limited::new(response.into_body(), MAX_BODY_BYTES);
    let collected = limited.collect().await;
    let body = collected.map_err(|error| HttpError::Failed(address.to_owned(), error.to_string()))?.to_bytes();
    Ok(Answer { status, body })
}

/// Maps a client error to [`HttpError`]. volo-http reports a refused connection as a failed request, so the first I/O
/// error among the causes is checked before the client error's own kind.
fn classify_error(address: &str, error: &ClientError) -> HttpError {
    match io_cause(error) {
        Some(io::ErrorKind::ConnectionRefused) => HttpError::Refused(address.to_owned()),
        Some(io::ErrorKind::HostUnreachable | io::ErrorKind::NetworkUnreachable) => {
            HttpError::Unreachable(address.to_owned())
        }
        _ if *error.kind() == ErrorKind::Connect => HttpError::Unreachable(address.to_owned()),
        _ => HttpError::Failed(address.to_owned(), error.to_string()),
    }
}

/// The kind of the first I/O error among the causes of an error.
fn io_cause(error: &ClientError) -> Option<io::ErrorKind> {
    let mut next = std::error::Error::source(error);
    while let Some(cause) = next {
        if let Some(io) = cause.downcast_ref::<io::Error>() {
            return Some(io.kind());
        }
        next = cause.source();
    }
    None
}
