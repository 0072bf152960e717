//! Callers' keys. Only the digests of their secrets are stored.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Public name of a key, from which its secret can't be derived.
pub type KeyId = Arc<str>;

/// SHA-256 of a key's secret, as 64 lower-case hex digits; hidden in `Debug` output.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyDigest(Arc<str>);

impl KeyDigest {
    /// Computes the digest of a secret.
    pub fn of(secret: impl AsRef<[u8]>) -> Self {
        let digest = Sha256::digest(secret);
        let text: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        Self(text.into())
    }

    /// Returns the digest as the key's name, for keys that callers present without a name.
    pub fn id(&self) -> KeyId {
        self.0.clone()
    }

    /// Returns whether a secret has this digest, compared in constant time.
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

/// Splits a password of the form `keyid.secret` at its first dot; `None` without a dot.
pub fn split_password(password: &str) -> Option<(&str, &str)> {
    password.split_once('.')
}
