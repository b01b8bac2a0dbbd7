//! The engine's flags.

use std::{net::SocketAddr, path::PathBuf, str::FromStr, time::Duration};

use clem_fake::model::Options;
use clem_types::{ModelId, ModelVersion};

use crate::flags::Flags;

/// A model with its version, written `NAME@VERSION`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ModelName {
    pub(crate) model: ModelId,
    pub(crate) version: ModelVersion,
}

impl FromStr for ModelName {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (model, version) = text.split_once('@').ok_or("no @")?;
        Ok(Self {
            model: model.parse().map_err(|_| "no model name")?,
            version: version.parse().map_err(|_| "no version")?,
        })
    }
}

/// Everything that an engine is started with.
#[derive(Debug, Clone)]
pub(crate) struct Settings {
    pub(crate) listen: SocketAddr,
    pub(crate) log: Option<PathBuf>,
    pub(crate) options: Options,
    pub(crate) models: Vec<ModelName>,
    pub(crate) load_lag: Duration,
    pub(crate) event_lag: Duration,
    /// Cache events that are never published, in percent.
    pub(crate) event_gap: u32,
    pub(crate) checks_fence: bool,
    pub(crate) load_time: Duration,
    pub(crate) weights: Option<SocketAddr>,
    pub(crate) load_bytes: u64,
    pub(crate) die_on: Option<String>,
    pub(crate) die_after: u32,
    pub(crate) freeze_on: Option<String>,
    pub(crate) seed: u64,
}

impl Settings {
    pub(crate) fn read(flags: &mut Flags) -> Self {
        let chunk = flags.or("prefill-chunk", 0);
        let options = Options {
            step: Duration::from_micros(flags.or("step-us", 2000)),
            per_stream: Duration::from_micros(flags.or("step-per-stream-us", 100)),
            per_prompt_token: Duration::from_micros(flags.or("prefill-us-per-token", 20)),
            prefill_chunk: (chunk > 0).then_some(chunk),
            slots: flags.or("slots", 16),
            cache_blocks: flags.or("cache-blocks", 4096),
            slow_factor: flags.or("slow-factor", 1),
        };
        Self {
            listen: flags.listen(),
            log: flags.get("log"),
            options,
            models: flags.all("model"),
            load_lag: flags.millis("load-lag-ms", 100),
            event_lag: flags.millis("event-lag-ms", 50),
            event_gap: flags.or("event-gap", 0),
            checks_fence: flags.or("checks-fence", true),
            load_time: flags.millis("load-ms", 200),
            weights: flags.get("weights"),
            load_bytes: flags.or("load-bytes", 1_000_000),
            die_on: flags.get("die-on"),
            die_after: flags.or("die-after", 0),
            freeze_on: flags.get("freeze-on"),
            seed: flags.or("seed", 1),
        }
    }
}
