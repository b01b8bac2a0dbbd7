//! What a fleet under test consists of.

/// The shape of a fleet; the default is the one of `scripts/fleet`.
#[derive(Debug, Clone)]
pub struct Options {
    /// The data centres; processes are spread over them in turn.
    pub data_centres: Vec<&'static str>,
    /// The number of control processes.
    pub control: usize,
    /// The number of entries.
    pub entries: usize,
    /// The targets, each with an agent.
    pub targets: Vec<TargetOptions>,
    /// The customers with rate and burst; each has one key.
    pub customers: Vec<(&'static str, &'static str, u32)>,
    /// More lines of the rules file.
    pub rules: Vec<String>,
    /// Further flags of every control process.
    pub control_args: Vec<String>,
    /// Further flags of every entry.
    pub entry_args: Vec<String>,
    /// Further flags of every agent.
    pub agent_args: Vec<String>,
}

/// One target.
#[derive(Debug, Clone)]
pub struct TargetOptions {
    /// What it is.
    pub kind: TargetKind,
    /// Further flags of the fake.
    pub args: Vec<String>,
    /// Whether the rules say that it checks the fence number of orders.
    pub checks_fence: bool,
}

/// What a target is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetKind {
    /// A model engine with `assistant-7b`, version 3.
    Engine,
    /// The plain service of this name.
    Service(&'static str),
}

impl TargetOptions {
    /// A fake engine with these further flags.
    pub fn engine(args: &[&str]) -> Self {
        Self::new(TargetKind::Engine, args)
    }

    /// A fake service with these further flags.
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
