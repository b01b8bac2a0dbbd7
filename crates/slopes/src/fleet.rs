//! The control processes under measurement.

use std::{
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::Stdio,
    time::Duration,
};

use clem_types::{CommandId, RulesVersion};
use clem_wire::{
    Client, ControlClient, FleetSecret,
    admin::{Apply, ApplyReply, MemberRole, ReadRules, ReadStatus},
};
use eyre::{OptionExt, WrapErr, bail};
use tempfile::TempDir;
use tokio::process::{Child, Command};

use crate::process::Usage;

type Result<T> = eyre::Result<T>;

/// The secret of the measured fleet.
const SECRET: &str = "slopes-fleet-secret";
/// How many control processes run.
const MEMBERS: usize = 3;
/// How long the processes may take until they have a leader.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// How long one apply may take.
const APPLY_TIMEOUT: Duration = Duration::from_secs(60);

/// Three control processes with fresh disks; they end with this value.
#[derive(Debug)]
pub(crate) struct Control {
    members: Vec<Child>,
    addresses: Vec<SocketAddr>,
    client: Client,
    folder: TempDir,
}

impl Control {
    /// Starts the processes and waits until they have a leader.
    pub(crate) async fn start(program: &Path) -> Result<Self> {
        let folder = TempDir::new()?;
        let secret_file = folder.path().join("secret");
        std::fs::write(&secret_file, SECRET)?;
        let addresses = free_addresses(MEMBERS)?;
        let list: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
        let mut members = Vec::new();
        for (place, address) in addresses.iter().enumerate() {
            let log = std::fs::File::create(folder.path().join(format!("log-{place}")))?;
            let child = Command::new(program)
                .args(["--listen", &address.to_string()])
                .args(["--data-centre", &format!("dc-{place}")])
                .args(["--control", &list.join(",")])
                .arg("--data-dir")
                .arg(folder.path().join(format!("data-{place}")))
                .arg("--fleet-secret-file")
                .arg(&secret_file)
                .args(["--log-level", "warn"])
                .stderr(Stdio::from(log))
                .kill_on_drop(true)
                .spawn()
                .wrap_err_with(|| format!("{} can't be started", program.display()))?;
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

    /// A client of its own for each caller, as in separate processes.
    pub(crate) fn client(&self) -> ControlClient {
        ControlClient::new(self.client.clone(), self.addresses.clone())
    }

    /// A client that reaches the control processes at other addresses, such as relays.
    pub(crate) fn client_at(&self, addresses: Vec<SocketAddr>) -> ControlClient {
        ControlClient::new(self.client.clone(), addresses)
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

    /// The usage of each process, in the order of the addresses.
    pub(crate) fn usage(&self) -> Result<Vec<Usage>> {
        let mut usage = Vec::new();
        for member in &self.members {
            usage.push(Usage::of(
                member.id().ok_or_eyre("a control process has ended")?,
            )?);
        }
        Ok(usage)
    }

    /// Bytes on disk of the first process.
    pub(crate) fn disk_bytes(&self) -> Result<u64> {
        folder_bytes(&self.folder.path().join("data-0"))
    }

    /// Puts a rules file in force.
    pub(crate) async fn apply(&self, text: &str) -> Result<RulesVersion> {
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
            ApplyReply::Conflict { current } => bail!("version {current} won"),
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

/// Ports that are free now; they are held together, so that no two are the same.
fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    let mut held = Vec::new();
    for _ in 0..count {
        held.push(TcpListener::bind("127.0.0.1:0")?);
    }
    let mut addresses = Vec::new();
    for listener in &held {
        addresses.push(listener.local_addr()?);
    }
    Ok(addresses)
}

/// The control program beside this one.
pub(crate) fn control_program() -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.parent().ok_or_eyre("this program has no folder")?;
    Ok(folder.join("clem-control"))
}
