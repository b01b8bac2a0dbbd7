//! The rules file: parsing, checking and the typed rule set.
//!
//! Operators edit one text file with one rule a line. This crate holds what a rule is
//! ([`Rule`]), the checked set of all rules ([`Rules`]) and the change from one set to the next
//! ([`Delta`]), which is what travels to entries and agents. The file's fields are described in
//! `docs/OPERATING.md`.
//!
//! ```
//! use clem_rules::parse;
//! use clem_types::RulesVersion;
//!
//! let text = "customer.totara = { rate = \"20/s\", burst = 40 } # asked by Mere";
//! let rules = parse(text, RulesVersion(1)).expect("the file has no findings");
//! assert_eq!(rules.customers().len(), 1);
//!
//! let findings = parse("customer.totara = { burst = 0 }", RulesVersion(2)).unwrap_err();
//! assert_eq!(findings[0].to_string(), "1:1: the field rate is missing");
//! ```

mod finding;
mod name;
mod parse;
mod rule;
mod rules;

pub use finding::Finding;
pub use name::{NameError, RuleKind, RuleName};
pub use parse::parse;
pub use rule::{Backend, BatchCharge, Customer, Key, Model, Place, Route, Rule, Target};
pub use rules::{Delta, Rules};
