use crate::engine::Role;

/// The load of one engine in a [`crate::Digest`].
///
/// A row is encoded in 14 bytes: daemons exchange digests continually, so the size of their rows
/// determines the control traffic of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    /// First 32 bits of the hash of the engine's name.
    pub engine: u32,
    /// Age of the report at [`crate::Digest::at_ms`], in units of 100 ms.
    pub age: u16,
    /// Role reported by the engine.
    pub role: Role,
    /// Whether the engine is draining before it stops.
    pub draining: bool,
    /// Whether the engine is executing an order.
    pub changing: bool,
    /// Sequences in the running batch.
    pub sequences: u16,
    /// Prompt tokens waiting for prefill, in thousands, rounded up.
    pub queued_prefill_thousands: u16,
    /// KV cache memory in use, in units of 2,048 tokens, rounded up.
    pub kv_pieces: u16,
    /// Checksum of the engine's incarnation, models and adapters; a daemon whose description of the
    /// engine has another checksum requests the current one from the engine.
    pub description_checksum: u8,
}

impl Row {
    /// Encoded size of one row in bytes.
    pub const WIRE_BYTES: usize = 14;

    const DRAINING: u8 = 0b0100;
    const CHANGING: u8 = 0b1000;
    const ROLE_MASK: u8 = 0b0011;

    pub(crate) fn encode(&self, wire: &mut Vec<u8>) {
        let mut flags = match self.role {
            Role::Prefill => 0,
            Role::Decode => 1,
            Role::Mixed => 2,
        };
        if self.draining {
            flags |= Self::DRAINING;
        }
        if self.changing {
            flags |= Self::CHANGING;
        }
        wire.extend_from_slice(&self.engine.to_be_bytes());
        wire.extend_from_slice(&self.age.to_be_bytes());
        wire.push(flags);
        wire.push(self.description_checksum);
        wire.extend_from_slice(&self.kv_pieces.to_be_bytes());
        wire.extend_from_slice(&self.sequences.to_be_bytes());
        wire.extend_from_slice(&self.queued_prefill_thousands.to_be_bytes());
    }

    pub(crate) fn decode(wire: &[u8; Self::WIRE_BYTES]) -> Option<Self> {
        let [
            e0,
            e1,
            e2,
            e3,
            a0,
            a1,
            flags,
            description_checksum,
            k0,
            k1,
            s0,
            s1,
            q0,
            q1,
        ] = *wire;
        let role = match flags & Self::ROLE_MASK {
            0 => Role::Prefill,
            1 => Role::Decode,
            2 => Role::Mixed,
            _ => return None,
        };
        Some(Self {
            engine: u32::from_be_bytes([e0, e1, e2, e3]),
            age: u16::from_be_bytes([a0, a1]),
            role,
            draining: flags & Self::DRAINING != 0,
            changing: flags & Self::CHANGING != 0,
            sequences: u16::from_be_bytes([s0, s1]),
            queued_prefill_thousands: u16::from_be_bytes([q0, q1]),
            kv_pieces: u16::from_be_bytes([k0, k1]),
            description_checksum,
        })
    }
}
