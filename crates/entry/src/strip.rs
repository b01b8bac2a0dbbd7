//! Removes the caller's key and internal headers from a request before it is forwarded.

use http::{HeaderMap, HeaderName, header};
use percent_encoding::percent_decode_str;

use clem_wire::dispatch::Header;

/// Prefix of every key; text with this prefix and enough digits is treated as a key.
const KEY_PREFIX: &str = "clem_";
/// Number of hexadecimal digits after the prefix.
const KEY_DIGITS: usize = 32;
/// Name prefix of internal headers, cookies and query parameters.
const INTERNAL_PREFIX: &str = "x-clem-";

/// Hop-by-hop headers, and headers that this process sets itself.
const DROPPED_HEADERS: [HeaderName; 14] = [
    header::AUTHORIZATION,
    header::PROXY_AUTHORIZATION,
    header::PROXY_AUTHENTICATE,
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::HOST,
    header::EXPECT,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    HeaderName::from_static("idempotency-key"),
];

/// Returns the headers to forward; `key` is the caller's key, if it sent one.
pub fn strip_headers(headers: &HeaderMap, key: Option<&str>) -> Vec<Header> {
    let listed = connection_options(headers);
    let mut kept = Vec::new();
    for (name, value) in headers {
        if DROPPED_HEADERS.contains(name) || name.as_str().starts_with(INTERNAL_PREFIX) {
            continue;
        }
        if listed.iter().any(|other| other == name.as_str()) {
            continue;
        }
        if *name == header::COOKIE {
            let cookies = strip_cookies(&String::from_utf8_lossy(value.as_bytes()), key);
            if !cookies.is_empty() {
                kept.push(Header {
                    name: name.to_string(),
                    value: cookies.into_bytes(),
                });
            }
            continue;
        }
        let text = String::from_utf8_lossy(value.as_bytes());
        if contains_key(&text, key) {
            continue;
        }
        kept.push(Header {
            name: name.to_string(),
            value: value.as_bytes().to_vec(),
        });
    }
    kept
}

/// Returns the query to forward, without internal parameters and without parameters that contain a
/// key.
pub fn strip_query(query: &str, key: Option<&str>) -> String {
    let mut kept = Vec::new();
    for pair in query.split('&') {
        if pair.is_empty() || contains_key(pair, key) || is_internal(pair.split('=').next()) {
            continue;
        }
        kept.push(pair);
    }
    kept.join("&")
}

/// Whether a text contains the caller's key or anything that looks like a key.
pub(crate) fn contains_key(text: &str, key: Option<&str>) -> bool {
    let mut text = text.replace('+', " ");
    // Decoded up to twice, to find a key that was percent-encoded twice.
    for _ in 0..3 {
        if key.is_some_and(|key| text.contains(key)) || looks_like_key(&text) {
            return true;
        }
        let decoded = percent_decode_str(&text).decode_utf8_lossy().into_owned();
        if decoded == text {
            return false;
        }
        text = decoded;
    }
    false
}

fn looks_like_key(text: &str) -> bool {
    text.match_indices(KEY_PREFIX).any(|(at, _)| {
        let digits = &text.as_bytes()[at + KEY_PREFIX.len()..];
        digits.len() >= KEY_DIGITS && digits[..KEY_DIGITS].iter().all(u8::is_ascii_hexdigit)
    })
}

fn is_internal(name: Option<&str>) -> bool {
    name.is_some_and(|name| {
        name.trim()
            .to_ascii_lowercase()
            .starts_with(INTERNAL_PREFIX)
    })
}

fn strip_cookies(cookies: &str, key: Option<&str>) -> String {
    let mut kept = Vec::new();
    for cookie in cookies.split(';') {
        let cookie = cookie.trim();
        if cookie.is_empty() || contains_key(cookie, key) || is_internal(cookie.split('=').next()) {
            continue;
        }
        kept.push(cookie);
    }
    kept.join("; ")
}

/// The headers that the `Connection` header lists as hop-by-hop.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let mut listed = Vec::new();
    for value in headers.get_all(header::CONNECTION) {
        let Ok(value) = value.to_str() else {
            continue;
        };
        listed.extend(
            value
                .split(',')
                .map(|name| name.trim().to_ascii_lowercase()),
        );
    }
    listed
}
