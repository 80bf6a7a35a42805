//! Starts the project's entries and agents as processes beside a stand-in of the platform, of workers
//! and of requesters, all on loopback addresses.

mod cases;
mod http;
mod json;
mod record;
mod store;
mod worker;

use record::Record;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use store::Store;
use worker::{Place, Worker};

pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
const SERVICE: &str = "huvo11a";

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// `PR_SET_PDEATHSIG`: the signal that a process gets when its parent ends.
const PARENT_DEATH_SIGNAL: i32 = 1;
const KILL: u64 = 9;
/// How long a case may take.
const LIMIT: Duration = Duration::from_secs(110);

pub const CONTINUE: i32 = 18;
pub const STOP: i32 = 19;

/// A process of the project.
pub struct Process {
    pub name: String,
    pub ip: String,
    program: &'static str,
    settings: PathBuf,
    folder: PathBuf,
    child: Child,
}

impl Process {
    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again after it was killed.
    pub fn restart(&mut self) -> Result<(), String> {
        self.child = start_child(self.program, &self.name, &self.settings, &self.folder)?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The figures in the settings that a case chooses.
pub struct Sizes {
    pub entries: usize,
    pub workers: usize,
    pub status_s: u64,
}

pub struct Rig {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub entries: Vec<Process>,
    pub agents: Vec<Process>,
    pub workers: Vec<Arc<Worker>>,
    pub places: Vec<Place>,
    /// Whether requesters have not been told to leave.
    pub open: Arc<AtomicBool>,
}

/// Whether all addresses of a network are free on the ports that are used.
fn is_free(net: &str, hosts: usize) -> bool {
    let ports = [8161, 8165, 8166, 8167, 8169, 9464, 7720];
    (1..=hosts).all(|host| {
        ports.iter().all(|port| TcpListener::bind(format!("{net}.{host}:{port}")).is_ok())
    })
}

impl Rig {
    pub fn start(folder: &PathBuf, sizes: &Sizes) -> Result<Rig, String> {
        let record = Arc::new(Record::new());
        let hosts = 1 + sizes.entries + sizes.workers;
        let seed = std::process::id() as usize;
        let net = (0..50)
            .map(|step| format!("127.{}.{}", 20 + (seed / 200 + step) % 200, 1 + seed % 200))
            .find(|net| is_free(net, hosts))
            .ok_or("no free addresses")?;
        let store = Arc::new(Store::new());
        let platform: SocketAddr = format!("{net}.1:8169").parse().unwrap();
        let serving = store.clone();
        http::Server::start(platform, 1_000, Arc::new(move |request| serving.answer(&request)))
            .map_err(|error| error.to_string())?;
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                expiring.expire();
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        store.operate("op/config", &configuration());
        let mut rig = Rig {
            record,
            store,
            entries: Vec::new(),
            agents: Vec::new(),
            workers: Vec::new(),
            places: Vec::new(),
            open: Arc::new(AtomicBool::new(true)),
        };
        for number in 0..sizes.entries {
            let (ip, name) = (format!("{net}.{}", 2 + number), format!("frontend-{}", number + 1));
            let path = folder.join(format!("{name}.yaml"));
            write(&path, &settings(&name, &ip, platform, sizes, false))?;
            let program = "target/release/shallotflow-platform-entry";
            rig.entries.push(spawn(program, name, ip, &path, folder)?);
        }
        for number in 0..sizes.workers {
            let host = 2 + sizes.entries + number;
            let (ip, name) = (format!("{net}.{host}"), format!("side-{}", number + 1));
            let path = folder.join(format!("{name}.yaml"));
            write(&path, &settings(&name, &ip, platform, sizes, true))?;
            let program = "target/release/shallotflow-platform-agent";
            rig.agents.push(spawn(program, name, ip.clone(), &path, folder)?);
            let place = Place {
                app: format!("{ip}:8165").parse().unwrap(),
                control: format!("{ip}:8166").parse().unwrap(),
                service: SERVICE.to_owned(),
                zone: "zone-a".to_owned(),
                rack: format!("r1-{number}"),
                max_hold_ms: 6_000,
            };
            rig.places.push(place);
        }
        std::thread::sleep(Duration::from_millis(500));
        for (number, place) in rig.places.iter().enumerate() {
            let id = format!("i-{:04x}", 0x7f30 + number);
            let worker = Worker::start(&id, place.clone(), rig.record.clone());
            rig.workers.push(worker.map_err(|error| error.to_string())?);
        }
        rig.wait_ready()?;
        Ok(rig)
    }

    fn wait_ready(&self) -> Result<(), String> {
        for _ in 0..100 {
            std::thread::sleep(Duration::from_millis(100));
            let ready = self.entries.iter().all(|entry| {
                let address = format!("{}:8167", entry.ip).parse().unwrap();
                let path = "/shallotflow/readiness";
                let limit = Duration::from_millis(300);
                http::call(address, "GET", path, HOST, "", limit)
                    .is_some_and(|(status, _)| status == 200)
            });
            if ready && self.owner().is_some() {
                // Workers register and their sizes settle.
                std::thread::sleep(Duration::from_secs(4));
                return Ok(());
            }
        }
        Err("the system is not ready after 10 s".to_owned())
    }

    /// The entry that last wrote to the store under a condition as the owner.
    pub fn owner(&self) -> Option<usize> {
        let value = self.store.value("m/owner")?;
        let owner = json::Json::parse(value.as_bytes())?;
        self.entries.iter().position(|entry| entry.name == owner.get("entry").text())
    }

    pub fn requester(&self, entry: usize) -> Requester {
        Requester {
            address: format!("{}:8161", self.entries[entry].ip).parse().unwrap(),
            name: self.entries[entry].name.clone(),
            record: self.record.clone(),
        }
    }
}

/// Sends requests to one entry.
#[derive(Clone)]
pub struct Requester {
    address: SocketAddr,
    name: String,
    record: Arc<Record>,
}

impl Requester {
    fn call(&self, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let path = format!("{PREFIX}{id}");
        let sent = self.record.now_ms();
        let answer = http::call(self.address, method, &path, HOST, body, Duration::from_secs(3));
        let said = match &answer {
            Some((status, body)) if method == "GET" => format!("{status} {body}"),
            Some((status, _)) => status.to_string(),
            None => "no answer".to_owned(),
        };
        self.record.say(&format!("{method} {id} at {} (sent {sent} ms): {said}", self.name));
        answer
    }

    /// Submits a job of `steps` steps in a row of `count` tasks, each `work_ms` long.
    pub fn submit(&self, id: &str, steps: usize, count: usize, work_ms: u64) -> bool {
        self.submit_sized(id, steps, count, work_ms, (500, 256))
    }

    /// Submits a job of tasks that need this many thousandths of a processor and mebibytes.
    pub fn submit_sized(
        &self,
        id: &str,
        steps: usize,
        count: usize,
        work_ms: u64,
        need: (u32, u32),
    ) -> bool {
        self.submit_text(id, steps, count, work_ms, need, &format!("work {work_ms}"))
    }

    /// Submits a job with this specification.
    pub fn submit_text(
        &self,
        id: &str,
        steps: usize,
        count: usize,
        work_ms: u64,
        (cpu, memory_mb): (u32, u32),
        text: &str,
    ) -> bool {
        let step = |number: usize| {
            let after =
                if number > 0 { format!(",\"after\":[{}]", number - 1) } else { String::new() };
            format!(
                "{{\"count\":{count},\"cpu\":{cpu},\"task_memory_mb\":{memory_mb},\"estimated_ms\":{work_ms}{after}}}"
            )
        };
        let steps: Vec<String> = (0..steps).map(step).collect();
        let body = format!("{{\"specification\":\"{text}\",\"steps\":[{}]}}", steps.join(","));
        self.call("POST", id, &body).is_some_and(|(status, _)| status == 200)
    }

    pub fn cancel(&self, id: &str) -> bool {
        self.call("DELETE", id, "").is_some_and(|(status, _)| status == 200 || status == 410)
    }

    pub fn state(&self, id: &str) -> String {
        let Some((200, body)) = self.call("GET", id, "") else { return String::new() };
        json::Json::parse(body.as_bytes())
            .map_or(String::new(), |body| body.get("state").text().to_owned())
    }
}

fn write(path: &PathBuf, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|error| error.to_string())
}

fn spawn(
    program: &'static str,
    name: String,
    ip: String,
    path: &PathBuf,
    folder: &PathBuf,
) -> Result<Process, String> {
    let child = start_child(program, &name, path, folder)?;
    let (settings, folder) = (path.clone(), folder.clone());
    Ok(Process { name, ip, program, settings, folder, child })
}

fn start_child(
    program: &str,
    name: &str,
    path: &PathBuf,
    folder: &PathBuf,
) -> Result<Child, String> {
    let path_of_log = folder.join(format!("{name}.log"));
    let log = std::fs::File::options().create(true).append(true).open(path_of_log);
    let log = log.map_err(|error| error.to_string())?;
    let errors = log.try_clone().map_err(|error| error.to_string())?;
    let mut command = Command::new(program);
    command.env_clear().env("SHALLOTFLOW_CONFIG", path).stdin(Stdio::null());
    command.stdout(log).stderr(errors);
    for variable in ["PATH", "HOME", "LANG"] {
        if let Ok(value) = std::env::var(variable) {
            command.env(variable, value);
        }
    }
    // Nothing that was started outlives the rig.
    unsafe {
        command.pre_exec(|| {
            prctl(PARENT_DEATH_SIGNAL, KILL);
            Ok(())
        })
    };
    command.spawn().map_err(|error| format!("{program}: {error}"))
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-3hwrr6x\",\"host\":\"{HOST}\",\
         \"prefix\":\"{PREFIX}\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\
         \"target_latency_ms\":300,\"priority\":0,\"service\":\"{SERVICE}\",\"max_attempts\":3,\
         \"stretch\":1.5}}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\
         \"connection_limit\":64,\"protocol\":\"h1\",\"tls\":false,\"enforces_capacity\":true,\
         \"spare\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

fn settings(name: &str, ip: &str, platform: SocketAddr, sizes: &Sizes, side: bool) -> String {
    let (class, serves, listen, share, memory) = if side {
        ("side", "side", format!("  control: \"{ip}:8166\"\n"), 0.15, 128)
    } else {
        let listen = format!("  frontend: \"{ip}:8161\"\n  readiness: \"{ip}:8167\"\n");
        ("frontend", "frontend", listen, 0.25, 260)
    };
    let app =
        if side { format!("app: \"{ip}:8165\"\nservice: \"{SERVICE}\"\n") } else { String::new() };
    let status_s = sizes.status_s;
    format!(
        "node_name: \"{name}\"\nrole: \"my-{class}\"\nmachine_class: \"{class}\"\nserves:\n  - \"{serves}\"\n\
         ip_address: \"{ip}\"\nzone: \"zone-a\"\nregion: \"region-a\"\nzones:\n  zone-a: \"region-a\"\n\
         listen_addresses:\n{listen}internal_port_range:\n  - 7720\n  - 7735\nseeds: []\nbootstrap: true\n\
         counted_for_tolerance: false\nlimits:\n  cpu_share: {share}\n  cpu_cores: 1\n  memory_mb: {memory}\n\
         \x20 file_descriptors: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\ndata_directory: null\n\
         discovery: \"local\"\nentry: \"virtual_ip\"\nheartbeat_ms: 1500\ncontracts:\n  - \"base\"\n\
         \x20 - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"recover\"\n  - \"sched\"\n  - \"platform\"\n\
         fault_tolerance:\n  machines: 1\n  zones: 0\n  regions: 0\nbounds:\n  seed_lag_s: 3\n\
         \x20 address_reuse_s: 2\n  contact_ms: 3000\n  acknowledge_ms: 4000\n  catch_up_s: 4\n  drain_ms: 2000\n\
         \x20 grace_s: 6\n  loss_slack_ms: 200\n  config_apply_ms: 2000\n  rollback_slack_ms: 250\n\
         \x20 max_stretch_ms: 5000\n  recovery_s: 12\n  max_hold_ms: 6000\n  stop_ms: 900\n  gang_ms: 3000\n\
         \x20 cancel_ms: 3000\n  visible_ms: 3000\n  early_ms: 250\n  finish_s: 14\n  status_s: {status_s}\n\
         \x20 spread_factor: 1.5\n  checkpoint_s: 0.5\n  restore_ms: 600\n  notice_ms: 4500\n  move_s: 1.5\n\
         \x20 upkeep_s: 2\n  fencing_required: true\n  lease_ms: 3000\n  thaw_slack_ms: 300\n  pace_ms: 100\n\
         \x20 harm_ms: 4000\norders: \"call\"\n{app}platform:\n  address: \"{platform}\"\n  form: \"kv\"\n\
         \x20 writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n\
         \x20 min_ttl_ms: 1000\ncloud_api:\n  address: \"{platform}\"\n  rate_per_s: 60.0\n  duties: []\n\
         \x20 duty_per_s: 60.0\n"
    )
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(out), Some(folder)) =
        (arguments.get(1), arguments.get(2), arguments.get(3))
    else {
        eprintln!("rig CASE RECORD FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    let limit = if case == "ended-jobs" { LIMIT * 2 } else { LIMIT };
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        eprintln!("the case takes too long");
        std::process::exit(2);
    });
    let (sizes, run): (Sizes, fn(&mut Rig, bool) -> Result<Vec<String>, String>) =
        match cases::find(case) {
            Some(found) => found,
            None => {
                eprintln!("no case {case}");
                std::process::exit(2);
            }
        };
    let started = Rig::start(&folder, &sizes);
    let (mut rig, result);
    match started {
        Ok(started) => {
            rig = started;
            result = run(&mut rig, trouble);
            rig.open.store(false, Ordering::SeqCst);
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            std::process::exit(2);
        }
    }
    let (code, verdict) = match &result {
        Ok(broken) if broken.is_empty() => (0, "the rule held".to_owned()),
        Ok(broken) => {
            (1, format!("the rule was broken {} times:\n{}", broken.len(), broken.join("\n")))
        }
        Err(error) => (2, format!("the case could not run: {error}")),
    };
    let text = format!("{}\n{verdict}\n", rig.record.text());
    if let Err(error) = std::fs::write(out, text) {
        eprintln!("{error}");
    }
    println!("{verdict}");
    drop(rig);
    std::process::exit(code);
}
