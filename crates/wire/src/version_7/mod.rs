//! The messages of protocol version 7 that later versions changed, and conversions from and to the current ones.
//!
//! Machines are upgraded one by one, so nodes of this build decode these messages, and encode them for nodes that still
//! run version 7. Replicas also read turn entries of version 7 from their disks. Converting content that version 7
//! cannot express is an error, unless the content may be omitted. In that case the conversion's comment describes the
//! consequences.

mod datagrams;
mod requests;
mod turns;
mod view;

pub(crate) use datagrams::Envelope7;
pub(crate) use requests::RpcMessage7;
pub use turns::TurnEntry7;

/// The error when a message cannot be encoded in version 7.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotInVersion7 {
    /// The message contains a text that is restricted to regions. A node of version 7 would store and send the text
    /// without the restriction.
    #[error(
        "the turn's text is restricted to regions, and nodes of protocol version 7 do not enforce such restrictions; \
         upgrade these nodes"
    )]
    RestrictedToRegions,
    /// The request or answer was added after version 7.
    #[error("nodes of protocol version 7 do not support this kind of message; upgrade them")]
    UnknownKind,
    /// The message contains a forwarded message that cannot be decoded.
    #[error("the forwarded message cannot be decoded; check that the nodes' builds support a common protocol version")]
    Unreadable,
}
