//! The target list as the leader sends it to processes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use clem_edge::TargetVm;
use clem_wire::targets::{PackedTargets, TargetChanges, TargetUpdate, TargetsDigest};

/// Maximum number of changed targets that are remembered. A process that lacks more of them gets the
/// whole list.
const CHANGES_MAX: usize = 4096;

/// The target list, and what has changed in it lately: with hundreds of processes, a rollout would
/// fill the leader's link if each change sent the whole list. See `docs/design/scale.md`.
#[derive(Debug, Default)]
pub struct TargetList {
    /// By id; `None` until the list was read.
    targets: Option<BTreeMap<String, TargetVm>>,
    digest: TargetsDigest,
    /// Number of versions so far, for processes of earlier releases.
    version: u64,
    /// The ids that each change added, changed or removed, with the digest before it, the oldest first.
    changes: VecDeque<(TargetsDigest, Vec<String>)>,
    /// The whole list, once a process has needed it.
    packed: Option<PackedTargets>,
}

impl TargetList {
    /// Replaces the list; returns false if nothing has changed.
    pub fn replace(&mut self, targets: Vec<TargetVm>) -> bool {
        let fresh: BTreeMap<String, TargetVm> = targets
            .into_iter()
            .map(|target| (target.id.clone(), target))
            .collect();
        let known = self.targets.get_or_insert_default();
        let first = self.version == 0;
        let before = self.digest;
        let mut ids = Vec::new();
        for (id, target) in &fresh {
            let former = known.get(id);
            if former == Some(target) {
                continue;
            }
            if let Some(former) = former {
                self.digest.remove(former);
            }
            self.digest.add(target);
            ids.push(id.clone());
        }
        for (id, former) in &*known {
            if !fresh.contains_key(id) {
                self.digest.remove(former);
                ids.push(id.clone());
            }
        }
        if ids.is_empty() && !first {
            return false;
        }
        *known = fresh;
        self.version += 1;
        self.packed = None;
        self.changes.push_back((before, ids));
        let count = |changes: &VecDeque<(TargetsDigest, Vec<String>)>| -> usize {
            changes.iter().map(|(_, ids)| ids.len()).sum()
        };
        while count(&self.changes) > CHANGES_MAX {
            self.changes.pop_front();
        }
        true
    }

    /// Number of versions of the list so far.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The whole list; `None` until it was read.
    pub fn whole(&self) -> Option<Vec<TargetVm>> {
        let targets = self.targets.as_ref()?;
        Some(targets.values().cloned().collect())
    }

    /// What a process lacks whose list has the digest `known`; `None` if it is up to date, or if the list
    /// was not read yet.
    pub fn update(&mut self, known: TargetsDigest) -> Option<TargetUpdate> {
        let targets = self.targets.as_ref()?;
        if known == self.digest {
            return None;
        }
        if let Some(changes) = self.changes_since(targets, known) {
            return Some(TargetUpdate::Changes(changes));
        }
        if self.packed.is_none() {
            let list: Vec<&TargetVm> = targets.values().collect();
            match PackedTargets::new(self.digest, &list) {
                Ok(packed) => self.packed = Some(packed),
                Err(error) => log::error!(error, targets = list.len(); "target list not packed"),
            }
        }
        self.packed.clone().map(TargetUpdate::Whole)
    }

    fn changes_since(
        &self,
        targets: &BTreeMap<String, TargetVm>,
        known: TargetsDigest,
    ) -> Option<TargetChanges> {
        if known == TargetsDigest::default() {
            return None;
        }
        let start = self.changes.iter().rposition(|(d, _)| *d == known)?;
        let missed = self.changes.range(start..);
        let ids: BTreeSet<&String> = missed.flat_map(|(_, ids)| ids).collect();
        let mut changes = TargetChanges {
            digest: self.digest,
            changed: Vec::new(),
            removed: Vec::new(),
        };
        for id in ids {
            match targets.get(id) {
                Some(target) => changes.changed.push(target.clone()),
                None => changes.removed.push(id.clone()),
            }
        }
        Some(changes)
    }
}
