//! `POST /v1/batches`: takes a batch in.

use std::sync::Arc;

use bytes::BytesMut;
use clem_types::{BatchId, BodyHash, UnixMillis};
use clem_wire::batch::{
    BatchBegin, BatchBeginReply, BatchChunk, BatchChunkReply, BatchSeal, BatchSealReply, Item,
};
use rand::Rng;
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait,
    http::{HeaderValue, ReqBody, StatusCode, header},
};

use super::{CONTROL_TIMEOUT, RETRY_MS, identity, lines, lines::Lines, no_leader};
use crate::{body, caller::Identity, entry::Entry, filter::idempotency_key, refusal::Refusal};

/// A chunk is sent when its items have this many bytes.
const CHUNK_BYTES: usize = 256 * 1024;
/// A chunk is sent when it has this many items.
const CHUNK_ITEMS: usize = 1000;
/// The most items in a batch.
const ITEMS_MAX: u32 = 2_000_000;
/// Due times below this are seconds since 1970, others are milliseconds.
const SECONDS_BELOW: u64 = 100_000_000_000;

type Result<T> = std::result::Result<T, Refusal>;

/// Answers 202 with the batch's id once the whole batch is durable on a quorum.
pub(super) struct Upload {
    pub(super) entry: Arc<Entry>,
}

#[async_trait]
impl Handler for Upload {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let mut body = req.take_body();
        match self.take_in(req, depot, &mut body).await {
            Ok(batch) => {
                res.status_code(StatusCode::ACCEPTED);
                let json = HeaderValue::from_static("application/json");
                res.headers_mut().insert(header::CONTENT_TYPE, json);
                res.body(format!("{{\"id\":\"{batch}\"}}"));
            }
            Err(refusal) => refusal.render(res),
        }
        body::drain(body);
    }
}

impl Upload {
    async fn take_in(&self, req: &Request, depot: &Depot, body: &mut ReqBody) -> Result<BatchId> {
        let identity = identity(depot)?;
        let due = due(req, self.entry.clock.wall())?;
        let idempotency = idempotency_key(req)?;
        let begin = BatchBegin {
            batch: BatchId(self.entry.rng().random()),
            customer: identity.customer.clone(),
            key: identity.key.clone(),
            idempotency,
            due,
            now: self.entry.clock.wall(),
        };
        let reply = self.entry.control.call(&begin, CONTROL_TIMEOUT).await;
        match reply.map_err(|error| no_leader(&error))? {
            BatchBeginReply::Accepted { batch } => Ok(batch),
            BatchBeginReply::Full { reason } => Err(full(reason)),
            BatchBeginReply::Send { batch, upload } => {
                let entry = self.entry.clone();
                let mut writer = Writer::new(entry, identity, batch, upload);
                writer.read(body).await?;
                writer.seal().await
            }
        }
    }
}

/// Sends an upload on, chunk by chunk.
struct Writer {
    entry: Arc<Entry>,
    identity: Identity,
    batch: BatchId,
    upload: u32,
    chunks: u32,
    items: u32,
    line: u32,
    pending: Vec<Item>,
    pending_bytes: usize,
    content: blake3::Hasher,
}

impl Writer {
    fn new(entry: Arc<Entry>, identity: Identity, batch: BatchId, upload: u32) -> Self {
        Self {
            entry,
            identity,
            batch,
            upload,
            chunks: 0,
            items: 0,
            line: 0,
            pending: Vec::new(),
            pending_bytes: 0,
            content: blake3::Hasher::new(),
        }
    }

    async fn read(&mut self, body: &mut ReqBody) -> Result<()> {
        let mut lines = Lines::default();
        while let Some(part) = body::next_part(body).await? {
            lines.push(&part);
            while let Some(line) = lines.next() {
                self.take_line(&line).await?;
            }
            if lines.len() > self.entry.max_body {
                return Err(self.bad_line("it is too long"));
            }
        }
        let rest = lines.rest();
        self.take_line(&rest).await?;
        if !self.pending.is_empty() {
            self.send_chunk().await?;
        }
        Ok(())
    }

    async fn take_line(&mut self, line: &BytesMut) -> Result<()> {
        self.line += 1;
        if line.len() > self.entry.max_body {
            return Err(self.bad_line("it is too long"));
        }
        let item = lines::item(&self.entry.view().rules, line);
        let Some(item) = item.map_err(|reason| self.bad_line(&reason))? else {
            return Ok(());
        };
        if self.items == ITEMS_MAX {
            return Err(self.bad_line("the batch has too many items"));
        }
        self.content.update(line);
        self.content.update(b"\n");
        self.items += 1;
        self.pending_bytes += item.body.len() + item.custom_id.len();
        self.pending.push(item);
        if self.pending_bytes >= CHUNK_BYTES || self.pending.len() >= CHUNK_ITEMS {
            self.send_chunk().await?;
        }
        Ok(())
    }

    /// Makes the pending items durable; the caller's next lines wait meanwhile.
    async fn send_chunk(&mut self) -> Result<()> {
        if !self.entry.still_allowed(&self.identity) {
            let message = "the key was withdrawn";
            return Err(Refusal::no(
                StatusCode::UNAUTHORIZED,
                "key_withdrawn",
                message,
            ));
        }
        let chunk = BatchChunk {
            batch: self.batch,
            upload: self.upload,
            chunk: self.chunks,
            items: std::mem::take(&mut self.pending),
        };
        self.pending_bytes = 0;
        self.chunks += 1;
        let reply = self.entry.control.call(&chunk, CONTROL_TIMEOUT).await;
        match reply.map_err(|error| no_leader(&error))? {
            BatchChunkReply::Kept => Ok(()),
            BatchChunkReply::Superseded => Err(superseded()),
            BatchChunkReply::Full { reason } => Err(full(reason)),
            BatchChunkReply::Doubled { custom_id } => {
                let message = format!("the custom_id {custom_id:?} stands twice in the batch");
                Err(Refusal::bad_request("custom_id_doubled", message))
            }
        }
    }

    async fn seal(self) -> Result<BatchId> {
        if self.items == 0 {
            return Err(Refusal::bad_request(
                "batch_empty",
                "the batch has no items",
            ));
        }
        let seal = BatchSeal {
            batch: self.batch,
            upload: self.upload,
            chunks: self.chunks,
            items: self.items,
            content: BodyHash::of(self.content.finalize().as_bytes()),
        };
        match self.entry.control.call(&seal, CONTROL_TIMEOUT).await {
            Ok(BatchSealReply::Accepted { batch }) => {
                log::info!(
                    batch = batch.to_string().as_str(),
                    customer = self.identity.customer.as_str(),
                    items = self.items;
                    "batch accepted"
                );
                Ok(batch)
            }
            Ok(BatchSealReply::Superseded) => Err(superseded()),
            // Whether it is accepted is not known; the same job sent again finds out.
            Err(error) if !error.is_not_run() => {
                let message = "whether the batch was accepted is not known; send it again";
                let status = StatusCode::SERVICE_UNAVAILABLE;
                Err(Refusal::maybe(status, "outcome_unknown", message).retry(RETRY_MS))
            }
            Err(error) => Err(no_leader(&error)),
        }
    }

    fn bad_line(&self, reason: &str) -> Refusal {
        Refusal::bad_request("bad_item", format!("line {}: {reason}", self.line))
    }
}

fn superseded() -> Refusal {
    let message = "a newer upload of the same job has begun";
    Refusal::no(StatusCode::CONFLICT, "superseded", message)
}

fn full(reason: String) -> Refusal {
    Refusal::no(StatusCode::INSUFFICIENT_STORAGE, "full", reason).retry(RETRY_MS * 60)
}

/// The due time of the query: seconds or milliseconds since 1970, or `+SECONDS` from now.
fn due(req: &Request, now: UnixMillis) -> Result<Option<UnixMillis>> {
    let query = req.uri().query().unwrap_or_default();
    let value = query.split('&').find_map(|pair| pair.strip_prefix("due="));
    let Some(value) = value.filter(|value| !value.is_empty()) else {
        return Ok(None);
    };
    let bad = || {
        let message = "due is neither a time since 1970 in seconds or milliseconds nor +SECONDS";
        Refusal::bad_request("bad_due", message)
    };
    // A plus sign in a query may have been encoded.
    let later = value
        .strip_prefix('+')
        .or_else(|| value.strip_prefix("%2B"));
    if let Some(later) = later {
        let seconds: u64 = later.parse().map_err(|_| bad())?;
        return Ok(Some(UnixMillis(
            now.0.saturating_add(seconds.saturating_mul(1000)),
        )));
    }
    let number: u64 = value.parse().map_err(|_| bad())?;
    let millis = if number < SECONDS_BELOW {
        number * 1000
    } else {
        number
    };
    Ok(Some(UnixMillis(millis)))
}
