//! The rules file: parsing, checking and the typed rule set.
