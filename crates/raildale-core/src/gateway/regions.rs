//! Regions, and the regions in which a request may be served.
//!
//! A route and an organisation may each limit the regions of their requests;
//! both limits apply. Where neither names a region, and in fleets whose
//! regions are not known, nothing changes.

use std::collections::BTreeMap;

use crate::Name;

/// The region of each data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Regions(BTreeMap<Name, Name>);

impl Regions {
    /// Creates a set without data centres.
    pub fn new() -> Regions {
        Regions::default()
    }

    /// Adds a data centre and its region.
    pub fn with_data_centre(mut self, centre: Name, region: Name) -> Regions {
        self.0.insert(centre, region);
        self
    }

    /// Returns the region of a data centre; `None` if it is not known.
    pub fn region(&self, centre: &str) -> Option<&Name> {
        self.0.get(centre)
    }

    /// Returns whether a data centre is in one of `regions`. One whose region
    /// is not known is in none.
    pub fn is_in(&self, centre: &str, regions: &[Name]) -> bool {
        let region = self.region(centre);
        region.is_some_and(|region| regions.contains(region))
    }
}

/// The regions in which a request may be served.
#[derive(Clone, Copy, Debug, Default)]
pub struct Residency<'a> {
    /// The regions that its route allows; any if empty.
    pub route: &'a [Name],
    /// The regions that its organisation allows; any if empty.
    pub organisation: &'a [Name],
}

impl Residency<'_> {
    /// Returns whether a target in a data centre may serve the request.
    pub fn allows(&self, regions: &Regions, centre: &str) -> bool {
        [self.route, self.organisation].iter().all(|allowed| {
            allowed.is_empty() || regions.is_in(centre, allowed)
        })
    }
}
