//! Words and flags of the command line, with everything that is wrong with them.

use std::{
    collections::{BTreeMap, VecDeque},
    ffi::OsString,
    fmt,
    net::SocketAddr,
    path::Path,
    str::FromStr,
};

use clem_wire::FleetSecret;

use crate::help;

/// Flags with a value, and whether an environment variable of the same name stands in for them.
const VALUES: [(&str, bool); 7] = [
    ("control", true),
    ("fleet-secret-file", true),
    ("expect", false),
    ("id", false),
    ("timeout", false),
    ("customer", false),
    ("key-id", false),
];
/// Flags without a value.
const SWITCHES: [&str; 2] = ["json", "force"];

/// Where the control group is, and the secret to show it.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) control: Vec<SocketAddr>,
    pub(crate) secret: FleetSecret,
}

/// What the command line holds.
#[derive(Debug, Default)]
pub(crate) struct Args {
    words: VecDeque<String>,
    values: BTreeMap<&'static str, String>,
    switches: Vec<&'static str>,
    print: Option<String>,
    findings: Vec<String>,
}

impl Args {
    /// Reads words and flags, and the environment for flags that were not given.
    pub(crate) fn read<I>(args: I, env: impl Fn(&str) -> Option<OsString>) -> Self
    where
        I: IntoIterator,
        I::Item: Into<OsString>,
    {
        let mut read = Self::default();
        let mut parser = lexopt::Parser::from_args(args);
        loop {
            match parser.next() {
                Ok(None) => break,
                Ok(Some(lexopt::Arg::Long("help") | lexopt::Arg::Short('h'))) => {
                    read.print = Some(help::HELP.to_owned());
                }
                Ok(Some(lexopt::Arg::Long("version") | lexopt::Arg::Short('V'))) => {
                    read.print = Some(format!("clemctl {}\n", env!("CARGO_PKG_VERSION")));
                }
                Ok(Some(lexopt::Arg::Value(word))) => {
                    read.words.push_back(word.to_string_lossy().into_owned());
                }
                Ok(Some(lexopt::Arg::Long(name))) => {
                    let name = name.to_owned();
                    read.flag(&name, &mut parser);
                }
                Ok(Some(lexopt::Arg::Short(letter))) => {
                    read.find(format!("-{letter}"), "there is no such flag");
                }
                Err(error) => read.find("command line", error),
            }
        }
        for (name, in_env) in VALUES {
            if !in_env || read.values.contains_key(name) {
                continue;
            }
            let variable = format!("CLEM_{}", name.to_ascii_uppercase().replace('-', "_"));
            let Some(value) = env(&variable) else {
                continue;
            };
            let value = value.to_string_lossy().into_owned();
            read.values.insert(name, value);
        }
        read
    }

    fn flag(&mut self, name: &str, parser: &mut lexopt::Parser) {
        if let Some(switch) = SWITCHES.iter().find(|switch| **switch == name) {
            self.switches.push(switch);
            return;
        }
        let Some((known, _)) = VALUES.iter().find(|(known, _)| *known == name) else {
            self.find(format!("--{name}"), "there is no such flag");
            let _ = parser.optional_value();
            return;
        };
        let Ok(value) = parser.value() else {
            self.find(format!("--{name}"), "its value is missing");
            return;
        };
        let value = value.to_string_lossy().into_owned();
        if *known != "control" && self.values.contains_key(known) {
            self.find(format!("--{name}"), "it is given more than once");
            return;
        }
        let values = self.values.entry(known).or_default();
        if !values.is_empty() {
            values.push(',');
        }
        values.push_str(&value);
    }

    /// The text to print in place of a run: help or version.
    pub(crate) fn take_print(&mut self) -> Option<String> {
        self.print.take()
    }

    /// The next word, for choosing what to do.
    pub(crate) fn word(&mut self) -> Option<String> {
        self.words.pop_front()
    }

    /// The next word as a value; a missing or wrong one is found.
    pub(crate) fn value<T>(&mut self, shape: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let Some(word) = self.words.pop_front() else {
            self.find(shape, "it is missing");
            return None;
        };
        self.parse(shape, &word)
    }

    /// The value of a flag; a wrong one is found.
    pub(crate) fn take<T>(&mut self, name: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let text = self.values.remove(name)?;
        self.parse(&format!("--{name}"), &text)
    }

    /// The value of a flag that must be there; a missing or wrong one is found.
    pub(crate) fn require<T>(&mut self, name: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        if !self.values.contains_key(name) {
            self.find(format!("--{name}"), "it is missing");
            return None;
        }
        self.take(name)
    }

    /// Whether a flag without a value is given.
    pub(crate) fn switch(&mut self, name: &str) -> bool {
        let before = self.switches.len();
        self.switches.retain(|switch| *switch != name);
        self.switches.len() != before
    }

    /// Where the control group is.
    pub(crate) fn take_group(&mut self) -> Option<Group> {
        let listed: Option<String> = self.require("control");
        let file: Option<String> = self.require("fleet-secret-file");
        let mut control = Vec::new();
        for text in listed.iter().flat_map(|listed| listed.split(',')) {
            control.extend(self.parse::<SocketAddr>("--control", text));
        }
        let file = file?;
        let secret = match FleetSecret::read(Path::new(&file)) {
            Ok(secret) => secret,
            Err(error) => {
                self.find(
                    "--fleet-secret-file",
                    format!("{file} can't be used: {error}"),
                );
                return None;
            }
        };
        if control.is_empty() {
            return None;
        }
        Some(Group { control, secret })
    }

    /// Adds a finding.
    pub(crate) fn find(&mut self, place: impl fmt::Display, reason: impl fmt::Display) {
        self.findings.push(format!("{place}: {reason}"));
    }

    /// Ends the reading: what hasn't been asked for is a finding, but for the environment's.
    pub(crate) fn finish(&mut self) -> Vec<String> {
        for word in std::mem::take(&mut self.words) {
            self.find(word, "it is one word too many");
        }
        for switch in std::mem::take(&mut self.switches) {
            self.find(format!("--{switch}"), "it says nothing here");
        }
        for (name, in_env) in VALUES {
            if in_env || !self.values.contains_key(name) {
                continue;
            }
            self.find(format!("--{name}"), "it says nothing here");
        }
        std::mem::take(&mut self.findings)
    }

    fn parse<T>(&mut self, place: &str, text: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.find(place, format!("{text:?} can't be used: {error}"));
                None
            }
        }
    }
}
