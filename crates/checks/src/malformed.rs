//! Messages that no process of ours would send.

use std::{net::SocketAddr, time::Duration};

use clem_wire::SECRET_HEADER;
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// How long an answer to a malformed message is waited for.
const ANSWER: Duration = Duration::from_millis(50);
/// Nested lists that overflow the stack of a decoder without a limit.
const DEPTH: usize = 200_000;
/// Length of the random bytes, in bytes.
const NOISE: usize = 4096;

/// Messages that are no HTTP, broken HTTP, and broken calls to `paths`, some of them with the fleet's
/// secret.
pub fn malformed_messages(seed: u64, secret: &str, paths: &[&str]) -> Vec<Vec<u8>> {
    let mut noise = vec![0; NOISE];
    ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut noise);
    let mut nested = vec![0x91; DEPTH];
    nested.push(0xc0);
    // A map with one unknown field, which is nested as deeply.
    let mut unknown = vec![0x81, 0xa1, b'x'];
    unknown.extend_from_slice(&nested);
    let texts = [
        "GET / HTTP/1.1\r\nhost: a",
        "GET / HTTP/9.9\r\n\r\n",
        "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n-1\r\n",
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999999999999999\r\n\r\n",
        "POST /Config.Put HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n{\"version",
        "POST /v1/batches HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n{}{]",
        "GET /lots/%ff%fe?after=-1 HTTP/1.1\r\nhost: one.example\r\nx-wait-ms: 1e99\r\n\r\n",
    ];
    let mut all: Vec<Vec<u8>> = texts.iter().map(|text| text.as_bytes().to_vec()).collect();
    all.push(noise.clone());
    for path in paths {
        all.push(post(path, "a-wrong-secret-for-tests", &noise));
        for body in [&noise[..], &nested, &unknown, &[0xc1], &[]] {
            all.push(post(path, secret, body));
        }
    }
    all
}

fn post(path: &str, secret: &str, body: &[u8]) -> Vec<u8> {
    let mut message = format!(
        "POST {path} HTTP/1.1\r\nhost: a\r\n{SECRET_HEADER}: {secret}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    message.extend_from_slice(body);
    message
}

/// Sends each message on a connection of its own. A port without a listener gets none.
pub async fn send_malformed(address: SocketAddr, messages: &[Vec<u8>]) {
    for message in messages {
        let Ok(mut stream) = TcpStream::connect(address).await else {
            return;
        };
        // The process may close the connection at any time.
        if stream.write_all(message).await.is_err() {
            continue;
        }
        let mut answer = [0; 256];
        let _ = tokio::time::timeout(ANSWER, stream.read(&mut answer)).await;
    }
}
