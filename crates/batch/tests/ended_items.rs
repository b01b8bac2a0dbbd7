//! How many results one command records.

use clem_batch::EndedItems;
use clem_edge::ItemStatus;
use clem_state::jobs::{EndedItem, JobNumber};
use clem_types::ItemIndex;

/// The longest call that members of a group accept, in bytes.
const CALL_BYTES: usize = 8 * 1024 * 1024;

/// Guards against results that are never recorded: a log entry longer than a call is replicated to nobody.
#[test]
fn many_results_that_end_at_once_are_recorded_by_calls_that_members_accept() {
    let mut ended = EndedItems::default();
    let lengths = [3_000, 0, 4 * 1024 * 1024, 700_000];
    for number in 0..3000_u32 {
        let length = lengths[number as usize % lengths.len()];
        ended.push(EndedItem {
            job: JobNumber(1),
            item: ItemIndex(number),
            state: ItemStatus::Completed,
            text: "x".repeat(if number < 100 { length } else { 3_000 }),
        });
    }
    let mut next = 0;
    loop {
        let taken = ended.take();
        if taken.is_empty() {
            break;
        }
        let bytes: usize = taken.iter().map(|item| item.text.len() + 100).sum();
        assert!(bytes < CALL_BYTES, "{bytes} bytes in one command");
        for item in taken {
            assert_eq!(item.item, ItemIndex(next));
            next += 1;
        }
    }
    assert_eq!(next, 3000);
}
