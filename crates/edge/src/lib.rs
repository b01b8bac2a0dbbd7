//! The outside world in the project's own words, and the trait that translates it.
//!
//! The direct path (`clem-front`, `clem-hub`, `clem-batch`) decides in these types only. What a
//! platform writes on the wire is known to its [`Dialect`] alone. See `docs/design/platform.md`.

mod ask;
mod batch;
mod dialect;
mod finding;
mod hop;
mod refusal;
mod rules;
mod target;

pub use ask::{Ask, Inbound, OrderCall, PromptPart};
pub use batch::{BatchSpec, ItemSpec, ItemStatus, ListedItem, ResultsPage};
pub use dialect::{Dialect, Forward, RetireStart};
pub use finding::{Finding, Findings, Result};
pub use hop::end_to_end;
pub use refusal::{Cause, Refusal};
pub use rules::{
    Backend, BatchRules, CallerLimits, Customer, Engine, KeyDigest, Route, RouteKind, Ruleset,
    Service,
};
pub use target::{ListPage, TargetHead, TargetState, TargetVm};
