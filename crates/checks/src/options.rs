//! Configuration of a fleet under test.

/// The processes and rules of a fleet; the default equals that of `scripts/fleet`.
#[derive(Debug, Clone)]
pub struct Options {
    /// The data centres; the processes of each kind are assigned to them round robin.
    pub data_centres: Vec<&'static str>,
    /// The number of control processes.
    pub control: usize,
    /// The number of entries.
    pub entries: usize,
    /// The targets, each with an agent.
    pub targets: Vec<TargetOptions>,
    /// The customers, each with its rate, its burst and one generated key.
    pub customers: Vec<(&'static str, &'static str, u32)>,
    /// Additional lines of the rules file.
    pub rules: Vec<String>,
    /// Additional flags of every control process.
    pub control_args: Vec<String>,
    /// Additional flags of every entry.
    pub entry_args: Vec<String>,
    /// Additional flags of every agent.
    pub agent_args: Vec<String>,
}

/// Configuration of one target.
#[derive(Debug, Clone)]
pub struct TargetOptions {
    /// Whether the target is an engine or a service.
    pub kind: TargetKind,
    /// Additional flags of the fake.
    pub args: Vec<String>,
    /// Whether the rules declare that the target checks the fence number of orders.
    pub checks_fence: bool,
}

/// The kind of fake that acts as a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetKind {
    /// A model engine that serves `assistant-7b`, version 3.
    Engine,
    /// A plain service with this name.
    Service(&'static str),
}

impl TargetOptions {
    /// A fake engine with additional flags.
    pub fn engine(args: &[&str]) -> Self {
        Self::new(TargetKind::Engine, args)
    }

    /// A fake service with additional flags.
    pub fn service(name: &'static str, args: &[&str]) -> Self {
        Self::new(TargetKind::Service(name), args)
    }

    fn new(kind: TargetKind, args: &[&str]) -> Self {
        Self {
            kind,
            args: args.iter().map(|&arg| arg.to_owned()).collect(),
            checks_fence: true,
        }
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            data_centres: vec!["tamaki-a", "tamaki-b", "tamaki-c"],
            control: 3,
            entries: 2,
            targets: vec![
                TargetOptions::engine(&[]),
                TargetOptions::engine(&[]),
                TargetOptions::service("desk", &[]),
            ],
            customers: vec![("totara", "20/s", 40), ("botez", "40/s", 80)],
            rules: vec![
                "route.assistant = { model = \"assistant-7b\", version = 3, open = false }  # asked by Ana".to_owned(),
                "route.waitlist = { service = \"desk\", idempotent = false }  # asked by Ana".to_owned(),
                "route.hours = { service = \"desk\", open = true }  # asked by Ana".to_owned(),
            ],
            control_args: Vec::new(),
            entry_args: Vec::new(),
            agent_args: Vec::new(),
        }
    }
}
