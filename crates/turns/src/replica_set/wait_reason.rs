//! The reasons for which a step that changes a replica or the set has to wait.

/// The reason why a step waits. Its text is logged unchanged and says what an operator can do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WaitReason {
    /// Too few members are synced to the current version of the set, so the next version must not be written yet.
    #[error("no majority is synced to version {version} of the replica set yet; check that the other replicas run")]
    NotSynced {
        /// The current version of the set.
        version: u64,
    },
    /// Without this member, a tolerated loss of disks could destroy acknowledged turns.
    #[error(
        "only {remaining} replicas would remain after this one retires; add a machine with a disk, then this replica \
         can retire"
    )]
    TooFewRemain {
        /// Number of members that the set would have without this one.
        remaining: usize,
    },
    /// This member stores texts that are restricted to regions in which no other member is alive.
    #[error(
        "texts of turns that are restricted to this region are on no other running member; \
         start a replica in this region, or wait until the texts expire"
    )]
    LastInRegions,
    /// Some members were not read, and the process started too recently to know whether they are dead.
    #[error("{count} members of the set do not answer; they are removed from the set once they are considered dead")]
    MembersNotRead {
        /// Number of members that were not read.
        count: usize,
    },
    /// This replica does not have all texts that it may store, and members that were not read may have them.
    #[error(
        "this replica is missing the texts of {missing} turns that it may store, and {not_read} members do not answer; \
         check that these members run"
    )]
    TextsMissing {
        /// Number of texts that this replica may store and that are missing here.
        missing: usize,
        /// Number of members that were not read and are not known to be gone.
        not_read: usize,
    },
    /// Too few complete members were read. A refill needs enough to overlap every write quorum, a join enough to
    /// overlap every majority.
    #[error(
        "only {read} of the {needed} required replicas answered (those being refilled do not count); check that the \
         other replicas run"
    )]
    TooFewComplete {
        /// Number of complete members that were read.
        read: usize,
        /// Number of complete members that have to be read.
        needed: usize,
    },
    /// The replicas that were read may miss writes acknowledged under the previous version of the set.
    #[error(
        "the {read} replicas that answered and are not being refilled may lack writes that were acknowledged \
         under the previous version of the replica set; check that the other replicas run"
    )]
    EarlierVersionNotCovered {
        /// Number of complete replicas that were read.
        read: usize,
    },
    /// A newer version of the set may exist that none of the replicas that were read knows.
    #[error(
        "version {version} of the replica set may not be the newest, and neither the platform's store nor all \
         replicas confirmed it; check that the store answers, or that all replicas run"
    )]
    NewestNotConfirmed {
        /// The newest known version.
        version: u64,
    },
}
