//! Counted bytes, which are given back when they are dropped.

use std::sync::Arc;

use bytes::Bytes;

use crate::account::Account;
use crate::pool::Exhausted;

/// Bytes that are counted for an account.
#[derive(Debug)]
pub struct Charge {
    account: Arc<Account>,
    bytes: usize,
}

impl Charge {
    /// Returns a charge of no bytes.
    pub fn new(account: Arc<Account>) -> Self {
        Self { account, bytes: 0 }
    }

    /// Returns the account that the bytes are counted for.
    pub fn account(&self) -> &Arc<Account> {
        &self.account
    }

    /// Returns the number of bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the number of bytes; fewer are always allowed.
    ///
    /// # Errors
    ///
    /// Fails if the budget does not allow more bytes now.
    pub fn try_set(&mut self, bytes: usize) -> Result<(), Exhausted> {
        match bytes.checked_sub(self.bytes) {
            Some(0) => {}
            Some(more) => self.account.take(more)?,
            None => self.account.give_back(self.bytes - bytes),
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Changes the number of bytes, whether or not the budget allows it.
    ///
    /// For bytes that are in memory already.
    pub fn force(&mut self, bytes: usize) {
        match bytes.checked_sub(self.bytes) {
            Some(more) => self.account.force(more),
            None => self.account.give_back(self.bytes - bytes),
        }
        self.bytes = bytes;
    }

    /// Changes the number of bytes, and waits while the budget does not allow it.
    ///
    /// The number is unchanged if the future is dropped.
    pub async fn set(&mut self, bytes: usize) {
        if self.try_set(bytes).is_ok() {
            return;
        }
        let pool = self.account.pool().clone();
        let wait = pool.wait();
        loop {
            let mut freed = std::pin::pin!(wait.freed());
            // Registered before the attempt, so that no bytes are missed that are freed after it.
            freed.as_mut().enable();
            if self.try_set(bytes).is_ok() {
                return;
            }
            freed.await;
        }
    }

    /// Returns the payload, for which the bytes stay counted until its last copy is dropped.
    pub fn attach(self, payload: Bytes) -> Bytes {
        Bytes::from_owner(Charged {
            payload,
            _charge: self,
        })
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.account.give_back(self.bytes);
        }
    }
}

/// A payload with the charge for it.
struct Charged {
    payload: Bytes,
    _charge: Charge,
}

impl AsRef<[u8]> for Charged {
    fn as_ref(&self) -> &[u8] {
        &self.payload
    }
}
