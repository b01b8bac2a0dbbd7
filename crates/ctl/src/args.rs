//! Parses the command line and collects a finding for each error in it.

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

/// Flags with a value, and whether the flag can be set by an environment variable instead.
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

/// How to reach the control group, and the secret that authenticates the calls.
#[derive(Debug)]
pub(crate) struct ControlGroup {
    pub(crate) control: Vec<SocketAddr>,
    pub(crate) secret: FleetSecret,
}

/// The parsed command line. What a command doesn't consume is reported by [`Args::finish`].
#[derive(Debug, Default)]
pub(crate) struct Args {
    words: VecDeque<String>,
    values: BTreeMap<&'static str, String>,
    switches: Vec<&'static str>,
    print: Option<String>,
    findings: Vec<String>,
}

impl Args {
    /// Parses the arguments. A flag that is not given is read from the environment, if it may be.
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
                    read.read_flag(&name, &mut parser);
                }
                Ok(Some(lexopt::Arg::Short(letter))) => {
                    read.add_finding(format!("-{letter}"), "unknown flag");
                }
                Err(error) => read.add_finding("command line", error),
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

    fn read_flag(&mut self, name: &str, parser: &mut lexopt::Parser) {
        if let Some(switch) = SWITCHES.iter().find(|switch| **switch == name) {
            self.switches.push(switch);
            return;
        }
        let Some((known, _)) = VALUES.iter().find(|(known, _)| *known == name) else {
            self.add_finding(format!("--{name}"), "unknown flag");
            let _ = parser.optional_value();
            return;
        };
        let Ok(value) = parser.value() else {
            self.add_finding(format!("--{name}"), "the value is missing");
            return;
        };
        let value = value.to_string_lossy().into_owned();
        if *known != "control" && self.values.contains_key(known) {
            self.add_finding(format!("--{name}"), "given more than once");
            return;
        }
        let values = self.values.entry(known).or_default();
        if !values.is_empty() {
            values.push(',');
        }
        values.push_str(&value);
    }

    /// The help or version text, if it was asked for; it is printed instead of running a command.
    pub(crate) fn take_print(&mut self) -> Option<String> {
        self.print.take()
    }

    /// The next positional argument, unparsed.
    pub(crate) fn next_word(&mut self) -> Option<String> {
        self.words.pop_front()
    }

    /// Parses the next positional argument; adds a finding if it is missing or invalid.
    pub(crate) fn next_value<T>(&mut self, name: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let Some(word) = self.words.pop_front() else {
            self.add_finding(name, "missing");
            return None;
        };
        self.parse(name, &word)
    }

    /// Takes the value of an optional flag; adds a finding if it is invalid.
    pub(crate) fn take<T>(&mut self, name: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let text = self.values.remove(name)?;
        self.parse(&format!("--{name}"), &text)
    }

    /// Takes the value of a required flag; adds a finding if it is missing or invalid.
    pub(crate) fn require<T>(&mut self, name: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        if !self.values.contains_key(name) {
            self.add_finding(format!("--{name}"), "missing");
            return None;
        }
        self.take(name)
    }

    /// Takes a flag without a value; returns whether it was given.
    pub(crate) fn take_switch(&mut self, name: &str) -> bool {
        let before = self.switches.len();
        self.switches.retain(|switch| *switch != name);
        self.switches.len() != before
    }

    /// Takes the flags that locate the control group, and reads the secret file.
    pub(crate) fn take_group(&mut self) -> Option<ControlGroup> {
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
                self.add_finding(
                    "--fleet-secret-file",
                    format!("{file} can't be used: {error}"),
                );
                return None;
            }
        };
        if control.is_empty() {
            return None;
        }
        Some(ControlGroup { control, secret })
    }

    /// Adds a finding; `place` is the flag or argument that it is about.
    pub(crate) fn add_finding(&mut self, place: impl fmt::Display, reason: impl fmt::Display) {
        self.findings.push(format!("{place}: {reason}"));
    }

    /// Returns all findings, with one for each argument that the command didn't consume. Flags that
    /// can come from the environment are exempt, as they may be set for other commands.
    pub(crate) fn finish(&mut self) -> Vec<String> {
        for word in std::mem::take(&mut self.words) {
            self.add_finding(word, "unexpected argument");
        }
        for switch in std::mem::take(&mut self.switches) {
            self.add_finding(format!("--{switch}"), "this command has no such flag");
        }
        for (name, in_env) in VALUES {
            if in_env || !self.values.contains_key(name) {
                continue;
            }
            self.add_finding(format!("--{name}"), "this command has no such flag");
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
                self.add_finding(place, format!("{text:?} can't be used: {error}"));
                None
            }
        }
    }
}
