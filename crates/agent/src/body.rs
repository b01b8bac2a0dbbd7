//! The request body that the engine gets.

use clem_rules::Backend;
use clem_types::{CustomerId, Tokens};
use serde_json::{Map, Value, json};

/// The prefix cache of callers without a key.
const OPEN_SALT: &str = "open";

/// Sets in a chat body what the rules decide: the model of the route, the customer's own part of
/// the prefix cache, and where a stream goes on. None when the body is not a JSON object.
pub fn prepare(
    body: &[u8],
    backend: &Backend,
    customer: Option<&CustomerId>,
    resume: Option<Tokens>,
) -> Option<Vec<u8>> {
    let mut object: Map<String, Value> = serde_json::from_slice(body).ok()?;
    match backend {
        Backend::Model {
            model,
            version,
            adapter,
        } => {
            object.insert("model".to_owned(), json!(format!("{model}@{version}")));
            if let Some(adapter) = adapter {
                object.insert("adapter".to_owned(), json!(adapter.as_str()));
            }
        }
        Backend::Service(_) => return None,
    }
    let salt = customer.map_or(OPEN_SALT, CustomerId::as_str);
    object.insert("cache_salt".to_owned(), json!(salt));
    object.remove("resume");
    if let Some(tokens) = resume {
        object.insert("resume".to_owned(), json!({ "tokens": tokens.0 }));
    }
    serde_json::to_vec(&object).ok()
}

/// As [`prepare`], for a batch item: the engine streams, so that the item can be parked.
pub(crate) fn prepare_item(
    body: &str,
    backend: &Backend,
    customer: Option<&CustomerId>,
    resume: Option<Tokens>,
) -> Option<Vec<u8>> {
    let bytes = prepare(body.as_bytes(), backend, customer, resume)?;
    let mut object: Map<String, Value> = serde_json::from_slice(&bytes).ok()?;
    object.insert("stream".to_owned(), json!(true));
    serde_json::to_vec(&object).ok()
}
