//! The project's entry hosts and the workers, as processes on loopback
//! addresses.

use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{http, record::Record, worker::Form};

/// The program of the deploy file's role on `edge` machines.
const PROGRAM: &str = "target/release/raildale-platform";

/// The zone of all machines.
pub const ZONE: &str = "hall-a";

/// The addresses and the folder of a run.
pub struct Place {
    pub folder: PathBuf,
    net: [u8; 2],
    base: u16,
}

impl Place {
    /// Finds free ports and makes a temporary folder.
    pub fn new(name: &str) -> Place {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("{name}-{pid}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let net = [(pid >> 8) as u8 | 1, pid as u8];
        let is_free = |base: u16| {
            let ports = base..base + 32;
            ports.into_iter().all(|port| {
                let ip = Ipv4Addr::new(127, net[0], net[1], 1);
                TcpListener::bind((ip, port)).is_ok()
            })
        };
        let base = (21_000 + (pid % 200) as u16 * 32..32_000)
            .step_by(32)
            .find(|base| is_free(*base))
            .expect("free ports");
        Place { folder, net, base }
    }

    /// Returns the address of machine `number` with a port of the run.
    pub fn at(&self, number: u8, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.net[0], self.net[1], number);
        SocketAddr::new(IpAddr::V4(ip), self.base + port)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        // Set to read the logs of the processes after a run.
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A process of the run, which is killed when dropped.
pub struct Process(Child);

impl Process {
    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An entry host's ports of the run.
const CALLERS: u16 = 20;
const READINESS: u16 = 21;
const ADDRESSES: u16 = 22;
const CONTROL: u16 = 23;

/// One of the project's entry hosts.
pub struct EntryHost {
    number: u8,
    settings: PathBuf,
    log: PathBuf,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    process: Option<Process>,
}

impl EntryHost {
    /// Writes the settings of entry host `number` of `count`, which reaches
    /// the store at `store`, and starts it.
    pub fn start(
        place: &Place,
        number: u8,
        count: u8,
        store: SocketAddr,
    ) -> EntryHost {
        let at = |port| place.at(number, port);
        let seeds: Vec<String> = (1..=count.min(3))
            .map(|seed| format!("\"{}\"", place.at(seed, CONTROL)))
            .collect();
        let text = format!(
            "[node]\nname = \"edge-{ZONE}-{number}\"\nip = \"{ip}\"\n\
             data_centre = \"{ZONE}\"\nports = [{first},{last}]\n\
             seeds = [{seeds}]\n\n[listen]\ncallers = \"{callers}\"\n\
             readiness = \"{readiness}\"\naddresses = \"{addresses}\"\n\n\
             [store]\naddress = \"{store}\"\n\n[machine]\n\
             link_mbps = 1000.0\ncpu_share = 0.25\ncores = 1\n\n[bounds]\n\
             grace_s = 8\nretry_ratio = 0.2\nretry_extra = 100\n\
             version_ms = 8000\nttl_max_s = 5\n\n[regions]\n\
             \"{ZONE}\" = \"region-a\"\n",
            ip = at(0).ip(),
            first = at(0).port(),
            last = at(15).port(),
            seeds = seeds.join(","),
            callers = at(CALLERS),
            readiness = at(READINESS),
            addresses = at(ADDRESSES),
        );
        let settings = place.folder.join(format!("entry-{number}.toml"));
        fs::write(&settings, text).expect("the settings can be written");
        let mut host = EntryHost {
            number,
            settings,
            log: place.folder.join(format!("entry-{number}.log")),
            callers: at(CALLERS),
            readiness: at(READINESS),
            process: None,
        };
        host.restart();
        host
    }

    /// Starts the process (again).
    pub fn restart(&mut self) {
        self.process = None;
        let log = File::create(&self.log).expect("the log can be written");
        let process = Command::new(PROGRAM)
            .arg("entry")
            .env("RAILDALE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn()
            .expect("the project is built");
        self.process = Some(Process(process));
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.process = None;
    }

    /// Returns whether the platform's check finds it ready.
    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_secs(1);
        let at = self.readiness;
        http::call(at, "GET", "/-/readyz", &[], b"", limit)
            .is_some_and(|answer| answer.status() == 200)
    }

    /// Waits until it is ready. Returns false if that takes too long.
    pub fn wait_until_ready(&self, record: &Record) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.is_ready() {
                record.note(&format!("entry host {} is ready", self.number));
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        record.note(&format!("entry host {} is not ready", self.number));
        false
    }
}

/// A worker's process.
pub struct WorkerProcess {
    pub address: SocketAddr,
    pub log: PathBuf,
    process: Process,
}

impl WorkerProcess {
    /// Starts a worker with this id. Its log is `log`.
    pub fn start(
        address: SocketAddr,
        id: &str,
        log: &Path,
        form: Form,
    ) -> WorkerProcess {
        let program = std::env::current_exe().expect("the own program");
        let form = match form {
            Form::Framed => "framed",
            Form::Unframed => "unframed",
        };
        let process = Command::new(program)
            .args(["worker", &address.to_string(), id])
            .arg(log)
            .arg(form)
            .stdin(Stdio::null())
            .spawn()
            .expect("the worker starts");
        let until = Instant::now() + Duration::from_secs(5);
        while std::net::TcpStream::connect(address).is_err()
            && Instant::now() < until
        {
            thread::sleep(Duration::from_millis(5));
        }
        let log = log.to_path_buf();
        WorkerProcess { address, log, process: Process(process) }
    }

    /// Kills the process, as a crash does.
    pub fn kill(&mut self) {
        self.process.kill();
    }
}

/// An event in a worker's log.
#[derive(Clone, Debug)]
pub struct WorkerEvent {
    pub at_ms: u64,
    pub what: String,
    pub request: String,
    pub line: String,
}

/// Reads a worker's log.
pub fn worker_events(log: &Path) -> Vec<WorkerEvent> {
    let text = fs::read_to_string(log).unwrap_or_default();
    let event = |line: &str| {
        let mut words = line.split(' ');
        let at_ms = words.next()?.parse().ok()?;
        let what = words.next()?.to_string();
        let request = words.next()?.strip_prefix("request=")?.to_string();
        let (_, line) = line.split_once(' ')?;
        Some(WorkerEvent { at_ms, what, request, line: line.to_string() })
    };
    text.lines().filter_map(event).collect()
}

/// Returns a worker's entry in the store.
pub fn server_entry(service: &str, address: SocketAddr) -> String {
    format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\
         \"Zone\":\"{ZONE}\",\"Version\":\"v1\",\"Slots\":6,\
         \"State\":\"ready\",\"ColdLeftMs\":0,\"SeqNo\":1}}"
    )
}
