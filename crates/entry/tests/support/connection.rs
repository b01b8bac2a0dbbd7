//! A raw HTTP connection.

use super::EntryProcess;

/// A single connection, to check that it is reused after a refusal.
pub struct Connection {
    stream: tokio::io::BufReader<tokio::net::TcpStream>,
}

impl Connection {
    pub async fn open(entry: &EntryProcess) -> Self {
        let stream = tokio::net::TcpStream::connect(entry.address)
            .await
            .expect("a connection");
        Self {
            stream: tokio::io::BufReader::new(stream),
        }
    }

    pub async fn post(&mut self, path: &str, key: Option<&str>, body: &str) -> (u16, String) {
        use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt};
        let key = key
            .map(|key| format!("authorization: {key}\r\n"))
            .unwrap_or_default();
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: x\r\n{key}content-length: {}\r\n\r\n",
            body.len()
        );
        let stream = self.stream.get_mut();
        stream
            .write_all(head.as_bytes())
            .await
            .expect("a head is sent");
        stream
            .write_all(body.as_bytes())
            .await
            .expect("a body is sent");
        let (mut status, mut length, mut chunked) = (0, 0, false);
        loop {
            let mut line = String::new();
            self.stream.read_line(&mut line).await.expect("a line");
            let line = line.trim().to_ascii_lowercase();
            if line.is_empty() {
                break;
            }
            if let Some(rest) = line.strip_prefix("http/1.1 ") {
                status = rest[..3].parse().expect("a status");
            }
            if let Some(rest) = line.strip_prefix("content-length: ") {
                length = rest.parse().expect("a length");
            }
            chunked |= line.starts_with("transfer-encoding: chunked");
        }
        let mut text = String::new();
        while chunked {
            let mut size = String::new();
            self.stream.read_line(&mut size).await.expect("a size");
            let size = usize::from_str_radix(size.trim(), 16).expect("a size");
            let mut part = vec![0; size + 2];
            self.stream.read_exact(&mut part).await.expect("a part");
            text += &String::from_utf8_lossy(&part);
            chunked = size > 0;
        }
        let mut part = vec![0; length];
        self.stream.read_exact(&mut part).await.expect("a body");
        text += &String::from_utf8_lossy(&part);
        (status, text)
    }
}
