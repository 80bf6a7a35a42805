//! Starts the project's programs with the commands of the deploy file.

use crate::store::Store;
use std::io::{Error, Result, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{SystemTime, UNIX_EPOCH};

pub const SERVICE: &str = "app1";

/// Loopback addresses and a temporary folder of one play.
pub struct Place {
    net: u8,
    folder: PathBuf,
    /// Memory of an entry, as the settings files state it.
    memory_mb: u64,
}

impl Place {
    pub fn new(memory_mb: u64) -> Result<Self> {
        let seed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().subsec_nanos();
        for step in 0..100 {
            let net = 20 + ((seed / 1_000 + step * 37) % 200) as u8;
            let free = |last| TcpListener::bind((Ipv4Addr::new(127, net, 4, last), 8169)).is_ok();
            if free(1) && free(2) {
                let folder = std::env::temp_dir()
                    .join(format!("shallotflow-review-{}-{net}", std::process::id()));
                std::fs::create_dir_all(&folder)?;
                return Ok(Self { net, folder, memory_mb });
            }
        }
        Err(Error::other("no free loopback addresses"))
    }

    fn at(&self, group: u8, number: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.net, group, number)), port)
    }

    pub fn store(&self) -> SocketAddr {
        self.at(4, 1, 8169)
    }

    pub fn callers(&self, entry: u8) -> SocketAddr {
        self.at(1, entry, 8161)
    }

    pub fn readiness(&self, entry: u8) -> SocketAddr {
        self.at(1, entry, 8167)
    }

    pub fn control(&self, agent: u8) -> SocketAddr {
        self.at(2, agent, 8166)
    }

    pub fn app(&self, agent: u8) -> SocketAddr {
        self.at(3, agent, 8080)
    }

    fn settings(&self, name: &str, ip: IpAddr, zone: &str, listen: &str, more: &str) -> String {
        let memory_mb = self.memory_mb;
        let store = self.store();
        format!(
            "node_name: \"{name}\"\nrole: \"{name}\"\nip_address: \"{ip}\"\nzone: \"{zone}\"\n\
             region: \"r\"\nlisten_addresses:\n{listen}internal_port_range:\n  - 7720\n  - 7735\n\
             seeds: []\nbootstrap: true\nlimits:\n  cpu_share: 0.25\n  cpu_cores: 1\n  \
             memory_mb: {memory_mb}\n  file_descriptors: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\n\
             heartbeat_ms: 1500\nbounds:\n  contact_ms: 3000\n  acknowledge_ms: 4000\n  \
             drain_ms: 2000\n  grace_s: 6\n  config_apply_ms: 2000\n  max_hold_ms: 6000\n  \
             stop_ms: 900\n  gang_ms: 3000\n  cancel_ms: 3000\n  visible_ms: 3000\n  \
             early_ms: 250\n  status_s: 120\n  spread_factor: 1.5\n  checkpoint_s: 0.5\n  \
             restore_ms: 600\norders: \"call\"\nplatform:\n  address: \"{store}\"\n  \
             form: \"kv\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n  \
             value_bytes: 1048576\n  min_ttl_ms: 1000\n{more}"
        )
    }

    fn start(&self, program: &str, name: &str, settings: &str) -> Result<Program> {
        let file = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&file, settings)?;
        let log = std::fs::File::create(self.folder.join(format!("{name}.log")))?;
        let child = Command::new(Path::new("target/release").join(program))
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("SHALLOTFLOW_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        // For a script that is ended early.
        if let Some(path) = std::env::var_os("PIDS") {
            let mut pids = std::fs::OpenOptions::new().append(true).open(path)?;
            writeln!(pids, "{}", child.id())?;
        }
        Ok(Program { child })
    }

    pub fn entry(&self, number: u8, zone: &str) -> Result<Program> {
        let name = format!("frontend-{number}");
        let ip = self.callers(number).ip();
        let listen = format!(
            "  frontend: \"{}\"\n  readiness: \"{}\"\n",
            self.callers(number),
            self.readiness(number)
        );
        let settings = self.settings(&name, ip, zone, &listen, "");
        self.start("shallotflow-platform-entry", &name, &settings)
    }

    pub fn agent(&self, number: u8, zone: &str) -> Result<Program> {
        let name = format!("side-{number}");
        let ip = self.control(number).ip();
        let listen = format!("  control: \"{}\"\n", self.control(number));
        let more = format!("app: \"{}\"\nservice: \"{SERVICE}\"\n", self.app(number));
        let settings = self.settings(&name, ip, zone, &listen, &more);
        self.start("shallotflow-platform-agent", &name, &settings)
    }

    /// The logs of the programs, for a failed play.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A process that ends with this value.
pub struct Program {
    child: Child,
}

impl Program {
    /// The memory that the process uses, in megabytes.
    pub fn memory_mb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1_024 / 1_000_000
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The configuration with one queue, whose tasks may fail twice.
pub fn configure(store: &Store) {
    let configuration = format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"q1\",\"host\":\"one.example\",\
         \"prefix\":\"/jobs/\",\"service\":\"{SERVICE}\",\"priority\":0,\
         \"max_attempts\":2,\"stretch\":2.0,\"target_latency_ms\":1000}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"enforces_capacity\":true}}],\"limits\":{{}}}}"
    );
    store.write("op/config", &configuration);
}
