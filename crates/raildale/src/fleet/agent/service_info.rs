//! Information about the service of an agent's target: the model that it
//! loads, where its weights come from, and the path of its health checks.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
};

use raildale_core::{Name, fleet_message::Briefing};

/// Information about a service, from briefings and from the store.
#[derive(Debug, Default)]
pub struct ServiceInfo {
    model: RefCell<Option<Name>>,
    origin: Cell<Option<SocketAddr>>,
    health_path: RefCell<Option<Name>>,
}

impl ServiceInfo {
    /// Creates it without any information.
    pub fn new() -> ServiceInfo {
        ServiceInfo::default()
    }

    /// Updates the model and the origin; `None` leaves the value unchanged.
    pub fn update(&self, model: Option<Name>, origin: Option<SocketAddr>) {
        if model.is_some() {
            self.model.replace(model);
        }
        if origin.is_some() {
            self.origin.set(origin);
        }
    }

    /// Sets the path of the targets' health checks; an empty path changes
    /// nothing.
    pub fn set_health_path(&self, path: &str) {
        if !path.is_empty() {
            self.health_path.replace(Some(Name::from(path)));
        }
    }

    /// Updates everything that a briefing contains.
    pub fn apply_briefing(&self, briefing: &Briefing) {
        let model = briefing.model.as_str();
        let model = (!model.is_empty()).then(|| Name::from(model));
        let origin = match briefing.origin.as_str() {
            "" => None,
            text => match text.parse() {
                Ok(address) => Some(address),
                Err(error) => {
                    log::warn!("briefing: invalid origin address: {error}");
                    None
                }
            },
        };
        self.update(model, origin);
        self.set_health_path(&briefing.health_path);
    }

    /// Returns the model that the target loads; `None` if unknown.
    pub fn model(&self) -> Option<Name> {
        self.model.borrow().clone()
    }

    /// Returns the path of the targets' health checks, whose answers contain
    /// the target's ID; `None` if unknown.
    pub fn health_path(&self) -> Option<Name> {
        self.health_path.borrow().clone()
    }

    /// Returns the address of the origin of weights; `None` if unknown.
    pub fn origin(&self) -> Option<SocketAddr> {
        self.origin.get()
    }
}
