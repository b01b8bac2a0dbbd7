//! Starts a whole fleet of real processes on the local machine.

use std::{
    fmt::Write as _,
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Output},
};

use clem_fake::ReservedPort;
use clem_types::Key;
use eyre::{OptionExt, ensure};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tempfile::TempDir;

use crate::{
    Client, Options, Process, RequestLine, Result, TargetKind, TargetOptions, binary, eventually,
    read_requests,
};

/// The random seed of the customers' keys.
const KEY_SEED: u64 = 20_261_203;
const SECRET: &str = "a-secret-for-tests-only";

/// A target with its agent.
#[derive(Debug)]
pub struct Target {
    /// The id in the rules: `t1`, `t2`, …
    pub name: String,
    /// The listening address of the fake.
    pub address: SocketAddr,
    /// The process of the fake.
    pub process: Process,
    /// The process of the agent that serves this target.
    pub agent: Process,
    log: PathBuf,
}

impl Target {
    /// Reads the requests that the fake has received so far.
    ///
    /// # Errors
    /// The request log can't be read.
    pub fn requests(&self) -> Result<Vec<RequestLine>> {
        read_requests(&self.log)
    }
}

/// Control processes, entries and targets, all of which are killed on drop.
#[derive(Debug)]
pub struct Fleet {
    /// The control processes.
    pub control: Vec<Process>,
    /// The entries.
    pub entries: Vec<Process>,
    /// The targets.
    pub targets: Vec<Target>,
    /// The HTTP client of the test.
    pub client: Client,
    /// The lines of the rules file, which [`Fleet::apply`] sends.
    pub rules: Vec<String>,
    /// The rules version that the last [`Fleet::apply`] created.
    pub version: u64,
    control_ports: Vec<ReservedPort>,
    entry_ports: Vec<ReservedPort>,
    other_ports: Vec<ReservedPort>,
    keys: Vec<(String, Key)>,
    commands: u32,
    options: Options,
    folder: TempDir,
}

impl Fleet {
    /// Starts the processes, applies the rules and waits until every entry is ready.
    ///
    /// # Errors
    /// A process can't be started, or the fleet isn't ready within [`BOUND`](crate::BOUND).
    pub async fn start(options: Options) -> Result<Self> {
        let mut fleet = Self::prepare(options)?;
        for index in 0..fleet.options.control {
            let process = fleet.start_control(index)?;
            fleet.control.push(process);
        }
        for options in fleet.options.targets.clone() {
            let target = fleet.start_target(&options)?;
            fleet.targets.push(target);
        }
        for index in 0..fleet.options.entries {
            let process = fleet.start_entry(index)?;
            fleet.entries.push(process);
        }
        fleet.add_target_rules()?;
        fleet.apply().await?;
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Creates the folder, keys, rules and port reservations, without starting any process.
    fn prepare(options: Options) -> Result<Self> {
        let folder = tempfile::Builder::new().prefix("clem-").tempdir()?;
        fs::write(folder.path().join("secret"), SECRET)?;
        let mut rng = ChaCha8Rng::seed_from_u64(KEY_SEED);
        let mut rules = Vec::new();
        let mut keys = Vec::new();
        for &(customer, rate, burst) in &options.customers {
            let key = Key::generate(&mut rng);
            rules.push(format!(
                "customer.{customer} = {{ rate = \"{rate}\", burst = {burst}, weight = 1 }}  # asked by Mere"
            ));
            rules.push(key_rule(&format!("{customer}-1"), customer, &key));
            keys.push((customer.to_owned(), key));
        }
        rules.extend(options.rules.iter().cloned());
        Ok(Self {
            control: Vec::new(),
            entries: Vec::new(),
            targets: Vec::new(),
            client: Client::new(),
            rules,
            version: 0,
            control_ports: reserve(options.control)?,
            entry_ports: reserve(options.entries)?,
            other_ports: Vec::new(),
            keys,
            commands: 0,
            options,
            folder,
        })
    }

    fn start_control(&self, index: usize) -> Result<Process> {
        let name = format!("control{}", index + 1);
        let data = self.data_dir(index);
        fs::create_dir_all(&data)?;
        let mut args = self.member_args(index, self.control_ports[index].address());
        args.extend(["--data-dir".to_owned(), data.display().to_string()]);
        args.extend(self.options.control_args.iter().cloned());
        Process::start(&name, "clem-control", args, self.folder.path())
    }

    fn start_entry(&self, index: usize) -> Result<Process> {
        let name = format!("entry{}", index + 1);
        let mut args = self.member_args(index, self.entry_ports[index].address());
        args.extend(self.options.entry_args.iter().cloned());
        Process::start(&name, "clem-entry", args, self.folder.path())
    }

    fn start_target(&mut self, options: &TargetOptions) -> Result<Target> {
        let index = self.targets.len();
        let name = format!("t{}", index + 1);
        let ports = reserve(2)?;
        let address = ports[0].address();
        let log = self.folder.path().join(format!("{name}.requests"));
        let mut args = vec![
            match options.kind {
                TargetKind::Engine => "engine".to_owned(),
                TargetKind::Service(_) => "service".to_owned(),
            },
            "--listen".to_owned(),
            address.to_string(),
            "--log".to_owned(),
            log.display().to_string(),
        ];
        if options.kind == TargetKind::Engine {
            args.extend(["--model".to_owned(), "assistant-7b@3".to_owned()]);
        }
        args.extend(options.args.iter().cloned());
        let process = Process::start(&name, "clem-fake", args, self.folder.path())?;

        let mut args = self.member_args(index, ports[1].address());
        args.extend(["--target".to_owned(), address.to_string()]);
        args.extend(self.options.agent_args.iter().cloned());
        let agent = format!("agent{}", index + 1);
        let agent = Process::start(&agent, "clem-agent", args, self.folder.path())?;
        self.other_ports.extend(ports);
        Ok(Target {
            name,
            address,
            process,
            agent,
            log,
        })
    }

    /// The flags common to control processes, entries and agents.
    fn member_args(&self, index: usize, listen: SocketAddr) -> Vec<String> {
        let mut args = self.control_args();
        args.extend([
            "--listen".to_owned(),
            listen.to_string(),
            "--data-centre".to_owned(),
            self.data_centre(index).to_owned(),
        ]);
        args
    }

    fn control_args(&self) -> Vec<String> {
        let secret = self.folder.path().join("secret");
        vec![
            "--control".to_owned(),
            self.control_list(),
            "--fleet-secret-file".to_owned(),
            secret.display().to_string(),
        ]
    }

    fn control_list(&self) -> String {
        let mut list = String::new();
        for port in &self.control_ports {
            let comma = if list.is_empty() { "" } else { "," };
            let _ = write!(list, "{comma}{}", port.address());
        }
        list
    }

    fn add_target_rules(&mut self) -> Result<()> {
        for index in 0..self.targets.len() {
            let target = &self.targets[index];
            let options = &self.options.targets[index];
            let mut fields = format!(
                "address = \"{}\", data_centre = \"{}\"",
                target.address,
                self.data_centre(index)
            );
            match options.kind {
                TargetKind::Engine => {
                    write!(fields, ", checks_fence = {}", options.checks_fence)?;
                }
                TargetKind::Service(service) => write!(fields, ", service = \"{service}\"")?,
            }
            let rule = format!("target.{} = {{ {fields} }}  # asked by Ana", target.name);
            self.rules.push(rule);
        }
        Ok(())
    }

    // ------------------------------------------------------------------------

    /// Waits until every entry is ready and counts every target as serving.
    ///
    /// # Errors
    /// Times out after [`BOUND`](crate::BOUND).
    pub async fn wait_ready(&self) -> Result<()> {
        for index in 0..self.entries.len() {
            self.wait_for_entry(index).await?;
            self.wait_for_targets(index, self.targets.len()).await?;
        }
        Ok(())
    }

    /// Waits until the metric `clem_entry_targets` of an entry equals `count`.
    ///
    /// # Errors
    /// Times out after [`BOUND`](crate::BOUND).
    pub async fn wait_for_targets(&self, index: usize, count: usize) -> Result<()> {
        let url = self.entry_url(index, "/metrics");
        let what = format!("{url} to report {count} targets");
        let line = format!("clem_entry_targets {count}");
        eventually(&what, async || {
            let reply = self.client.get(&url, &[]).await;
            reply.is_ok_and(|reply| reply.text().lines().any(|l| l == line))
        })
        .await
    }

    /// Waits until `/readyz` of an entry answers with success.
    ///
    /// # Errors
    /// Times out after [`BOUND`](crate::BOUND).
    pub async fn wait_for_entry(&self, index: usize) -> Result<()> {
        let url = self.entry_url(index, "/readyz");
        let what = format!("{url} to be ready");
        eventually(&what, async || {
            let reply = self.client.get(&url, &[]).await;
            reply.is_ok_and(|reply| reply.status.is_success())
        })
        .await
    }

    /// The temporary folder with the data, logs and configuration of all processes.
    pub fn folder(&self) -> PathBuf {
        self.folder.path().to_owned()
    }

    /// The data folder of a control process.
    pub fn data_dir(&self, index: usize) -> PathBuf {
        self.folder.path().join(format!("data{}", index + 1))
    }

    /// The address of a control process.
    pub fn control_address(&self, index: usize) -> SocketAddr {
        self.control_ports[index].address()
    }

    /// The address of an entry.
    pub fn entry_address(&self, index: usize) -> SocketAddr {
        self.entry_ports[index].address()
    }

    /// A URL at an entry.
    pub fn entry_url(&self, index: usize, path: &str) -> String {
        format!("http://{}{path}", self.entry_address(index))
    }

    /// The data centre of the process with this index within its kind.
    pub fn data_centre(&self, index: usize) -> &'static str {
        self.options.data_centres[index % self.options.data_centres.len()]
    }

    /// The API key of a customer.
    ///
    /// # Errors
    /// The fleet has no such customer.
    pub fn key(&self, customer: &str) -> Result<&Key> {
        let found = self.keys.iter().find(|(name, _)| name == customer);
        Ok(&found.ok_or_eyre("unknown customer")?.1)
    }

    /// The value of the header `authorization` for a customer.
    ///
    /// # Errors
    /// The fleet has no such customer.
    pub fn bearer(&self, customer: &str) -> Result<String> {
        Ok(format!("Bearer {}", self.key(customer)?.reveal()))
    }

    /// Reads the requests that all targets have received so far, sorted by arrival time.
    ///
    /// # Errors
    /// A request log can't be read.
    pub fn requests(&self) -> Result<Vec<RequestLine>> {
        let mut all = Vec::new();
        for target in &self.targets {
            all.extend(target.requests()?);
        }
        all.sort_by_key(|line| line.start);
        Ok(all)
    }

    /// Returns the logs and the output of all processes except the fakes.
    ///
    /// # Errors
    /// A file can't be read.
    pub fn logs(&self) -> Result<String> {
        let mut text = String::new();
        let agents = self.targets.iter().map(|target| &target.agent);
        for process in self.control.iter().chain(&self.entries).chain(agents) {
            text.push_str(&process.log()?);
            text.push_str(&process.output()?);
        }
        Ok(text)
    }

    // ------------------------------------------------------------------------

    /// Applies [`Fleet::rules`] as the successor of [`Fleet::version`] and waits until they are in
    /// force.
    ///
    /// # Errors
    /// `clemctl apply` fails; the error shows its output.
    pub async fn apply(&mut self) -> Result<()> {
        let file = self.write_rules()?;
        self.commands += 1;
        let id = format!("apply-{}", self.commands);
        let expect = self.version.to_string();
        let output = self
            .ctl(&["apply", &file, "--expect", &expect, "--id", &id])
            .await?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned()
            + &String::from_utf8_lossy(&output.stderr);
        ensure!(output.status.success(), "clemctl apply: {text}");
        self.version += 1;
        Ok(())
    }

    /// Writes [`Fleet::rules`] into a file and returns its path.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn write_rules(&self) -> Result<String> {
        let file = self.folder.path().join("rules.toml");
        fs::write(&file, self.rules.join("\n") + "\n")?;
        Ok(file.display().to_string())
    }

    /// Runs `clemctl` with the given arguments and waits for its exit.
    ///
    /// # Errors
    /// `clemctl` can't be built or started.
    pub async fn ctl(&self, words: &[&str]) -> Result<Output> {
        let mut command = Command::new(binary("clemctl")?);
        command.args(self.control_args()).args(words);
        Ok(tokio::task::spawn_blocking(move || command.output()).await??)
    }
}

/// Formats the line of the rules file that defines a key.
pub(crate) fn key_rule(id: &str, customer: &str, key: &Key) -> String {
    let hash = key.hash();
    format!("key.{id} = {{ customer = \"{customer}\", blake3 = \"{hash}\" }}  # asked by Mere")
}

fn reserve(count: usize) -> Result<Vec<ReservedPort>> {
    let mut ports = Vec::new();
    for _ in 0..count {
        ports.push(ReservedPort::new()?);
    }
    Ok(ports)
}
