//! Takes the caller's key and the system's own headers out of a request, before anything of it is
//! sent on.

use http::{HeaderMap, HeaderName, header};
use percent_encoding::percent_decode_str;

use clem_wire::dispatch::Header;

/// What keys start with; anything that holds this with enough digits is taken for a key.
const KEY_PREFIX: &str = "clem_";
/// The hexadecimal digits that follow it.
const KEY_DIGITS: usize = 32;
/// The start of the names of the system's own headers, cookies and query fields.
const OWN_PREFIX: &str = "x-clem-";

/// Headers that are about one connection, or that this process sets itself.
const DROPPED: [HeaderName; 14] = [
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

/// The headers to send on; `key` is the caller's key where one was shown.
pub fn strip_headers(headers: &HeaderMap, key: Option<&str>) -> Vec<Header> {
    let named = named_by_connection(headers);
    let mut kept = Vec::new();
    for (name, value) in headers {
        if DROPPED.contains(name) || name.as_str().starts_with(OWN_PREFIX) {
            continue;
        }
        if named.iter().any(|other| other == name.as_str()) {
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
        if holds_key(&text, key) {
            continue;
        }
        kept.push(Header {
            name: name.to_string(),
            value: value.as_bytes().to_vec(),
        });
    }
    kept
}

/// The query to send on.
pub fn strip_query(query: &str, key: Option<&str>) -> String {
    let mut kept = Vec::new();
    for pair in query.split('&') {
        if pair.is_empty() || holds_key(pair, key) || is_own(pair.split('=').next()) {
            continue;
        }
        kept.push(pair);
    }
    kept.join("&")
}

/// Whether a text holds the caller's key, or anything that looks like a key.
pub(crate) fn holds_key(text: &str, key: Option<&str>) -> bool {
    let mut text = text.replace('+', " ");
    // Twice, for a key that was encoded twice.
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

fn is_own(name: Option<&str>) -> bool {
    name.is_some_and(|name| name.trim().to_ascii_lowercase().starts_with(OWN_PREFIX))
}

fn strip_cookies(cookies: &str, key: Option<&str>) -> String {
    let mut kept = Vec::new();
    for cookie in cookies.split(';') {
        let cookie = cookie.trim();
        if cookie.is_empty() || holds_key(cookie, key) || is_own(cookie.split('=').next()) {
            continue;
        }
        kept.push(cookie);
    }
    kept.join("; ")
}

/// Headers that the caller names as being about its connection alone.
fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    let mut named = Vec::new();
    for value in headers.get_all(header::CONNECTION) {
        let Ok(value) = value.to_str() else {
            continue;
        };
        named.extend(
            value
                .split(',')
                .map(|name| name.trim().to_ascii_lowercase()),
        );
    }
    named
}
