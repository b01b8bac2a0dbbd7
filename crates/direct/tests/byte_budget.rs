//! The memory that buffers of a process share.

use clem_direct::{ByteBudget, ByteShare};

#[test]
fn many_endless_texts_stay_within_the_budget_and_leave_room_for_small_ones() {
    const MAX: usize = 1000;
    let budget = ByteBudget::new(MAX);
    let mut endless: Vec<ByteShare> = (0..9).map(|_| ByteShare::new(budget.clone())).collect();
    for bytes in 1..=MAX {
        for share in &mut endless {
            let _ = share.resize(bytes);
            assert!(budget.used_bytes() <= MAX);
        }
    }
    let mut small = ByteShare::new(budget.clone());
    assert!(small.resize(50));
    assert!(budget.used_bytes() <= MAX);
}

#[test]
fn a_text_that_shrinks_or_is_dropped_gives_its_bytes_back() {
    let budget = ByteBudget::new(1000);
    let mut first = ByteShare::new(budget.clone());
    let mut second = ByteShare::new(budget.clone());
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

#[test]
fn bytes_beyond_the_budget_count_and_leave_no_room_to_others() {
    let budget = ByteBudget::new(1000);
    let mut first = ByteShare::new(budget.clone());
    let second = ByteShare::new(budget.clone());
    assert!(second.fits(500));
    first.set(1200);
    assert_eq!(budget.used_bytes(), 1200);
    assert!(!second.fits(1));
    first.set(200);
    assert!(second.fits(400));
    assert!(!second.fits(401));
}
