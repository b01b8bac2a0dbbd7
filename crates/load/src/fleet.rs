//! Reads the description of the fleet under load, which `scripts/fleet` writes.

use std::{collections::BTreeMap, fs, path::Path};

use clem_types::Key;
use eyre::{OptionExt, Result, WrapErr, ensure};

/// The parts of `fleet.env` and `keys` that a run needs.
#[derive(Debug, Clone)]
pub struct FleetFile {
    /// The base URLs of the entries.
    pub entries: Vec<String>,
    /// The process ids of the targets, for killing them.
    pub target_pids: Vec<i32>,
    /// The keys by customer.
    pub keys: BTreeMap<String, Key>,
}

impl FleetFile {
    /// The value of the header `authorization` for a customer.
    ///
    /// # Errors
    /// The keys file doesn't list the customer.
    pub fn bearer(&self, customer: &str) -> Result<String> {
        let key = self.keys.get(customer);
        let key = key.ok_or_else(|| eyre::eyre!("the fleet has no customer {customer}"))?;
        Ok(format!("Bearer {}", key.reveal()))
    }
}

/// Reads `DIR/fleet.env` and `DIR/keys`.
///
/// # Errors
/// A file or value is missing or invalid, or an entry is not on 127.0.0.1.
pub fn load_fleet(folder: &Path) -> Result<FleetFile> {
    let path = folder.join("fleet.env");
    let text = fs::read_to_string(&path).wrap_err_with(|| path.display().to_string())?;
    let mut values = BTreeMap::new();
    for line in text.lines() {
        let Some((name, value)) = line.split_once('=') else {
            continue;
        };
        values.insert(name, value.trim_matches('"'));
    }
    let words = |name: &'static str| -> Result<Vec<&str>> {
        let value = values.get(name);
        let value = value.ok_or_else(|| eyre::eyre!("fleet.env has no {name}"))?;
        Ok(value.split_whitespace().collect())
    };
    let mut entries = Vec::new();
    for url in words("ENTRY_URLS")? {
        ensure!(
            url.starts_with("http://127.0.0.1:"),
            "load is sent to 127.0.0.1 only, not to {url}"
        );
        entries.push(url.to_owned());
    }
    ensure!(!entries.is_empty(), "fleet.env lists no entry");
    let mut target_pids = Vec::new();
    for pid in words("TARGET_PIDS")? {
        target_pids.push(pid.parse()?);
    }
    let mut keys = BTreeMap::new();
    for line in fs::read_to_string(folder.join("keys"))?.lines() {
        let (customer, key) = line
            .split_once(' ')
            .ok_or_eyre("a line of the keys file has no key")?;
        keys.insert(customer.to_owned(), key.parse()?);
    }
    Ok(FleetFile {
        entries,
        target_pids,
        keys,
    })
}
