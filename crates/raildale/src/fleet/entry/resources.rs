//! How an entry host divides what its machine has.

use crate::fleet::{frames::REQUEST_BUFFER_BYTES, settings::MachineSettings};

/// Bytes in a megabyte of the settings.
const MEGABYTE: u64 = 1 << 20;

/// The least memory that is divided, in megabytes: a large answer has to fit
/// its part.
const MIN_MEMORY_MB: u32 = 40;

/// What the process needs when nobody sends it anything, in bytes.
const PROCESS_BYTES: u64 = 16 << 20;

/// The share for bodies of callers' requests of what all others leave, as a
/// ratio. The rest is for what the allocator cannot use again.
const BODY_SHARE: (u64, u64) = (3, 4);

/// The part of the memory for callers' connections: one in this many.
const CONNECTION_MEMORY_PART: u64 = 4;

/// The part of the memory for long heads at a port: one in this many.
const HEAD_MEMORY_PART: u64 = 64;

/// The number of ports that take heads.
const HEAD_PORTS: u64 = 3;

/// The part of the memory for large answers and events: one in this many.
const LARGE_ANSWER_PART: usize = 5;

/// The most memory for them, in bytes.
const MAX_LARGE_ANSWER_BYTES: usize = 32 << 20;

/// The part of the memory for medium answers: one in this many.
const MEDIUM_ANSWER_PART: usize = 16;

/// The most memory for them, in bytes.
const MAX_MEDIUM_ANSWER_BYTES: usize = 16 << 20;

/// The receive buffer of a caller's connection, in bytes.
pub const CALLER_BUFFER_BYTES: usize = 32 << 10;

/// What a connection takes, in bytes: its receive buffer, and for what is read
/// ahead, the first part of a body, a small answer, and the state of its task.
pub const CONNECTION_BYTES: u64 = CALLER_BUFFER_BYTES as u64 + (40 << 10);

/// What a connection to one of the other ports takes, in bytes: its buffers and
/// the state of its task.
const SERVICE_CONNECTION_BYTES: u64 = REQUEST_BUFFER_BYTES as u64 + (12 << 10);

/// The part of the memory for connections of other entry hosts: one in this
/// many.
const PEER_MEMORY_PART: u64 = 16;

/// The same for each of the other ports.
const SERVICE_MEMORY_PART: u64 = 64;

/// The descriptors that are kept for files.
const FILE_DESCRIPTORS: u32 = 200;

/// The part of the other descriptors for callers: one in this many. A request
/// may need another one for its target.
const CALLER_PART: usize = 2;

/// The same for other entry hosts, which all ask the same few after a loss of
/// all.
const PEER_PART: usize = 8;

/// The same for each of the other ports.
const SERVICE_PART: usize = 16;

/// The least connections of a port.
const MIN_CONNECTIONS: usize = 8;

/// What an entry host may use for what others can make it hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resources {
    /// The memory for the bodies of callers' requests, in bytes.
    pub body_bytes: u64,
    /// The memory for long heads at a port, in bytes.
    pub head_bytes: usize,
    /// The memory for medium answers, in bytes.
    pub medium_answer_bytes: usize,
    /// The memory for large answers and events, in bytes.
    pub large_answer_bytes: usize,
    /// The maximum number of callers' connections.
    pub caller_connections: usize,
    /// The maximum number of connections of other entry hosts.
    pub peer_connections: usize,
    /// The maximum number of connections of each other port.
    pub service_connections: usize,
}

impl Resources {
    /// Divides what a machine has.
    pub fn new(machine: &MachineSettings) -> Resources {
        let memory_mb = machine.memory_mb.max(MIN_MEMORY_MB);
        let memory_bytes = u64::from(memory_mb) * MEGABYTE;
        let sockets = machine.max_fds.saturating_sub(FILE_DESCRIPTORS);
        let sockets = sockets as usize;
        // As many connections as a part of the memory and one of the
        // descriptors allow.
        let connections = |memory_part, bytes, descriptor_part| {
            let in_memory = (memory_bytes / memory_part / bytes) as usize;
            in_memory.min(sockets / descriptor_part).max(MIN_CONNECTIONS)
        };
        let mut resources = Resources {
            body_bytes: 0,
            head_bytes: (memory_bytes / HEAD_MEMORY_PART) as usize,
            medium_answer_bytes: MAX_MEDIUM_ANSWER_BYTES
                .min(memory_bytes as usize / MEDIUM_ANSWER_PART),
            large_answer_bytes: MAX_LARGE_ANSWER_BYTES
                .min(memory_bytes as usize / LARGE_ANSWER_PART),
            caller_connections: connections(
                CONNECTION_MEMORY_PART,
                CONNECTION_BYTES,
                CALLER_PART,
            ),
            peer_connections: connections(
                PEER_MEMORY_PART,
                SERVICE_CONNECTION_BYTES,
                PEER_PART,
            ),
            service_connections: connections(
                SERVICE_MEMORY_PART,
                SERVICE_CONNECTION_BYTES,
                SERVICE_PART,
            ),
        };
        let other_bytes = PROCESS_BYTES + resources.other_bytes();
        let (part, whole) = BODY_SHARE;
        let left_bytes = memory_bytes.saturating_sub(other_bytes);
        resources.body_bytes = left_bytes / whole * part;
        resources
    }

    /// Returns the memory for all but bodies, in bytes.
    fn other_bytes(&self) -> u64 {
        let answers = self.medium_answer_bytes + self.large_answer_bytes;
        let services = 2 * self.service_connections + self.peer_connections;
        answers as u64
            + self.head_bytes as u64 * HEAD_PORTS
            + self.caller_connections as u64 * CONNECTION_BYTES
            + services as u64 * SERVICE_CONNECTION_BYTES
    }
}
