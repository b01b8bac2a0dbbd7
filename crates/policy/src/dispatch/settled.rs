//! Since when all targets of a service have had one version of their software.

use std::{collections::BTreeMap, time::Duration};

use clem_types::{SoftwareVersion, Time};

use super::{Origin, UnknownStream};

/// How long a process may have heard nothing from the hub without another version having come and gone
/// meanwhile: a target stays listed for longer.
const SILENCE_MAX: Duration = Duration::from_secs(2);
/// The least time for which a service must have had one version before a stream of unknown origin goes
/// on there: the route's timeout may have been longer when the stream began.
pub const SETTLED_MIN: Duration = Duration::from_secs(10);

/// The services whose targets all have one version of their software, and since when this process knows
/// that. A stream whose origin nobody remembers, since all that knew it were killed, may only go on
/// at a version that no other one can have preceded. See `docs/design/platform.md`, "Streams of several
/// software versions".
#[derive(Debug, Default)]
pub struct SettledVersions {
    services: BTreeMap<String, Versions>,
    heard: Option<Time>,
}

/// The versions of a service's targets.
#[derive(Debug)]
struct Versions {
    /// The version of all targets in the last list that had any; `None` if they differ.
    only: Option<Option<SoftwareVersion>>,
    since: Time,
    /// Whether an earlier list had another version.
    changed: bool,
    /// Whether a list had targets of the service; until then only streams are known that began there.
    listed: bool,
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
            let known = self.services.get(service);
            let changed = known.is_some_and(|known| known.only.as_ref() != only);
            if !changed && known.is_some_and(|known| known.listed) {
                continue;
            }
            let versions = Versions {
                only: only.cloned(),
                since: now,
                changed,
                listed: true,
            };
            self.services.insert(service.to_owned(), versions);
        }
    }

    /// Notes that the hub confirmed the list or sent a newer one, or that this process read it. What has
    /// come and gone since the last time is unknown if that was long ago.
    pub fn note_heard(&mut self, now: Time) {
        let before = self.heard.unwrap_or(now);
        self.heard = Some(before.max(now));
        if now.since(before) < SILENCE_MAX {
            return;
        }
        for versions in self.services.values_mut() {
            versions.since = now;
        }
    }

    /// The version that all targets of a service have had for `span` or longer, as far as a process
    /// knows that follows the hub; `None` if it has heard nothing for too long.
    pub fn version(
        &self,
        now: Time,
        service: &str,
        span: Duration,
    ) -> Option<Option<SoftwareVersion>> {
        if self.heard.is_none_or(|at| now.since(at) >= SILENCE_MAX) {
            return None;
        }
        let versions = self.services.get(service)?;
        let version = versions.only.as_ref()?;
        versions.is_settled(now, span).then(|| version.clone())
    }

    /// Notes that a stream began at `began`, possibly at a version that the lists did not have.
    pub fn note_began(&mut self, began: Time, origin: &Origin) {
        let versions = self
            .services
            .entry(origin.service.clone())
            .or_insert_with(|| Versions {
                only: Some(origin.version.clone()),
                since: began,
                changed: false,
                listed: false,
            });
        if versions.only.as_ref() != Some(&origin.version) {
            versions.since = versions.since.max(began);
            versions.changed = true;
        }
    }

    /// Where a stream began whose attempt nobody remembers, as the hub's leader judges by the lists that it
    /// has given out: at the version that all of them had for the stream's span. A leader that has not
    /// led for so long goes by what a process knows of its predecessors' lists, unless its own ones
    /// had another version.
    pub fn origin(&self, now: Time, stream: UnknownStream<'_>) -> Option<Origin> {
        let versions = self.services.get(stream.service).filter(|v| v.listed)?;
        let origin = Origin {
            service: stream.service.to_owned(),
            version: versions.only.clone()?,
        };
        let confirmed = !versions.changed && stream.claimed == Some(&origin);
        (confirmed || versions.is_settled(now, stream.span)).then_some(origin)
    }
}

impl Versions {
    fn is_settled(&self, now: Time, span: Duration) -> bool {
        now.since(self.since) >= span.max(SETTLED_MIN)
    }
}
