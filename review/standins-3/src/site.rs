//! A small deployment: the store, entries, agents and workers, each machine at a loopback address of its own.
use crate::fleet::{Bounds, Fleet, Step};
use crate::http::{call, Server};
use crate::json::Json;
use crate::store::Store;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
pub const KILL: i32 = 9;
pub const CONT: i32 = 18;

pub const HOST: &str = "desk.example";
pub const PREFIX: &str = "/desk/";
pub const SERVICE: &str = "svc";

/// A program of the system that runs.
pub struct Node {
    pub name: String,
    pub ip: Ipv4Addr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Site {
    pub store: Arc<Store>,
    pub fleet: Arc<Fleet>,
    pub entries: Vec<Node>,
    pub agents: Vec<Node>,
    folder: PathBuf,
    _servers: Vec<Server>,
    next_id: u64,
    base: u32,
}

pub struct Plan {
    pub entries: usize,
    pub workers: usize,
    pub cpu: i64,
    pub memory: i64,
    pub max_attempts: u32,
}

impl Node {
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("log");
        let child = Command::new(&self.program)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("SHALLOTFLOW_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("program");
        self.child = Some(child);
    }
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // The process was started here and is waited for here, so its number is its own.
            unsafe { kill(child.id() as i32, signal) };
        }
    }
    pub fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for node in self.entries.iter_mut().chain(&mut self.agents) {
            node.signal(CONT);
            node.end();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn address(ip: Ipv4Addr, port: u16) -> SocketAddr {
    SocketAddr::V4(SocketAddrV4::new(ip, port))
}

impl Site {
    /// Starts everything. `root` is the repository, `record` the file of the record.
    pub fn start(root: &Path, record: &Path, plan: &Plan) -> Result<Site, String> {
        let bounds = Bounds { max_hold_ms: 6_000, stop_ms: 900, gang_ms: 3_000 };
        let pid = std::process::id();
        // 127.A.B.x is this run's own network.
        let (a, b) = (16 + (pid / 250 % 200) as u8, 1 + (pid % 250) as u8);
        let folder = std::env::temp_dir().join(format!("review-3-{pid}"));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let fleet = Fleet::new(File::create(record).map_err(|error| error.to_string())?, SERVICE, bounds);
        let store = Arc::new(Store::new());
        let store_address = address(Ipv4Addr::new(127, a, b, 250), 8169);
        let served = store.clone();
        let server = Server::start(store_address, Arc::new(move |request| served.serve(request))).map_err(|error| error.to_string())?;
        let ticking = store.clone();
        thread::spawn(move || loop {
            ticking.tick();
            thread::sleep(Duration::from_millis(3));
        });
        let config = format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"r-desk\",\"host\":\"{HOST}\",\"prefix\":\"{PREFIX}\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":1000,\"priority\":0,\"service\":\"{SERVICE}\",\"max_attempts\":{},\"stretch\":2.0}}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"connection_limit\":64,\"protocol\":\"h1\",\"tls\":false,\"enforces_capacity\":true,\"spare\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
            plan.max_attempts
        );
        store.operate("op/config", &config);
        let zones = ["z-a", "z-b", "z-c"];
        let mut site = Site {
            store,
            fleet,
            entries: Vec::new(),
            agents: Vec::new(),
            folder: folder.clone(),
            _servers: vec![server],
            next_id: 0,
            base: pid,
        };
        let program = |name: &str| root.join("target/release").join(name);
        for number in 0..plan.entries {
            let ip = Ipv4Addr::new(127, a, b, 10 + number as u8);
            let extra = format!("listen_addresses:\n  frontend: \"{ip}:8161\"\n  readiness: \"{ip}:8167\"\n");
            let name = format!("frontend-{}", number + 1);
            let node = site.node(&name, ip, zones[number % 3], "frontend", &extra, store_address, program("shallotflow-platform-entry"), 260);
            site.entries.push(node);
        }
        for number in 0..plan.workers {
            let ip = Ipv4Addr::new(127, a, b, 100 + number as u8);
            let extra = format!("listen_addresses:\n  control: \"{ip}:8166\"\napp: \"{ip}:8165\"\nservice: \"{SERVICE}\"\n");
            let name = format!("side-{}", number + 1);
            let zone = zones[number % 3];
            let node = site.node(&name, ip, zone, "side", &extra, store_address, program("shallotflow-platform-agent"), 128);
            site.agents.push(node);
            let labels = vec!["a".to_owned(), format!("r{}-{}", number % 3, number / 3)];
            site.fleet.add(address(ip, 8165), address(ip, 8166), zone, labels, plan.cpu, plan.memory);
        }
        for node in site.entries.iter_mut().chain(&mut site.agents) {
            node.start();
        }
        for worker in 0..plan.workers {
            site.fleet.up(worker);
        }
        site.fleet.run();
        let until = Instant::now() + Duration::from_secs(12);
        while site.owner().is_none() || !site.entries.iter().all(|entry| entry.is_ready()) {
            if Instant::now() > until {
                return Err("the system is not ready".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
        thread::sleep(Duration::from_millis(2_500));
        Ok(site)
    }
    #[allow(clippy::too_many_arguments)]
    fn node(&self, name: &str, ip: Ipv4Addr, zone: &str, class: &str, extra: &str, store: SocketAddr, program: PathBuf, memory: u32) -> Node {
        let text = format!(
            "node_name: \"{name}\"\nrole: \"my-{class}\"\nmachine_class: \"{class}\"\nserves:\n  - \"{class}\"\nip_address: \"{ip}\"\nzone: \"{zone}\"\nregion: \"r\"\n{extra}internal_port_range:\n  - 7720\n  - 7735\nseeds: []\nbootstrap: true\nlimits:\n  cpu_share: 0.25\n  cpu_cores: 1\n  memory_mb: {memory}\n  file_descriptors: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\ndata_directory: null\nheartbeat_ms: 1000\nbounds:\n  contact_ms: 3000\n  acknowledge_ms: 4000\n  drain_ms: 2000\n  grace_s: 6\n  config_apply_ms: 2000\n  max_hold_ms: 6000\n  stop_ms: 900\n  gang_ms: 3000\n  cancel_ms: 3000\n  visible_ms: 3000\n  early_ms: 250\n  finish_s: 14\n  status_s: 120\n  spread_factor: 1.5\norders: \"call\"\nplatform:\n  address: \"{store}\"\n  form: \"kv\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n  min_ttl_ms: 1000\n"
        );
        let settings = self.folder.join(format!("{name}.yaml"));
        fs::write(&settings, text).expect("settings");
        let log = self.folder.join(format!("{name}.log"));
        Node { name: name.to_owned(), ip, program, settings, log, child: None }
    }
    /// The entry that the platform saw write its claim last.
    pub fn owner(&self) -> Option<usize> {
        let (text, _) = self.store.read("m/owner")?;
        let name = Json::parse(&text)?.text("entry");
        self.entries.iter().position(|entry| entry.name == name)
    }
    /// A new job of one step, as its identifier and body.
    pub fn job(&mut self, step: &Step) -> (String, String) {
        self.next_id += 1;
        let id = format!("{:08x}{:08x}", self.base, self.next_id);
        let flag = |name: &str, set: bool| if set { format!(",\"{name}\":true") } else { String::new() };
        let body = format!(
            "{{\"specification\":\"s-{id}\",\"steps\":[{{\"count\":{},\"cpu\":{},\"task_memory_mb\":{},\"estimated_ms\":{}{}{}}}]}}",
            step.count,
            step.cpu,
            step.memory,
            step.work.as_millis(),
            flag("gang", step.gang),
            flag("long_running", step.long_running)
        );
        self.fleet.state.lock().unwrap().jobs.insert(id.clone(), vec![step.clone()]);
        (id, body)
    }
    /// Hands a job in at the entries in turn, as a requester does, until it is accepted.
    pub fn submit(&self, first: usize, id: &str, body: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let mut at = first;
        loop {
            let entry = &self.entries[at % self.entries.len()];
            let answer = call(entry.callers(), "POST", &format!("{PREFIX}{id}"), HOST, body, Duration::from_millis(3_000));
            let status = answer.as_ref().map_or(0, |(status, _)| *status);
            self.fleet.note(&format!("client: POST {id} at {}: {status}", entry.name));
            if status / 100 == 2 {
                return true;
            }
            if Instant::now() > until {
                return false;
            }
            at += 1;
            thread::sleep(Duration::from_millis(100));
        }
    }
    /// What hands jobs in beside the script.
    pub fn sender(&self) -> Sender {
        let entries = self.entries.iter().map(|entry| (entry.name.clone(), entry.callers())).collect();
        Sender { fleet: self.fleet.clone(), entries }
    }
    /// The state of a job, as an entry answers it.
    pub fn state(&self, at: usize, id: &str) -> String {
        let entry = &self.entries[at % self.entries.len()];
        match call(entry.callers(), "GET", &format!("{PREFIX}{id}"), HOST, "", Duration::from_millis(3_000)) {
            Some((200, body)) => Json::parse(&body).map(|body| body.text("state")).unwrap_or_default(),
            Some((status, _)) => status.to_string(),
            None => "no answer".to_owned(),
        }
    }
}

impl Node {
    pub fn callers(&self) -> SocketAddr {
        address(self.ip, 8161)
    }
    fn is_ready(&self) -> bool {
        let answer = call(address(self.ip, 8167), "GET", "/shallotflow/readiness", "lb", "", Duration::from_millis(300));
        answer.is_some_and(|(status, _)| status == 200)
    }
}

/// A requester that hands one job in, at the next entry each time, until it is accepted or 12 s have passed.
pub struct Sender {
    fleet: Arc<Fleet>,
    entries: Vec<(String, SocketAddr)>,
}

impl Sender {
    pub fn submit(&self, first: usize, id: &str, body: &str) {
        let until = Instant::now() + Duration::from_secs(12);
        let mut at = first;
        while Instant::now() < until {
            let (name, address) = &self.entries[at % self.entries.len()];
            let answer = call(*address, "POST", &format!("{PREFIX}{id}"), HOST, body, Duration::from_millis(3_000));
            let status = answer.as_ref().map_or(0, |(status, _)| *status);
            self.fleet.note(&format!("client: POST {id} at {name}: {status}"));
            if status / 100 == 2 {
                return;
            }
            at += 1;
            thread::sleep(Duration::from_millis(if status == 503 { 1_000 } else { 100 }));
        }
    }
}
