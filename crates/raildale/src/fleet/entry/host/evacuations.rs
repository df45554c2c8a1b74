//! Applies the operator's evacuations of data centres.

use raildale_core::{LogEvent, Name, catalog::Kind};

use super::EntryHost;
use crate::fleet::{
    edge::{Dialect, Store},
    steady_clock::now_ms,
};

impl<P: Dialect + Store + 'static> EntryHost<P> {
    pub(super) fn begin_evacuation(&self, centre: Name) {
        let mut gateway = self.gateway.borrow_mut();
        let is_new = gateway.targets.evacuations.begin(centre.clone());
        drop(gateway);
        if is_new {
            let detail = format!("data_centre={centre} in_force=true");
            self.log_evacuation(&detail);
        }
    }

    pub(super) fn end_evacuation(&self, centre: &str) {
        let mut gateway = self.gateway.borrow_mut();
        let was_in_force = gateway.targets.evacuations.end(centre);
        drop(gateway);
        if was_in_force {
            let detail = format!("data_centre={centre} in_force=false");
            self.log_evacuation(&detail);
        }
    }

    /// Records that a restore of the store lost an evacuation, which stays in
    /// force for a while.
    pub(super) fn record_lost_evacuation(&self, centre: &str) {
        let mut gateway = self.gateway.borrow_mut();
        gateway.targets.evacuations.record_lost(now_ms(), centre);
        drop(gateway);
        let detail = format!("data_centre={centre} in_force=true lost=true");
        self.log_evacuation(&detail);
    }

    /// Lets requests be sent once the evacuations are known.
    pub(super) fn record_evacuations_known(&self) {
        if self.store_mirror.is_known(Kind::Evacuations) {
            self.gateway.borrow_mut().targets.evacuations.set_known();
        }
    }

    /// Ends evacuations that a restore of the store lost long ago.
    pub(super) fn sweep_evacuations(&self) {
        let mut gateway = self.gateway.borrow_mut();
        let over = gateway.targets.evacuations.sweep(now_ms());
        drop(gateway);
        for centre in over {
            let detail =
                format!("data_centre={centre} in_force=false lost=true");
            self.log_evacuation(&detail);
        }
    }

    fn log_evacuation(&self, detail: &str) {
        let gateway = self.gateway.borrow();
        let count = gateway.targets.evacuations.centres().count();
        drop(gateway);
        self.metrics.set("evacuated_data_centres", "", count as u64);
        self.log(LogEvent::Evacuation, detail);
    }
}
