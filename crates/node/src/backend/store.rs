//! Client of the object API.

use crate::http::{HttpClient, HttpError};
use crate::logging::part;
use crate::protocol::objects::{KindName, ObjectList, StoredObject, WriteObject, WriteResult};
use foxnotch_core::effect::Event;
use foxnotch_wire::{ConfigDelta, ConfigObject, ObjectKind, Text};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use volo_http::http::{Method, StatusCode};

/// Time for which the store waits for a change before it answers a watch, in milliseconds.
const WATCH_WAIT_MS: u64 = 5_000;
/// Timeout of a watch; longer than [`WATCH_WAIT_MS`].
const WATCH_TIMEOUT: Duration = Duration::from_secs(8);
/// Timeout of any other request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a request to the object API failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another writer has changed the object since it was read.
    #[error(
        "{object} was changed by another writer to revision {theirs} since it was read; read it, merge and apply again"
    )]
    Conflict {
        /// The object, as `kind/name`.
        object: String,
        /// The revision that the other writer wrote.
        theirs: u64,
    },
    /// The request or its response was lost, or the response cannot be decoded.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The store answered with an error status.
    #[error("the object API refused {object} with status {status}; correct the object and try again")]
    Refused {
        /// The object, as `kind/name`.
        object: String,
        /// The HTTP status of the response.
        status: u16,
    },
}

/// A client of the object API.
#[derive(Clone)]
pub struct ObjectStore {
    client: HttpClient,
    address: String,
}

impl ObjectStore {
    /// Creates a client of the object API at `address`.
    pub fn new(client: HttpClient, address: SocketAddr) -> Self {
        Self { client, address: address.to_string() }
    }

    /// Waits for objects that change after revision `after`, and returns them, or the failure, as an event.
    pub async fn watch(&self, after: u64) -> Event {
        let path = format!("/v1/objects?after={after}&wait_ms={WATCH_WAIT_MS}");
        match self.client.get_json::<ObjectList>(&self.address, &path, WATCH_TIMEOUT).await {
            Ok(list) => Event::StoreObjects(to_config_delta(after, list)),
            Err(error) => {
                log::warn!(target: part::STORE, "The configuration in force stays, because the object API failed: {error}.");
                Event::StoreFailed
            }
        }
    }

    /// Reads every object.
    ///
    /// # Errors
    /// [`StoreError::Http`].
    pub async fn list(&self) -> Result<ObjectList, StoreError> {
        Ok(self.client.get_json(&self.address, "/v1/objects?after=0&wait_ms=0", REQUEST_TIMEOUT).await?)
    }

    /// Reads one object; none if no object of this kind and name was ever written.
    ///
    /// # Errors
    /// Any [`StoreError`] except [`StoreError::Conflict`].
    pub async fn get(&self, kind: KindName, name: &str) -> Result<Option<StoredObject>, StoreError> {
        let path = object_path(kind, name);
        let answer = self.client.exchange(Method::GET, &self.address, &path, &[], Vec::new(), REQUEST_TIMEOUT).await?;
        match answer.status {
            StatusCode::OK => Ok(Some(answer.json(&self.address)?)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(StoreError::Refused { object: object_name(kind, name), status: status.as_u16() }),
        }
    }

    /// Writes an object if it is still at revision `expected` (0 if absent) and returns its new revision. If the
    /// response is lost, the object is read again. The loss is then an error only if the object does not contain this
    /// write.
    ///
    /// # Errors
    /// Any [`StoreError`].
    pub async fn write(&self, kind: KindName, name: &str, expected: u64, body: &Value) -> Result<u64, StoreError> {
        let write = WriteObject { expected_revision: expected, body: body.clone() };
        let path = object_path(kind, name);
        let sent = self.client.send_json(Method::PUT, &self.address, &path, &[], &write, REQUEST_TIMEOUT).await;
        let answer = match sent {
            Ok(answer) => answer,
            Err(error) if error.is_undelivered() => return Err(error.into()),
            Err(error) => return self.read_back(kind, name, expected, body, error).await,
        };
        match answer.status {
            StatusCode::OK => Ok(answer.json::<WriteResult>(&self.address)?.revision),
            StatusCode::CONFLICT => {
                let theirs = answer.json::<WriteResult>(&self.address)?.revision;
                Err(StoreError::Conflict { object: object_name(kind, name), theirs })
            }
            status if status.is_server_error() => {
                // A proxy may have answered instead of the store, although the write succeeded.
                let error = HttpError::Failed(self.address.clone(), format!("status {status}"));
                self.read_back(kind, name, expected, body, error).await
            }
            status => Err(StoreError::Refused { object: object_name(kind, name), status: status.as_u16() }),
        }
    }

    /// Reads the object after the response to its write was lost, to find out whether the write succeeded. Returns
    /// `error` if the object is still at revision `expected`, and a conflict if another writer has changed it.
    async fn read_back(
        &self,
        kind: KindName,
        name: &str,
        expected: u64,
        body: &Value,
        error: HttpError,
    ) -> Result<u64, StoreError> {
        log::warn!(target: part::STORE, "The response to a write of {} was lost; the object is read to see whether the write took effect.", object_name(kind, name));
        let object = self.get(kind, name).await?;
        match object {
            Some(object) if object.revision > expected && object.body == *body => Ok(object.revision),
            Some(object) if object.revision > expected => {
                Err(StoreError::Conflict { object: object_name(kind, name), theirs: object.revision })
            }
            _ => Err(error.into()),
        }
    }
}

fn object_path(kind: KindName, name: &str) -> String {
    format!("/v1/objects/{}/{name}", kind.as_str())
}

fn object_name(kind: KindName, name: &str) -> String {
    format!("{}/{name}", kind.as_str())
}

fn to_config_delta(since: u64, list: ObjectList) -> ConfigDelta {
    ConfigDelta { since, revision: list.revision, objects: list.objects.iter().map(object_to_wire).collect() }
}

/// Converts an object to the form in which nodes send it to each other.
pub fn object_to_wire(object: &StoredObject) -> ConfigObject {
    let kind = match object.kind {
        KindName::Template => ObjectKind::Template,
        KindName::Instance => ObjectKind::Instance,
    };
    let body = if object.deleted { String::new() } else { object.body.to_string() };
    ConfigObject {
        kind,
        name: object.name.as_str().into(),
        revision: object.revision,
        deleted: u8::from(object.deleted),
        body: Text::from(body),
    }
}
