//! Run keys, which pin a request to the one process that may run it.
//!
//! A key names an agent and the incarnation of that agent whose ledger alone
//! decides whether the request runs. A retry under the key, through any entry
//! host, reaches the same ledger or none. Once that incarnation is gone, no
//! process may run the key, and the outcome is reported as unknown.
//!
//! Unlike pinning a request to an entry host, leasing slots or writing each
//! request to the platform, this needs no store and no hand-over. Its cost is
//! that the keys pinned to an agent become useless when the agent dies.

use std::fmt;

use crate::Name;

const PREFIX: &str = "rk1";
const MAC_HEX_LEN: usize = 32;

/// The secret key of the cluster, which signs greetings and run keys.
#[derive(Clone)]
pub struct ClusterKey([u8; 32]);

impl ClusterKey {
    /// Derives the key from the secret text configured by the operators.
    pub fn new(secret: &str) -> ClusterKey {
        ClusterKey(blake3::derive_key(
            "raildale 2026 cluster key",
            secret.as_bytes(),
        ))
    }

    /// Returns the MAC of `parts`. Each part is hashed with its length, so
    /// that no two different lists have the same input.
    pub fn sign(&self, parts: &[&[u8]]) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        *hasher.finalize().as_bytes()
    }

    /// Returns whether `mac` is the MAC of `parts`, in constant time.
    pub fn verifies(&self, parts: &[&[u8]], mac: &[u8]) -> bool {
        let expected = blake3::Hash::from_bytes(self.sign(parts));
        blake3::Hash::from_slice(mac).is_ok_and(|given| given == expected)
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey(..)")
    }
}

/// A run key, which names the agent that alone may run a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunKey {
    /// The name of the agent.
    pub agent: Name,
    /// The incarnation of that agent.
    pub incarnation: u64,
    /// A number that distinguishes this key from all others.
    pub serial: u64,
    /// The time at which the key expires, on the issuer's clock.
    pub expires_ms: u64,
}

impl RunKey {
    /// Returns the text given to the caller, signed for `organisation`.
    pub fn to_text(&self, cluster: &ClusterKey, organisation: &str) -> String {
        let body = self.body();
        let mac = mac(cluster, organisation, &body);
        format!("{body}.{mac}")
    }

    /// Parses the text of a key. Returns `None` unless this cluster signed it
    /// for `organisation`.
    pub fn parse(
        text: &str,
        cluster: &ClusterKey,
        organisation: &str,
    ) -> Option<RunKey> {
        let (body, given) = text.rsplit_once('.')?;
        let expected = mac(cluster, organisation, body);
        // Hashing both sides makes the comparison constant in time.
        if blake3::hash(given.as_bytes()) != blake3::hash(expected.as_bytes())
        {
            return None;
        }
        RunKey::parse_body(body)
    }

    /// Parses the text of a key whose signature another process of this
    /// cluster has verified. Returns `None` if it is malformed.
    pub fn parse_unchecked(text: &str) -> Option<RunKey> {
        RunKey::parse_body(text.rsplit_once('.')?.0)
    }

    fn body(&self) -> String {
        format!(
            "{PREFIX}.{}.{:x}.{:x}.{:x}",
            self.agent, self.incarnation, self.serial, self.expires_ms
        )
    }

    fn parse_body(body: &str) -> Option<RunKey> {
        let rest = body.strip_prefix(PREFIX)?.strip_prefix('.')?;
        let mut fields = rest.rsplitn(4, '.');
        let mut number =
            || u64::from_str_radix(fields.next().unwrap_or(""), 16).ok();
        let expires_ms = number()?;
        let serial = number()?;
        let incarnation = number()?;
        let agent = fields.next()?.into();
        Some(RunKey { agent, incarnation, serial, expires_ms })
    }
}

fn mac(cluster: &ClusterKey, organisation: &str, body: &str) -> String {
    let mac =
        cluster.sign(&[b"run", organisation.as_bytes(), body.as_bytes()]);
    let mut text = blake3::Hash::from_bytes(mac).to_hex().to_string();
    text.truncate(MAC_HEX_LEN);
    text
}
