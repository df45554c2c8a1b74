//! Distribution of one message to many entry hosts through some of them.
//!
//! The sender sends the message to a few recipients, each of which passes it
//! on to a part of the others in the same way. No entry host sends more than
//! [`FAN_OUT`] copies, however many there are. The message carries the
//! remaining recipients, so that entry hosts with different views of the fleet
//! still reach every one of them exactly once.
//!
//! If an entry host on the way has died, those behind it miss the message.
//! Messages are repeated, and each time other entry hosts pass them on.

use std::net::IpAddr;

/// The number of copies of a message that an entry host sends.
pub const FAN_OUT: usize = 4;

/// A recipient of a message, and those to which it passes the message on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Branch {
    /// The recipient.
    pub ip: IpAddr,
    /// The others behind it.
    pub pass_on_to: Vec<IpAddr>,
}

/// Divides recipients into at most [`FAN_OUT`] branches of equal size. Earlier
/// recipients stand nearer to the sender than later ones.
pub fn branches(recipients: &[IpAddr]) -> Vec<Branch> {
    let (first, others) = recipients.split_at(recipients.len().min(FAN_OUT));
    let mut branches: Vec<Branch> = first
        .iter()
        .map(|ip| Branch { ip: *ip, pass_on_to: Vec::new() })
        .collect();
    for (index, ip) in others.iter().enumerate() {
        branches[index % FAN_OUT].pass_on_to.push(*ip);
    }
    branches
}
