//! What becomes of items whose runs end without a result.

use std::time::Duration;

use clem_batch::RunSet;
use clem_state::jobs::JobNumber;
use clem_types::ItemIndex;

const RUNS_TIME: Duration = Duration::from_millis(100);

async fn ended(runs: &mut RunSet<u32>) -> Vec<(u64, u32, Result<u32, String>)> {
    tokio::time::sleep(RUNS_TIME).await;
    let runs = runs.take_ended().into_iter();
    runs.map(|run| (run.job.0, run.item.0, run.result))
        .collect()
}

#[tokio::test]
async fn the_item_of_a_run_that_panics_is_given_back() {
    let mut runs = RunSet::default();
    let number = 7;
    runs.spawn(JobNumber(1), ItemIndex(0), async { 5 });
    runs.spawn(JobNumber(1), ItemIndex(1), async { panic!("broken") });
    runs.spawn(JobNumber(2), ItemIndex(0), async move {
        panic!("broken at {number}")
    });
    let mut found = ended(&mut runs).await;
    found.sort();
    let expected = [
        (1, 0, Ok(5)),
        (1, 1, Err("broken".to_owned())),
        (2, 0, Err("broken at 7".to_owned())),
    ];
    assert_eq!(found, expected);
    assert_eq!(ended(&mut runs).await, []);
}

#[tokio::test]
async fn runs_that_were_stopped_are_not_given_back() {
    let mut runs = RunSet::default();
    runs.spawn(JobNumber(1), ItemIndex(0), std::future::pending());
    runs.abort_all();
    assert_eq!(ended(&mut runs).await, []);
}
