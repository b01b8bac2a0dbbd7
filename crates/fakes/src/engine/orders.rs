//! Orders to the engine, and the models that they load and unload.

use std::sync::Arc;

use clem_types::{AdapterId, FenceNumber, ModelId, ModelVersion};
use eyre::{Result, eyre};
use http_body_util::{BodyExt, Empty};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use salvo::http::StatusCode;
use serde::{Deserialize, Serialize};

use super::{
    settings::{ModelName, Settings},
    state::EngineState,
};
use crate::http::Refusal;

/// The body of `POST /engine/orders`.
#[derive(Debug, Deserialize)]
pub(crate) struct FencedOrder {
    fence: FenceNumber,
    order: Order,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Order {
    Load(OrderedModel),
    Unload(OrderedModel),
    Adapter { model: ModelId, name: AdapterId },
    Role(Role),
}

#[derive(Debug, Clone, Deserialize)]
struct OrderedModel {
    model: ModelId,
    version: ModelVersion,
}

#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Role {
    #[default]
    Mixed,
    Prefill,
    Decode,
}

/// The answer to an accepted order.
#[derive(Debug, Serialize)]
pub(crate) struct Accepted {
    fence: FenceNumber,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum LoadState {
    Loading,
    Ready,
    Failed,
}

/// One entry of the answer to `GET /engine/models`.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Model {
    model: ModelId,
    version: ModelVersion,
    adapters: Vec<AdapterId>,
    state: LoadState,
}

/// The models of the engine, its role and the highest fence number accepted.
#[derive(Debug)]
pub(crate) struct Models {
    models: Vec<Model>,
    fence: FenceNumber,
    role: Role,
}

impl Models {
    /// Creates the list with models that are ready from the start.
    pub(crate) fn new(ready: &[ModelName]) -> Self {
        let mut models = Vec::new();
        for name in ready {
            models.push(Model {
                model: name.model.clone(),
                version: name.version,
                adapters: Vec::new(),
                state: LoadState::Ready,
            });
        }
        Self {
            models,
            fence: FenceNumber::default(),
            role: Role::default(),
        }
    }

    pub(crate) fn list(&self) -> Vec<Model> {
        self.models.clone()
    }

    pub(crate) fn role(&self) -> &'static str {
        match self.role {
            Role::Mixed => "mixed",
            Role::Prefill => "prefill",
            Role::Decode => "decode",
        }
    }

    /// Finds the ready model named by `NAME@VERSION`, or the newest ready version for `NAME`.
    pub(crate) fn resolve(&self, asked: &str) -> Option<ModelName> {
        let (name, version) = match asked.split_once('@') {
            Some((name, version)) => (name, Some(version.parse().ok()?)),
            None => (asked, None),
        };
        let mut found: Option<&Model> = None;
        for model in &self.models {
            if model.state != LoadState::Ready || model.model.as_str() != name {
                continue;
            }
            if version.is_some_and(|version: ModelVersion| version != model.version) {
                continue;
            }
            if found.is_none_or(|found| found.version < model.version) {
                found = Some(model);
            }
        }
        found.map(|model| ModelName {
            model: model.model.clone(),
            version: model.version,
        })
    }

    fn position(&self, name: &ModelName) -> Option<usize> {
        let mut models = self.models.iter();
        models.position(|m| m.model == name.model && m.version == name.version)
    }

    /// Marks a model as loading; returns false when it is loading or ready already.
    fn begin_load(&mut self, name: &ModelName) -> bool {
        if let Some(at) = self.position(name) {
            let model = &mut self.models[at];
            let failed = model.state == LoadState::Failed;
            if failed {
                model.state = LoadState::Loading;
            }
            return failed;
        }
        self.models.push(Model {
            model: name.model.clone(),
            version: name.version,
            adapters: Vec::new(),
            state: LoadState::Loading,
        });
        true
    }

    fn end_load(&mut self, name: &ModelName, state: LoadState) {
        // The model may have been unloaded in the meantime.
        if let Some(at) = self.position(name) {
            self.models[at].state = state;
        }
    }
}

/// Executes an order, unless its fence number is stale.
pub(crate) fn execute(state: &Arc<EngineState>, asked: FencedOrder) -> Result<Accepted, Refusal> {
    let mut inner = state.lock();
    let models = &mut inner.models;
    if state.settings.checks_fence && asked.fence < models.fence {
        let message = format!(
            "fence number {} is lower than {}",
            asked.fence, models.fence
        );
        return Err(Refusal::new(StatusCode::CONFLICT, "stale_fence", message));
    }
    models.fence = models.fence.max(asked.fence);
    match asked.order {
        Order::Load(OrderedModel { model, version }) => {
            let name = ModelName { model, version };
            if models.begin_load(&name) {
                tokio::spawn(load(Arc::clone(state), name));
            }
        }
        Order::Unload(OrderedModel { model, version }) => {
            let name = ModelName { model, version };
            if let Some(at) = models.position(&name) {
                models.models.remove(at);
            }
            drop(inner);
            state.cancel_model(&name);
        }
        Order::Adapter { model, name } => {
            for loaded in &mut models.models {
                if loaded.model == model && !loaded.adapters.contains(&name) {
                    loaded.adapters.push(name.clone());
                }
            }
        }
        Order::Role(role) => models.role = role,
    }
    Ok(Accepted { fence: asked.fence })
}

async fn load(state: Arc<EngineState>, name: ModelName) {
    let end = match fetch(&state.settings, &name).await {
        Ok(()) => LoadState::Ready,
        Err(error) => {
            eprintln!("clem-fake: can't load {}: {error:#}", name.model);
            LoadState::Failed
        }
    };
    state.lock().models.end_load(&name, end);
}

/// Downloads the weights, or without a weight store waits for the configured load time.
async fn fetch(settings: &Settings, name: &ModelName) -> Result<()> {
    let Some(weights) = settings.weights else {
        tokio::time::sleep(settings.load_time).await;
        return Ok(());
    };
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<bytes::Bytes>>();
    let ModelName { model, version } = name;
    let bytes = settings.load_bytes;
    let uri = format!("http://{weights}/weights/{model}/{version}?bytes={bytes}");
    let mut body = client.get(uri.parse()?).await?.into_body();
    let mut read = 0;
    while let Some(frame) = body.frame().await {
        read += frame?.data_ref().map_or(0, |data| data.len() as u64);
    }
    if read < bytes {
        return Err(eyre!("the weight store sent {read} of {bytes} bytes"));
    }
    Ok(())
}
