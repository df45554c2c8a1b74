//! Weight distribution for bursts, with request routing.
//!
//! raildale distributes model weights to hundreds of hosts in minutes while it
//! routes live requests to them. This crate is the library behind its
//! programs: the daemons `raildale-entry` and `raildale-agent`, and the
//! operators' command `raildale`.
//!
//! # Example
//!
//! Settings are validated as a whole before they are accepted:
//!
//! ```
//! let text = r#"
//!     [organisations.club.rules]
//!     favour = "time"
//!     [organisations.club.models.commentary]
//!     pool = "workers"
//! "#;
//! let tree = raildale::settings_text::parse(text).unwrap();
//! let rules = tree.effective("club/commentary").unwrap();
//! assert_eq!(rules.favour.level.as_str(), "organisation");
//!
//! let error = raildale::settings_text::parse("[organisation]").unwrap_err();
//! assert!(error.detail().contains("did you mean `organisations`?"));
//! ```
//!
//! # Where to go next
//!
//! * [`entry_daemon`] and [`agent_daemon`]: the I/O shells around the
//!   reducers.
//! * [`raildale_core`]: all decisions, free of I/O.
//! * `docs/DESIGN.md`: the design and its reasons.

pub mod agent_daemon;
pub mod boot_time;
pub mod chunk_store;
pub mod cli;
pub mod clock;
pub mod codec;
pub mod config;
pub mod entry_daemon;
pub mod error;
pub mod fleet;
pub mod handshake;
pub mod http_api;
pub mod http_client;
pub mod http_server;
pub mod link;
pub mod logs;
pub mod metrics;
pub mod metrics_page;
pub mod origin;
pub mod pacer;
pub mod platform;
pub mod request_body;
pub mod request_path;
pub mod running_timeout;
pub mod settings_text;
pub mod settings_watch;
pub mod settings_write;
pub mod signals;
pub mod status;
pub mod target;
pub mod trace;

pub use crate::error::{Error, ErrorKind};
