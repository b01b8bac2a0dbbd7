//! Runs the entry as a child process.

use std::{
    io::{BufRead, BufReader, Write},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, mpsc},
};

use super::{Caller, Control, SECRET};

pub struct EntryProcess {
    child: Child,
    pub address: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
    _secret: tempfile::NamedTempFile,
}

impl EntryProcess {
    /// Starts an entry and waits until it has bound its port.
    pub async fn start(control: &Control) -> Self {
        let mut secret = tempfile::NamedTempFile::new().expect("a file");
        secret.write_all(SECRET.as_bytes()).expect("a secret");
        let mut child = Command::new(env!("CARGO_BIN_EXE_clem-entry"))
            .args(["--listen", "127.0.0.1:0", "--data-centre", "tamaki-a"])
            .args(["--control", &control.address.to_string()])
            .args(["--max-body", "100000", "--turn-away-ms", "300"])
            .arg("--fleet-secret-file")
            .arg(secret.path())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the entry starts");
        let stderr = child.stderr.take().expect("a pipe");
        let log = Arc::new(Mutex::new(Vec::new()));
        let lines = log.clone();
        let (sender, receiver) = mpsc::channel();
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                if line.contains("entry started") {
                    let json: serde_json::Value = serde_json::from_str(&line).unwrap_or_default();
                    let listen = json["attributes"]["listen"].as_str().map(str::to_owned);
                    let _ = sender.send(listen);
                }
                lines.lock().expect("the log").push(line);
            }
        });
        let listen = tokio::task::spawn_blocking(move || receiver.recv());
        let listen = listen
            .await
            .expect("a thread")
            .expect("a line")
            .expect("an address");
        let address = listen.parse().expect("an address");
        Self {
            child,
            address,
            log,
            _secret: secret,
        }
    }

    /// Starts an entry and waits until `/readyz` answers 200.
    pub async fn ready(control: &Control) -> Self {
        let entry = Self::start(control).await;
        let caller = entry.caller();
        super::eventually("readiness", || async {
            caller.send("GET", "/readyz", &[], "").await.status == 200
        })
        .await;
        entry
    }

    pub fn caller(&self) -> Caller {
        Caller::new(format!("http://{}", self.address))
    }

    pub fn log(&self) -> String {
        self.log.lock().expect("the log").join("\n")
    }

    /// Peak resident memory of the process, in kilobytes.
    pub fn peak_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process is there");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        number
            .and_then(|number| number.parse().ok())
            .expect("a size")
    }

    pub fn signal(&self, signal: nix::sys::signal::Signal) {
        let pid = nix::unistd::Pid::from_raw(self.child.id() as i32);
        nix::sys::signal::kill(pid, signal).expect("the process is there");
    }

    pub async fn exit_code(mut self) -> Option<i32> {
        let wait = tokio::task::spawn_blocking(move || {
            let code = self.child.wait().ok().and_then(|status| status.code());
            (self, code)
        });
        wait.await.expect("a thread").1
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
