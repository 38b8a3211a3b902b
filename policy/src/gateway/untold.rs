use ragwortgrade_schema::Name;

use super::Part;

/// Parts that wait to be told; a datagram with more would be split.
const UNTOLD_MAX: usize = 48;

/// A shared part that was sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sent {
    /// Engine that holds the part now.
    pub engine: Name,
    /// Identity of the part.
    pub part: u64,
}

/// Shared parts that others have not been told of yet.
///
/// Daemons of the data centre are told all; other data centres are told the long ones.
#[derive(Debug, Default)]
pub(super) struct Untold {
    near: Vec<Sent>,
    far: Vec<Sent>,
}

impl Untold {
    /// Notes a part that this daemon sent to an engine.
    pub(super) fn note(&mut self, engine: &Name, part: &Part) {
        let sent = Sent {
            engine: engine.clone(),
            part: part.id,
        };
        if part.is_long() {
            push(&mut self.far, sent.clone());
        }
        push(&mut self.near, sent);
    }

    pub(super) fn take_near(&mut self) -> Vec<Sent> {
        std::mem::take(&mut self.near)
    }

    pub(super) fn take_far(&mut self) -> Vec<Sent> {
        std::mem::take(&mut self.far)
    }
}

fn push(parts: &mut Vec<Sent>, sent: Sent) {
    if parts.len() < UNTOLD_MAX && !parts.contains(&sent) {
        parts.push(sent);
    }
}
