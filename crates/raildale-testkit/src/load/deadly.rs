//! Crashes of targets that begin to answer a prompt with a deadly part, and
//! what entry hosts tell one another of them.

use raildale_core::{
    Name,
    catalog::Stamp,
    gateway::{Fingerprint, Fingerprints},
};

use super::{
    sample::CallerRequest,
    world::{Event, World, target_spec},
};

/// The number of parts of which each prompt has one, beside its first part.
const DOCUMENTS: usize = 20;

/// Returns the fingerprints of the request with the given index. Sound and
/// deadly ones share their first part and the other parts.
pub(super) fn fingerprints(
    index: usize,
    request: &CallerRequest,
) -> Fingerprints {
    let mut parts = vec![
        Name::from("system"),
        Name::from(format!("document-{}", index % DOCUMENTS)),
    ];
    if request.is_deadly {
        parts.insert(1, Name::from("deadly"));
    }
    let body = index.to_le_bytes();
    let request = Fingerprint::new(Some("key"), &[&body]);
    Fingerprints::new(request).with_parts(&parts)
}

impl World<'_> {
    /// Returns whether an answer of an attempt ends with its connection.
    pub(super) fn is_unframed(&self, attempt: usize) -> bool {
        let deadly = self.pattern.deadly_part;
        let share = deadly.map_or(0.0, |deadly| deadly.unframed_share);
        ((attempt % 100) as f64) < share * 100.0
    }

    /// Cuts a target, which is back as another start after its down time.
    pub(super) fn crash_target(&mut self, target: usize) {
        let Some(deadly) = self.pattern.deadly_part else { return };
        self.cut_target(target);
        self.schedule(deadly.down_ms, Event::Restart(target));
    }

    /// Lists the new start of a target that crashed.
    pub(super) fn list_new_start(&mut self, index: usize) {
        if self.pattern.deadly_part.is_none() {
            return;
        }
        let target = &self.targets[index];
        let stamp = Stamp::new(0, 1 + u64::from(target.incarnation));
        let mut spec = target_spec(self.pattern, target, index, stamp);
        spec.born_ms = Some(u64::from(target.incarnation));
        for host in &mut self.hosts {
            host.gateway.targets.put(spec.clone());
        }
    }

    /// Merges the suspects that the other entry hosts have sent with their
    /// heartbeats.
    pub(super) fn merge_suspects(&mut self, host: usize) {
        if self.pattern.deadly_part.is_none() {
            return;
        }
        let now_ms = self.clock_ms();
        for other in (0..self.hosts.len()).filter(|other| *other != host) {
            let sent = self.hosts[other].gateway.quarantine.outgoing(now_ms);
            let known = &mut self.hosts[host].gateway.quarantine;
            known.merge_remote(now_ms, sent);
        }
    }
}
