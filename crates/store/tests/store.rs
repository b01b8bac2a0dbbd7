//! Both stores give the same results, and the one on disk recovers exactly the durable commits.

use clem_store::{MemStore, RedbStore, Store, prefix_end};
use proptest::prelude::*;

const CACHE_BYTES: usize = 1 << 20;

#[derive(Debug, Clone)]
enum Step {
    Put(Vec<u8>, Vec<u8>),
    Delete(Vec<u8>),
    Commit,
    Scan(Vec<u8>, Vec<u8>),
}

fn key() -> impl Strategy<Value = Vec<u8>> {
    proptest::collection::vec(0_u8..3, 0..4)
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (key(), key()).prop_map(|(k, v)| Step::Put(k, v)),
        key().prop_map(Step::Delete),
        Just(Step::Commit),
        (key(), key()).prop_map(|(start, end)| Step::Scan(start, end)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn disk_and_memory_give_the_same_results(steps in proptest::collection::vec(step(), 1..40)) {
        let folder = tempfile::tempdir().expect("folder");
        let mut disk = RedbStore::open(&folder.path().join("db"), CACHE_BYTES).expect("open");
        let mut mem = MemStore::default();
        let mut index = 0;
        for step in steps {
            match step {
                Step::Put(key, value) => {
                    disk.put(&key, &value).expect("put");
                    mem.put(&key, &value).expect("put");
                    prop_assert_eq!(disk.get(&key).expect("get"), mem.get(&key).expect("get"));
                }
                Step::Delete(key) => {
                    disk.delete(&key).expect("delete");
                    mem.delete(&key).expect("delete");
                    prop_assert_eq!(disk.get(&key).expect("get"), None);
                }
                Step::Commit => {
                    index += 1;
                    disk.commit(index).expect("commit");
                }
                Step::Scan(start, end) => {
                    for end in [Some(&end[..]), None] {
                        prop_assert_eq!(
                            disk.scan(&start, end, 3).expect("scan"),
                            mem.scan(&start, end, 3).expect("scan")
                        );
                        prop_assert_eq!(
                            disk.scan_rev(&start, end, 3).expect("scan"),
                            mem.scan_rev(&start, end, 3).expect("scan")
                        );
                    }
                }
            }
        }
    }
}

#[test]
fn only_durable_commits_survive_a_crash() {
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join("db");
    let copy = folder.path().join("copy");
    let mut store = RedbStore::open(&path, CACHE_BYTES).expect("open");
    store.put(b"a", b"1").expect("put");
    store.commit(1).expect("commit");
    assert_eq!(store.syncer().sync().expect("sync"), 1);
    store.put(b"a", b"2").expect("put");
    store.commit(2).expect("commit");

    // Simulates a crash: the file is copied as it is, before the store is closed.
    std::fs::copy(&path, &copy).expect("copy");
    let after = RedbStore::open(&copy, CACHE_BYTES).expect("open");
    assert_eq!(after.applied(), 1);
    assert_eq!(after.get(b"a").expect("get").as_deref(), Some(&b"1"[..]));
}

#[test]
fn a_snapshot_is_unaffected_by_later_writes() {
    let folder = tempfile::tempdir().expect("folder");
    let mut store = RedbStore::open(&folder.path().join("db"), CACHE_BYTES).expect("open");
    for number in 0..100_u8 {
        store.put(&[number], &[number; 10]).expect("put");
    }
    store.commit(7).expect("commit");
    let snapshot = store.snapshot().expect("snapshot");
    store.clear().expect("clear");
    store.put(b"other", b"x").expect("put");
    store.commit(8).expect("commit");

    let mut seen = Vec::new();
    let mut after: Option<Vec<u8>> = None;
    loop {
        let page = snapshot.page(after.as_deref(), 64).expect("page");
        let Some(last) = page.last() else {
            break;
        };
        // A pair has 11 bytes, and the page ends with the pair that reaches 64 bytes.
        assert!(page.len() <= 6);
        after = Some(last.key.to_vec());
        seen.extend(page);
    }
    assert_eq!(snapshot.applied(), 7);
    assert_eq!(seen.len(), 100);
    assert_eq!(store.scan(b"", None, 200).expect("scan").len(), 1);
}

#[test]
fn prefix_end_carries_over_maximal_bytes() {
    assert_eq!(prefix_end(b"a"), Some(b"b".to_vec()));
    assert_eq!(prefix_end(&[1, 255]), Some(vec![2]));
    assert_eq!(prefix_end(&[255]), None);
    assert_eq!(prefix_end(b""), None);
}
