//! Requests: admission, routing, run keys and the ledger of runs.

pub mod admission;
pub mod dispatch;
pub mod ledger;
pub mod routing;
pub mod run_key;
