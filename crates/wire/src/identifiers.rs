//! Identifiers that several messages share.

use deku::prelude::*;

macro_rules! identifier {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
        #[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
        pub struct $name(pub $inner);
    };
}

identifier!(
    /// Identifies a node. Unique within a deployment; set in the node's settings file.
    NodeId, u32
);
identifier!(
    /// Identifies a model engine or a back end of a plain service, by its number in the machine list.
    EngineId, u32
);
identifier!(
    /// Identifies a program: the hash of its tenant, its instance and the key that its caller opened it with. A caller
    /// that opens a program twice with the same key gets the same history.
    ProgramId, u128
);
identifier!(
    /// Identifies a branch of a program. Branch 0 is the program itself, the other branches are its sub-agents.
    BranchId, u32
);

/// The branch of the program itself.
pub const ROOT_BRANCH: BranchId = BranchId(0);

/// The right of one owner to append to a program's history. Epochs are ordered by counter, then by node, then by term,
/// so that no two owners ever have the same epoch, not even one node before and after a restart.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct Epoch {
    /// Increases with each change of owner.
    pub counter: u32,
    /// The node that owns the program in this epoch.
    pub node: NodeId,
    /// Distinguishes the takeovers of one node, which uses each term once.
    pub term: u64,
}

impl Epoch {
    /// The lowest epoch above `self` with which `node` may take over the program. `term` is a term that `node` has not
    /// used yet.
    pub fn next_for(self, node: NodeId, term: u64) -> Self {
        Self { counter: self.counter + 1, node, term }
    }
}

/// Identifies one call of one program.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct CallKey {
    /// The program that the call belongs to.
    pub program: ProgramId,
    /// The branch that issued the call.
    pub branch: BranchId,
    /// The position of the call in its branch, from 0.
    pub sequence: u32,
}

impl std::fmt::Display for ProgramId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl std::str::FromStr for ProgramId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(ProgramId)
    }
}

impl std::fmt::Display for CallKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}-{}-{}", self.program, self.branch.0, self.sequence)
    }
}

impl std::fmt::Display for NodeId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl std::fmt::Display for EngineId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// The error for a text that is not a valid [`CallKey`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid call key; write it as PROGRAM-BRANCH-SEQUENCE, with the program in hexadecimal")]
pub struct InvalidCallKey;

impl std::str::FromStr for CallKey {
    type Err = InvalidCallKey;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('-');
        let (Some(program), Some(branch), Some(sequence), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(InvalidCallKey);
        };
        Ok(Self {
            program: program.parse().map_err(|_| InvalidCallKey)?,
            branch: BranchId(branch.parse().map_err(|_| InvalidCallKey)?),
            sequence: sequence.parse().map_err(|_| InvalidCallKey)?,
        })
    }
}
