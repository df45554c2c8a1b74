//! The settings tree, its revisions, and writing a change exactly once.

pub mod revision;
pub mod tree;
pub mod writer;

pub use crate::settings::{revision::RevisionGate, tree::Tree};
