//! A small deployment as the deploy file has it: three machines with a front and a hub, three stores, one in each
//! zone.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{Answer, Call, Replica, pause, record, report, serve};

/// The host of all routes.
pub const HOST: &str = "one.example";
/// The key of the only tenant.
pub const KEY: &str = "key-of-tenant-one";
/// Ports of a deployment: front, ready, control, then the range between machines.
const PORTS: u16 = 12;

/// What the platform's list answers.
pub type ListBody = Arc<Mutex<Vec<u8>>>;

/// A process of the project.
#[derive(Debug)]
pub struct Process {
    /// The role and the number of its machine.
    pub name: String,
    child: Child,
}

/// The deployment.
#[derive(Debug)]
pub struct Fleet {
    /// The processes.
    pub processes: Vec<Process>,
    /// The body of the platform's list.
    pub list: ListBody,
    /// The second byte of the addresses.
    pub net: u8,
    port: u16,
    folder: PathBuf,
}

/// The path of a program of the deploy file's build.
pub fn program(role: &str) -> PathBuf {
    PathBuf::from(format!("target/release/clem-platform-{role}"))
}

impl Fleet {
    /// Starts three fronts and hubs, and three stores. Must run in the root of the repository.
    pub fn start(list: Vec<u8>) -> Self {
        let pid = std::process::id();
        let net = 64 + (pid % 60) as u8;
        let port = free_ports(net);
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let folder = std::env::temp_dir().join(format!("review-{pid}-{}", since.as_millis()));
        let list: ListBody = Arc::new(Mutex::new(list));
        let cloud = TcpListener::bind((Ipv4Addr::new(127, net, 9, 1), 0)).expect("a free port");
        let cloud_address = cloud.local_addr().expect("a bound port");
        let served = Arc::clone(&list);
        serve(cloud, move |_| {
            let body = served.lock().expect("not poisoned").clone();
            Answer::new(200, body).header("content-type", "application/json")
        });
        let mut fleet = Self {
            processes: Vec::new(),
            list,
            net,
            port,
            folder,
        };
        for place in 1..=3 {
            fleet.launch("hub", place, cloud_address);
            fleet.launch("batch", place, cloud_address);
            fleet.launch("front", place, cloud_address);
        }
        fleet
    }

    fn launch(&mut self, role: &str, place: u8, cloud: SocketAddr) {
        let group = if role == "batch" { 2 } else { 1 };
        let class = if role == "batch" { "store" } else { "front" };
        let ip = Ipv4Addr::new(127, self.net, group, place);
        let name = format!("{role}-{place}");
        let folder = self.folder.join(&name);
        fs::create_dir_all(&folder).expect("a folder");
        let settings = folder.join("settings.conf");
        let port = self.port;
        let seed = |place: u8| format!("127.{}.1.{place}:{}", self.net, port + 2);
        let mut lines = vec![
            format!("node={class}-{place}"),
            format!("role={role}"),
            format!("machine_class={class}"),
            format!("ip={ip}"),
            format!("zone=zone-{place}"),
            "region=here".to_owned(),
            format!("listen.front={ip}:{port}"),
            format!("listen.ready={ip}:{}", port + 1),
            format!("listen.control={ip}:{}", port + 2),
            format!("port_range={},{}", port + 3, port + PORTS - 1),
            format!("seeds={},{},{}", seed(1), seed(2), seed(3)),
            "bootstrap=true".to_owned(),
            "in_tolerance=true".to_owned(),
            "limits.memory_mb=260".to_owned(),
            "limits.max_fds=4100".to_owned(),
            "fault_tolerance.machines=1".to_owned(),
            "fault_tolerance.zones=0".to_owned(),
            "bounds.contact_ms=3000".to_owned(),
            "bounds.drain_ms=3000".to_owned(),
            "bounds.grace_s=8".to_owned(),
            "bounds.config_ms=2000".to_owned(),
            "bounds.quota_slack=20".to_owned(),
            "bounds.finish_s=18".to_owned(),
            "config_mode=highest".to_owned(),
            format!("cloud.address={cloud}"),
            "cloud.rate_per_s=42.0".to_owned(),
            "cloud.lag_ms=800".to_owned(),
        ];
        if role != "front" {
            let disk = if role == "hub" { 64 } else { 420 };
            lines.push(format!("limits.disk_mb={disk}"));
            lines.push(format!("data_dir={}", folder.join("data").display()));
        }
        fs::write(&settings, lines.join("\n")).expect("a settings file");
        let output = File::create(folder.join("output")).expect("a file");
        let child = Command::new(program(role))
            .env("CLEMENTINEPATH_SETTINGS", &settings)
            .env("CLEM_FLEET_SECRET", "clementinepath-fleet-1")
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("a file"))
            .stderr(output)
            .spawn();
        match child {
            Ok(child) => {
                record(&format!("process {name} started, id {}", child.id()));
                self.processes.push(Process { name, child });
            }
            Err(error) => {
                report(&format!("not run: {}: {error}", program(role).display()));
                self.end();
                std::process::exit(crate::NOT_RUN);
            }
        }
    }

    /// Address of a front for clients.
    pub fn front(&self, place: u8) -> SocketAddr {
        SocketAddr::new(Ipv4Addr::new(127, self.net, 1, place).into(), self.port)
    }

    /// Address of a front's readiness check.
    pub fn ready(&self, place: u8) -> SocketAddr {
        SocketAddr::new(Ipv4Addr::new(127, self.net, 1, place).into(), self.port + 1)
    }

    /// Address of a hub for the operator.
    pub fn control(&self, place: u8) -> SocketAddr {
        SocketAddr::new(Ipv4Addr::new(127, self.net, 1, place).into(), self.port + 2)
    }

    /// Sends a config to the hubs, one after the other, until one acknowledges it.
    pub fn put_config(&self, config: &str) -> bool {
        for place in [1, 2, 3] {
            let call = Call::new("POST", "/Config.Put")
                .header("content-type", "application/json")
                .body(config);
            if let Ok(answer) = call.send(self.control(place), Duration::from_millis(1000)) {
                if answer.status == 200 {
                    record(&format!(
                        "operator: config acknowledged by hub {place}: {config}"
                    ));
                    return true;
                }
            }
        }
        false
    }

    /// Replaces what the platform's list answers.
    pub fn set_list(&self, body: Vec<u8>) {
        record(&format!(
            "platform: the list is now {}",
            String::from_utf8_lossy(&body).escape_debug()
        ));
        *self.list.lock().expect("not poisoned") = body;
    }

    /// The processes that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for process in &mut self.processes {
            if process
                .child
                .try_wait()
                .is_ok_and(|status| status.is_some())
            {
                ended.push(process.name.clone());
            }
        }
        ended
    }

    /// The lines of a process's log that contain a text.
    pub fn logged(&self, name: &str, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.folder.join(name).join("output")).unwrap_or_default();
        log.lines()
            .filter(|line| line.contains(text))
            .map(str::to_owned)
            .collect()
    }

    /// Ends all processes and removes their files.
    pub fn end(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        record("all processes ended");
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.end();
    }
}

/// Finds ports that are free at the addresses of a deployment.
fn free_ports(net: u8) -> u16 {
    let mut port = 21_000 + (std::process::id() % 700) as u16 * 12;
    loop {
        let free = (port..port + PORTS).all(|port| {
            [1, 2].iter().all(|group| {
                (1..=3).all(|place| {
                    TcpListener::bind((Ipv4Addr::new(127, net, *group, place), port)).is_ok()
                })
            })
        });
        if free {
            return port;
        }
        pause(1);
        port = if port > 30_000 { 21_000 } else { port + PORTS };
    }
}

/// A server's entry in the platform's list.
pub fn entry(replica: &Replica, state: &str) -> String {
    format!(
        r#"{{"id":"{}","service":"{}","address":"{}","zone":"zone-1","version":"v1","slots":{},"state":"{state}","cold_left_ms":0,"born":1790000000000}}"#,
        replica.id, replica.service, replica.address, replica.slots
    )
}

/// The platform's list with these entries.
pub fn list_document(entries: &[Vec<u8>]) -> Vec<u8> {
    let mut body = br#"{"instances":["#.to_vec();
    for (at, entry) in entries.iter().enumerate() {
        if at > 0 {
            body.push(b',');
        }
        body.extend_from_slice(entry);
    }
    body.extend_from_slice(br#"],"next_token":null}"#);
    body
}
