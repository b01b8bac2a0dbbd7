//! Messages that no process of ours would send, at every port of control, entries and agents.

use std::net::SocketAddr;

use clem_checks::{
    Fleet, Options, Process, Result, chat, malformed_messages, report_seed, send_malformed,
};
use clem_wire::{Call as _, dispatch::Dispatch, sync::Sync};

const SEED: u64 = 20_261_204;

/// The paths of calls between our processes.
const PATHS: [&str; 4] = [
    Dispatch::PATH,
    Sync::PATH,
    "/internal/group/exchange",
    "/internal/group/copy",
];

/// The addresses on which a process listens.
fn addresses(process: &Process) -> Vec<SocketAddr> {
    let pairs = process.args().windows(2);
    let listen = pairs.filter(|pair| pair[0].contains("listen"));
    listen.filter_map(|pair| pair[1].parse().ok()).collect()
}

#[tokio::test]
async fn malformed_messages_end_no_process() -> Result<()> {
    report_seed("malformed", SEED);
    let mut fleet = Fleet::start(Options::default()).await?;
    let messages = malformed_messages(SEED, "a-secret-for-tests-only", &PATHS);
    let agents = fleet.targets.iter().map(|target| &target.agent);
    let processes = fleet.control.iter().chain(&fleet.entries).chain(agents);
    let addresses: Vec<SocketAddr> = processes.flat_map(addresses).collect();
    assert!(addresses.len() >= fleet.control.len() + fleet.entries.len() + fleet.targets.len());
    for address in addresses {
        send_malformed(address, &messages).await;
    }
    let agents = fleet.targets.iter_mut().map(|target| &mut target.agent);
    let processes = fleet
        .control
        .iter_mut()
        .chain(&mut fleet.entries)
        .chain(agents);
    for process in processes {
        let name = process.name().to_owned();
        assert!(process.exited()?.is_none(), "{name} has ended");
    }
    let reply = chat(&fleet, 0, "totara", "hello", 4).await?;
    assert_eq!(reply.status, 200);
    Ok(())
}
