//! Distribution of a version to many hosts.
//!
//! A [`tracker::Tracker`] on one entry host grants transfers such that each
//! chunk leaves the origin once and enters each data centre once. Inside a
//! data centre the agents' [`download::Download`]s pull the rarest chunk
//! first, from neighbours whose [`upload::UploadQueue`] has a free slot.
//! Losing the tracker costs additional transfers at most, because each host
//! decides by digests alone whether a version is complete.

pub mod download;
mod site;
pub mod tracker;
pub mod upload;
