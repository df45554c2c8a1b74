//! What an agent knows of the service of its target: the model that it
//! loads, and where its weights come from.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
};

use raildale_core::{Name, fleet_message::Briefing};

/// What is known of a service; briefings and the store both tell it.
#[derive(Debug, Default)]
pub struct ServiceFacts {
    model: RefCell<Option<Name>>,
    origin: Cell<Option<SocketAddr>>,
}

impl ServiceFacts {
    /// Nothing known yet.
    pub fn new() -> ServiceFacts {
        ServiceFacts::default()
    }

    /// Takes over what somebody tells; what is not told stays.
    pub fn note(&self, model: Option<Name>, origin: Option<SocketAddr>) {
        if model.is_some() {
            self.model.replace(model);
        }
        if origin.is_some() {
            self.origin.set(origin);
        }
    }

    /// Takes over what an entry host tells.
    pub fn note_briefing(&self, briefing: &Briefing) {
        let model = briefing.model.as_str();
        let model = (!model.is_empty()).then(|| Name::from(model));
        let origin = match briefing.origin.as_str() {
            "" => None,
            text => match text.parse() {
                Ok(address) => Some(address),
                Err(error) => {
                    log::warn!("briefing: the origin's address: {error}");
                    None
                }
            },
        };
        self.note(model, origin);
    }

    /// The model that the target loads.
    pub fn model(&self) -> Option<Name> {
        self.model.borrow().clone()
    }

    /// Where the origin of weights listens.
    pub fn origin(&self) -> Option<SocketAddr> {
        self.origin.get()
    }
}
