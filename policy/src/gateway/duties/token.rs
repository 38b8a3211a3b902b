/// Highest number that JSON carries exactly.
const TOKEN_MAX: u64 = (1 << 53) - 1;
/// Shift of the era: holders of one era raise the token by 2^16 each, so there is room for a million
/// of them.
const ERA_SHIFT: u32 = 36;
/// Highest era that leaves room for its holders below [`TOKEN_MAX`].
const ERA_MAX: u64 = (TOKEN_MAX >> ERA_SHIFT) - 1;
/// Shift of the Unix time in ms. A second raises the token by more than the holders of that second.
const TIME_SHIFT: u32 = 10;

/// Returns a number that is at least as high as all fencing tokens of the time before the store was
/// restored from an older copy; new tokens are above it.
///
/// Without an era, a restore goes unnoticed. Then the Unix time raises the token faster than holders do.
#[must_use]
pub fn token_floor(era: Option<u64>, unix_ms: u64) -> u64 {
    match era {
        Some(era) if era <= ERA_MAX => era << ERA_SHIFT,
        _ => unix_ms.saturating_mul(1 << TIME_SHIFT),
    }
    .min(TOKEN_MAX - (1 << ERA_SHIFT))
}

/// Returns whether a token can be sent as a JSON number.
#[must_use]
pub fn is_valid_token(token: u64) -> bool {
    (1..=TOKEN_MAX).contains(&token)
}
