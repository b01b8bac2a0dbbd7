//! Runs the control processes that are measured.

use std::{
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::Stdio,
    time::Duration,
};

use clem_types::{CommandId, Version};
use clem_wire::{
    Client, FleetSecret, LeaderClient,
    admin::{Apply, ApplyReply, MemberRole, ReadRules, ReadStatus},
};
use eyre::{OptionExt, WrapErr, bail};
use tempfile::TempDir;
use tokio::process::{Child, Command};

use crate::process::Usage;

type Result<T> = eyre::Result<T>;

/// The fleet secret of the measured processes.
const SECRET: &str = "slopes-fleet-secret";
/// The number of control processes.
const MEMBERS: usize = 3;
/// How long the processes may take to elect a leader.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The timeout of a call to control.
const APPLY_TIMEOUT: Duration = Duration::from_secs(60);

/// Three control processes with empty data directories. They are killed when the value is dropped.
#[derive(Debug)]
pub(crate) struct Control {
    members: Vec<Child>,
    addresses: Vec<SocketAddr>,
    client: Client,
    folder: TempDir,
}

impl Control {
    /// Starts the processes and waits until they have elected a leader.
    pub(crate) async fn start(program: &Path) -> Result<Self> {
        let folder = TempDir::new()?;
        let secret_file = folder.path().join("secret");
        std::fs::write(&secret_file, SECRET)?;
        let addresses = free_addresses(MEMBERS)?;
        let list: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
        let mut members = Vec::new();
        for (index, address) in addresses.iter().enumerate() {
            let log = std::fs::File::create(folder.path().join(format!("log-{index}")))?;
            let child = Command::new(program)
                .args(["--listen", &address.to_string()])
                .args(["--data-centre", &format!("dc-{index}")])
                .args(["--control", &list.join(",")])
                .arg("--data-dir")
                .arg(folder.path().join(format!("data-{index}")))
                .arg("--fleet-secret-file")
                .arg(&secret_file)
                .args(["--log-level", "warn"])
                .stderr(Stdio::from(log))
                .kill_on_drop(true)
                .spawn()
                .wrap_err_with(|| format!("failed to start {}", program.display()))?;
            members.push(child);
        }
        let client = Client::new(FleetSecret::new(SECRET).map_err(eyre::Report::msg)?);
        let control = Self {
            members,
            addresses,
            client,
            folder,
        };
        control.client().call(&ReadRules {}, START_TIMEOUT).await?;
        Ok(control)
    }

    /// Creates a client that finds the leader by itself, as a separate process would.
    pub(crate) fn client(&self) -> LeaderClient {
        LeaderClient::new(self.client.clone(), self.addresses.clone())
    }

    /// Creates a client that calls the control processes at other addresses, such as that of a
    /// relay.
    pub(crate) fn client_at(&self, addresses: Vec<SocketAddr>) -> LeaderClient {
        LeaderClient::new(self.client.clone(), addresses)
    }

    /// The address of the leader.
    pub(crate) async fn leader(&self) -> Result<SocketAddr> {
        let status = self.client().call(&ReadStatus {}, APPLY_TIMEOUT).await?;
        let leader = status
            .members
            .iter()
            .find(|member| member.role == MemberRole::Leader);
        Ok(leader.ok_or_eyre("there is no leader")?.address)
    }

    /// Reads the resource usage of each process.
    pub(crate) fn usage(&self) -> Result<Vec<Usage>> {
        let mut usage = Vec::new();
        for member in &self.members {
            usage.push(Usage::of(
                member.id().ok_or_eyre("a control process has ended")?,
            )?);
        }
        Ok(usage)
    }

    /// The size of the data directory of the first process.
    pub(crate) fn disk_bytes(&self) -> Result<u64> {
        folder_bytes(&self.folder.path().join("data-0"))
    }

    /// Applies a rules file and returns its version.
    pub(crate) async fn apply(&self, text: &str) -> Result<Version> {
        let client = self.client();
        let current = client.call(&ReadRules {}, APPLY_TIMEOUT).await?.version;
        let command: CommandId = format!("slopes-{}", current.next()).parse()?;
        let apply = Apply {
            command,
            expect: current,
            text: text.to_owned(),
        };
        match client.call(&apply, APPLY_TIMEOUT).await? {
            ApplyReply::Accepted { version, .. } => Ok(version),
            ApplyReply::Conflict { current } => bail!("version {current} was applied concurrently"),
            ApplyReply::Rejected { findings } => bail!("the rules have findings: {findings:?}"),
        }
    }
}

fn folder_bytes(folder: &Path) -> Result<u64> {
    let mut bytes = 0;
    for entry in std::fs::read_dir(folder)? {
        let entry = entry?;
        let data = entry.metadata()?;
        bytes += if data.is_dir() {
            folder_bytes(&entry.path())?
        } else {
            data.len()
        };
    }
    Ok(bytes)
}

/// Finds free ports. All listeners are kept open until the end, so that no port is returned twice.
fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    let mut listeners = Vec::new();
    for _ in 0..count {
        listeners.push(TcpListener::bind("127.0.0.1:0")?);
    }
    let mut addresses = Vec::new();
    for listener in &listeners {
        addresses.push(listener.local_addr()?);
    }
    Ok(addresses)
}

/// The path of `clem-control`, in the folder of this program.
pub(crate) fn control_program() -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own
        .parent()
        .ok_or_eyre("the path of this program has no parent folder")?;
    Ok(folder.join("clem-control"))
}
