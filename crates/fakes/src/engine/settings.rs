//! The flags of the engine.

use std::{net::SocketAddr, str::FromStr, time::Duration};

use clem_boot::{Findings, Flag, Program};
use clem_fake::model::Options;
use clem_types::{ModelId, ModelVersion, ParseError};

use crate::{flag, take, take_micros, take_millis};

/// A model with its version, written `NAME@VERSION`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ModelName {
    pub(crate) model: ModelId,
    pub(crate) version: ModelVersion,
}

impl FromStr for ModelName {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (model, version) = text.split_once('@').unwrap_or((text, ""));
        Ok(Self {
            model: model.parse()?,
            version: version.parse()?,
        })
    }
}

/// The settings of an engine.
#[derive(Debug, Clone)]
pub(crate) struct Settings {
    pub(crate) options: Options,
    pub(crate) models: Vec<ModelName>,
    pub(crate) load_lag: Duration,
    pub(crate) event_lag: Duration,
    /// The share of cache events that are lost, in percent.
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

/// The flags of an engine.
pub(crate) fn program() -> Program {
    Program::new("clem-fake engine", "A fake model engine.")
        .flag(
            Flag::new(
                "model",
                "NAME@VERSION",
                "A model that is ready from the start.",
            )
            .repeated(),
        )
        .flag(flag(
            "step-us",
            "N",
            "2000",
            "Base time of a step, in microseconds.",
        ))
        .flag(flag(
            "step-per-stream-us",
            "N",
            "100",
            "Step time added for each stream, in microseconds.",
        ))
        .flag(flag(
            "prefill-us-per-token",
            "N",
            "20",
            "Step time added for each uncached prompt token, in microseconds.",
        ))
        .flag(flag(
            "prefill-chunk",
            "N",
            "0",
            "Maximum prompt tokens in one step; 0 is unlimited.",
        ))
        .flag(flag("slots", "N", "16", "Maximum streams in the batch."))
        .flag(flag(
            "cache-blocks",
            "N",
            "4096",
            "Size of the KV memory, in blocks of 16 tokens.",
        ))
        .flag(flag(
            "slow-factor",
            "N",
            "1",
            "Factor that multiplies the time of each step.",
        ))
        .flag(flag(
            "load-lag-ms",
            "N",
            "100",
            "Delay of the load report, in milliseconds.",
        ))
        .flag(flag(
            "event-lag-ms",
            "N",
            "50",
            "Delay of cache events, in milliseconds.",
        ))
        .flag(flag(
            "event-gap",
            "PERCENT",
            "0",
            "Share of cache events that are lost.",
        ))
        .flag(flag(
            "checks-fence",
            "BOOL",
            "true",
            "Whether orders with stale fence numbers are refused.",
        ))
        .flag(flag(
            "load-ms",
            "N",
            "200",
            "Duration of a model load without a weight store, in milliseconds.",
        ))
        .flag(Flag::new(
            "weights",
            "IP:PORT",
            "The weight store that models are loaded from.",
        ))
        .flag(flag(
            "load-bytes",
            "N",
            "1000000",
            "Size of a model in bytes.",
        ))
        .flag(Flag::new(
            "die-on",
            "TEXT",
            "A request whose body contains this text ends the process.",
        ))
        .flag(flag(
            "die-after",
            "N",
            "0",
            "Tokens of that request that are sent before the process ends.",
        ))
        .flag(Flag::new(
            "freeze-on",
            "TEXT",
            "A request whose body contains this text stops all steps.",
        ))
        .flag(flag(
            "seed",
            "N",
            "1",
            "Random seed that selects the lost events.",
        ))
}

/// Reads the values of the flags.
pub(crate) fn read(mut settings: clem_boot::Settings) -> Result<Settings, Findings> {
    let from = &mut settings;
    let chunk = take(from, "prefill-chunk");
    let options = Options {
        step: take_micros(from, "step-us"),
        per_stream: take_micros(from, "step-per-stream-us"),
        per_prompt_token: take_micros(from, "prefill-us-per-token"),
        prefill_chunk: (chunk > 0).then_some(chunk),
        slots: take(from, "slots"),
        cache_blocks: take(from, "cache-blocks"),
        slow_factor: take(from, "slow-factor"),
    };
    let read = Settings {
        options,
        models: from.take_all("model"),
        load_lag: take_millis(from, "load-lag-ms"),
        event_lag: take_millis(from, "event-lag-ms"),
        event_gap: take(from, "event-gap"),
        checks_fence: take(from, "checks-fence"),
        load_time: take_millis(from, "load-ms"),
        weights: from.take("weights"),
        load_bytes: take(from, "load-bytes"),
        die_on: from.take("die-on"),
        die_after: take(from, "die-after"),
        freeze_on: from.take("freeze-on"),
        seed: take(from, "seed"),
    };
    settings.finish()?;
    Ok(read)
}
