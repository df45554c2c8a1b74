//! A small deployment on loopback addresses: the project's own programs and
//! the stand-ins, each in a process of its own.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Write},
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::Caller,
    record::{Record, unix_ms},
    weights::{LAYERS, MODEL, PIECE_BYTES, PIECES},
    worker::{self, Options},
};

/// The zones of the deployment.
pub const ZONES: [&str; 3] = ["spr-hall-a", "tyo-zone-b", "osk-hall-c"];

/// The key of the only tenant.
pub const KEY: &str = "bjnanfqasnmgkcuyj8pj";

/// The ports, the same on every machine; offsets from a free base.
const CALLERS: u16 = 0;
const READINESS: u16 = 1;
const ADDRESSES: u16 = 2;
const CONTROL: u16 = 3;
const STORE: u16 = 4;
const ORIGIN: u16 = 5;
const TARGET: u16 = 6;
const PROXY: u16 = 7;
const NODE: u16 = 10;
const PORT_COUNT: u16 = 26;

/// The machines; the last byte of their addresses.
const STORE_MACHINE: u8 = 200;
const ORIGIN_MACHINE: u8 = 201;

/// A deployment; its processes are ended when it is dropped.
pub struct Fleet {
    net: [u8; 2],
    base: u16,
    folder: PathBuf,
    children: Vec<(String, Child)>,
    record: Record,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_file(self.folder.join("pids"));
    }
}

impl Fleet {
    /// Creates a deployment on free addresses, with its files in `folder`.
    pub fn new(folder: &Path, record: Record) -> io::Result<Fleet> {
        let mut seed = unix_ms() ^ (u64::from(std::process::id()) << 20);
        let mut draw = |count: u64| {
            seed ^= seed << 13;
            seed ^= seed >> 7;
            seed ^= seed << 17;
            seed % count
        };
        for _ in 0..50 {
            let net = [64 + draw(128) as u8, draw(250) as u8];
            let base = 20_000 + 32 * draw(350) as u16;
            let fleet = Fleet {
                net,
                base,
                folder: folder.to_path_buf(),
                children: Vec::new(),
                record: record.clone(),
            };
            if fleet.is_free() {
                return Ok(fleet);
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    fn is_free(&self) -> bool {
        let machines = [1, 2, 3, STORE_MACHINE, ORIGIN_MACHINE];
        machines.iter().all(|machine| {
            (0..PORT_COUNT).all(|port| {
                let address = self.address(*machine, port);
                TcpListener::bind(address).is_ok()
                    && UdpSocket::bind(address).is_ok()
            })
        })
    }

    fn address(&self, machine: u8, port: u16) -> SocketAddr {
        let [second, third] = self.net;
        SocketAddr::from(([127, second, third, machine], self.base + port))
    }

    /// Returns the address of the store.
    pub fn store(&self) -> SocketAddr {
        self.address(STORE_MACHINE, STORE)
    }

    /// Returns the address of the origin of weights.
    pub fn origin(&self) -> SocketAddr {
        self.address(ORIGIN_MACHINE, ORIGIN)
    }

    /// Returns the address of a machine's worker.
    pub fn target(&self, machine: u8) -> SocketAddr {
        self.address(machine, TARGET)
    }

    /// Returns the address of the link before a machine's worker.
    pub fn proxy(&self, machine: u8) -> SocketAddr {
        self.address(machine, PROXY)
    }

    /// Returns the address of an entry host for callers.
    pub fn callers(&self, machine: u8) -> SocketAddr {
        self.address(machine, CALLERS)
    }

    /// Returns the path of a worker's log.
    pub fn worker_log(&self, machine: u8) -> PathBuf {
        self.folder.join(format!("worker-{machine}.log"))
    }

    /// Returns the options of a sound worker on a machine.
    pub fn worker(&self, machine: u8, id: &str) -> Options {
        Options {
            listen: self.target(machine),
            id: id.to_string(),
            log: self.worker_log(machine).display().to_string(),
            work_ms: 15,
            version: 0,
            events: 20,
            event_ms: 50,
            unframed_every: 0,
            surplus_every: 0,
            faulty_from_ms: 0,
        }
    }

    /// Starts a worker and waits until it listens.
    pub fn start_worker(
        &mut self,
        name: &str,
        with: &Options,
    ) -> io::Result<()> {
        let mut command = Command::new(std::env::current_exe()?);
        command.args(with.to_arguments());
        command.stdin(Stdio::null());
        self.spawn(name, command)?;
        let end = Instant::now() + Duration::from_secs(3);
        while Instant::now() < end {
            let limit = Duration::from_millis(500);
            let head = "GET /healthz HTTP/1.1\r\nHost: worker\r\n";
            let mut caller = Caller::default();
            if caller.send(with.listen, head, b"", limit).status == 200 {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(5));
        }
        Err(io::ErrorKind::TimedOut.into())
    }

    /// Starts an entry host of the project, as the deploy file does.
    pub fn start_entry(&mut self, machine: u8) -> io::Result<()> {
        let name = format!("edge-{machine}");
        let listen = format!(
            "[listen]\ncallers = \"{}\"\nreadiness = \"{}\"\n\
             addresses = \"{}\"\n",
            self.callers(machine),
            self.address(machine, READINESS),
            self.address(machine, ADDRESSES),
        );
        self.start_program("entry", &name, machine, &listen)
    }

    /// Starts an agent of the project, as the deploy file does.
    pub fn start_agent(&mut self, machine: u8) -> io::Result<()> {
        let name = format!("side-{machine}");
        let target = format!(
            "[target]\naddress = \"{}\"\nservice = \"llm-pool\"\n",
            self.target(machine),
        );
        self.start_program("agent", &name, machine, &target)
    }

    fn start_program(
        &mut self,
        role: &str,
        name: &str,
        machine: u8,
        of_role: &str,
    ) -> io::Result<()> {
        let zone = zone(machine);
        let ip = self.address(machine, 0).ip();
        let node = self.base + NODE;
        let seeds: Vec<String> = [1, 2]
            .iter()
            .map(|seed| format!("\"{}\"", self.address(*seed, CONTROL)))
            .collect();
        let regions = [
            "\"spr-hall-a\" = \"sapporo\"",
            "\"tyo-zone-b\" = \"tokyo\"",
            "\"osk-hall-c\" = \"osaka\"",
        ];
        // The template of the deploy file, filled for this machine.
        let settings = format!(
            "[node]\nname = \"{name}\"\nip = \"{ip}\"\n\
             data_centre = \"{zone}\"\nports = [{node}, {}]\n\
             seeds = [{}]\n{of_role}[store]\naddress = \"{}\"\n\
             [machine]\nlink_mbps = {}\ncpu_share = 0.25\ncores = 1\n\
             [bounds]\ngrace_s = 8\nretry_ratio = 0.2\nretry_extra = 102\n\
             version_ms = 8000\nttl_max_s = 5\n[regions]\n{}\n",
            node + 15,
            seeds.join(", "),
            self.store(),
            if role == "entry" { "1000.0" } else { "9.4" },
            regions.join("\n"),
        );
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        let log = self.folder.join(format!("{name}.log"));
        let log: File =
            OpenOptions::new().create(true).append(true).open(log)?;
        let mut command = Command::new("target/release/raildale-platform");
        command
            .arg(role)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("RAILDALE_CONFIG", path)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log);
        self.spawn(name, command)
    }

    fn spawn(&mut self, name: &str, mut command: Command) -> io::Result<()> {
        let child = command.spawn()?;
        let pid = child.id();
        let pids = self.folder.join("pids");
        let mut pids =
            OpenOptions::new().create(true).append(true).open(pids)?;
        writeln!(pids, "{pid}")?;
        self.record.line(&format!("start {name} pid={pid}"));
        self.children.push((name.to_string(), child));
        Ok(())
    }

    /// Kills a process that this deployment started, and waits for its end.
    pub fn kill(&mut self, name: &str) -> io::Result<()> {
        let place = self.children.iter().position(|(n, _)| n == name);
        let Some(place) = place else {
            return Err(io::ErrorKind::NotFound.into());
        };
        let (_, mut child) = self.children.remove(place);
        child.kill()?;
        child.wait()?;
        self.record.line(&format!("killed {name}"));
        Ok(())
    }

    /// Returns the processes that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let ended = self.children.iter_mut().filter_map(|(name, child)| {
            let status = child.try_wait().ok().flatten()?;
            Some(format!("{name}: {status}"))
        });
        ended.collect()
    }

    /// Waits until an entry host says that it is ready. Returns whether it
    /// did so within 20 s.
    pub fn wait_until_ready(&self, machine: u8) -> bool {
        let address = self.address(machine, READINESS);
        let end = Instant::now() + Duration::from_secs(20);
        let head = "GET /-/readyz HTTP/1.1\r\nHost: ready\r\n";
        while Instant::now() < end {
            let limit = Duration::from_secs(1);
            let mut caller = Caller::default();
            if caller.send(address, head, b"", limit).status == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns the operator's configuration.
    pub fn configuration(&self) -> String {
        let route = |name: &str, prefix: &str, kind: &str, service: &str| {
            let is_stream = kind == "streaming";
            let (timeout, goal) =
                if is_stream { (6_000, 400) } else { (1_000, 100) };
            let more = match is_stream {
                true => {
                    ",\"Resumable\":true,\"Sticky\":true,\"GapGoalMs\":300"
                }
                false => "",
            };
            format!(
                "{{\"Name\":\"{name}\",\"Host\":\"jepu9.example\",\
                 \"PathPrefix\":\"{prefix}\",\"RouteKind\":\"{kind}\",\
                 \"TimeoutMs\":{timeout},\"LatencyGoalMs\":{goal},\
                 \"Priority\":1,\"Service\":\"{service}\",\
                 \"MaxAttempts\":2{more}}}"
            )
        };
        let routes = [
            route("r-fault-diag", "/stream/", "streaming", "llm-pool"),
            route("r-alarm-ack", "/ack/", "non_idempotent", "plant-ops"),
            route("r-dispatch", "/crew/", "idempotent", "plant-ops"),
        ];
        format!(
            "{{\"Version\":7,\"Routes\":[{}],\"Services\":[\
             {{\"Name\":\"llm-pool\",\"HealthPath\":\"/healthz\",\
             \"MaxConns\":194,\"Engine\":{{\"Slots\":16,\"Chunks\":{PIECES},\
             \"ChunkBytes\":{PIECE_BYTES},\"layers\":{LAYERS},\"Models\":[\
             {{\"Name\":\"{MODEL}\"}}],\"step_ms\":7.4,\"per_seq_ms\":0.2,\
             \"Stride\":6,\"read_per_s\":31900,\"usual\":{{\"prompt\":900,\
             \"answer\":106}}}}}},\
             {{\"Name\":\"plant-ops\",\"HealthPath\":\"/healthz\",\
             \"MaxConns\":49}},\
             {{\"Name\":\"billing\",\"HealthPath\":\"/healthz\",\
             \"MaxConns\":48,\"Origin\":\"{}\"}}],\
             \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
             \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
             \"Tenants\":[{{\"Name\":\"bozi300\",\"ApiKeys\":[\"{KEY}\"]}}]}}",
            routes.join(","),
            self.origin(),
        )
    }
}

/// Returns the zone of a machine.
pub fn zone(machine: u8) -> &'static str {
    ZONES[usize::from(machine - 1) % ZONES.len()]
}

/// Returns the entry of a worker in the store.
pub fn entry(
    service: &str,
    address: SocketAddr,
    machine: u8,
    slots: u32,
    version: u64,
) -> String {
    let layers = match version {
        0 => "null".to_string(),
        version => worker::layers_json(version),
    };
    format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\
         \"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":{slots},\
         \"State\":\"ready\",\"ColdLeftMs\":0,\"Phase\":\"colocated\",\
         \"Models\":[],\"layers\":{layers},\"SeqNo\":4}}",
        zone(machine),
    )
}
