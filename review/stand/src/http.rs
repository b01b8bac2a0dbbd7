//! HTTP/1.1 over blocking sockets: a client with a connection for each call, and a server.

use std::{
    io::{self, BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request, sent or received.
#[derive(Debug, Clone, Default)]
pub struct Call {
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// Names and values; received names are in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// A response.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Call {
    /// A request without headers and body.
    pub fn new(method: &str, path: &str) -> Self {
        Self {
            method: method.to_owned(),
            path: path.to_owned(),
            ..Self::default()
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: &str) -> Self {
        self.body = body.as_bytes().to_vec();
        self
    }

    /// A header of a received request.
    pub fn get(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Sends the request on a new connection and reads the whole response.
    ///
    /// # Errors
    /// The connection failed, or the response is incomplete.
    pub fn send(&self, to: SocketAddr, timeout: Duration) -> io::Result<Answer> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1).min(timeout))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!(
            "connection: close\r\ncontent-length: {}\r\n\r\n",
            self.body.len()
        ));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        (&stream).write_all(&bytes)?;
        let mut reader = BufReader::new(stream);
        let (first, headers) = read_head(&mut reader)?.ok_or_else(|| broken("no response"))?;
        let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
        let body = read_body(&mut reader, &headers, true)?;
        Ok(Answer {
            status: status.ok_or_else(|| broken("no status"))?,
            headers,
            body,
        })
    }
}

impl Answer {
    /// A response.
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// A header of a received response.
    pub fn get(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

fn broken(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, reason)
}

/// Reads a first line and headers; `None` if the peer has closed the connection.
fn read_head(
    reader: &mut BufReader<TcpStream>,
) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(broken("the head is incomplete"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_body(
    reader: &mut BufReader<TcpStream>,
    headers: &[(String, String)],
    until_closed: bool,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if find(headers, "transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| broken("a bad chunk"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    match find(headers, "content-length").and_then(|text| text.parse().ok()) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        None if until_closed => {
            reader.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}

/// Serves requests on a listener until the process ends, with a thread for each connection. Connections are kept
/// unless the answer says `connection: close`.
pub fn serve(listener: TcpListener, answer: impl Fn(Call) -> Answer + Send + Sync + 'static) {
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let answer = Arc::clone(&answer);
            thread::spawn(move || {
                // The peer may close the connection at any time.
                let _ = serve_connection(stream, &*answer);
            });
        }
    });
}

fn serve_connection(stream: TcpStream, answer: &dyn Fn(Call) -> Answer) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some((first, headers)) = read_head(&mut reader)? {
        let body = read_body(&mut reader, &headers, false)?;
        let mut words = first.split(' ');
        let call = Call {
            method: words.next().unwrap_or_default().to_owned(),
            path: words.next().unwrap_or_default().to_owned(),
            headers,
            body,
        };
        let reply = answer(call);
        let mut head = format!("HTTP/1.1 {} -\r\n", reply.status);
        for (name, value) in &reply.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("content-length: {}\r\n\r\n", reply.body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&reply.body);
        writer.write_all(&bytes)?;
        if reply
            .get("connection")
            .is_some_and(|value| value == "close")
        {
            return Ok(());
        }
    }
    Ok(())
}
