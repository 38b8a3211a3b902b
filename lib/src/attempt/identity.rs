use xxhash_rust::xxh3::xxh3_64;

const TAG_BITS: u32 = 16;

/// Generates a random identity of 128 bits in hexadecimal.
///
/// # Errors
///
/// Fails when the operating system cannot provide random numbers.
pub(crate) fn random_identity() -> Result<String, getrandom::Error> {
    Ok(format!("{:032x}", random_bits()?))
}

/// Generates the identity of a request: 112 random bits and the tag of its entry daemon, which is
/// the one that received it from the caller. With the tag, another daemon finds the stream's replay
/// buffer without querying all daemons.
///
/// # Errors
///
/// Fails when the operating system cannot provide random numbers.
pub(crate) fn request_identity(daemon: &str) -> Result<String, getrandom::Error> {
    let random = random_bits()? >> TAG_BITS << TAG_BITS;
    Ok(format!("{:032x}", random | u128::from(daemon_tag(daemon))))
}

/// Returns the tag by which request identities name a daemon: 16 bits of a hash of its name.
pub(crate) fn daemon_tag(daemon: &str) -> u16 {
    xxh3_64(daemon.as_bytes()) as u16
}

fn random_bits() -> Result<u128, getrandom::Error> {
    let mut bits = [0; 16];
    getrandom::fill(&mut bits)?;
    Ok(u128::from_be_bytes(bits))
}
