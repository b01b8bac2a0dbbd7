//! The first answers to operators' commands, so that a command sent again changes nothing.

use clem_store::Store;
use clem_types::{BodyHash, CommandId};
use clem_wire::codec;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    Result,
    table::{self, Key},
};

/// How many answers are kept; the oldest goes first.
const MAX_ANSWERS: u64 = 10_000;

/// What is known of a command.
pub(crate) enum Recall<T> {
    /// It is new.
    New,
    /// It has been answered so.
    First(T),
    /// Its id stands for another command.
    Reused,
}

/// A kept answer.
#[derive(Debug, Serialize, Deserialize)]
struct Answer {
    content: BodyHash,
    #[serde(with = "serde_bytes")]
    answer: Vec<u8>,
}

/// The places of the oldest answer and of the next one.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Window {
    oldest: u64,
    next: u64,
}

/// What a command hashes to.
pub(crate) fn content<T: Serialize>(command: &T) -> BodyHash {
    BodyHash::of(&codec::encode(command).unwrap_or_default())
}

/// Looks up the first answer to the command `id`.
pub(crate) fn recall<T: DeserializeOwned>(
    store: &dyn Store,
    id: &CommandId,
    content: BodyHash,
) -> Result<Recall<T>> {
    let key = answer_key(id);
    let Some(kept) = table::get::<Answer>(store, &key)? else {
        return Ok(Recall::New);
    };
    if kept.content != content {
        return Ok(Recall::Reused);
    }
    table::decode(key.as_ref(), &kept.answer).map(Recall::First)
}

/// Whether the command `id` has been answered.
pub(crate) fn is_known(store: &dyn Store, id: &CommandId) -> Result<bool> {
    Ok(store.get(answer_key(id).as_ref())?.is_some())
}

/// Keeps the first answer to the command `id`, in the place of the oldest when there are many.
pub(crate) fn remember<T: Serialize>(
    store: &mut dyn Store,
    id: &CommandId,
    content: BodyHash,
    answer: &T,
) -> Result<()> {
    let key = answer_key(id);
    let answer = codec::encode(answer).map_err(|_| table::damaged(key.as_ref()))?;
    table::put(store, &key, &Answer { content, answer })?;
    let mut window: Window = table::get(store, &window_key())?.unwrap_or_default();
    table::put(store, &place_key(window.next), id)?;
    window.next += 1;
    if window.next - window.oldest > MAX_ANSWERS {
        let place = place_key(window.oldest);
        if let Some(oldest) = table::get::<CommandId>(store, &place)? {
            table::delete(store, &answer_key(&oldest))?;
        }
        table::delete(store, &place)?;
        window.oldest += 1;
    }
    table::put(store, &window_key(), &window)
}

fn answer_key(id: &CommandId) -> Key {
    Key::new("answer").name(id.as_str())
}

fn place_key(place: u64) -> Key {
    Key::new("answer-place").number(place)
}

fn window_key() -> Key {
    Key::new("answer-window")
}
