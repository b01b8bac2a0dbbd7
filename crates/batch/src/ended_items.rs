//! Ended items whose results are not recorded yet.

use std::collections::VecDeque;

use clem_state::jobs::EndedItem;

/// The texts of the results that one command records, in bytes: far less than a call between members may
/// have, since a log entry that is too long for one is never replicated. One result may be longer.
const COMMAND_BYTES: usize = 1024 * 1024;

/// The ended items of a leader, oldest first.
#[derive(Debug, Default)]
pub struct EndedItems(VecDeque<EndedItem>);

impl EndedItems {
    /// Adds an item.
    pub fn push(&mut self, item: EndedItem) {
        self.0.push_back(item);
    }

    /// Removes and returns the oldest items, as many as one command may record.
    pub fn take(&mut self) -> Vec<EndedItem> {
        let mut taken = Vec::new();
        let mut bytes = 0;
        while let Some(item) = self.0.front() {
            bytes += item.text.len();
            if bytes > COMMAND_BYTES && !taken.is_empty() {
                break;
            }
            taken.extend(self.0.pop_front());
        }
        taken
    }

    /// Removes all items.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
