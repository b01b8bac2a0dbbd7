//! Flags of a program, and parsing of the command line and the environment.

use std::{collections::BTreeMap, ffi::OsString, fmt::Write};

use crate::{Finding, Settings};

/// A command-line flag. It can also be set by an environment variable: `--data-dir` by
/// `CLEM_DATA_DIR`.
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
    /// Creates a flag `--name`. `value` describes its value in the help text, such as `IP:PORT`.
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

    /// Makes the flag mandatory: a missing value is a finding.
    #[must_use]
    pub const fn required(mut self) -> Self {
        self.required = true;
        self
    }

    /// Allows several values: the flag may be repeated, and values may be separated by commas.
    #[must_use]
    pub const fn repeated(mut self) -> Self {
        self.repeated = true;
        self
    }

    /// Sets the default value.
    #[must_use]
    pub const fn default(mut self, value: &'static str) -> Self {
        self.default = Some(value);
        self
    }

    /// The name of the flag's environment variable.
    pub fn variable(&self) -> String {
        format!("CLEM_{}", self.name.to_ascii_uppercase().replace('-', "_"))
    }
}

/// The command-line interface of a program: its name, a short description and its flags.
#[derive(Debug, Clone)]
pub struct Program {
    name: &'static str,
    about: &'static str,
    flags: Vec<Flag>,
}

/// What the command line asks for.
#[derive(Debug)]
pub enum CliAction {
    /// Run with these settings.
    Run(Settings),
    /// Print this text and exit with 0: help or version.
    Print(String),
}

impl Program {
    /// Creates a program with the flag `--log-level`, which all programs have.
    pub fn new(name: &'static str, about: &'static str) -> Self {
        let level = Flag::new(
            "log-level",
            "LEVEL",
            "Minimum level of log messages: off, error, warn, info, debug or trace.",
        )
        .default("info");
        Self {
            name,
            about,
            flags: vec![level],
        }
    }

    /// Adds a flag. Names must be unique.
    #[must_use]
    pub fn flag(mut self, flag: Flag) -> Self {
        debug_assert!(
            self.flags.iter().all(|known| known.name != flag.name),
            "flag names must be unique"
        );
        self.flags.push(flag);
        self
    }

    /// Parses the command line and the environment of this process.
    pub fn read_env(&self) -> CliAction {
        self.read(std::env::args_os().skip(1), |name| std::env::var_os(name))
    }

    /// Parses `args`. Flags not given there are looked up in `env`, then set to their defaults.
    ///
    /// Unknown flags and missing values become findings in the [`Settings`].
    pub fn read<I>(&self, args: I, env: impl Fn(&str) -> Option<OsString>) -> CliAction
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
                    return CliAction::Print(self.help());
                }
                Ok(Some(lexopt::Arg::Long("version") | lexopt::Arg::Short('V'))) => {
                    return CliAction::Print(format!(
                        "{} {}\n",
                        self.name,
                        env!("CARGO_PKG_VERSION")
                    ));
                }
                Ok(Some(lexopt::Arg::Long(name))) => {
                    let Some(flag) = self.flags.iter().find(|flag| flag.name == name) else {
                        findings.push(Finding::new(format!("--{name}"), "unknown flag"));
                        // Skips the value of --name=value, so that it is not reported as well.
                        let _ = parser.optional_value();
                        continue;
                    };
                    parse_value(flag, &mut parser, &mut given, &mut findings);
                }
                Ok(Some(lexopt::Arg::Short(letter))) => {
                    findings.push(Finding::new(format!("-{letter}"), "unknown flag"));
                }
                Ok(Some(lexopt::Arg::Value(value))) => {
                    let place = value.to_string_lossy().into_owned();
                    findings.push(Finding::new(place, "unexpected argument"));
                }
                Err(error) => findings.push(Finding::new("command line", error.to_string())),
            }
        }
        self.fill_missing(&mut given, &mut findings, env);
        CliAction::Run(Settings::new(self.name, given, findings))
    }

    /// Fills in flags that were not given on the command line.
    fn fill_missing(
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
                    Ok(value) => given.insert(flag.name, split_values(flag, &value)),
                    Err(_) => {
                        findings.push(Finding::new(variable, "the value is not valid UTF-8"));
                        given.insert(flag.name, Vec::new())
                    }
                };
                continue;
            }
            if let Some(value) = flag.default {
                given.insert(flag.name, split_values(flag, value));
                continue;
            }
            if flag.required {
                let reason = format!("required; set the flag or {variable}");
                findings.push(Finding::new(format!("--{}", flag.name), reason));
            }
        }
    }

    /// The text printed by `--help`: every flag with its environment variable and default.
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

fn parse_value(
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
            format!("the value {} is missing", flag.value),
        ));
        return;
    };
    let Ok(value) = value.into_string() else {
        findings.push(Finding::new(place, "the value is not valid UTF-8"));
        return;
    };
    if !flag.repeated && !values.is_empty() {
        findings.push(Finding::new(place, "given more than once"));
        return;
    }
    values.extend(split_values(flag, &value));
}

/// The value of the flag that was just parsed; `None` if another flag follows instead.
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

fn split_values(flag: &Flag, value: &str) -> Vec<String> {
    if !flag.repeated {
        return vec![value.to_owned()];
    }
    value.split(',').map(str::to_owned).collect()
}
