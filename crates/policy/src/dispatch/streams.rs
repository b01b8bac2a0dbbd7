//! Where streams began, so that they go on at the same version of their target's software.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use clem_types::{SoftwareVersion, Time};
use serde::{Deserialize, Serialize};

use super::SlotRequest;

/// How long an origin is remembered; callers take up a stream within its deadline.
const KEEP: Duration = Duration::from_secs(30);
/// The most origins of one customer; the oldest go first.
const PER_CUSTOMER_MAX: usize = 8192;

/// Identifies a caller's attempt at a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(u64);

impl StreamKey {
    /// The key of a customer's request id; another customer's same id has another key.
    pub fn of(customer: &str, id: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(customer.as_bytes());
        hasher.update(&[0]);
        hasher.update(id.as_bytes());
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self(u64::from_le_bytes(bytes))
    }
}

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The service that began it.
    pub service: String,
    /// The version of the software that began it; `None` if the platform doesn't say.
    pub version: Option<SoftwareVersion>,
}

/// What a slot request says of its stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRequest {
    /// The attempt, whose origin is remembered when it gets a slot; `None` for items.
    pub key: Option<StreamKey>,
    /// Where it must go on; `None` for a stream that begins.
    pub resumes: Option<Resumes>,
}

/// Where a stream must go on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Resumes {
    /// At this origin.
    At(Origin),
    /// Where the caller's attempt of this key began.
    Attempt {
        /// The attempt that brought the first event; `None` if the caller names none.
        key: Option<StreamKey>,
        /// The services that may run the request.
        services: Vec<String>,
        /// Where it began, as the process that asks remembers.
        #[serde(default)]
        began: Option<Origin>,
        /// The same, or else where it began whatever attempt it was: at the only version that may have
        /// run it, as far as that process knows.
        otherwise: Option<Origin>,
        /// How long a version must have served alone for that; [`Duration::MAX`] if another service may
        /// have begun it.
        #[serde(default)]
        span: Duration,
    },
}

/// A stream that is resumed although nobody remembers the attempt that began it.
#[derive(Debug, Clone, Copy)]
pub struct UnknownStream<'a> {
    /// The only service that may have begun it.
    pub service: &'a str,
    /// Where it began, as far as the process that asks knows.
    pub claimed: Option<&'a Origin>,
    /// How long a version must have served alone for a stream to go on there.
    pub span: Duration,
}

/// A stream's origin, as a process reports it to a new leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReport {
    /// The attempt that began the stream.
    pub key: StreamKey,
    /// Its customer; empty on public routes.
    pub customer: String,
    /// Where it began.
    pub origin: Origin,
    /// How long ago it got its slot, in milliseconds.
    pub age_ms: u32,
}

/// The origins of the latest streams.
#[derive(Debug, Default)]
pub struct Streams {
    origins: HashMap<StreamKey, Entry>,
    /// The attempts of each customer, the oldest first. A key stands there again if its origin has
    /// changed since.
    order: HashMap<String, VecDeque<(Time, StreamKey)>>,
}

#[derive(Debug)]
struct Entry {
    origin: Origin,
    since: Time,
}

impl Streams {
    /// Records where an attempt got a slot. The latest slot counts: a stream that has brought an event
    /// stays at its origin.
    pub fn note(&mut self, now: Time, customer: &str, key: StreamKey, origin: Origin) {
        self.origins.insert(key, Entry { origin, since: now });
        let order = self.order.entry(customer.to_owned()).or_default();
        order.push_back((now, key));
        while let Some((since, oldest)) = order.front().copied() {
            let expired = now.since(since) >= KEEP || order.len() > PER_CUSTOMER_MAX;
            if !expired {
                break;
            }
            order.pop_front();
            if self.origins.get(&oldest).is_some_and(|e| e.since == since) {
                self.origins.remove(&oldest);
            }
        }
    }

    /// Takes over what the process of an attempt knows, unless the attempt has got a later slot here.
    pub fn restore(&mut self, now: Time, report: &OriginReport) {
        let age = Duration::from_millis(report.age_ms.into());
        let known = self.origins.get(&report.key);
        if known.is_some_and(|known| now.since(known.since) <= age) {
            return;
        }
        self.note(
            now - age,
            &report.customer,
            report.key,
            report.origin.clone(),
        );
    }

    /// Forgets an attempt whose slot of `since` was not used.
    pub fn forget(&mut self, key: StreamKey, since: Time) {
        if self.origins.get(&key).is_some_and(|e| e.since == since) {
            self.origins.remove(&key);
        }
    }

    /// Forgets the expired attempts of customers that no longer send any.
    pub fn expire(&mut self, now: Time) {
        let origins = &mut self.origins;
        self.order.retain(|_, order| {
            let is_live = |(since, _): &(Time, StreamKey)| now.since(*since) < KEEP;
            if order.back().is_some_and(is_live) {
                return true;
            }
            for (_, key) in order.iter() {
                origins.remove(key);
            }
            false
        });
    }

    /// Where an attempt began, as far as is known.
    pub fn origin(&self, key: StreamKey) -> Option<&Origin> {
        self.origins.get(&key).map(|entry| &entry.origin)
    }

    /// Where a stream must go on; `None` if that is not known. `judge` decides on a stream whose attempt
    /// is unknown.
    fn resolve(
        &self,
        resumes: &Resumes,
        judge: impl FnOnce(UnknownStream<'_>) -> Option<Origin>,
    ) -> Option<Origin> {
        let (key, services, began, claimed, span) = match resumes {
            Resumes::At(origin) => return Some(origin.clone()),
            Resumes::Attempt {
                key,
                services,
                began,
                otherwise,
                span,
            } => (key, services, began, otherwise, span),
        };
        let known = key.and_then(|key| self.origin(key));
        if let Some(origin) = known.or(began.as_ref()) {
            // A service that the route has been taken from must not run the request.
            return services.contains(&origin.service).then(|| origin.clone());
        }
        let [service] = services.as_slice() else {
            return None;
        };
        judge(UnknownStream {
            service,
            claimed: claimed.as_ref(),
            span: *span,
        })
    }

    /// Ties a request that resumes a stream to where it must go on; returns false if that is not known.
    /// `judge` decides on a stream whose attempt is unknown.
    pub fn tie(
        &self,
        want: &mut SlotRequest,
        judge: impl FnOnce(UnknownStream<'_>) -> Option<Origin>,
    ) -> bool {
        let Some(stream) = &mut want.stream else {
            return true;
        };
        let Some(resumes) = &stream.resumes else {
            return true;
        };
        let Some(origin) = self.resolve(resumes, judge) else {
            return false;
        };
        want.service.clone_from(&origin.service);
        stream.resumes = Some(Resumes::At(origin));
        true
    }

    /// The newest origins of all customers, at most `most` in total, for a new leader.
    pub fn reports(&self, now: Time, most: usize) -> Vec<OriginReport> {
        let mut newest = Vec::new();
        for (customer, order) in &self.order {
            for (since, key) in order.iter().rev().take(most) {
                let Some(entry) = self.origins.get(key).filter(|e| e.since == *since) else {
                    continue;
                };
                if now.since(*since) >= KEEP {
                    break;
                }
                let report = OriginReport {
                    key: *key,
                    customer: customer.clone(),
                    origin: entry.origin.clone(),
                    age_ms: u32::try_from(now.since(*since).as_millis()).unwrap_or(u32::MAX),
                };
                newest.push((*since, report));
            }
        }
        newest.sort_by_key(|(since, _)| std::cmp::Reverse(*since));
        newest.truncate(most);
        newest.into_iter().map(|(_, report)| report).collect()
    }
}
