//! Bounds the memory that the texts of all items of a process take together.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A number of bytes that items share.
///
/// An item may grow as long as it takes no more than what is left then. So the largest items are refused
/// first, and there is room for small ones however many large ones there are.
#[derive(Debug)]
pub struct TextBudget {
    max_bytes: usize,
    used_bytes: Mutex<usize>,
}

impl TextBudget {
    /// A budget of which nothing is used.
    pub fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            max_bytes,
            used_bytes: Mutex::new(0),
        })
    }

    /// The bytes that items may take together.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// The bytes that items take now.
    pub fn used_bytes(&self) -> usize {
        *self.used()
    }

    fn used(&self) -> MutexGuard<'_, usize> {
        self.used_bytes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// The part of a budget that one item takes, until it is dropped.
#[derive(Debug)]
pub struct TextShare {
    budget: Arc<TextBudget>,
    bytes: usize,
}

impl TextShare {
    /// A share of no bytes.
    pub fn new(budget: Arc<TextBudget>) -> Self {
        Self { budget, bytes: 0 }
    }

    /// The budget of which this is a part.
    pub fn budget(&self) -> &TextBudget {
        &self.budget
    }

    /// Changes the share to this number of bytes; returns false, and changes nothing, if it would grow
    /// beyond what is left.
    #[must_use]
    pub fn resize(&mut self, bytes: usize) -> bool {
        let mut used = self.budget.used();
        let others = used.saturating_sub(self.bytes);
        let left = self
            .budget
            .max_bytes
            .saturating_sub(others.saturating_add(bytes));
        if bytes > self.bytes && bytes > left {
            return false;
        }
        *used = others + bytes;
        self.bytes = bytes;
        true
    }

    /// Changes the share to this number of bytes if that is less.
    pub fn shrink(&mut self, bytes: usize) {
        let given_back = self.bytes.saturating_sub(bytes);
        let mut used = self.budget.used();
        *used = used.saturating_sub(given_back);
        self.bytes -= given_back;
    }
}

impl Drop for TextShare {
    fn drop(&mut self) {
        let mut used = self.budget.used();
        *used = used.saturating_sub(self.bytes);
    }
}
