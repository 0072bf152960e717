//! Callers' keys, of which only digests are kept.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Names a key without giving it away.
pub type KeyId = Arc<str>;

/// The digest of a key's secret.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyDigest(Arc<str>);

impl KeyDigest {
    /// Returns the digest of a secret.
    pub fn of(secret: &str) -> Self {
        let digest = Sha256::digest(secret.as_bytes());
        let text: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        Self(text.into())
    }

    /// Returns a name for the key that follows from its secret alone.
    pub fn id(&self) -> KeyId {
        self.0.clone()
    }

    /// Returns whether a secret has this digest, in constant time.
    pub fn matches(&self, secret: &str) -> bool {
        let other = Self::of(secret);
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }
}

impl std::fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Splits a password of the form `keyid.secret`.
pub fn split_password(password: &str) -> Option<(&str, &str)> {
    password.split_once('.')
}
