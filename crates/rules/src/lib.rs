//! The rules file: parsing, checking and the typed rule set.
//!
//! Operators edit one text file with one rule a line. This crate holds what a rule is
//! ([`Rule`]), the checked set of all rules ([`Rules`]) and the change from one set to the next
//! ([`Delta`]), which is what travels to entries and agents. The file's fields are described in
//! `docs/OPERATING.md`.
//!
//! ```
//! use clem_rules::{Rules, RuleName};
//!
//! let rules = Rules::default();
//! let name: RuleName = "customer.totara".parse()?;
//! assert!(rules.get(&name).is_none());
//! # Ok::<(), clem_rules::NameError>(())
//! ```

mod name;
mod rule;
mod rules;

pub use name::{NameError, RuleKind, RuleName};
pub use rule::{Backend, BatchCharge, Customer, Key, Model, Place, Route, Rule, Target};
pub use rules::{Delta, Rules};
