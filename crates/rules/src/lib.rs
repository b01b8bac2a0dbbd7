//! Parses and validates the rules file into a typed rule set.
//!
//! Operators edit one text file with one rule per line. This crate defines a single rule
//! ([`Rule`]), the validated set of all rules ([`Rules`]) and the difference between two sets
//! ([`Delta`]), which is sent to entries and agents. `docs/OPERATING.md` describes the fields of
//! the file.
//!
//! ```
//! use clem_rules::parse;
//! use clem_types::Version;
//!
//! let text = "customer.totara = { rate = \"20/s\", burst = 40 } # asked by Mere";
//! let rules = parse(text, Version(1)).expect("the file has no findings");
//! assert_eq!(rules.customers().len(), 1);
//!
//! let findings = parse("customer.totara = { burst = 0 }", Version(2)).unwrap_err();
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
pub use rule::{Backend, BatchCharge, Customer, Key, Model, Placement, Route, Rule, Target};
pub use rules::{Delta, Rules};
