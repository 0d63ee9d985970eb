//! The messages about the view in version 7, which has no zone drains.

use crate::content::Content;
use crate::replica_set::{ReplicaReport, ReplicaSet};
use crate::view::{ReadStoredView, StoredPart, StoredViewHeld, ViewUpdate};
use deku::prelude::*;

/// [`ViewUpdate`] in version 7.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub(super) struct ViewUpdate7 {
    configuration_revision: u64,
    configuration_version: u64,
    configuration_stored_at_ms: u64,
    configuration: Content,
    engines_revision: u64,
    engines_since: u64,
    engines: Content,
    retirements_revision: u64,
    retirements: Content,
    set: ReplicaSet,
}

impl From<ViewUpdate7> for ViewUpdate {
    fn from(update: ViewUpdate7) -> Self {
        Self {
            configuration_revision: update.configuration_revision,
            configuration_version: update.configuration_version,
            configuration_stored_at_ms: update.configuration_stored_at_ms,
            configuration: update.configuration,
            engines_revision: update.engines_revision,
            engines_since: update.engines_since,
            engines: update.engines,
            retirements_revision: update.retirements_revision,
            retirements: update.retirements,
            zone_drains_revision: 0,
            zone_drains: Content::default(),
            set: update.set,
        }
    }
}

impl From<ViewUpdate> for ViewUpdate7 {
    fn from(update: ViewUpdate) -> Self {
        Self {
            configuration_revision: update.configuration_revision,
            configuration_version: update.configuration_version,
            configuration_stored_at_ms: update.configuration_stored_at_ms,
            configuration: update.configuration,
            engines_revision: update.engines_revision,
            engines_since: update.engines_since,
            engines: update.engines,
            retirements_revision: update.retirements_revision,
            retirements: update.retirements,
            set: update.set,
        }
    }
}

/// [`ReadStoredView`] in version 7.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub(super) struct ReadStoredView7 {
    set: ReplicaSet,
    configuration_above: u64,
    engines_above: u64,
}

impl From<ReadStoredView7> for ReadStoredView {
    fn from(request: ReadStoredView7) -> Self {
        let ReadStoredView7 { set, configuration_above, engines_above } = request;
        // An answer in version 7 cannot contain zone drains, so none are requested.
        Self { set, configuration_above, engines_above, zone_drains_above: u64::MAX }
    }
}

impl From<ReadStoredView> for ReadStoredView7 {
    fn from(request: ReadStoredView) -> Self {
        let ReadStoredView { set, configuration_above, engines_above, .. } = request;
        Self { set, configuration_above, engines_above }
    }
}

/// [`StoredViewHeld`] in version 7.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub(super) struct StoredViewHeld7 {
    report: ReplicaReport,
    set_version: u64,
    is_whole: u8,
    configuration: StoredPart,
    engines: StoredPart,
}

impl From<StoredViewHeld7> for StoredViewHeld {
    fn from(held: StoredViewHeld7) -> Self {
        let StoredViewHeld7 { report, set_version, is_whole, configuration, engines } = held;
        Self { report, set_version, is_whole, configuration, engines, zone_drains: StoredPart::default() }
    }
}

impl From<StoredViewHeld> for StoredViewHeld7 {
    fn from(held: StoredViewHeld) -> Self {
        let StoredViewHeld { report, set_version, is_whole, configuration, engines, .. } = held;
        Self { report, set_version, is_whole, configuration, engines }
    }
}
