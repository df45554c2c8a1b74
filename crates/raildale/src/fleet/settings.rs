//! The settings file of a process in a fleet, in TOML.
//!
//! Unknown fields are ignored, because a platform fills in the file from
//! templates that may be newer than the program.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    path::Path,
};

use raildale_core::{Name, gateway::regions::Regions};
use serde::Deserialize;

use crate::{
    config,
    error::{Error, ErrorKind},
};

/// The settings file.
#[derive(Clone, Debug, Deserialize)]
pub struct FleetFile {
    /// The settings of every process.
    pub node: NodeSettings,
    /// The addresses on which an entry host listens for callers.
    pub listen: Option<ListenSettings>,
    /// The target that an agent serves.
    pub target: Option<TargetSettings>,
    /// The platform's store.
    pub store: StoreSettings,
    /// The machine's resources.
    pub machine: MachineSettings,
    /// Bounds that the platform's users set.
    pub bounds: BoundSettings,
    /// The region of each data centre; empty if requests are not bound to
    /// regions.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
}

/// The settings of every process.
#[derive(Clone, Debug, Deserialize)]
pub struct NodeSettings {
    /// Its name, unique in the fleet.
    pub name: String,
    /// Its address.
    pub ip: IpAddr,
    /// Its data centre.
    pub data_centre: String,
    /// The first and last port for the fleet's own traffic.
    pub ports: [u16; 2],
    /// The entry hosts to contact first; they may be gone.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The level of the log: `error`, `warn`, `info`, `debug`.
    #[serde(default = "default_log")]
    pub log: String,
}

/// The addresses on which an entry host listens for callers.
#[derive(Clone, Debug, Deserialize)]
pub struct ListenSettings {
    /// For requests.
    pub callers: SocketAddr,
    /// For readiness checks.
    pub readiness: SocketAddr,
    /// For queries for the addresses of entry hosts.
    pub addresses: SocketAddr,
}

/// The target that an agent serves.
#[derive(Clone, Debug, Deserialize)]
pub struct TargetSettings {
    /// The address on which it accepts requests.
    pub address: SocketAddr,
    /// Its service.
    pub service: String,
}

/// The platform's store.
#[derive(Clone, Debug, Deserialize)]
pub struct StoreSettings {
    /// The address on which it listens.
    pub address: SocketAddr,
}

/// The machine's resources.
#[derive(Clone, Debug, Deserialize)]
pub struct MachineSettings {
    /// The rate of its link, in megabits per second.
    pub link_mbps: f64,
    /// Its share of a core; none if it is not known.
    pub cpu_share: Option<f64>,
    /// The speed of that core, relative to the usual one.
    #[serde(default = "default_cores")]
    pub cores: f64,
    /// The memory of a process, in megabytes.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u32,
    /// The descriptors of a process, files included.
    #[serde(default = "default_max_fds")]
    pub max_fds: u32,
}

impl MachineSettings {
    /// Returns the share of processor time in thousandths of a usual core.
    pub fn cpu_millis(&self) -> Option<u32> {
        let share = self.cpu_share?;
        Some((share * self.cores * 1e3) as u32)
    }
}

/// Bounds that the platform's users set.
#[derive(Clone, Debug, Deserialize)]
pub struct BoundSettings {
    /// The time from the signal to stop until the process is killed, in
    /// seconds.
    #[serde(default = "default_grace_s")]
    pub grace_s: f64,
    /// The number of retries allowed per request, as a ratio.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// The number of additional retries allowed in any window.
    #[serde(default = "default_retry_extra")]
    pub retry_extra: f64,
    /// The time from the naming of a version until nothing older may start, in
    /// milliseconds; 0 if there is no such bound.
    #[serde(default)]
    pub version_ms: u64,
    /// The time from an evacuation of a data centre until its targets must
    /// get nothing more, in milliseconds; 0 if there are no evacuations.
    #[serde(default)]
    pub evacuate_ms: u64,
    /// The maximum time that callers may cache the list of addresses, in
    /// seconds.
    #[serde(default = "default_ttl_max_s")]
    pub ttl_max_s: f64,
}

fn default_log() -> String {
    "info".to_string()
}

fn default_cores() -> f64 {
    1.0
}

fn default_memory_mb() -> u32 {
    256
}

fn default_max_fds() -> u32 {
    4_096
}

fn default_grace_s() -> f64 {
    8.0
}

fn default_retry_ratio() -> f64 {
    0.2
}

fn default_retry_extra() -> f64 {
    50.0
}

fn default_ttl_max_s() -> f64 {
    5.0
}

/// Bits in a megabit.
const BITS_PER_MEGABIT: f64 = 1e6;

impl FleetFile {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Config`] with the file and the field.
    pub fn read(path: &Path) -> Result<FleetFile, Error> {
        let file: FleetFile = config::read(path)?;
        file.check().map_err(|field| {
            let detail = format!("{}: {field}", path.display());
            Error::new(ErrorKind::Config, detail)
        })?;
        Ok(file)
    }

    fn check(&self) -> Result<(), String> {
        let [first, last] = self.node.ports;
        if first >= last {
            return Err(format!(
                "node.ports: {first} to {last} must contain at least two ports"
            ));
        }
        if self.machine.link_mbps <= 0.0 {
            return Err("machine.link_mbps: must be above 0".to_string());
        }
        if self.machine.memory_mb == 0 || self.machine.max_fds == 0 {
            return Err("machine.memory_mb, machine.max_fds: must be above 0"
                .to_string());
        }
        if self.bounds.retry_ratio < 0.0 || self.bounds.retry_extra < 0.0 {
            return Err("bounds.retry_ratio, bounds.retry_extra: must not \
                        be negative"
                .to_string());
        }
        Ok(())
    }

    /// Returns the region of each data centre.
    pub fn regions(&self) -> Regions {
        let name = |text: &String| Name::from(text.as_str());
        let centres = self.regions.iter();
        centres.fold(Regions::new(), |regions, (centre, region)| {
            regions.with_data_centre(name(centre), name(region))
        })
    }

    /// Returns the rate of the machine's link, in bytes per second.
    pub fn link_bytes_per_s(&self) -> f64 {
        self.machine.link_mbps * BITS_PER_MEGABIT / 8.0
    }
}

impl NodeSettings {
    /// Returns the port of the entry hosts' traffic.
    pub fn entry_port(&self) -> u16 {
        self.ports[0]
    }

    /// Returns the addresses on which the seeds listen for the fleet's
    /// datagrams: the settings give them with another port.
    pub fn seed_entry_hosts(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let port = self.entry_port();
        self.seeds.iter().map(move |seed| SocketAddr::new(seed.ip(), port))
    }

    /// Returns the port of the agents' traffic.
    pub fn agent_port(&self) -> u16 {
        self.ports[0] + 1
    }
}
