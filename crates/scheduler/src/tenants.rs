//! Finds the tenant of a request by the API key that the request carries.
//!
//! Keys are stored and compared only as digests: the memory of a process, the messages between nodes and the logs
//! contain no key, and the time of a lookup reveals nothing about a key.

use crate::residency::Residency;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

/// Number of stored bytes of a digest. With 24,000 tenants, the probability that any two keys have the same digest is 1
/// in 10^29.
const DIGEST_BYTES: usize = 16;

/// The digest of a key: the first 16 bytes of the key's SHA-256. The `Debug` output does not contain the digest.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct KeyDigest([u8; DIGEST_BYTES]);

/// The error for a string that is not a key digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a key digest must have {} hexadecimal digits; check that all nodes run the same version", 2 * DIGEST_BYTES)]
pub struct InvalidKeyDigest;

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        let whole = Sha256::digest(key);
        let mut stored = [0; DIGEST_BYTES];
        stored.copy_from_slice(&whole[..DIGEST_BYTES]);
        Self(stored)
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        format!("{:032x}", u128::from_be_bytes(digest.0))
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = InvalidKeyDigest;

    fn try_from(text: String) -> Result<Self, InvalidKeyDigest> {
        if text.len() != 2 * DIGEST_BYTES {
            return Err(InvalidKeyDigest);
        }
        u128::from_str_radix(&text, 16).map(|number| Self(number.to_be_bytes())).map_err(|_| InvalidKeyDigest)
    }
}

/// A tenant's rate limit, which holds for all gateways together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateLimit {
    /// Number of requests allowed in a second; 0 or more.
    pub per_second: f64,
    /// Number of requests allowed in a burst in addition to the rate; 0 or more.
    pub burst: f64,
}

impl RateLimit {
    /// Whether both values are finite and not negative.
    pub fn is_valid(&self) -> bool {
        let is_valid_number = |value: f64| value.is_finite() && value >= 0.0;
        is_valid_number(self.per_second) && is_valid_number(self.burst)
    }
}

/// A tenant as configured by the operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// The tenant's name, which is sent to engines.
    pub name: String,
    /// Digests of the tenant's keys.
    pub keys: Vec<KeyDigest>,
    /// Priority of all requests of the tenant, in place of their routes' priorities. 0 is the highest.
    pub priority: Option<u8>,
    /// The tenant's rate limit; `None` when it has no limit.
    pub limit: Option<RateLimit>,
    /// The regions in which the tenant's requests may be served and their content stored.
    #[serde(default)]
    pub residency: Residency,
}

/// Why the configuration of a tenant is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TenantError {
    /// The tenant with this number has no name.
    #[error("tenant number {0} has no name; set its name")]
    MissingName(usize),
    /// The rate or burst of the tenant with this name is not a number of 0 or more.
    #[error("the rate or burst of tenant {0} is not a number of 0 or more; correct it, or omit it for no limit")]
    InvalidLimit(String),
}

impl Tenant {
    /// Validates the tenant, which is the `number`th of a configuration.
    ///
    /// # Errors
    /// [`TenantError`] when it has no name or an invalid rate limit.
    pub fn validate(&self, number: usize) -> Result<(), TenantError> {
        if self.name.is_empty() {
            return Err(TenantError::MissingName(number));
        }
        if self.limit.is_some_and(|limit| !limit.is_valid()) {
            return Err(TenantError::InvalidLimit(self.name.clone()));
        }
        Ok(())
    }
}

/// The key that a request carries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PresentedKey {
    /// The request carries no key.
    #[default]
    Absent,
    /// The request carries exactly one key, with this digest.
    One(KeyDigest),
    /// Several keys, or one that cannot be parsed; they identify no tenant.
    Ambiguous,
}

/// The reason why a request is denied because of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyDenial {
    /// The request carries no key, and the route requires one.
    Missing,
    /// The request carries a key that no tenant has, several keys, or one that cannot be parsed.
    Unknown,
}

impl KeyDenial {
    /// The reason's name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Unknown => "unknown",
        }
    }
}

/// The tenants of one configuration, by key.
#[derive(Debug, Default)]
pub struct TenantDirectory {
    tenants: Vec<Arc<Tenant>>,
    by_key: HashMap<KeyDigest, usize>,
    /// Number of times that a tenant lists a key that belongs to an earlier tenant.
    shared_key_count: usize,
}

impl TenantDirectory {
    /// Creates a directory of these tenants. A key that several tenants list belongs to the first of them.
    pub fn new(tenants: &[Tenant]) -> Self {
        let mut directory = Self::default();
        for tenant in tenants {
            let index = directory.tenants.len();
            directory.tenants.push(Arc::new(tenant.clone()));
            for key in &tenant.keys {
                let holder = *directory.by_key.entry(*key).or_insert(index);
                directory.shared_key_count += usize::from(holder != index);
            }
        }
        directory
    }

    /// Number of times that a tenant lists a key that belongs to an earlier tenant.
    pub fn shared_key_count(&self) -> usize {
        self.shared_key_count
    }

    /// The tenant to which a key belongs.
    pub fn tenant_of_key(&self, key: &KeyDigest) -> Option<&Arc<Tenant>> {
        self.by_key.get(key).map(|index| &self.tenants[*index])
    }

    /// The tenant of a request; `None` when the request has no key and the route admits callers without one.
    ///
    /// # Errors
    /// [`KeyDenial`] when the key is missing or unknown. An unknown key is denied on open routes too, because the
    /// caller expects to be identified as a tenant.
    pub fn identify(&self, key: PresentedKey, is_open_route: bool) -> Result<Option<&Arc<Tenant>>, KeyDenial> {
        match key {
            PresentedKey::Absent if is_open_route => Ok(None),
            PresentedKey::Absent => Err(KeyDenial::Missing),
            PresentedKey::Ambiguous => Err(KeyDenial::Unknown),
            PresentedKey::One(key) => self.tenant_of_key(&key).map(Some).ok_or(KeyDenial::Unknown),
        }
    }
}
