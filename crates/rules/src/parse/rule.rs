//! Reads the fields of each kind of rule, with defaults and limits.

use std::{net::SocketAddr, str::FromStr, time::Duration};

use clem_types::{
    AdapterId, CustomerId, DataCentre, KeyHash, KeyId, ModelId, ModelVersion, Rate, ServiceId,
    TargetId,
};

use crate::{Backend, BatchCharge, Customer, Key, Model, Placement, Route, Rule, RuleName, Target};

use super::{
    constraints::{Constraint, Constraints},
    duration::DurationValue,
    fields::{Fields, Located},
};

/// The largest burst, in requests.
const MAX_BURST: u64 = 1_000_000;
/// The largest weight of a customer.
const MAX_WEIGHT: u64 = 1000;
/// The largest size of a model's weights.
const MAX_MODEL_BYTES: u64 = 1 << 50;
/// The most replicas in one placement.
const MAX_REPLICAS: u64 = 10_000;
/// The timeout of a route that sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// Reads the rule called `name`; `None` if a required field is missing or invalid.
pub(super) fn read_rule(
    name: &RuleName,
    fields: &mut Fields<'_>,
    constraints: &mut Constraints,
) -> Option<Rule> {
    match name {
        RuleName::Customer(_) => read_customer(fields).map(Rule::Customer),
        RuleName::Key(id) => read_key(id, fields, constraints).map(Rule::Key),
        RuleName::Model(_) => read_model(fields).map(Rule::Model),
        RuleName::Placement(_) => read_placement(fields, constraints).map(Rule::Placement),
        RuleName::Route(_) => read_route(fields, constraints).map(Rule::Route),
        RuleName::Target(id) => read_target(id, fields, constraints).map(Rule::Target),
    }
}

fn read_customer(fields: &mut Fields<'_>) -> Option<Customer> {
    let rate: Option<Located<Rate>> = fields.required("rate");
    let burst = fields.required_number("burst", 1..=MAX_BURST);
    let weight = fields.number("weight", 1..=MAX_WEIGHT).unwrap_or(1);
    let batch: Option<Located<BatchCharge>> = fields.text("batch");
    Some(Customer {
        rate: rate?.value,
        burst: to_u32(burst?),
        weight: to_u32(weight),
        batch: batch.map(|batch| batch.value).unwrap_or_default(),
    })
}

fn read_key(id: &KeyId, fields: &mut Fields<'_>, constraints: &mut Constraints) -> Option<Key> {
    let customer: Option<Located<CustomerId>> = fields.required("customer");
    let hash: Option<Located<KeyHash>> = fields.required("blake3");
    if let Some(hash) = &hash {
        constraints.add(&hash.position, Constraint::Hash(id.clone(), hash.value));
    }
    let customer = customer?;
    constraints.add(
        &customer.position,
        Constraint::Customer(customer.value.clone()),
    );
    Some(Key {
        customer: customer.value,
        hash: hash?.value,
    })
}

fn read_model(fields: &mut Fields<'_>) -> Option<Model> {
    let bytes = fields.required_number("bytes", 1..=MAX_MODEL_BYTES);
    let adapters = fields.list("adapters");
    Some(Model {
        bytes: bytes?,
        adapters,
    })
}

fn read_placement(fields: &mut Fields<'_>, constraints: &mut Constraints) -> Option<Placement> {
    let model: Option<Located<ModelId>> = fields.required("model");
    let version = fields.required_number("version", 0..=u64::from(u32::MAX));
    let centre: Option<Located<DataCentre>> = fields.required("data_centre");
    let replicas = fields.required_number("replicas", 0..=MAX_REPLICAS);
    let model = model?;
    constraints.add(&model.position, Constraint::Model(model.value.clone()));
    let centre = centre?;
    let replicas = to_u32(replicas?);
    constraints.add(
        &centre.position,
        Constraint::Replicas(centre.value.clone(), replicas),
    );
    let version = ModelVersion(to_u32(version?));
    let unique = Constraint::Placement(model.value.clone(), version, centre.value.clone());
    constraints.add(&model.position, unique);
    Some(Placement {
        model: model.value,
        version,
        data_centre: centre.value,
        replicas,
    })
}

fn read_route(fields: &mut Fields<'_>, constraints: &mut Constraints) -> Option<Route> {
    let service = fields.has("service");
    let model = fields.has("model");
    if service && model {
        let message = "a route takes a model or a service, not both";
        fields.add_finding("service", message);
    }
    let mut backend = None;
    if model || !service {
        backend = read_backend(fields, constraints);
    }
    if service {
        backend = read_service(fields, constraints);
    }
    let open = fields.flag("open", false);
    // Model calls can be retried; service calls only if the route says so.
    let idempotent = fields.flag("idempotent", !service);
    let timeout: Option<Located<DurationValue>> = fields.text("timeout");
    Some(Route {
        backend: backend?,
        open,
        idempotent,
        timeout: timeout.map_or(DEFAULT_TIMEOUT, |span| span.value.0),
    })
}

fn read_service(fields: &mut Fields<'_>, constraints: &mut Constraints) -> Option<Backend> {
    let service: Located<ServiceId> = fields.text("service")?;
    constraints.add(
        &service.position,
        Constraint::Service(service.value.clone()),
    );
    Some(Backend::Service(service.value))
}

fn read_backend(fields: &mut Fields<'_>, constraints: &mut Constraints) -> Option<Backend> {
    let model: Option<Located<ModelId>> = fields.required("model");
    let version = fields.required_number("version", 0..=u64::from(u32::MAX));
    let adapter: Option<Located<AdapterId>> = fields.text("adapter");
    let model = model?;
    constraints.add(&model.position, Constraint::RouteModel(model.value.clone()));
    if let Some(adapter) = &adapter {
        let constraint = Constraint::Adapter(model.value.clone(), adapter.value.clone());
        constraints.add(&adapter.position, constraint);
    }
    Some(Backend::Model {
        model: model.value,
        version: ModelVersion(to_u32(version?)),
        adapter: adapter.map(|adapter| adapter.value),
    })
}

fn read_target(
    id: &TargetId,
    fields: &mut Fields<'_>,
    constraints: &mut Constraints,
) -> Option<Target> {
    let address: Option<Located<SocketAddr>> = fields.required("address");
    let centre: Option<Located<DataCentre>> = fields.required("data_centre");
    let checks_fence = fields.flag("checks_fence", false);
    let service: Option<Located<ServiceId>> = fields.text("service");
    let address = address?;
    if address.value.port() == 0 {
        fields.add_finding("address", "the port of a target can't be 0");
    }
    constraints.add(
        &address.position,
        Constraint::Address(id.clone(), address.value),
    );
    Some(Target {
        address: address.value,
        data_centre: centre?.value,
        checks_fence,
        service: service.map(|service| service.value),
    })
}

impl FromStr for BatchCharge {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "free" => Ok(Self::Free),
            "rate" => Ok(Self::Rate),
            _ => Err("it is not free or rate"),
        }
    }
}

/// Converts a number whose range has been checked already.
fn to_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
