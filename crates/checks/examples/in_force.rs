//! Measures how long a rule change takes until it is in force on a whole fleet without faults.
//!
//! Usage: `cargo run -p clem-checks --example in_force`

use std::time::{Duration, Instant};

use clem_checks::{Fleet, Options, Result};
use clem_types::Version;
use clem_wire::{
    Client, FleetSecret, LeaderClient,
    admin::{Apply, ApplyReply},
};

const CHANGES: u32 = 300;
const TIMEOUT: Duration = Duration::from_secs(10);

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let fleet = Fleet::start(Options::default()).await?;
    let secret = FleetSecret::read(&fleet.folder().join("secret"))?;
    let addresses = (0..3).map(|index| fleet.control_address(index)).collect();
    let client = LeaderClient::new(Client::new(secret), addresses);
    let mut version = fleet.version;
    let mut spans = Vec::new();
    for number in 0..CHANGES {
        let mut rules = fleet.rules.clone();
        rules.push(format!(
            "customer.c{number} = {{ rate = \"1/s\", burst = 1 }}  # asked by Mere"
        ));
        let call = Apply {
            command: format!("measure-{number}").parse()?,
            expect: Version(version),
            text: rules.join("\n"),
        };
        let start = Instant::now();
        match client.call(&call, TIMEOUT).await? {
            ApplyReply::Accepted {
                in_force: true,
                version: next,
                ..
            } => version = next.0,
            other => eyre::bail!("{other:?}"),
        }
        spans.push(start.elapsed());
    }
    spans.sort();
    let at = |share: usize| spans[(spans.len() - 1) * share / 100];
    println!(
        "{CHANGES} changes: p50 {:?}, p99 {:?}, slowest {:?}",
        at(50),
        at(99),
        at(100)
    );
    Ok(())
}
