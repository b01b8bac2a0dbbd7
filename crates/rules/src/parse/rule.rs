//! The fields of each kind of rule, with their defaults.

use std::{net::SocketAddr, str::FromStr, time::Duration};

use clem_types::{
    AdapterId, CustomerId, DataCentre, KeyHash, KeyId, ModelId, ModelVersion, Rate, ServiceId,
    TargetId,
};

use crate::{Backend, BatchCharge, Customer, Key, Model, Place, Route, Rule, RuleName, Target};

use super::{
    fields::{Fields, Placed},
    links::{Link, Links},
    span::Span,
};

/// The largest burst.
const MAX_BURST: u64 = 1_000_000;
/// The largest weight.
const MAX_WEIGHT: u64 = 1000;
/// The largest model, in bytes.
const MAX_MODEL_BYTES: u64 = 1 << 50;
/// The most replicas that one placement may name.
const MAX_REPLICAS: u64 = 10_000;
/// How long a request may take where the route doesn't say.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// Reads the rule under `name`; none when something in it is missing or wrong.
pub(super) fn read_rule(
    name: &RuleName,
    fields: &mut Fields<'_>,
    links: &mut Links,
) -> Option<Rule> {
    match name {
        RuleName::Customer(_) => read_customer(fields).map(Rule::Customer),
        RuleName::Key(id) => read_key(id, fields, links).map(Rule::Key),
        RuleName::Model(_) => read_model(fields).map(Rule::Model),
        RuleName::Place(_) => read_place(fields, links).map(Rule::Place),
        RuleName::Route(_) => read_route(fields, links).map(Rule::Route),
        RuleName::Target(id) => read_target(id, fields, links).map(Rule::Target),
    }
}

fn read_customer(fields: &mut Fields<'_>) -> Option<Customer> {
    let rate: Option<Placed<Rate>> = fields.required("rate");
    let burst = fields.required_number("burst", 1..=MAX_BURST);
    let weight = fields.number("weight", 1..=MAX_WEIGHT).unwrap_or(1);
    let batch: Option<Placed<BatchCharge>> = fields.text("batch");
    Some(Customer {
        rate: rate?.value,
        burst: small(burst?),
        weight: small(weight),
        batch: batch.map(|batch| batch.value).unwrap_or_default(),
    })
}

fn read_key(id: &KeyId, fields: &mut Fields<'_>, links: &mut Links) -> Option<Key> {
    let customer: Option<Placed<CustomerId>> = fields.required("customer");
    let hash: Option<Placed<KeyHash>> = fields.required("blake3");
    if let Some(hash) = &hash {
        links.add(&hash.place, Link::Hash(id.clone(), hash.value));
    }
    let customer = customer?;
    links.add(&customer.place, Link::Customer(customer.value.clone()));
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

fn read_place(fields: &mut Fields<'_>, links: &mut Links) -> Option<Place> {
    let model: Option<Placed<ModelId>> = fields.required("model");
    let version = fields.required_number("version", 0..=u64::from(u32::MAX));
    let centre: Option<Placed<DataCentre>> = fields.required("data_centre");
    let replicas = fields.required_number("replicas", 0..=MAX_REPLICAS);
    let model = model?;
    links.add(&model.place, Link::Model(model.value.clone()));
    let centre = centre?;
    let replicas = small(replicas?);
    links.add(
        &centre.place,
        Link::Replicas(centre.value.clone(), replicas),
    );
    let version = ModelVersion(small(version?));
    let whole = Link::Place(model.value.clone(), version, centre.value.clone());
    links.add(&model.place, whole);
    Some(Place {
        model: model.value,
        version,
        data_centre: centre.value,
        replicas,
    })
}

fn read_route(fields: &mut Fields<'_>, links: &mut Links) -> Option<Route> {
    let service = fields.has("service");
    let model = fields.has("model");
    if service && model {
        let message = "a route leads to a model or to a service, not to both";
        fields.find("service", message);
    }
    let mut backend = None;
    if model || !service {
        backend = read_backend(fields, links);
    }
    if service {
        backend = read_service(fields, links);
    }
    let open = fields.flag("open", false);
    // A model call may be run again; a service call only where its route says so.
    let idempotent = fields.flag("idempotent", !service);
    let timeout: Option<Placed<Span>> = fields.text("timeout");
    Some(Route {
        backend: backend?,
        open,
        idempotent,
        timeout: timeout.map_or(DEFAULT_TIMEOUT, |span| span.value.0),
    })
}

fn read_service(fields: &mut Fields<'_>, links: &mut Links) -> Option<Backend> {
    let service: Placed<ServiceId> = fields.text("service")?;
    links.add(&service.place, Link::Service(service.value.clone()));
    Some(Backend::Service(service.value))
}

fn read_backend(fields: &mut Fields<'_>, links: &mut Links) -> Option<Backend> {
    let model: Option<Placed<ModelId>> = fields.required("model");
    let version = fields.required_number("version", 0..=u64::from(u32::MAX));
    let adapter: Option<Placed<AdapterId>> = fields.text("adapter");
    let model = model?;
    links.add(&model.place, Link::RouteModel(model.value.clone()));
    if let Some(adapter) = &adapter {
        let link = Link::Adapter(model.value.clone(), adapter.value.clone());
        links.add(&adapter.place, link);
    }
    Some(Backend::Model {
        model: model.value,
        version: ModelVersion(small(version?)),
        adapter: adapter.map(|adapter| adapter.value),
    })
}

fn read_target(id: &TargetId, fields: &mut Fields<'_>, links: &mut Links) -> Option<Target> {
    let address: Option<Placed<SocketAddr>> = fields.required("address");
    let centre: Option<Placed<DataCentre>> = fields.required("data_centre");
    let checks_fence = fields.flag("checks_fence", false);
    let service: Option<Placed<ServiceId>> = fields.text("service");
    let address = address?;
    if address.value.port() == 0 {
        fields.find("address", "the port of a target can't be 0");
    }
    links.add(&address.place, Link::Address(id.clone(), address.value));
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

/// A number whose range the reader has checked already.
fn small(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
