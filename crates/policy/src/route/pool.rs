//! Open targets of one model or service, by data centre.

use std::collections::BTreeMap;

use clem_types::{DataCentre, TargetId};
use rand::Rng;

use super::health::PoolHealth;

/// Number of points (virtual nodes) of each target on the hash ring.
const POINTS: u32 = 16;

#[derive(Debug, Default)]
pub(super) struct Pool {
    centres: BTreeMap<DataCentre, CentreTargets>,
    pub(super) health: PoolHealth,
}

/// The targets of one data centre.
#[derive(Debug, Default)]
pub(super) struct CentreTargets {
    ids: Vec<TargetId>,
    /// Points of the consistent-hash ring, sorted by hash, with the index into `ids`.
    ring: Vec<(u64, u32)>,
}

impl Pool {
    pub(super) fn add(&mut self, id: TargetId, centre: DataCentre) {
        self.centres.entry(centre).or_default().ids.push(id);
    }

    pub(super) fn remove(&mut self, id: &TargetId, centre: &DataCentre) {
        if let Some(centre) = self.centres.get_mut(centre) {
            centre.ids.retain(|known| known != id);
        }
    }

    /// Rebuilds the hash rings after a change of targets.
    pub(super) fn rebuild(&mut self) {
        self.centres.retain(|_, centre| !centre.ids.is_empty());
        self.health.targets = self.centres.values().map(CentreTargets::len).sum();
        for centre in self.centres.values_mut() {
            centre.rebuild();
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.centres.is_empty()
    }

    pub(super) fn centre(&self, name: &DataCentre) -> Option<&CentreTargets> {
        self.centres.get(name)
    }

    /// All data centres except `name`.
    pub(super) fn others(&self, name: &DataCentre) -> Vec<&CentreTargets> {
        self.centres
            .iter()
            .filter(|(centre, _)| *centre != name)
            .map(|(_, centre)| centre)
            .collect()
    }
}

/// Visits `count` random targets of several data centres, possibly with repetitions.
pub(super) fn random_of<'a>(
    centres: &[&'a CentreTargets],
    rng: &mut impl Rng,
    count: usize,
    mut visit: impl FnMut(&'a TargetId),
) {
    if centres.is_empty() {
        return;
    }
    for _ in 0..count {
        let centre = centres[rng.random_range(0..centres.len())];
        centre.random(rng, 1, &mut visit);
    }
}

impl CentreTargets {
    pub(super) fn len(&self) -> usize {
        self.ids.len()
    }

    fn rebuild(&mut self) {
        self.ring.clear();
        for (index, id) in (0u32..).zip(&self.ids) {
            for copy in 0..POINTS {
                let hash = blake3::hash(format!("{id}/{copy}").as_bytes());
                let mut word = [0; 8];
                word.copy_from_slice(&hash.as_bytes()[..8]);
                self.ring.push((u64::from_be_bytes(word), index));
            }
        }
        self.ring.sort_unstable();
    }

    /// Visits the first `count` distinct targets on the ring from the hash `from` on.
    pub(super) fn ring<'a>(&'a self, from: u64, count: usize, mut visit: impl FnMut(&'a TargetId)) {
        let start = self.ring.partition_point(|(hash, _)| *hash < from);
        let mut seen = Vec::with_capacity(count.min(self.ids.len()));
        for step in 0..self.ring.len() {
            if seen.len() >= count.min(self.ids.len()) {
                break;
            }
            let (_, index) = self.ring[(start + step) % self.ring.len()];
            if seen.contains(&index) {
                continue;
            }
            seen.push(index);
            visit(&self.ids[index as usize]);
        }
    }

    /// Visits `count` random targets, possibly with repetitions.
    pub(super) fn random<'a>(
        &'a self,
        rng: &mut impl Rng,
        count: usize,
        mut visit: impl FnMut(&'a TargetId),
    ) {
        if self.ids.is_empty() {
            return;
        }
        for _ in 0..count {
            visit(&self.ids[rng.random_range(0..self.ids.len())]);
        }
    }
}
