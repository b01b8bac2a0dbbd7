//! Removal of hop-by-hop headers.

use http::{HeaderMap, HeaderName, header};

/// Hop-by-hop headers whether or not `Connection` names them.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Copies all headers except hop-by-hop ones, including those named by `Connection`.
pub fn end_to_end(from: &HeaderMap) -> HeaderMap {
    let mut named: Vec<HeaderName> = HOP_BY_HOP.to_vec();
    named.push(HeaderName::from_static("keep-alive"));
    named.push(HeaderName::from_static("proxy-connection"));
    for value in from.get_all(header::CONNECTION) {
        let Ok(text) = value.to_str() else { continue };
        let names = text.split(',').filter_map(|name| name.trim().parse().ok());
        named.extend(names);
    }
    let mut headers = HeaderMap::with_capacity(from.len());
    for (name, value) in from {
        if named.contains(name) {
            continue;
        }
        headers.append(name, value.clone());
    }
    headers
}
