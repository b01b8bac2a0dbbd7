//! The command line: long flags with values, every finding collected.

use std::{collections::BTreeMap, ffi::OsString, net::SocketAddr, str::FromStr};

use lexopt::Arg;

/// The flags given, and what is wrong with them.
#[derive(Debug, Default)]
pub(crate) struct Flags {
    values: BTreeMap<String, Vec<String>>,
    findings: Vec<String>,
}

impl Flags {
    /// Reads `--name value` and `--name=value`.
    pub(crate) fn read(words: impl Iterator<Item = OsString>) -> Self {
        let mut flags = Self::default();
        let mut parser = lexopt::Parser::from_args(words);
        loop {
            let name = match parser.next() {
                Ok(Some(Arg::Long(name))) => name.to_owned(),
                Ok(Some(other)) => {
                    flags.findings.push(other.unexpected().to_string());
                    continue;
                }
                Ok(None) => return flags,
                Err(error) => {
                    flags.findings.push(error.to_string());
                    return flags;
                }
            };
            let value = parser.value().map(|value| value.into_string());
            match value {
                Ok(Ok(value)) => flags.values.entry(name).or_default().push(value),
                Ok(Err(_)) => flags.findings.push(format!("--{name}: not text")),
                Err(error) => flags.findings.push(error.to_string()),
            }
        }
    }

    /// All values of a flag that may be repeated.
    pub(crate) fn all<T: FromStr>(&mut self, name: &str) -> Vec<T> {
        let mut values = Vec::new();
        for text in self.values.remove(name).unwrap_or_default() {
            match text.parse() {
                Ok(value) => values.push(value),
                Err(_) => self
                    .findings
                    .push(format!("--{name}: not a value of its kind: {text:?}")),
            }
        }
        values
    }

    /// The last value of a flag.
    pub(crate) fn get<T: FromStr>(&mut self, name: &str) -> Option<T> {
        self.all(name).pop()
    }

    /// The last value of a flag, or `default`.
    pub(crate) fn or<T: FromStr>(&mut self, name: &str, default: T) -> T {
        self.get(name).unwrap_or(default)
    }

    /// A duration flag in milliseconds.
    pub(crate) fn millis(&mut self, name: &str, default: u64) -> std::time::Duration {
        std::time::Duration::from_millis(self.or(name, default))
    }

    /// The address to listen on; without the flag a finding.
    pub(crate) fn listen(&mut self) -> SocketAddr {
        let given = self.values.contains_key("listen");
        let address = self.get("listen");
        if !given {
            self.findings.push("--listen IP:PORT is missing".to_owned());
        }
        address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Every finding, with the flags that nobody asked for.
    pub(crate) fn finish(mut self) -> Vec<String> {
        for name in self.values.keys() {
            self.findings.push(format!("unknown flag --{name}"));
        }
        self.findings
    }
}
