//! The memory that the texts of items share.

use clem_batch::{TextBudget, TextShare};

#[test]
fn many_endless_texts_stay_within_the_budget_and_leave_room_for_small_ones() {
    const MAX: usize = 1000;
    let budget = TextBudget::new(MAX);
    let mut endless: Vec<TextShare> = (0..9).map(|_| TextShare::new(budget.clone())).collect();
    for bytes in 1..=MAX {
        for share in &mut endless {
            let _ = share.resize(bytes);
            assert!(budget.used_bytes() <= MAX);
        }
    }
    let mut small = TextShare::new(budget.clone());
    assert!(small.resize(50));
    assert!(budget.used_bytes() <= MAX);
}

#[test]
fn a_text_that_shrinks_or_is_dropped_gives_its_bytes_back() {
    let budget = TextBudget::new(1000);
    let mut first = TextShare::new(budget.clone());
    let mut second = TextShare::new(budget.clone());
    assert!(first.resize(500));
    assert!(!second.resize(251));
    assert_eq!(budget.used_bytes(), 500);
    assert!(first.resize(100));
    assert!(second.resize(251));
    drop(second);
    assert_eq!(budget.used_bytes(), 100);
    drop(first);
    assert_eq!(budget.used_bytes(), 0);
}
