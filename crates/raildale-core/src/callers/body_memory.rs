//! The memory for the bodies of callers' requests.

use std::collections::{BTreeMap, HashMap};

use crate::Name;

/// The share of the memory that one organisation may hold with several bodies,
/// as a ratio. The rest is left to others.
const MAX_ORGANISATION_SHARE: (u64, u64) = (3, 4);

/// Identifies a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyId(u64);

/// The decision about a body that needs more memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Growth {
    /// It gets it. The given bodies lose theirs: their requests are refused.
    Granted(Vec<BodyId>),
    /// It does not: others have a better claim.
    Refused,
}

/// The memory for bodies, of which some are still arriving.
///
/// A body that needs more than is free takes it from others that are still
/// arriving. Of the organisation that holds most, if that is more than its own
/// would hold, it takes that of the body that arrives most slowly; within its
/// own organisation only that of a slower one. Requests without an organisation
/// count as those of one. A single body always fits.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    max_bytes: u64,
    last_id: u64,
    bodies: BTreeMap<BodyId, HeldBody>,
    held: Held,
}

/// A body, as far as it has arrived.
#[derive(Clone, Debug)]
struct HeldBody {
    organisation: Option<Name>,
    bytes: u64,
    began_ms: u64,
    is_complete: bool,
}

impl HeldBody {
    /// Returns the rate at which it has arrived, in bytes per second, with
    /// `more_bytes` that have just come.
    fn rate_per_s(&self, now_ms: u64, more_bytes: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.began_ms).max(1);
        (self.bytes + more_bytes) as f64 * 1e3 / age_ms as f64
    }
}

/// The bytes and the number of bodies that are held.
#[derive(Clone, Debug, Default)]
struct Held {
    bytes: u64,
    by_organisation: HashMap<Option<Name>, (u64, usize)>,
}

impl Held {
    fn of(&self, organisation: &Option<Name>) -> (u64, usize) {
        self.by_organisation.get(organisation).copied().unwrap_or_default()
    }

    fn add(&mut self, organisation: &Option<Name>) {
        let held = self.by_organisation.entry(organisation.clone());
        held.or_default().1 += 1;
    }

    fn grow(&mut self, organisation: &Option<Name>, bytes: u64) {
        self.bytes += bytes;
        let held = self.by_organisation.entry(organisation.clone());
        held.or_default().0 += bytes;
    }

    fn remove(&mut self, body: &HeldBody) {
        self.bytes -= body.bytes;
        let Some(held) = self.by_organisation.get_mut(&body.organisation)
        else {
            return;
        };
        held.0 -= body.bytes;
        held.1 -= 1;
        if held.1 == 0 {
            self.by_organisation.remove(&body.organisation);
        }
    }
}

impl BodyMemory {
    /// Creates a memory of `max_bytes`, of which nothing is held.
    pub fn new(max_bytes: u64) -> BodyMemory {
        BodyMemory {
            max_bytes,
            last_id: 0,
            bodies: BTreeMap::new(),
            held: Held::default(),
        }
    }

    /// Returns the bytes that all bodies hold.
    pub fn held_bytes(&self) -> u64 {
        self.held.bytes
    }

    /// Adds a body of an organisation, which began to arrive at `began_ms` and
    /// holds nothing yet.
    pub fn begin(
        &mut self,
        began_ms: u64,
        organisation: Option<Name>,
    ) -> BodyId {
        self.last_id += 1;
        let id = BodyId(self.last_id);
        self.held.add(&organisation);
        let is_complete = false;
        let body = HeldBody { organisation, bytes: 0, began_ms, is_complete };
        self.bodies.insert(id, body);
        id
    }

    /// Decides about another `bytes` for a body that is arriving. A body that
    /// has lost its memory gets none.
    pub fn grow(&mut self, now_ms: u64, id: BodyId, bytes: u64) -> Growth {
        let Some(body) = self.bodies.get(&id) else { return Growth::Refused };
        let claim = Claim {
            now_ms,
            id,
            organisation: body.organisation.clone(),
            bytes,
            rate_per_s: body.rate_per_s(now_ms, bytes),
        };
        let mut released = Vec::new();
        if !self.fits(&self.held, &claim) {
            let Some(victims) = self.victims(&claim) else {
                return Growth::Refused;
            };
            released = victims;
        }
        released.iter().for_each(|id| self.end(*id));
        self.held.grow(&claim.organisation, bytes);
        if let Some(body) = self.bodies.get_mut(&id) {
            body.bytes += bytes;
        }
        Growth::Granted(released)
    }

    /// Returns the bodies that have to lose their memory for a claim to fit;
    /// `None` if the others have a better one.
    fn victims(&self, claim: &Claim) -> Option<Vec<BodyId>> {
        let mut held = self.held.clone();
        let mut victims = Vec::new();
        while !self.fits(&held, claim) {
            let victim = self.victim(&held, claim, &victims)?;
            held.remove(&self.bodies[&victim]);
            victims.push(victim);
        }
        Some(victims)
    }

    /// Returns whether a claim fits beside what is held.
    fn fits(&self, held: &Held, claim: &Claim) -> bool {
        let own_bytes = self.bodies[&claim.id].bytes;
        let is_only = held.bytes == own_bytes;
        let (organisation_bytes, count) = held.of(&claim.organisation);
        let (part, whole) = MAX_ORGANISATION_SHARE;
        let max_share_bytes = self.max_bytes / whole * part;
        let is_in_share =
            count <= 1 || organisation_bytes + claim.bytes <= max_share_bytes;
        is_only || is_in_share && held.bytes + claim.bytes <= self.max_bytes
    }

    /// Returns the next body after `others` that loses its memory to a claim.
    fn victim(
        &self,
        held: &Held,
        claim: &Claim,
        others: &[BodyId],
    ) -> Option<BodyId> {
        let (own_bytes, _) = held.of(&claim.organisation);
        let is_candidate = |(id, body): &(&BodyId, &HeldBody)| {
            let is_other = **id != claim.id && !others.contains(id);
            let is_own = body.organisation == claim.organisation;
            let (bytes, _) = held.of(&body.organisation);
            let is_weaker = match is_own {
                true => body.rate_per_s(claim.now_ms, 0) < claim.rate_per_s,
                false => bytes > own_bytes + claim.bytes,
            };
            is_other && !body.is_complete && body.bytes > 0 && is_weaker
        };
        let order = |(_, a): &(&BodyId, &HeldBody),
                     (_, b): &(&BodyId, &HeldBody)| {
            let (a_bytes, _) = held.of(&a.organisation);
            let (b_bytes, _) = held.of(&b.organisation);
            let a_rate = a.rate_per_s(claim.now_ms, 0);
            let b_rate = b.rate_per_s(claim.now_ms, 0);
            b_bytes.cmp(&a_bytes).then(a_rate.total_cmp(&b_rate))
        };
        let candidates = self.bodies.iter().filter(is_candidate);
        candidates.min_by(order).map(|(id, _)| *id)
    }

    /// Records that a body has arrived whole. It keeps its memory until it
    /// ends.
    pub fn complete(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.is_complete = true;
        }
    }

    /// Records that a body is no longer held.
    pub fn end(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.remove(&id) {
            self.held.remove(&body);
        }
    }
}

/// What a body that is arriving needs.
#[derive(Clone, Debug)]
struct Claim {
    now_ms: u64,
    id: BodyId,
    organisation: Option<Name>,
    bytes: u64,
    rate_per_s: f64,
}
