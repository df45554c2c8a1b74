//! Real processes of the product on loopback, with the stand-ins round them.

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

/// The key that may write the first settings.
pub const BOOTSTRAP_KEY: &str = "bootstrap-key";

const CLUSTER_KEY: &str = "the bench's cluster";
const INNER_PORT: u16 = 7000;
const LINK_PORT: u16 = 7001;
const HTTP_PORT: u16 = 8080;
const TARGET_PORT: u16 = 9000;
const AGENTS_PER_NET: usize = 250;

/// A host's link where no spread is measured.
const QUICK_LINK_BYTES_PER_S: u64 = 8 << 20;

/// Bytes of a chunk where no spread is measured.
const QUICK_CHUNK_BYTES: u64 = 16 << 10;

/// Time that a plain service's call takes.
const PLAIN_CALL: Duration = Duration::from_millis(15);

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// The program that starts as `node-entry` or `node-agent`.
    pub program: PathBuf,
    /// Entry hosts.
    pub entries: usize,
    /// Hosts with a model engine.
    pub hosts: usize,
    /// Data centres, over which all are spread evenly.
    pub data_centres: usize,
    /// A host's link; the origin's carries twice as much.
    pub link_bytes_per_s: u64,
    /// Bytes of a chunk.
    pub chunk_bytes: u64,
    /// How chunks are found, as agents' settings name it.
    pub scheme: String,
    /// Every n-th engine checks no fence; 0 none.
    pub unfenced_one_in: usize,
    /// Whether processes write a span for each hop.
    pub spans: bool,
    /// Lines added to `[link]` of each agent.
    pub link_extra: String,
}

impl FleetConfig {
    /// A fleet for experiments that measure no spread: quick links, small
    /// chunks, a quarter of the engines checks no fence.
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
            link_bytes_per_s: QUICK_LINK_BYTES_PER_S,
            chunk_bytes: QUICK_CHUNK_BYTES,
            scheme: "swarm".into(),
            unfenced_one_in: 4,
            spans: false,
            link_extra: String::new(),
        }
    }

    /// The same, with a span for each hop.
    pub fn with_spans(mut self) -> FleetConfig {
        self.spans = true;
        self
    }
}

/// A process of the product.
#[derive(Debug)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// Its address.
    pub ip: IpAddr,
    /// Its data centre.
    pub data_centre: String,
    role: &'static str,
    settings: PathBuf,
    child: Option<Child>,
}

/// A running fleet. Dropping it ends its processes.
#[derive(Debug)]
pub struct Fleet {
    config: FleetConfig,
    net: u8,
    folder: TempDir,
    /// The links.
    pub links: Arc<LinkTable>,
    /// What really happened.
    pub truth: Arc<GroundTruth>,
    /// The origin.
    pub origin: Arc<Origin>,
    /// The platform.
    pub platform: Arc<Platform>,
    /// The entry hosts.
    pub entries: Vec<Node>,
    /// The agents of hosts with an engine; the last one's is a plain service.
    pub agents: Vec<Node>,
    /// The engines, by the agents' order.
    pub engines: Vec<Arc<Engine>>,
}

impl Fleet {
    /// Starts stand-ins and processes.
    ///
    /// # Errors
    ///
    /// If an address cannot be had or a process cannot be started.
    pub async fn start(config: FleetConfig) -> io::Result<Fleet> {
        let net = free_net().await?;
        let links = LinkTable::new();
        let origin_ip = ip(net, 2, 1);
        let origin_rate = Some(2 * config.link_bytes_per_s);
        links.add_other(origin_ip, &data_centre(0), origin_rate);
        let origin_at = SocketAddr::new(origin_ip, TARGET_PORT);
        let platform_at = SocketAddr::new(ip(net, 2, 2), TARGET_PORT);
        let mut fleet = Fleet {
            origin: Origin::start(origin_at, links.clone()).await?,
            platform: Platform::start(platform_at).await?,
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

    /// Where callers reach the entry hosts.
    pub fn http_addresses(&self) -> Vec<SocketAddr> {
        let http = |node: &Node| SocketAddr::new(node.ip, HTTP_PORT);
        self.entries.iter().map(http).collect()
    }

    /// The address that callers come from.
    pub fn caller_ip(&self) -> IpAddr {
        ip(self.net, 3, 1)
    }

    /// The folder with settings files and logs.
    pub fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }

    /// Keeps the folder after the fleet's end, for a look at the logs.
    pub fn keep_folder(&mut self) -> PathBuf {
        self.folder.disable_cleanup(true);
        self.folder.path().to_path_buf()
    }

    /// When each engine that serves `manifest` first did.
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
            self.relay(ip).await?;
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
        self.relay(ip).await?;
        let target = SocketAddr::new(ip, TARGET_PORT);
        if is_plain {
            plain::start(target, PLAIN_CALL, self.truth.clone()).await?;
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

    async fn relay(&self, ip: IpAddr) -> io::Result<()> {
        let outside =
            TcpListener::bind(SocketAddr::new(ip, LINK_PORT)).await?;
        self.links.relay(outside, SocketAddr::new(ip, INNER_PORT));
        Ok(())
    }

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

    fn entry_settings(&self, name: &str, ip: IpAddr, at: &str) -> String {
        let node = self.node_section(name, ip, at);
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
        at: &str,
        pool: &str,
    ) -> String {
        let node = self.node_section(name, ip, at);
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

    /// Starts a process again that was ended.
    ///
    /// # Errors
    ///
    /// If it cannot be started.
    pub fn restart_entry(&mut self, index: usize) -> io::Result<()> {
        self.entries[index].start(&self.config.program)
    }

    /// The same for an agent.
    ///
    /// # Errors
    ///
    /// If it cannot be started.
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

    /// Kills the process, as a host's death does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The same, without waiting for its end.
    pub fn crash(&self) {
        self.signal(Signal::SIGKILL);
    }

    /// Tells the process to leave.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Freezes the process.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        let Some(child) = &mut self.child else { return false };
        matches!(child.try_wait(), Ok(None))
    }

    /// The process's id, while it runs.
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

/// The name of the n-th data centre.
pub fn data_centre(index: usize) -> String {
    format!("dc-{index}")
}

/// An address on loopback.
fn ip(net: u8, third: u8, last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, net, third, last))
}

/// Picks a network of loopback that no other run on this machine uses: its
/// platform's address can still be listened on.
async fn free_net() -> io::Result<u8> {
    for _ in 0..50 {
        let net = rand::random_range(1..=250);
        let lock = SocketAddr::new(ip(net, 2, 3), TARGET_PORT);
        if let Ok(listener) = TcpListener::bind(lock).await {
            // The listener stays for the life of the process and so keeps
            // the network taken.
            std::mem::forget(listener);
            return Ok(net);
        }
    }
    Err(io::Error::other("no free network on loopback"))
}
