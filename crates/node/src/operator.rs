//! The operators' commands for `foxnotch node`: check, diff, apply, status and programs.

use crate::backend::{ObjectStore, StoreError};
use crate::declarations::{merge_declarations, plan_changes, read_declaration_files, stored_declarations, Change};
use crate::http::HttpClient;
use crate::protocol::objects::ObjectList;
use foxnotch_core::declaration::Declarations;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Timeout of a request to a node.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// Settings, arguments or declarations are invalid. Nothing was changed.
    #[error("{0}")]
    Invalid(String),
    /// Another operator has changed an object since it was read.
    #[error("{0}")]
    Conflict(String),
    /// Another failure, for example of the network; a later run may succeed.
    #[error("{0:#}")]
    Other(#[from] anyhow::Error),
}

impl From<StoreError> for CommandError {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::Conflict { .. } => Self::Conflict(error.to_string()),
            other => Self::Other(other.into()),
        }
    }
}

fn ensure_valid(declarations: &Declarations) -> Result<(), CommandError> {
    let problems = declarations.check();
    if problems.is_empty() {
        return Ok(());
    }
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    Err(CommandError::Invalid(lines.join("\n")))
}

/// Checks declaration files without contacting the object API.
///
/// # Errors
/// [`CommandError::Invalid`] with all problems found, or [`CommandError::Other`] if a file cannot be read.
pub fn check(files: &[PathBuf]) -> Result<String, CommandError> {
    let file = read_declaration_files(files)?;
    let declarations = merge_declarations(&Declarations::default(), &file)?;
    ensure_valid(&declarations)?;
    Ok(format!("{} templates and {} instances are valid\n", declarations.templates.len(), declarations.instances.len()))
}

/// The changes that make the stored objects equal to the declared ones.
struct Plan {
    /// The objects that were stored when the plan was made.
    stored: ObjectList,
    changes: Vec<Change>,
}

async fn make_plan(store: &ObjectStore, files: &[PathBuf]) -> Result<Plan, CommandError> {
    let file = read_declaration_files(files)?;
    let stored = store.list().await?;
    let wanted = merge_declarations(&stored_declarations(&stored), &file)?;
    ensure_valid(&wanted)?;
    let changes = plan_changes(&stored, &wanted);
    Ok(Plan { stored, changes })
}

fn object_store(address: SocketAddr) -> Result<ObjectStore, CommandError> {
    Ok(ObjectStore::new(HttpClient::new()?, address))
}

/// Describes the changes that [`apply`] with the same files would make.
///
/// # Errors
/// Any [`CommandError`].
pub async fn diff(address: SocketAddr, files: &[PathBuf]) -> Result<String, CommandError> {
    let plan = make_plan(&object_store(address)?, files).await?;
    let mut text = String::new();
    for change in &plan.changes {
        append_change(change, &mut text);
    }
    text.push_str(&format!("{} changes against revision {}\n", plan.changes.len(), plan.stored.revision));
    Ok(text)
}

fn append_change(change: &Change, text: &mut String) {
    let verb = match (&change.old, &change.new) {
        (Value::Null, _) => "create",
        (_, Value::Null) => "delete",
        _ => "change",
    };
    text.push_str(&format!("{verb} {}/{}\n", change.kind.as_str(), change.name));
    for (sign, value) in [("-", &change.old), ("+", &change.new)] {
        if !value.is_null() {
            text.push_str(&format!("  {sign} {value}\n"));
        }
    }
}

/// Writes the objects that the files declare to the object API at `address`. All declarations are checked first. An
/// object is written only if it has not been changed since it was read.
///
/// # Errors
/// Any [`CommandError`]. On a conflict, the objects written before it stay written, and the message lists them.
pub async fn apply(address: SocketAddr, files: &[PathBuf]) -> Result<String, CommandError> {
    let store = object_store(address)?;
    let plan = make_plan(&store, files).await?;
    let mut text = String::new();
    for change in &plan.changes {
        let written = store.write(change.kind, &change.name, change.from_revision, &change.new).await;
        match written {
            Ok(revision) => {
                let object = format!("{}/{}", change.kind.as_str(), change.name);
                text.push_str(&format!("{object} is accepted as revision {revision}\n"));
            }
            Err(StoreError::Conflict { object, theirs }) => {
                let error = StoreError::Conflict { object, theirs };
                return Err(CommandError::Conflict(format!("{text}{error}")));
            }
            Err(other) => return Err(other.into()),
        }
    }
    text.push_str(&format!("{} changes accepted\n", plan.changes.len()));
    Ok(text)
}

/// Fetches the JSON of `path` from a node and formats it with indentation.
///
/// # Errors
/// When the node cannot be reached or its response cannot be decoded.
pub async fn fetch_json_page(address: SocketAddr, path: &str) -> Result<String, CommandError> {
    let client = HttpClient::new()?;
    let value: Value = client
        .get_json(&address.to_string(), path, REQUEST_TIMEOUT)
        .await
        .map_err(|error| CommandError::Other(error.into()))?;
    Ok(format!("{value:#}\n"))
}
