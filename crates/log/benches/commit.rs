//! Measures committing commands on three nodes, each with a log on disk and a writer thread.
//!
//! The nodes run in one process and exchange messages directly, so this is the cost of consensus
//! and disk without the network. `docs/design/agreement.md` has the results.

use std::{hint::black_box, path::Path, sync::Arc, thread};

use bytes::Bytes;
use clem_log::{
    InitialState, LogIndex, Member, MemberId, MemberKind, Members, Message, Node, Settings,
    SnapshotMetadata, Write,
    disk::{DiskEvent, FileSystem, Folder, Identity, Writer},
};
use clem_types::Time;
use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use tokio::sync::mpsc::UnboundedReceiver;

const COMMAND_BYTES: usize = 200;
const COMMANDS: u64 = 5000;
/// The size of the log in memory above which it is compacted.
const COMPACT_BYTES: usize = 4 * 1024 * 1024;

struct Host {
    node: Node,
    writer: Writer,
    events: UnboundedReceiver<DiskEvent>,
    applied: u64,
}

struct Cluster {
    hosts: Vec<Host>,
    clock: std::time::Instant,
}

impl Cluster {
    fn new(folder: &Path) -> Self {
        let member = |id| Member {
            id: MemberId(id),
            address: format!("127.0.0.1:{id}"),
            kind: MemberKind::Voter,
        };
        let base = SnapshotMetadata {
            index: LogIndex(1),
            members: Members::new(vec![member(1), member(2), member(3)]),
            ..SnapshotMetadata::default()
        };
        let hosts = (1..=3).map(|id| host(id, folder, &base)).collect();
        let mut cluster = Self {
            hosts,
            clock: std::time::Instant::now(),
        };
        while cluster.leader().is_none() {
            cluster.round();
        }
        cluster
    }

    fn now(&self) -> Time {
        Time::from_micros(u64::try_from(self.clock.elapsed().as_micros()).expect("short"))
    }

    fn leader(&mut self) -> Option<&mut Host> {
        let now = self.now();
        self.hosts.iter_mut().find(|h| h.node.holds_lease(now))
    }

    /// Commits `count` commands, at most `window` of them in flight.
    fn commit(&mut self, count: u64, window: u64) {
        let data = Bytes::from(vec![7; COMMAND_BYTES]);
        let mut proposed = 0;
        let first = self.leader().map_or(0, |host| host.applied);
        loop {
            let now = self.now();
            if let Some(host) = self.leader() {
                let applied = host.applied - first;
                if applied >= count {
                    return;
                }
                while proposed < count && proposed < applied + window {
                    if host.node.propose(now, data.clone()).is_err() {
                        break;
                    }
                    proposed += 1;
                }
            }
            self.round();
        }
    }

    fn round(&mut self) {
        let now = self.now();
        let mut messages: Vec<Message> = Vec::new();
        for host in &mut self.hosts {
            host.node.tick(now);
            while let Ok(event) = host.events.try_recv() {
                match event {
                    DiskEvent::Synced { number, .. } => host.node.synced(now, number),
                    DiskEvent::Idle { .. } | DiskEvent::Identified(_) => {}
                    DiskEvent::Failed(error) => panic!("{error}"),
                }
            }
            loop {
                let ready = host.node.ready(now);
                if let Some(write) = ready.write {
                    host.writer.write(write);
                }
                messages.extend(ready.messages);
                for entry in ready.committed {
                    host.applied = entry.index.0;
                    black_box(entry);
                }
                if !host.node.has_more() {
                    break;
                }
            }
            if host.node.log_bytes() > COMPACT_BYTES
                && let Some(base) = host.node.compact(LogIndex(host.applied))
            {
                host.writer.compact(base);
            }
        }
        if messages.is_empty() {
            thread::yield_now();
        }
        for message in messages {
            for host in &mut self.hosts {
                if host.node.id() == message.to {
                    host.node.step(now, message);
                    break;
                }
            }
        }
    }
}

fn host(id: u64, folder: &Path, base: &SnapshotMetadata) -> Host {
    let fresh = Identity {
        member: MemberId(id),
        cluster: None,
    };
    let path = folder.join(id.to_string());
    let (mut folder, _) = Folder::open(&path, fresh).expect("an empty folder");
    let reset = Write {
        reset: Some(base.clone()),
        ..Write::default()
    };
    folder.write(vec![reset]).expect("a new log");
    let (writer, events) = Writer::start(folder, Arc::new(FileSystem)).expect("a thread");
    let start = InitialState {
        base: base.clone(),
        applied: base.index,
        ..InitialState::new(MemberId(id), id)
    };
    Host {
        node: Node::new(Time::ZERO, start, Settings::default()),
        writer,
        events,
        applied: base.index.0,
    }
}

fn commit(criterion: &mut Criterion) {
    let folder = tempfile::tempdir_in(env!("CARGO_TARGET_TMPDIR")).expect("a folder");
    let mut cluster = Cluster::new(folder.path());
    let mut group = criterion.benchmark_group("commit");
    group.sample_size(10);
    for window in [1, 64, 1024] {
        let count = if window == 1 { COMMANDS / 10 } else { COMMANDS };
        group.throughput(Throughput::Elements(count));
        group.bench_function(BenchmarkId::new("window", window), |bench| {
            bench.iter(|| cluster.commit(count, window));
        });
    }
    group.finish();
}

criterion_group!(benches, commit);
criterion_main!(benches);
