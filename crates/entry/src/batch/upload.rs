//! `POST /v1/batches`: uploads a batch.

use std::sync::Arc;

use bytes::BytesMut;
use clem_intake::BodyError;
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

/// A chunk is sent when its items reach this many bytes.
const CHUNK_BYTES: usize = 256 * 1024;
/// A chunk is sent when it reaches this many items.
const CHUNK_ITEMS: usize = 1000;
/// How often what has come of a line may be in memory: in a buffer that grows by doubling, and as the item that is made of
/// it.
const LINE_COPIES: usize = 2;
/// The most items in one batch.
const MAX_ITEMS: u32 = 2_000_000;
/// Due times below this are in seconds since 1970, others in milliseconds.
const MIN_DUE_MILLIS: u64 = 100_000_000_000;

type Result<T> = std::result::Result<T, Refusal>;

/// Answers 202 with the id of the batch once all of it is durable on a quorum.
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
        match self.receive(req, depot, &mut body).await {
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
    async fn receive(&self, req: &Request, depot: &Depot, body: &mut ReqBody) -> Result<BatchId> {
        let identity = identity(depot)?;
        let due = parse_due(req, self.entry.clock.wall_time())?;
        let idempotency = idempotency_key(req)?;
        let begin = BatchBegin {
            batch: BatchId(self.entry.rng().random()),
            customer: identity.customer.clone(),
            key: identity.key.clone(),
            idempotency,
            due,
            now: self.entry.clock.wall_time(),
        };
        let reply = self.entry.control.call(&begin, CONTROL_TIMEOUT).await;
        match reply.map_err(|error| no_leader(&error))? {
            BatchBeginReply::Accepted { batch } => Ok(batch),
            BatchBeginReply::Full { reason } => Err(storage_full(reason)),
            BatchBeginReply::Send { batch, upload } => {
                let entry = self.entry.clone();
                let mut writer = Writer::new(entry, identity, batch, upload);
                writer.read(body).await?;
                writer.seal().await
            }
        }
    }
}

/// Splits an upload into chunks and sends them to the control leader.
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
        let customer = self.identity.customer.as_str().to_owned();
        let place = self.entry.bodies.open(self.entry.now(), &customer);
        loop {
            let part = tokio::select! {
                part = body::next_part(body) => part?,
                () = place.dropped() => return Err(self.no_room()),
            };
            let Some(part) = part else {
                break;
            };
            let held = lines.capacity().max(lines.len() + part.len()) + self.pending_bytes;
            let now = self.entry.now();
            if !place.progress(now) || !place.take(now, held.saturating_mul(LINE_COPIES)).await {
                return Err(self.no_room());
            }
            lines.push(&part);
            while let Some(line) = lines.next() {
                self.add_line(&line).await?;
            }
            if lines.len() > self.entry.max_body {
                return Err(self.bad_line("it is too long"));
            }
        }
        let rest = lines.rest();
        self.add_line(&rest).await?;
        if !self.pending.is_empty() {
            self.send_chunk().await?;
        }
        Ok(())
    }

    /// The refusal of an upload for which there is no room; it may be sent again with its key.
    fn no_room(&self) -> Refusal {
        let customer = self.identity.customer.as_str();
        let bodies = &self.entry.bodies;
        bodies.count(self.entry.now(), BodyError::NoRoom, customer);
        body::refusal(BodyError::NoRoom, self.entry.max_body)
    }

    async fn add_line(&mut self, line: &BytesMut) -> Result<()> {
        self.line += 1;
        if line.len() > self.entry.max_body {
            return Err(self.bad_line("it is too long"));
        }
        let item = lines::parse_item(&self.entry.view().rules, line);
        let Some(item) = item.map_err(|reason| self.bad_line(&reason))? else {
            return Ok(());
        };
        if self.items == MAX_ITEMS {
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

    /// Makes the pending items durable. No further lines are read meanwhile.
    async fn send_chunk(&mut self) -> Result<()> {
        if !self.entry.still_allowed(&self.identity) {
            let message = "the key was withdrawn";
            return Err(Refusal::not_run(
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
            BatchChunkReply::Full { reason } => Err(storage_full(reason)),
            BatchChunkReply::Doubled { custom_id } => {
                let message = format!("the custom_id {custom_id:?} occurs twice in the batch");
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
            // It is unknown whether the batch was accepted; sending the same job again finds out.
            Err(error) if !error.is_not_run() => {
                let message = "it is unknown whether the batch was accepted; send it again";
                let status = StatusCode::SERVICE_UNAVAILABLE;
                Err(Refusal::maybe_ran(status, "outcome_unknown", message).retry(RETRY_MS))
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
    Refusal::not_run(StatusCode::CONFLICT, "superseded", message)
}

fn storage_full(reason: String) -> Refusal {
    Refusal::not_run(StatusCode::INSUFFICIENT_STORAGE, "full", reason).retry(RETRY_MS * 60)
}

/// Reads the `due` query parameter: seconds or milliseconds since 1970, or `+SECONDS` from now.
fn parse_due(req: &Request, now: UnixMillis) -> Result<Option<UnixMillis>> {
    let query = req.uri().query().unwrap_or_default();
    let value = query.split('&').find_map(|pair| pair.strip_prefix("due="));
    let Some(value) = value.filter(|value| !value.is_empty()) else {
        return Ok(None);
    };
    let invalid = || {
        let message = "due must be a time since 1970 in seconds or milliseconds, or +SECONDS";
        Refusal::bad_request("bad_due", message)
    };
    // The plus sign may be percent-encoded.
    let delay = value
        .strip_prefix('+')
        .or_else(|| value.strip_prefix("%2B"));
    if let Some(delay) = delay {
        let seconds: u64 = delay.parse().map_err(|_| invalid())?;
        return Ok(Some(UnixMillis(
            now.0.saturating_add(seconds.saturating_mul(1000)),
        )));
    }
    let number: u64 = value.parse().map_err(|_| invalid())?;
    let millis = if number < MIN_DUE_MILLIS {
        number * 1000
    } else {
        number
    };
    Ok(Some(UnixMillis(millis)))
}
