//! Rewrites request bodies for the engine.

use clem_rules::Backend;
use clem_types::{CustomerId, Tokens};
use serde_json::{Map, Value, json};

/// Prefix cache salt shared by all callers without a key.
const OPEN_SALT: &str = "open";

/// Sets the fields of a chat body that the caller may not choose: the route's model and adapter,
/// the customer's prefix cache salt, and the token at which a stream resumes. `None` if the body
/// is not a JSON object or the back end is a plain service.
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

/// Like [`prepare`], for a batch item. Always sets `stream`, so that the item can be parked and
/// resumed.
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
