use std::collections::HashMap;

use ragwortgrade_schema::Name;

use super::WaitLimit;

/// Fraction of its route's share of admitted prompts that each size band is owed.
const BAND_SHARE_MIN: f64 = 0.55;
/// Weight of one prompt in the moving average of the admitted share; about 30 prompts dominate it.
const ADMITTED_SHARE_WEIGHT: f64 = 0.03;
/// Most admissions that a band can be owed.
const OWED_MAX: f64 = 4.0;
/// Admitted share of a route from which an overload counts as over and nothing is owed. Otherwise
/// the last refusals of a size that arrives seldom would have an effect until its next admission.
const ADMITTED_SHARE_CALM: f64 = 0.98;
/// Admissions owed to larger prompts from which the limit of the smaller ones gets shorter.
const OWED_UNTIL_SHORTER: f64 = 2.0;
/// Number of size bands. Each is twice as wide as the one below, so the last one begins at 4
/// million tokens.
const BANDS: usize = 23;
/// Bands below one that is owed an admission whose prompts wait less. Shorter prompts hardly delay
/// those that are owed.
const YIELDING_BANDS: usize = 2;

/// Admissions of each route by the size of the prompt.
///
/// A limit on the expected time to the first event alone admits short prompts behind queues in
/// which long ones already miss their target. Under overload, the short ones then keep the queues
/// so long that hardly a long one is admitted. Each band is therefore owed a fraction of its
/// route's admitted share. The admissions owed are counted as in error diffusion (R. W. Floyd and
/// L. Steinberg, "An Adaptive Algorithm for Spatial Greyscale", 1976).
#[derive(Debug, Default)]
pub struct SizeShares {
    routes: HashMap<Name, RouteShares>,
}

#[derive(Debug)]
struct RouteShares {
    /// Moving average of the share of prompts that are admitted.
    admitted_share: f64,
    /// Admissions that each size band is owed.
    owed: [f64; BANDS],
}

impl Default for RouteShares {
    fn default() -> Self {
        Self {
            admitted_share: 1.0,
            owed: [0.0; BANDS],
        }
    }
}

impl SizeShares {
    /// Returns the limit on the wait of a prompt. While prompts of its size or somewhat larger ones
    /// are owed an admission, the limit does not grow with the time that its own prefill leaves, and
    /// it is shorter the more the larger ones are owed.
    #[must_use]
    pub fn wait_limit(&self, route: &Name, prompt_tokens: u32) -> WaitLimit {
        let Some(shares) = self.routes.get(route) else {
            return WaitLimit::WhileTargetIsMet;
        };
        let own_band = band(prompt_tokens);
        let owed = shares.owed[own_band];
        let larger = shares.owed[own_band + 1..].iter().take(YIELDING_BANDS);
        let owed_to_larger = larger.copied().fold(0.0, f64::max);
        if owed_to_larger > owed && owed_to_larger >= 1.0 {
            let fraction = (OWED_UNTIL_SHORTER / owed_to_larger).min(1.0);
            WaitLimit::SameForAllSizes { fraction }
        } else if owed >= 1.0 {
            WaitLimit::SameForAllSizes { fraction: 1.0 }
        } else {
            WaitLimit::WhileTargetIsMet
        }
    }

    /// Records whether a prompt was admitted.
    pub fn record(&mut self, route: &Name, prompt_tokens: u32, is_admitted: bool) {
        let shares = self.routes.entry(route.clone()).or_default();
        let admitted = f64::from(u8::from(is_admitted));
        shares.admitted_share += (admitted - shares.admitted_share) * ADMITTED_SHARE_WEIGHT;
        if shares.admitted_share > ADMITTED_SHARE_CALM {
            shares.owed.fill(0.0);
        }
        let owed = &mut shares.owed[band(prompt_tokens)];
        // Admissions beyond what is owed are not saved up for a later overload.
        *owed = (*owed + BAND_SHARE_MIN * shares.admitted_share - admitted).clamp(0.0, OWED_MAX);
    }
}

/// Returns the index of the size band of a prompt.
fn band(prompt_tokens: u32) -> usize {
    let doublings = prompt_tokens.max(1).ilog2() as usize;
    doublings.min(BANDS - 1)
}
