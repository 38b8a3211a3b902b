use xxhash_rust::xxh3::xxh3_64;

const TAG_BITS: u32 = 16;

/// Draws a random identity of 128 bits in hexadecimal.
///
/// # Errors
///
/// Fails when the operating system has no random numbers.
pub(crate) fn random_identity() -> Result<String, getrandom::Error> {
    Ok(format!("{:032x}", random_bits()?))
}

/// Draws the identity of a request: 112 random bits and the tag of its entry daemon, which lets
/// another daemon find the stream's replay buffer without asking all of them.
///
/// # Errors
///
/// Fails when the operating system has no random numbers.
pub(crate) fn request_identity(daemon: &str) -> Result<String, getrandom::Error> {
    let random = random_bits()? >> TAG_BITS << TAG_BITS;
    Ok(format!("{:032x}", random | u128::from(daemon_tag(daemon))))
}

/// Returns the tag of a daemon in the identities of its requests.
pub(crate) fn daemon_tag(daemon: &str) -> u16 {
    xxh3_64(daemon.as_bytes()) as u16
}

fn random_bits() -> Result<u128, getrandom::Error> {
    let mut bits = [0; 16];
    getrandom::fill(&mut bits)?;
    Ok(u128::from_be_bytes(bits))
}
