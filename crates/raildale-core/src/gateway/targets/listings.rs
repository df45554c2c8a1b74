//! The list of targets, and which of its entries are used.
//!
//! Several entries may have one address: those of a target that crashed and of
//! the one that started after it, or of other writers. At each address the
//! latest valid entry is used whose service the configuration names. The
//! others stay here, so that the order in which entries and configurations
//! arrive makes no difference, and an entry is used again once a later one
//! with its address goes.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use crate::{Name, gateway::target::TargetSpec};

/// What became of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// It is used.
    InUse,
    /// A later entry has its address.
    Displaced,
    /// The configuration does not name its service.
    UnknownService,
    /// It names no address or number of slots that a target can have.
    Invalid,
}

/// The entries of the list of targets.
#[derive(Debug, Default)]
pub(super) struct Listings {
    by_id: BTreeMap<Name, TargetSpec>,
    by_address: BTreeMap<SocketAddr, BTreeSet<Name>>,
    /// The services of the configuration; `None` while there is none, when the
    /// entries of all services are used.
    services: Option<BTreeSet<Name>>,
}

impl Listings {
    /// Sets the services that the configuration names. Returns whether they
    /// changed.
    pub(super) fn set_services(&mut self, services: BTreeSet<Name>) -> bool {
        let services = Some(services);
        let is_changed = self.services != services;
        self.services = services;
        is_changed
    }

    /// Adds or replaces an entry. Returns the address that it had before, if
    /// that was another one.
    pub(super) fn put(&mut self, spec: TargetSpec) -> Option<SocketAddr> {
        let (id, address) = (spec.id.clone(), spec.address);
        let before = self.by_id.insert(id.clone(), spec);
        let left = before.map(|spec| spec.address).filter(|a| *a != address);
        if let Some(left) = left {
            self.leave_address(&id, left);
        }
        self.by_address.entry(address).or_default().insert(id);
        left
    }

    /// Removes an entry. Returns its content.
    pub(super) fn remove(&mut self, id: &str) -> Option<TargetSpec> {
        let spec = self.by_id.remove(id)?;
        self.leave_address(id, spec.address);
        Some(spec)
    }

    /// Returns an entry.
    pub(super) fn get(&self, id: &str) -> Option<&TargetSpec> {
        self.by_id.get(id)
    }

    /// Returns all addresses of entries.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        self.by_address.keys().copied().collect()
    }

    /// Returns the entry that is used at an address.
    pub(super) fn used_at(&self, address: SocketAddr) -> Option<&TargetSpec> {
        let ids = self.by_address.get(&address)?;
        let entries = ids.iter().filter_map(|id| self.by_id.get(id));
        let valid = entries.filter(|spec| spec.is_valid());
        let usable = valid.filter(|spec| self.is_known_service(spec));
        usable.max_by(|a, b| (a.stamp, &a.id).cmp(&(b.stamp, &b.id)))
    }

    /// Returns what became of an entry.
    pub(super) fn placement(&self, id: &str) -> Option<Placement> {
        let spec = self.by_id.get(id)?;
        if !spec.is_valid() {
            return Some(Placement::Invalid);
        }
        if !self.is_known_service(spec) {
            return Some(Placement::UnknownService);
        }
        let used = self.used_at(spec.address);
        match used.is_some_and(|used| used.id == spec.id) {
            true => Some(Placement::InUse),
            false => Some(Placement::Displaced),
        }
    }

    /// Returns the entries whose service the configuration does not name.
    pub(super) fn with_unknown_service(
        &self,
    ) -> impl Iterator<Item = &TargetSpec> {
        self.by_id.values().filter(|spec| !self.is_known_service(spec))
    }

    fn is_known_service(&self, spec: &TargetSpec) -> bool {
        let services = self.services.as_ref();
        services.is_none_or(|services| services.contains(&spec.service))
    }

    fn leave_address(&mut self, id: &str, address: SocketAddr) {
        if let Some(ids) = self.by_address.get_mut(&address) {
            ids.remove(id);
            if ids.is_empty() {
                self.by_address.remove(&address);
            }
        }
    }
}
