//! Bounds the memory that buffers of a process take together.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A number of bytes that buffers share.
///
/// A buffer may grow as long as it takes no more than what is left then. So the largest are refused first,
/// and there is room for small ones however many large ones there are.
#[derive(Debug)]
pub struct ByteBudget {
    max_bytes: usize,
    used_bytes: Mutex<usize>,
}

impl ByteBudget {
    /// A budget of which nothing is used.
    pub fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            max_bytes,
            used_bytes: Mutex::new(0),
        })
    }

    /// The bytes that buffers may take together.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// The bytes that buffers take now.
    pub fn used_bytes(&self) -> usize {
        *self.used()
    }

    fn used(&self) -> MutexGuard<'_, usize> {
        self.used_bytes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// The part of a budget that one buffer takes, until it is dropped.
#[derive(Debug)]
pub struct ByteShare {
    budget: Arc<ByteBudget>,
    bytes: usize,
}

impl ByteShare {
    /// A share of no bytes.
    pub fn new(budget: Arc<ByteBudget>) -> Self {
        Self { budget, bytes: 0 }
    }

    /// The budget of which this is a part.
    pub fn budget(&self) -> &ByteBudget {
        &self.budget
    }

    /// Changes the share to this number of bytes; returns false, and changes nothing, if it would grow
    /// beyond what is left.
    #[must_use]
    pub fn resize(&mut self, bytes: usize) -> bool {
        let budget = Arc::clone(&self.budget);
        let mut used = budget.used();
        if bytes > self.bytes && !self.fits_beside(*used, bytes) {
            return false;
        }
        self.replace(&mut used, bytes);
        true
    }

    /// Changes the share to this number of bytes, also beyond what is left.
    pub fn set(&mut self, bytes: usize) {
        let budget = Arc::clone(&self.budget);
        self.replace(&mut budget.used(), bytes);
    }

    /// Whether the share could have this number of bytes and as many would be left.
    pub fn fits(&self, bytes: usize) -> bool {
        self.fits_beside(*self.budget.used(), bytes)
    }

    fn fits_beside(&self, used: usize, bytes: usize) -> bool {
        let others = used.saturating_sub(self.bytes);
        let left = self
            .budget
            .max_bytes
            .saturating_sub(others.saturating_add(bytes));
        bytes <= left
    }

    fn replace(&mut self, used: &mut usize, bytes: usize) {
        *used = used.saturating_sub(self.bytes) + bytes;
        self.bytes = bytes;
    }

    /// Changes the share to this number of bytes if that is less.
    pub fn shrink(&mut self, bytes: usize) {
        let given_back = self.bytes.saturating_sub(bytes);
        let mut used = self.budget.used();
        *used = used.saturating_sub(given_back);
        self.bytes -= given_back;
    }
}

impl Drop for ByteShare {
    fn drop(&mut self) {
        let mut used = self.budget.used();
        *used = used.saturating_sub(self.bytes);
    }
}
