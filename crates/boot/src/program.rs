//! A program's flags and how they are read.

use std::{collections::BTreeMap, ffi::OsString, fmt::Write};

use crate::{Finding, Settings};

/// A flag, which is also read from an environment variable: `--data-dir` from `CLEM_DATA_DIR`.
#[derive(Debug, Clone)]
pub struct Flag {
    pub(crate) name: &'static str,
    pub(crate) value: &'static str,
    pub(crate) help: &'static str,
    pub(crate) required: bool,
    pub(crate) repeated: bool,
    pub(crate) default: Option<&'static str>,
}

impl Flag {
    /// A flag `--name` whose value has the shape `value`, such as `IP:PORT`.
    pub const fn new(name: &'static str, value: &'static str, help: &'static str) -> Self {
        Self {
            name,
            value,
            help,
            required: false,
            repeated: false,
            default: None,
        }
    }

    /// The program can't start without it.
    #[must_use]
    pub const fn required(mut self) -> Self {
        self.required = true;
        self
    }

    /// It may be given more than once; in the environment, values are separated by commas.
    #[must_use]
    pub const fn repeated(mut self) -> Self {
        self.repeated = true;
        self
    }

    /// What it is when it is not given.
    #[must_use]
    pub const fn default(mut self, value: &'static str) -> Self {
        self.default = Some(value);
        self
    }

    /// The environment variable of the same name.
    pub fn variable(&self) -> String {
        format!("CLEM_{}", self.name.to_ascii_uppercase().replace('-', "_"))
    }
}

/// A program: its name, what it is for and its flags.
#[derive(Debug, Clone)]
pub struct Program {
    name: &'static str,
    about: &'static str,
    flags: Vec<Flag>,
}

/// What the command line asks for.
#[derive(Debug)]
pub enum Start {
    /// Run with these settings.
    Run(Settings),
    /// Print this text and exit with 0: help or version.
    Print(String),
}

impl Program {
    /// A program with the flags that all programs have.
    pub fn new(name: &'static str, about: &'static str) -> Self {
        let level = Flag::new(
            "log-level",
            "LEVEL",
            "off, error, warn, info, debug or trace.",
        )
        .default("info");
        Self {
            name,
            about,
            flags: vec![level],
        }
    }

    /// Adds a flag.
    #[must_use]
    pub fn flag(mut self, flag: Flag) -> Self {
        debug_assert!(
            self.flags.iter().all(|known| known.name != flag.name),
            "flags are unique"
        );
        self.flags.push(flag);
        self
    }

    /// Reads the settings of this process.
    pub fn read_env(&self) -> Start {
        self.read(std::env::args_os().skip(1), |name| std::env::var_os(name))
    }

    /// Reads settings from `args`, then from the environment, then from defaults.
    ///
    /// Unknown flags and missing values become findings in the [`Settings`].
    pub fn read<I>(&self, args: I, env: impl Fn(&str) -> Option<OsString>) -> Start
    where
        I: IntoIterator,
        I::Item: Into<OsString>,
    {
        let mut findings = Vec::new();
        let mut given: BTreeMap<&'static str, Vec<String>> = BTreeMap::new();
        let mut parser = lexopt::Parser::from_args(args);
        loop {
            match parser.next() {
                Ok(None) => break,
                Ok(Some(lexopt::Arg::Long("help") | lexopt::Arg::Short('h'))) => {
                    return Start::Print(self.help());
                }
                Ok(Some(lexopt::Arg::Long("version") | lexopt::Arg::Short('V'))) => {
                    return Start::Print(format!("{} {}\n", self.name, env!("CARGO_PKG_VERSION")));
                }
                Ok(Some(lexopt::Arg::Long(name))) => {
                    let Some(flag) = self.flags.iter().find(|flag| flag.name == name) else {
                        findings.push(Finding::new(format!("--{name}"), "there is no such flag"));
                        // Drops a value given as --name=value, so that it is not found again.
                        let _ = parser.optional_value();
                        continue;
                    };
                    read_value(flag, &mut parser, &mut given, &mut findings);
                }
                Ok(Some(lexopt::Arg::Short(letter))) => {
                    findings.push(Finding::new(format!("-{letter}"), "there is no such flag"));
                }
                Ok(Some(lexopt::Arg::Value(value))) => {
                    let place = value.to_string_lossy().into_owned();
                    findings.push(Finding::new(place, "a value without a flag"));
                }
                Err(error) => findings.push(Finding::new("command line", error.to_string())),
            }
        }
        self.fill(&mut given, &mut findings, env);
        Start::Run(Settings::new(self.name, given, findings))
    }

    fn fill(
        &self,
        given: &mut BTreeMap<&'static str, Vec<String>>,
        findings: &mut Vec<Finding>,
        env: impl Fn(&str) -> Option<OsString>,
    ) {
        for flag in &self.flags {
            if given.contains_key(flag.name) {
                continue;
            }
            let variable = flag.variable();
            if let Some(value) = env(&variable) {
                match value.into_string() {
                    Ok(value) => given.insert(flag.name, split(flag, &value)),
                    Err(_) => {
                        findings.push(Finding::new(variable, "it is not UTF-8 text"));
                        given.insert(flag.name, Vec::new())
                    }
                };
                continue;
            }
            if let Some(value) = flag.default {
                given.insert(flag.name, split(flag, value));
                continue;
            }
            if flag.required {
                let reason = format!("it is missing; give it here or as {variable}");
                findings.push(Finding::new(format!("--{}", flag.name), reason));
            }
        }
    }

    /// The help text: each flag with its environment variable and default.
    pub fn help(&self) -> String {
        let mut text = format!(
            "{}: {}\n\nUsage: {} [FLAGS]\n\n",
            self.name, self.about, self.name
        );
        for flag in &self.flags {
            let _ = writeln!(text, "  --{} {}", flag.name, flag.value);
            let _ = writeln!(text, "      {}", flag.help);
            let _ = write!(text, "      environment: {}", flag.variable());
            if let Some(default) = flag.default {
                let _ = write!(text, ", default: {default}");
            }
            if flag.required {
                text.push_str(", required");
            }
            if flag.repeated {
                text.push_str(", may be repeated");
            }
            text.push('\n');
        }
        text.push_str("  --help\n      Print this text.\n  --version\n      Print the version.\n");
        text
    }
}

fn read_value(
    flag: &Flag,
    parser: &mut lexopt::Parser,
    given: &mut BTreeMap<&'static str, Vec<String>>,
    findings: &mut Vec<Finding>,
) {
    let place = format!("--{}", flag.name);
    let values = given.entry(flag.name).or_default();
    let Some(value) = next_value(parser) else {
        findings.push(Finding::new(
            place,
            format!("its value {} is missing", flag.value),
        ));
        return;
    };
    let Ok(value) = value.into_string() else {
        findings.push(Finding::new(place, "its value is not UTF-8 text"));
        return;
    };
    if !flag.repeated && !values.is_empty() {
        findings.push(Finding::new(place, "it is given more than once"));
        return;
    }
    values.extend(split(flag, &value));
}

/// The value of the flag just read; the next flag is not taken for a value.
fn next_value(parser: &mut lexopt::Parser) -> Option<OsString> {
    if let Some(value) = parser.optional_value() {
        return Some(value);
    }
    let mut rest = parser.try_raw_args()?;
    let next = rest.peek()?;
    if next.to_string_lossy().starts_with("--") {
        return None;
    }
    rest.next()
}

fn split(flag: &Flag, value: &str) -> Vec<String> {
    if !flag.repeated {
        return vec![value.to_owned()];
    }
    value.split(',').map(str::to_owned).collect()
}
