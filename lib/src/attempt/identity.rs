/// Draws a random identity of 128 bits in hexadecimal.
///
/// # Errors
///
/// Fails when the operating system has no random numbers.
pub(crate) fn random_identity() -> Result<String, getrandom::Error> {
    let mut bits = [0; 16];
    getrandom::fill(&mut bits)?;
    Ok(format!("{:032x}", u128::from_be_bytes(bits)))
}
