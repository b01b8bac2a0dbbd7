//! The ordered key-value store of the state machine, in memory and on disk.
//!
//! The state machine uses the trait [`Store`]; tests run it on [`MemStore`], the control program on
//! [`RedbStore`]. Reads see all earlier writes, including those of the uncommitted batch.
//!
//! ```
//! use clem_store::{MemStore, Store};
//!
//! let mut store = MemStore::default();
//! store.put(b"rule/1", b"a")?;
//! store.put(b"rule/2", b"b")?;
//! assert_eq!(store.get(b"rule/1")?.as_deref(), Some(&b"a"[..]));
//! let first = store.scan_prefix(b"rule/", 1)?;
//! assert_eq!(&first[0].key[..], b"rule/1");
//! # Ok::<(), clem_store::StoreError>(())
//! ```

mod draft;
mod error;
mod mem;
mod pair;
mod redb_store;
mod snapshot;
mod store;
mod store_file;

pub use draft::Draft;
pub use error::{Result, StoreError};
pub use mem::MemStore;
pub use pair::Pair;
pub use redb_store::{RedbStore, Syncer};
pub use snapshot::Snapshot;
pub use store::{Store, prefix_end};
