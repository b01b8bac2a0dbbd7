//! Orders to the engine, and the models that they load.

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

/// `POST /engine/orders`.
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

/// The answer to an order.
#[derive(Debug, Serialize)]
pub(crate) struct Taken {
    fence: FenceNumber,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum LoadState {
    Loading,
    Ready,
    Failed,
}

/// One line of `GET /engine/models`.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Model {
    model: ModelId,
    version: ModelVersion,
    adapters: Vec<AdapterId>,
    state: LoadState,
}

/// What the engine holds, and the highest order it took.
#[derive(Debug)]
pub(crate) struct Models {
    models: Vec<Model>,
    fence: FenceNumber,
    role: Role,
}

impl Models {
    /// `ready` models, from the start.
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

    /// The ready model that `asked` (`NAME` or `NAME@VERSION`) means; the newest one without a version.
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

    /// Notes a model as loading; false when it is there already.
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
        // It may have been unloaded in the meantime.
        if let Some(at) = self.position(name) {
            self.models[at].state = state;
        }
    }
}

/// Takes an order, or refuses it for its fence.
pub(crate) fn take(state: &Arc<EngineState>, asked: FencedOrder) -> Result<Taken, Refusal> {
    let mut inner = state.lock();
    let models = &mut inner.models;
    if state.settings.checks_fence && asked.fence < models.fence {
        let message = format!("order {} is older than {}", asked.fence, models.fence);
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
            for held in &mut models.models {
                if held.model == model && !held.adapters.contains(&name) {
                    held.adapters.push(name.clone());
                }
            }
        }
        Order::Role(role) => models.role = role,
    }
    Ok(Taken { fence: asked.fence })
}

async fn load(state: Arc<EngineState>, name: ModelName) {
    let end = match fetch(&state.settings, &name).await {
        Ok(()) => LoadState::Ready,
        Err(error) => {
            eprintln!("clem-fake: load of {}: {error:#}", name.model);
            LoadState::Failed
        }
    };
    state.lock().models.end_load(&name, end);
}

/// Reads the weights, or waits for as long as a load takes.
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
