//! Deduplication of operators' commands: the first answer to each command id is stored and returned
//! again when the command is resent.

use clem_store::Store;
use clem_types::{BodyHash, CommandId};
use clem_wire::codec;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    Result,
    table::{self, Key},
};

/// Number of stored answers; beyond it the oldest is dropped.
const MAX_ANSWERS: u64 = 10_000;

/// What is stored under a command id.
pub(crate) enum Lookup<T> {
    /// Nothing: the command is new.
    New,
    /// The first answer to the same command.
    Answered(T),
    /// An answer to a different command with the same id.
    Reused,
}

/// A stored answer.
#[derive(Debug, Serialize, Deserialize)]
struct Answer {
    /// Hash of the command, to recognise a reused id.
    content: BodyHash,
    /// The answer in MessagePack.
    #[serde(with = "serde_bytes")]
    answer: Vec<u8>,
}

/// Queue positions of the oldest stored answer and of the next one.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Window {
    oldest: u64,
    next: u64,
}

/// Hash of the command's encoding.
pub(crate) fn content<T: Serialize>(command: &T) -> BodyHash {
    BodyHash::of(&codec::encode(command).unwrap_or_default())
}

/// Looks up the first answer to the command `id`; `content` is the hash of the whole command.
pub(crate) fn lookup<T: DeserializeOwned>(
    store: &dyn Store,
    id: &CommandId,
    content: BodyHash,
) -> Result<Lookup<T>> {
    let key = answer_key(id);
    let Some(kept) = table::get::<Answer>(store, &key)? else {
        return Ok(Lookup::New);
    };
    if kept.content != content {
        return Ok(Lookup::Reused);
    }
    table::decode(key.as_ref(), &kept.answer).map(Lookup::Answered)
}

/// Whether the command `id` has been answered.
pub(crate) fn is_known(store: &dyn Store, id: &CommandId) -> Result<bool> {
    Ok(store.get(answer_key(id).as_ref())?.is_some())
}

/// Stores the first answer to the command `id`, and drops the oldest answer if there are more than
/// [`MAX_ANSWERS`].
pub(crate) fn record<T: Serialize>(
    store: &mut dyn Store,
    id: &CommandId,
    content: BodyHash,
    answer: &T,
) -> Result<()> {
    let key = answer_key(id);
    let answer = codec::encode(answer).map_err(|_| table::damaged(key.as_ref()))?;
    table::put(store, &key, &Answer { content, answer })?;
    let mut window: Window = table::get(store, &window_key())?.unwrap_or_default();
    table::put(store, &position_key(window.next), id)?;
    window.next += 1;
    if window.next - window.oldest > MAX_ANSWERS {
        let position = position_key(window.oldest);
        if let Some(oldest) = table::get::<CommandId>(store, &position)? {
            table::delete(store, &answer_key(&oldest))?;
        }
        table::delete(store, &position)?;
        window.oldest += 1;
    }
    table::put(store, &window_key(), &window)
}

fn answer_key(id: &CommandId) -> Key {
    Key::new("answer").name(id.as_str())
}

fn position_key(position: u64) -> Key {
    Key::new("answer-place").u64(position)
}

fn window_key() -> Key {
    Key::new("answer-window")
}
