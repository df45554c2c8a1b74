//! A fleet of real entry hosts and agents on loopback, with simulated engines,
//! origin, platform and links.

use std::{
    fs::File,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Arc,
    time::Duration,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use raildale_core::Digest;
use tempfile::TempDir;
use tokio::net::TcpListener;

use crate::{
    engine::{Engine, EngineConfig},
    links::LinkTable,
    origin::Origin,
    plain,
    platform::Platform,
    truth::GroundTruth,
};

/// The admin key that may write the first settings.
pub const BOOTSTRAP_KEY: &str = "bootstrap-key";

const CLUSTER_KEY: &str = "the bench's cluster";
/// The port on which processes listen, behind the relay of their link.
const INNER_PORT: u16 = 7000;
/// The port of the relay, which processes advertise to each other.
const LINK_PORT: u16 = 7001;
const HTTP_PORT: u16 = 8080;
const TARGET_PORT: u16 = 9000;
/// The number of agents per /24 network.
const AGENTS_PER_NET: usize = 250;

/// The rate of a host's link in benchmarks that do not measure the spread.
const FAST_LINK_BYTES_PER_S: u64 = 8 << 20;

/// The size of a chunk in benchmarks that do not measure the spread.
const SMALL_CHUNK_BYTES: u64 = 16 << 10;

/// The duration of a call to the plain service.
const PLAIN_CALL_DURATION: Duration = Duration::from_millis(15);

/// The configuration of a fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// The executable, which has the subcommands `node-entry` and
    /// `node-agent`.
    pub program: PathBuf,
    /// The number of entry hosts.
    pub entries: usize,
    /// The number of hosts with a model engine.
    pub hosts: usize,
    /// The number of data centres, over which all hosts are distributed
    /// evenly.
    pub data_centres: usize,
    /// The rate of a host's link; the origin's is twice as fast.
    pub link_bytes_per_s: u64,
    /// The size of a chunk, in bytes.
    pub chunk_bytes: u64,
    /// The distribution scheme in the agents' settings.
    pub scheme: String,
    /// Every n-th engine does not check fences; 0 for none.
    pub unfenced_one_in: usize,
    /// Whether processes log a span for each hop.
    pub spans: bool,
    /// Lines added to `[link]` of each agent's settings file.
    pub link_extra: String,
}

impl FleetConfig {
    /// Returns the configuration of a fleet for benchmarks that do not measure
    /// the spread: fast links and small chunks. A quarter of the engines does
    /// not check fences.
    pub fn new(
        program: impl Into<PathBuf>,
        entries: usize,
        hosts: usize,
    ) -> FleetConfig {
        FleetConfig {
            program: program.into(),
            entries,
            hosts,
            data_centres: 3,
            link_bytes_per_s: FAST_LINK_BYTES_PER_S,
            chunk_bytes: SMALL_CHUNK_BYTES,
            scheme: "swarm".into(),
            unfenced_one_in: 4,
            spans: false,
            link_extra: String::new(),
        }
    }

    /// Makes the processes log a span for each hop.
    pub fn with_spans(mut self) -> FleetConfig {
        self.spans = true;
        self
    }
}

/// An entry host or agent process.
#[derive(Debug)]
pub struct Node {
    /// The name of the process.
    pub name: String,
    /// The address of its host.
    pub ip: IpAddr,
    /// The data centre of its host.
    pub data_centre: String,
    role: &'static str,
    settings: PathBuf,
    child: Option<Child>,
}

/// A running fleet. Dropping it kills its processes.
#[derive(Debug)]
pub struct Fleet {
    config: FleetConfig,
    net: u8,
    folder: TempDir,
    /// The links of all hosts.
    pub links: Arc<LinkTable>,
    /// The ground truth about versions and runs.
    pub truth: Arc<GroundTruth>,
    /// The origin.
    pub origin: Arc<Origin>,
    /// The platform.
    pub platform: Arc<Platform>,
    /// The entry hosts.
    pub entries: Vec<Node>,
    /// The agents. The target of the last one is a plain service, those of the
    /// others are engines.
    pub agents: Vec<Node>,
    /// The engines, in the order of their agents.
    pub engines: Vec<Arc<Engine>>,
}

impl Fleet {
    /// Starts the simulated systems and the processes.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or a process cannot be
    /// started.
    pub async fn start(config: FleetConfig) -> io::Result<Fleet> {
        let net = claim_net().await?;
        let links = LinkTable::new();
        let origin_ip = ip(net, 2, 1);
        let origin_rate = Some(2 * config.link_bytes_per_s);
        links.add_other(origin_ip, &data_centre(0), origin_rate);
        let origin_address = SocketAddr::new(origin_ip, TARGET_PORT);
        let platform_address = SocketAddr::new(ip(net, 2, 2), TARGET_PORT);
        let mut fleet = Fleet {
            origin: Origin::start(origin_address, links.clone()).await?,
            platform: Platform::start(platform_address).await?,
            truth: GroundTruth::new(),
            folder: TempDir::new()?,
            links,
            net,
            entries: vec![],
            agents: vec![],
            engines: vec![],
            config,
        };
        fleet.add_entries().await?;
        for index in 0..=fleet.config.hosts {
            fleet.add_agent(index).await?;
        }
        Ok(fleet)
    }

    /// Returns the addresses of the entry hosts' HTTP API.
    pub fn http_addresses(&self) -> Vec<SocketAddr> {
        let http = |node: &Node| SocketAddr::new(node.ip, HTTP_PORT);
        self.entries.iter().map(http).collect()
    }

    /// Returns the address that callers connect from.
    pub fn caller_ip(&self) -> IpAddr {
        ip(self.net, 3, 1)
    }

    /// Returns the folder with settings files and logs.
    pub fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }

    /// Keeps the folder after the fleet is dropped. Returns its path.
    pub fn keep_folder(&mut self) -> PathBuf {
        self.folder.disable_cleanup(true);
        self.folder.path().to_path_buf()
    }

    /// Returns when each engine first served `manifest`; engines that never
    /// did are left out.
    pub fn activation_times(
        &self,
        manifest: Digest,
    ) -> Vec<std::time::Instant> {
        self.truth
            .activation_times(manifest)
            .into_iter()
            .map(|(_, at)| at)
            .collect()
    }

    async fn add_entries(&mut self) -> io::Result<()> {
        for index in 0..self.config.entries {
            let ip = ip(self.net, 1, index as u8 + 1);
            let name = format!("entry-{index}");
            let data_centre = data_centre(index % self.config.data_centres);
            self.links.add_other(ip, &data_centre, None);
            self.start_relay(ip).await?;
            let settings = self.entry_settings(&name, ip, &data_centre);
            let node =
                self.spawn("node-entry", name, ip, data_centre, &settings)?;
            self.entries.push(node);
        }
        Ok(())
    }

    async fn add_agent(&mut self, index: usize) -> io::Result<()> {
        let third = 10 + (index / AGENTS_PER_NET) as u8;
        let ip = ip(self.net, third, (index % AGENTS_PER_NET) as u8 + 1);
        let is_plain = index == self.config.hosts;
        let name = match is_plain {
            true => "plain-0".to_string(),
            false => format!("host-{index}"),
        };
        let data_centre = data_centre(index % self.config.data_centres);
        let rate = self.config.link_bytes_per_s;
        self.links.add_host(ip, &data_centre, rate);
        self.start_relay(ip).await?;
        let target = SocketAddr::new(ip, TARGET_PORT);
        if is_plain {
            plain::start(target, PLAIN_CALL_DURATION, self.truth.clone())
                .await?;
        } else {
            let mut config = EngineConfig::new(&name);
            let one_in = self.config.unfenced_one_in;
            config.checks_fences =
                one_in == 0 || !index.is_multiple_of(one_in);
            let truth = self.truth.clone();
            self.engines.push(Engine::start(target, config, truth).await?);
        }
        let pool = if is_plain { "plain" } else { "workers" };
        let settings = self.agent_settings(&name, ip, &data_centre, pool);
        let node =
            self.spawn("node-agent", name, ip, data_centre, &settings)?;
        self.agents.push(node);
        Ok(())
    }

    /// Starts the relay of the link of `ip`.
    async fn start_relay(&self, ip: IpAddr) -> io::Result<()> {
        let outside =
            TcpListener::bind(SocketAddr::new(ip, LINK_PORT)).await?;
        self.links.relay(outside, SocketAddr::new(ip, INNER_PORT));
        Ok(())
    }

    /// Returns the sections of a settings file that all processes have.
    fn node_section(
        &self,
        name: &str,
        ip: IpAddr,
        data_centre: &str,
    ) -> String {
        let seeds: Vec<String> = (0..self.config.entries)
            .map(|index| crate::fleet::ip(self.net, 1, index as u8 + 1))
            .map(|ip| format!("\"{ip}:{LINK_PORT}\""))
            .collect();
        format!(
            "[node]\nname = \"{name}\"\ndata_centre = \"{data_centre}\"\n\
             region = \"region-0\"\nlisten = \"{ip}:{INNER_PORT}\"\n\
             advertise = \"{ip}:{LINK_PORT}\"\n\
             cluster_key = \"{CLUSTER_KEY}\"\nentries = [{}]\n\
             threads = 1\nspans = {}\n\n\
             [origin]\naddress = \"{}:{TARGET_PORT}\"\n\
             data_centre = \"{}\"\n\n",
            seeds.join(", "),
            self.config.spans,
            crate::fleet::ip(self.net, 2, 1),
            self::data_centre(0),
        )
    }

    fn entry_settings(
        &self,
        name: &str,
        ip: IpAddr,
        data_centre: &str,
    ) -> String {
        let node = self.node_section(name, ip, data_centre);
        let hash = Digest::of(BOOTSTRAP_KEY.as_bytes());
        format!(
            "{node}[http]\nlisten = \"{ip}:{HTTP_PORT}\"\n\
             bootstrap_key_hash = \"{hash}\"\n\n\
             [platform]\naddress = \"{}:{TARGET_PORT}\"\n",
            crate::fleet::ip(self.net, 2, 2),
        )
    }

    fn agent_settings(
        &self,
        name: &str,
        ip: IpAddr,
        data_centre: &str,
        pool: &str,
    ) -> String {
        let node = self.node_section(name, ip, data_centre);
        format!(
            "{node}[target]\naddress = \"{ip}:{TARGET_PORT}\"\n\
             pool = \"{pool}\"\ncapacity = 8\n\n\
             [link]\nbytes_per_s = {}\nchunk_bytes = {}\nscheme = \"{}\"\n{}\n",
            self.config.link_bytes_per_s,
            self.config.chunk_bytes,
            self.config.scheme,
            self.config.link_extra,
        )
    }

    /// Writes a settings file and starts a process with it.
    fn spawn(
        &self,
        role: &'static str,
        name: String,
        ip: IpAddr,
        data_centre: String,
        settings: &str,
    ) -> io::Result<Node> {
        let path = self.folder.path().join(format!("{name}.toml"));
        std::fs::write(&path, settings)?;
        let mut node =
            Node { name, ip, data_centre, role, settings: path, child: None };
        node.start(&self.config.program)?;
        Ok(node)
    }

    /// Starts an entry host that has ended again.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart_entry(&mut self, index: usize) -> io::Result<()> {
        self.entries[index].start(&self.config.program)
    }

    /// Starts an agent that has ended again.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart_agent(&mut self, index: usize) -> io::Result<()> {
        self.agents[index].start(&self.config.program)
    }
}

impl Node {
    fn start(&mut self, program: &PathBuf) -> io::Result<()> {
        let log = self.settings.with_extension("log");
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(program)
            .arg(self.role)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Kills the process without waiting for its end.
    pub fn crash(&self) {
        self.signal(Signal::SIGKILL);
    }

    /// Asks the process to leave, with `SIGTERM`.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Suspends the process.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a suspended process.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        let Some(child) = &mut self.child else { return false };
        matches!(child.try_wait(), Ok(None))
    }

    /// Returns the process id; `None` if the process was not started or was
    /// killed by [`Node::kill`].
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the name of the data centre with an index.
pub fn data_centre(index: usize) -> String {
    format!("dc-{index}")
}

/// Returns an address on loopback.
fn ip(net: u8, third: u8, last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, net, third, last))
}

/// Claims a loopback network that no other fleet on this machine uses. Returns
/// its second octet. A listener on an address of the network serves as the
/// lock.
async fn claim_net() -> io::Result<u8> {
    for _ in 0..50 {
        let net = rand::random_range(1..=250);
        let lock = SocketAddr::new(ip(net, 2, 3), TARGET_PORT);
        if let Ok(listener) = TcpListener::bind(lock).await {
            // The listener is leaked so that the network stays claimed for
            // the life of the process.
            std::mem::forget(listener);
            return Ok(net);
        }
    }
    Err(io::Error::other("no free network on loopback"))
}
