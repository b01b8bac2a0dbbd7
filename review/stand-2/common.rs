//! Stand-ins and a process harness for the cases of the second review.
//!
//! Starts the project's own programs as processes on loopback addresses, with settings like those of a small
//! deployment, beside a target list, replicas and clients that speak the platform's HTTP/1.1 protocol.
#![allow(dead_code)]

use std::{
    collections::HashMap,
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    os::{fd::AsRawFd, unix::process::CommandExt},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const HOST: &str = "one.example";
pub const TENANT: &str = "huka270";
pub const KEY: &str = "2b9wu3fexd9dnn2ctnfz";
pub const MODEL_SERVICE: &str = "models";
pub const PLAIN_SERVICE: &str = "register";

/// Result of a case: the rule held, was broken, or the case could not run.
pub enum Verdict {
    Held,
    Broken,
}

pub type Outcome = Result<Verdict, String>;

/// Whether the case brings its disruption about.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Runs a case and exits with its status.
pub fn run_case(case: impl FnOnce(&Arc<Record>) -> Outcome) -> ! {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let record = Arc::new(Record::create(Path::new(&folder)));
    record.note(&format!("trouble: {}", with_trouble()));
    let outcome = case(&record);
    let code = match outcome {
        Ok(Verdict::Held) => {
            record.note("RESULT: the rule held");
            0
        }
        Ok(Verdict::Broken) => {
            record.note("RESULT: the rule was broken");
            1
        }
        Err(reason) => {
            record.note(&format!("RESULT: the case could not run: {reason}"));
            2
        }
    };
    std::process::exit(code);
}

/// What was sent, answered and run, with times.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Self { file: Mutex::new(file), start: Instant::now() }
    }

    pub fn note(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = lock(&self.file);
        let _ = writeln!(file, "{at:8.3} s  {text}");
        println!("{at:8.3} s  {text}");
    }

    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

// ----------------------------------------------------------------------------
// HTTP/1.1.

#[derive(Debug, Clone, Default)]
pub struct Head {
    /// The request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn length(&self) -> Option<usize> {
        self.get("content-length")?.parse().ok()
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|v| v.to_ascii_lowercase().contains("chunked"))
    }
}

pub fn read_head(reader: &mut impl BufRead) -> io::Result<Head> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if line.is_empty() {
            if head.first.is_empty() {
                continue;
            }
            return Ok(head);
        }
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body to its end; fails if it is cut off.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.is_chunked() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = line.trim().split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let start = body.len();
            body.resize(start + size, 0);
            reader.read_exact(&mut body[start..])?;
            let mut end = String::new();
            reader.read_line(&mut end)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    match head.length() {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        None if head.first.starts_with("HTTP/") => {
            reader.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}

/// A response that was read in full.
#[derive(Debug, Clone)]
pub struct Response {
    pub head: Head,
    pub body: Vec<u8>,
}

impl Response {
    pub fn status(&self) -> u16 {
        self.head.status()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request on a new connection and reads the response.
pub fn call(to: SocketAddr, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8], timeout: Duration) -> io::Result<Response> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1).min(timeout))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    (&stream).write_all(&request(method, path, headers, body))?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let body = read_body(&mut reader, &head)?;
    Ok(Response { head, body })
}

/// The bytes of a request.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        text.push_str(&format!("Host: {HOST}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" && method != "DELETE" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// The bytes of a response with a length.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// The bearer header of the tenant's key.
pub fn bearer() -> String {
    format!("Bearer {KEY}")
}

pub fn new_id() -> String {
    use std::sync::atomic::AtomicU64;
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    format!("{:016x}", nanos.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ (n << 48) ^ n)
}

// ----------------------------------------------------------------------------
// Sockets of clients on a slow network: a small receive buffer and the segment size of Ethernet.

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    fn connect(fd: i32, address: *const SockaddrIn, len: u32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

#[repr(C)]
struct SockaddrIn {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

/// Connects as a client behind an ordinary network, with a receive buffer of `receive` bytes.
pub fn connect_remote(to: SocketAddr, receive: i32) -> io::Result<TcpStream> {
    use std::os::fd::FromRawFd;
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    const SEGMENT: i32 = 1400;
    let SocketAddr::V4(to) = to else { return Err(io::ErrorKind::Unsupported.into()) };
    // SAFETY: plain system calls with valid pointers; the descriptor is owned by the stream.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive, 4);
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &SEGMENT, 4);
        let address = SockaddrIn {
            family: AF_INET as u16,
            port: to.port().to_be(),
            address: u32::from_ne_bytes(to.ip().octets()),
            zero: [0; 8],
        };
        if connect(stream.as_raw_fd(), &address, 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

// ----------------------------------------------------------------------------
// Replicas and their list.

/// What a replica does with a request whose head was read; returns whether the connection goes on.
pub type Serve = dyn Fn(&Replica, &Head, &mut BufReader<TcpStream>, &mut TcpStream) -> io::Result<bool> + Send + Sync;

pub struct Replica {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub slots: usize,
    /// Requests that it works on now, by id.
    pub running: Mutex<HashMap<String, Instant>>,
    /// Requests that it has begun, with their times.
    pub begun: Mutex<Vec<(Instant, String)>>,
}

impl Replica {
    pub fn begin(&self, id: &str) -> bool {
        let mut running = lock(&self.running);
        if running.len() >= self.slots {
            return false;
        }
        running.insert(id.to_owned(), Instant::now());
        lock(&self.begun).push((Instant::now(), id.to_owned()));
        true
    }

    pub fn end(&self, id: &str) {
        lock(&self.running).remove(id);
    }

    pub fn load(&self) -> usize {
        lock(&self.running).len()
    }
}

fn serve_connection(replica: &Arc<Replica>, stream: TcpStream, serve: &Arc<Serve>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let head = read_head(&mut reader)?;
        if head.path() == "/health" {
            writer.write_all(&response("200 OK", &[("X-Instance-Id", &replica.id)], b""))?;
            continue;
        }
        let id = head.get("x-request-id").unwrap_or_default().to_owned();
        if head.get("x-expect-instance").is_some_and(|expected| expected != replica.id) {
            read_body(&mut reader, &head)?;
            let answer = response("421 Misdirected Request", &[("X-Request-Id", &id), ("X-Not-Run", "1")], b"");
            writer.write_all(&answer)?;
            continue;
        }
        if !serve(replica, &head, &mut reader, &mut writer)? {
            return Ok(());
        }
    }
}

// ----------------------------------------------------------------------------
// The deployment.

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Hub,
    Front,
    Batch,
}

pub struct Process {
    pub role: Role,
    pub name: String,
    folder: PathBuf,
    pub child: Child,
}

impl Process {
    /// Anonymous memory in use, in bytes; `None` if the process has ended.
    pub fn memory(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
        let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb * 1024)
    }
}

pub struct Limits {
    pub front_mb: u64,
    pub hub_mb: u64,
    pub store_mb: u64,
}

impl Limits {
    /// Memory of the machines on the sheet of `botez-cluj`.
    pub const BOTEZ: Self = Self { front_mb: 110, hub_mb: 110, store_mb: 130 };
    /// Memory of the machines on the sheet of `andinos-puzzle-grown`.
    pub const ANDINOS: Self = Self { front_mb: 160, hub_mb: 160, store_mb: 280 };
}

pub struct Deployment {
    pub record: Arc<Record>,
    pub processes: Vec<Process>,
    pub fronts: usize,
    folder: PathBuf,
    octet: u8,
    port: u16,
    list: SocketAddr,
    replicas: Arc<Mutex<Vec<Arc<Replica>>>>,
    limits: Limits,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("kept: {}", self.folder.display());
        }
    }
}

impl Deployment {
    /// Starts three hubs, three batch keepers and `fronts` fronts.
    pub fn start(record: &Arc<Record>, fronts: usize, limits: Limits) -> Result<Self, String> {
        let text = |error: io::Error| error.to_string();
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("clem-review-2-{pid}"));
        fs::create_dir_all(&folder).map_err(text)?;
        let octet = 90 + (pid % 100) as u8;
        let port = free_ports(octet).ok_or("no free ports")?;
        let listener = TcpListener::bind((Ipv4Addr::new(127, octet, 9, 1), 0)).map_err(text)?;
        let list = listener.local_addr().map_err(text)?;
        let replicas: Arc<Mutex<Vec<Arc<Replica>>>> = Arc::default();
        let listed = Arc::clone(&replicas);
        thread::spawn(move || serve_list(&listener, &listed));
        let mut deployment = Self {
            record: Arc::clone(record),
            processes: Vec::new(),
            fronts,
            folder,
            octet,
            port,
            list,
            replicas,
            limits,
        };
        for n in 1..=3 {
            deployment.spawn(Role::Hub, n)?;
            deployment.spawn(Role::Batch, n)?;
        }
        for n in 1..=fronts {
            deployment.spawn(Role::Front, n as u8)?;
        }
        Ok(deployment)
    }

    fn ip(&self, role: Role, n: u8) -> Ipv4Addr {
        // Hubs stand on the machines of the first fronts.
        let group = if role == Role::Batch { 2 } else { 1 };
        Ipv4Addr::new(127, self.octet, group, n)
    }

    pub fn front(&self, n: usize) -> SocketAddr {
        SocketAddrV4::new(self.ip(Role::Front, n as u8), self.port).into()
    }

    pub fn ready(&self, n: usize) -> SocketAddr {
        SocketAddrV4::new(self.ip(Role::Front, n as u8), self.port + 1).into()
    }

    pub fn control(&self, n: usize) -> SocketAddr {
        SocketAddrV4::new(self.ip(Role::Hub, n as u8), self.port + 2).into()
    }

    fn spawn(&mut self, role: Role, n: u8) -> Result<(), String> {
        let name = format!("{role:?}-{n}").to_lowercase();
        let folder = self.folder.join(&name);
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let ip = self.ip(role, n);
        let (port, zone) = (self.port, format!("zone-{}", (n - 1) % 3 + 1));
        let memory = match role {
            Role::Hub => self.limits.hub_mb,
            Role::Front => self.limits.front_mb,
            Role::Batch => self.limits.store_mb,
        };
        let seeds: Vec<String> = (1..=3).map(|n| self.control(n).to_string()).collect();
        let mut text = format!(
            "node={name}\nip={ip}\nzone={zone}\nregion=one\nzones.zone-1=one\nzones.zone-2=one\nzones.zone-3=one\n\
             listen.front={ip}:{port}\nlisten.ready={ip}:{}\nlisten.control={ip}:{}\nport_range={},{}\n\
             seeds={}\nbootstrap=true\nin_tolerance=true\nlimits.memory_mb={memory}\nlimits.max_fds=4100\n\
             fault_tolerance.machines=1\nfault_tolerance.zones=0\nfault_tolerance.regions=0\n\
             bounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.drain_ms=3000\nbounds.grace_s=8\nbounds.config_ms=2000\n\
             bounds.quota_window_s=5\nbounds.quota_overage=0.1\nbounds.quota_slack=20\nbounds.recovery_s=12\n\
             bounds.finish_s=18\nbounds.status_s=120\nbounds.cancel_ms=3000\nbounds.settle_ms=1000\n\
             cloud.address={}\ncloud.rate_per_s=40.0\ncloud.lag_ms=800\n",
            port + 1, port + 2, port + 3, port + 12, seeds.join(","), self.list,
        );
        if role != Role::Front {
            let disk = if role == Role::Batch { 480 } else { 64 };
            text.push_str(&format!("limits.disk_mb={disk}\ndata_dir={}\n", folder.join("data").display()));
        }
        fs::write(folder.join("settings.conf"), text).map_err(|error| error.to_string())?;
        let child = launch(role, &folder)?;
        self.processes.push(Process { role, name, folder, child });
        Ok(())
    }

    /// Kills a process, if it still runs, and starts it again with its data.
    pub fn restart(&mut self, place: usize) -> Result<(), String> {
        let process = &mut self.processes[place];
        let _ = process.child.kill();
        let _ = process.child.wait();
        process.child = launch(process.role, &process.folder)?;
        Ok(())
    }

    /// The memory limit of a process by its settings.
    pub fn limit_bytes(&self, place: usize) -> u64 {
        let limit = match self.processes[place].role {
            Role::Hub => self.limits.hub_mb,
            Role::Front => self.limits.front_mb,
            Role::Batch => self.limits.store_mb,
        };
        limit * 1024 * 1024
    }

    pub fn place(&self, role: Role, n: usize) -> usize {
        let mut places = (0..self.processes.len()).filter(|place| self.processes[*place].role == role);
        places.nth(n - 1).expect("a process")
    }

    /// Adds a replica and lists it.
    pub fn add_replica(&self, n: u8, service: &'static str, slots: usize, serve: Arc<Serve>) -> Result<Arc<Replica>, String> {
        let listener = TcpListener::bind((Ipv4Addr::new(127, self.octet, 8, n), 0)).map_err(|error| error.to_string())?;
        let replica = Arc::new(Replica {
            id: format!("i-{service}-{n}"),
            service,
            address: listener.local_addr().map_err(|error| error.to_string())?,
            slots,
            running: Mutex::default(),
            begun: Mutex::default(),
        });
        lock(&self.replicas).push(Arc::clone(&replica));
        let shared = Arc::clone(&replica);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (replica, serve) = (Arc::clone(&shared), Arc::clone(&serve));
                thread::spawn(move || {
                    let _ = serve_connection(&replica, stream, &serve);
                });
            }
        });
        Ok(replica)
    }

    /// Puts a config and waits until all fronts are ready.
    pub fn configure(&self, config: &str) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(20);
        let mut at = 0;
        loop {
            let to = self.control(at % 3 + 1);
            at += 1;
            let put = call(to, "POST", "/Config.Put", &[("Content-Type", "application/json")], config.as_bytes(), Duration::from_secs(1));
            match put {
                Ok(answer) if answer.status() == 200 => break,
                Ok(answer) if answer.status() < 500 => return Err(format!("config refused: {}", answer.text())),
                Ok(_) | Err(_) if Instant::now() > end => return Err("no ack of the config".to_owned()),
                Ok(_) | Err(_) => thread::sleep(Duration::from_millis(200)),
            }
        }
        self.record.note("config acknowledged");
        self.wait_ready(Duration::from_secs(20))
    }

    pub fn wait_ready(&self, limit: Duration) -> Result<(), String> {
        let end = Instant::now() + limit;
        for n in 1..=self.fronts {
            loop {
                let ready = call(self.ready(n), "GET", "/ready", &[], b"", Duration::from_secs(1));
                if ready.is_ok_and(|answer| answer.status() == 200) {
                    break;
                }
                if Instant::now() > end {
                    return Err(format!("front {n} is not ready"));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }

    /// Submits a batch until it is accepted; returns the statuses.
    pub fn submit(&self, front: usize, path: &str, id: &str, body: &[u8], limit: Duration) -> Result<Vec<u16>, String> {
        let end = Instant::now() + limit;
        let mut statuses = Vec::new();
        loop {
            let key = bearer();
            let headers = [("Authorization", key.as_str()), ("X-Request-Id", id), ("Content-Type", "application/json"), ("X-Deadline-Ms", "4000")];
            let status = call(self.front(front), "POST", path, &headers, body, Duration::from_secs(6)).map_or(0, |a| a.status());
            statuses.push(status);
            if status == 202 {
                return Ok(statuses);
            }
            if Instant::now() > end {
                return Err(format!("batch not accepted: {statuses:?}"));
            }
            thread::sleep(Duration::from_millis(400));
        }
    }

    /// Reads a page of results.
    pub fn results(&self, front: usize, id: &str, after: usize) -> io::Result<Response> {
        let key = bearer();
        let path = format!("/lots/{id}?after={after}");
        call(self.front(front), "GET", &path, &[("Authorization", key.as_str())], b"", Duration::from_secs(4))
    }
}

fn launch(role: Role, folder: &Path) -> Result<Child, String> {
    let program = format!("target/release/clem-platform-{}", format!("{role:?}").to_lowercase());
    let root = std::env::current_dir().map_err(|error| error.to_string())?;
    let output = File::options().create(true).append(true).open(folder.join("output")).map_err(|error| error.to_string())?;
    let errors = output.try_clone().map_err(|error| error.to_string())?;
    let mut command = Command::new(root.join(&program));
    command
        .env_clear()
        .env("CLEMENTINEPATH_SETTINGS", folder.join("settings.conf"))
        // As in deploy/system.toml.
        .env("CLEM_FLEET_SECRET", "clementinepath-fleet-1")
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(errors);
    for name in ["PATH", "HOME", "LANG"] {
        if let Some(value) = std::env::var_os(name) {
            command.env(name, value);
        }
    }
    // SAFETY: one system call between fork and exec; the process ends with its starter, whatever ends that.
    unsafe {
        command.pre_exec(|| {
            const PR_SET_PDEATHSIG: i32 = 1;
            const SIGKILL: u64 = 9;
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
    command.spawn().map_err(|error| format!("{program}: {error}"))
}

/// The first of 13 ports that are free on the deployment's addresses.
fn free_ports(octet: u8) -> Option<u16> {
    let seed = std::process::id() as u16;
    for attempt in 0..200_u16 {
        let first = 20_000 + (seed.wrapping_mul(31).wrapping_add(attempt * 37)) % 10_000;
        let is_free = |port: u16| TcpListener::bind((Ipv4Addr::new(127, octet, 1, 1), port)).is_ok();
        if (first..first + 13).all(is_free) {
            return Some(first);
        }
    }
    None
}

fn serve_list(listener: &TcpListener, replicas: &Mutex<Vec<Arc<Replica>>>) {
    for stream in listener.incoming().flatten() {
        let entries: Vec<String> = lock(replicas)
            .iter()
            .enumerate()
            .map(|(n, replica)| {
                format!(
                    "{{\"id\":\"{}\",\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"ready\",\"cold_left_ms\":0}}",
                    replica.id, replica.service, replica.address, n % 3 + 1, replica.slots
                )
            })
            .collect();
        let body = format!("{{\"instances\":[{}],\"next_token\":null}}", entries.join(","));
        thread::spawn(move || -> io::Result<()> {
            let mut writer = stream.try_clone()?;
            read_head(&mut BufReader::new(stream))?;
            writer.write_all(&response("200 OK", &[("Content-Type", "application/json"), ("Connection", "close")], body.as_bytes()))
        });
    }
}

/// A config with a chat route, a batch route and a route of safe requests.
pub fn config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"chat\",\"host\":\"{HOST}\",\"path_prefix\":\"/chat/\",\"kind\":\"streaming\",\"timeout_ms\":5000,\"slo_ms\":300,\"priority\":0,\"service\":\"{MODEL_SERVICE}\",\"max_attempts\":1,\"public\":false,\"sticky\":true,\"resumable\":false,\"gap_target_ms\":300}},\
         {{\"name\":\"letters\",\"host\":\"{HOST}\",\"path_prefix\":\"/letters/\",\"kind\":\"batch\",\"timeout_ms\":15000,\"slo_ms\":400,\"priority\":2,\"service\":\"{MODEL_SERVICE}\",\"max_attempts\":3,\"public\":false,\"sticky\":true,\"resumable\":true,\"completion_target_ms\":18000,\"retention_s\":60,\"cap\":0}},\
         {{\"name\":\"lookup\",\"host\":\"{HOST}\",\"path_prefix\":\"/lookup/\",\"kind\":\"safe\",\"timeout_ms\":4000,\"slo_ms\":300,\"priority\":2,\"service\":\"{PLAIN_SERVICE}\",\"max_attempts\":2,\"public\":false,\"sticky\":false}}],\
         \"services\":[{{\"name\":\"{MODEL_SERVICE}\",\"health_path\":\"/health\",\"max_conns\":250,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":8,\"kv_capacity\":72000}}}},\
         {{\"name\":\"{PLAIN_SERVICE}\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"{TENANT}\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\"rate_per_s\":0,\"burst\":0}}]}}"
    )
}

/// The standard alphabet, with padding.
pub fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let word = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for at in 0..4 {
            if at <= chunk.len() {
                text.push(ALPHABET[(word >> (18 - 6 * at) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// A submission of `count` items with bodies of `bytes` bytes.
pub fn submission(count: usize, bytes: usize) -> (Vec<String>, Vec<u8>) {
    let ids: Vec<String> = (0..count).map(|_| new_id()).collect();
    let body = base64(&vec![b'x'; bytes]);
    let items: Vec<String> = ids
        .iter()
        .map(|id| {
            format!(
                "{{\"id\":\"{id}\",\"path\":\"/letters/{id}\",\"headers\":{{\"X-Model\":\"m\",\"X-Token-Count\":\"100,200\",\"X-Prompt-Prefix\":\"{}:100\"}},\"body\":\"{body}\",\"tokens\":300}}",
                &id[..8]
            )
        })
        .collect();
    (ids, format!("{{\"items\":[{}]}}", items.join(",")).into_bytes())
}

// ----------------------------------------------------------------------------
// The memory limit of the platform.

/// How long after its end a process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Name, number of ends and peak memory in bytes of each process.
pub type Ends = Vec<(String, usize, u64)>;

/// Does what the platform does with processes: one that uses more than its memory limit is killed, and started
/// again after a short delay.
pub struct MemoryWatch {
    stop: Arc<AtomicBool>,
    ends: Arc<Mutex<Ends>>,
    thread: thread::JoinHandle<()>,
}

impl MemoryWatch {
    pub fn start(mut deployment: Deployment) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let ends = deployment.processes.iter().map(|process| (process.name.clone(), 0, 0)).collect();
        let ends: Arc<Mutex<Ends>> = Arc::new(Mutex::new(ends));
        let (stopped, shared) = (Arc::clone(&stop), Arc::clone(&ends));
        let thread = thread::spawn(move || {
            let mut again: Vec<(Instant, usize)> = Vec::new();
            while !stopped.load(Ordering::Relaxed) {
                for place in 0..deployment.processes.len() {
                    let memory = deployment.processes[place].memory().unwrap_or(0);
                    let is_over = memory > deployment.limit_bytes(place);
                    let (name, count, peak) = &mut lock(&shared)[place];
                    *peak = memory.max(*peak);
                    if !is_over {
                        continue;
                    }
                    *count += 1;
                    deployment.record.note(&format!("{name} uses {} MB, more than its limit, and is killed", memory >> 20));
                    let _ = deployment.processes[place].child.kill();
                    let _ = deployment.processes[place].child.wait();
                    again.push((Instant::now() + RESTART_DELAY, place));
                }
                let now = Instant::now();
                for (_, place) in again.extract_if(.., |(at, _)| *at <= now) {
                    if let Err(error) = deployment.restart(place) {
                        deployment.record.note(&error);
                    }
                }
                thread::sleep(Duration::from_millis(5));
            }
        });
        Self { stop, ends, thread }
    }

    /// How often a process has ended.
    pub fn count(&self, name: &str) -> usize {
        lock(&self.ends).iter().filter(|(n, _, _)| n == name).map(|(_, count, _)| *count).sum()
    }

    /// Ends all processes and judges: "if on a tenth of the machines in use (two at least) [...] processes end by
    /// themselves three times in the day with no disturbance there (memory over the limit counts)".
    pub fn judge(self, record: &Record) -> Outcome {
        const ENDS: usize = 3;
        const MACHINES: usize = 2;
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().map_err(|_| "the watch failed")?;
        let ends = lock(&self.ends);
        for (name, count, peak) in ends.iter() {
            record.note(&format!("{name}: {count} ends for memory, {} MB at most", peak >> 20));
        }
        let machines = ends.iter().filter(|(_, count, _)| *count >= ENDS).count();
        record.note(&format!("{machines} machines on which processes ended {ENDS} times or more"));
        // A hub stands on the machine of a front; only one of both has ended in these cases.
        Ok(if machines >= MACHINES { Verdict::Broken } else { Verdict::Held })
    }
}

/// Waits until a readiness check says 200.
pub fn wait_ready_at(ready: SocketAddr, limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if call(ready, "GET", "/ready", &[], b"", Duration::from_secs(1)).is_ok_and(|answer| answer.status() == 200) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}
