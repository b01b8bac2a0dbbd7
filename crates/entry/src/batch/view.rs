//! JSON representation of batches and results.

use clem_wire::batch::{BatchState, BatchView, ItemOutcome, ItemResult};
use serde::Serialize;
use serde_json::value::RawValue;

#[derive(Serialize)]
struct Batch {
    id: String,
    state: &'static str,
    items: u32,
    counts: Counts,
    due: Option<u64>,
    endangered: bool,
    created: u64,
}

#[derive(Serialize)]
struct Counts {
    waiting: u32,
    running: u32,
    done: u32,
    failed: u32,
    poisoned: u32,
    cancelled: u32,
    unknown: u32,
}

#[derive(Serialize)]
struct Line<'a> {
    custom_id: &'a str,
    outcome: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    body: Option<Body<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<&'a str>,
}

/// The body of a result: JSON as the target sent it, or text if it is not JSON.
#[derive(Serialize)]
#[serde(untagged)]
enum Body<'a> {
    Json(&'a RawValue),
    Text(&'a str),
}

/// Serializes the status of a batch as JSON.
pub(super) fn batch(view: &BatchView) -> String {
    let counts = &view.counts;
    let ended = counts.done + counts.failed + counts.poisoned + counts.cancelled + counts.unknown;
    let batch = Batch {
        id: view.batch.to_string(),
        state: state_name(view.state),
        items: view.items,
        counts: Counts {
            waiting: view.items.saturating_sub(ended + view.running),
            running: view.running,
            done: counts.done,
            failed: counts.failed,
            poisoned: counts.poisoned,
            cancelled: counts.cancelled,
            unknown: counts.unknown,
        },
        due: view.due.map(|due| due.0),
        endangered: view.endangered,
        created: view.created.0,
    };
    serde_json::to_string(&batch).unwrap_or_default()
}

fn state_name(state: BatchState) -> &'static str {
    match state {
        BatchState::Uploading => "uploading",
        BatchState::Running => "running",
        BatchState::Cancelling => "cancelling",
        BatchState::Cancelled => "cancelled",
        BatchState::Done => "done",
    }
}

/// Serializes a result as one JSON line.
pub(super) fn result_line(result: &ItemResult) -> String {
    let mut line = Line {
        custom_id: &result.custom_id,
        outcome: "unknown",
        status: None,
        body: None,
        reason: None,
    };
    match &result.outcome {
        ItemOutcome::Done { status, body } => {
            line.outcome = "done";
            line.status = Some(*status);
            let json: Result<&RawValue, _> = serde_json::from_str(body);
            line.body = Some(json.map_or(Body::Text(body), Body::Json));
        }
        ItemOutcome::Failed { reason } => {
            line.outcome = "failed";
            line.reason = Some(reason);
        }
        ItemOutcome::Poisoned => line.outcome = "poisoned",
        ItemOutcome::Cancelled => line.outcome = "cancelled",
        ItemOutcome::Unknown => line.outcome = "unknown",
    }
    // A target's JSON may contain line breaks between tokens, which would split the line.
    let mut text = serde_json::to_string(&line)
        .unwrap_or_default()
        .replace(['\n', '\r'], " ");
    text.push('\n');
    text
}
