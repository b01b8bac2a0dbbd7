//! Since when all targets of a service have had one version of their software.

use std::{collections::BTreeMap, time::Duration};

use clem_types::{SoftwareVersion, Time};

/// How long a process may have heard nothing from the hub without another version having come and gone
/// meanwhile: a target stays listed for longer.
const SILENCE_MAX: Duration = Duration::from_secs(2);

/// The services whose targets all have one version of their software, and since when this process knows
/// that. A stream whose origin nobody remembers, since all that knew it were killed, may only go on
/// at a version that no other one can have preceded. See `docs/incidents/rejoined.md`.
#[derive(Debug, Default)]
pub struct SettledVersions {
    services: BTreeMap<String, (Option<SoftwareVersion>, Time)>,
    heard: Option<Time>,
}

impl SettledVersions {
    /// Notes the service and version of each listed target. A service without targets has not changed.
    pub fn note<'a>(
        &mut self,
        now: Time,
        targets: impl IntoIterator<Item = (&'a str, &'a Option<SoftwareVersion>)>,
    ) {
        let mut found: BTreeMap<&str, Option<&Option<SoftwareVersion>>> = BTreeMap::new();
        for (service, version) in targets {
            let only = found.entry(service).or_insert(Some(version));
            if only.is_some_and(|only| only != version) {
                *only = None;
            }
        }
        for (service, only) in found {
            let Some(version) = only else {
                self.services.remove(service);
                continue;
            };
            let known = self.services.get(service);
            if known.is_none_or(|(known, _)| known != version) {
                let settled = (version.clone(), now);
                self.services.insert(service.to_owned(), settled);
            }
        }
    }

    /// Notes that the hub confirmed the list, or sent a newer one. What has come and gone while it was
    /// silent is unknown.
    pub fn note_heard(&mut self, now: Time) {
        let before = self.heard.replace(now).unwrap_or(now);
        if now.since(before) < SILENCE_MAX {
            return;
        }
        for (_, since) in self.services.values_mut() {
            *since = now;
        }
    }

    /// The version that all targets of a service have had for `span` or longer.
    pub fn version(
        &self,
        now: Time,
        service: &str,
        span: Duration,
    ) -> Option<Option<SoftwareVersion>> {
        let (version, since) = self.services.get(service)?;
        (now.since(*since) >= span).then(|| version.clone())
    }
}
