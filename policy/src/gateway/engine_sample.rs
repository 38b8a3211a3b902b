//! Sample of the engines of a very large fleet, so that the time of a decision is bounded.

use super::Endpoint;
use super::placement_request::PlacementRequest;

/// Largest number of engines of one stage that are all compared: above that of a deployment of 140
/// engines.
pub(super) const COMPARED_MAX: usize = 140;
/// Number of engines that are compared in a larger fleet: of the own data centre and of others. The
/// best of 24 random engines is among the best 12% with a probability of 95%.
const OWN_SAMPLE: usize = 24;
const OTHER_SAMPLE: usize = 8;

/// Returns the engines to compare: all of them, or a sample from the point that the request's seed
/// determines ("The Power of Two Choices in Randomized Load Balancing", M. Mitzenmacher, 2001).
pub(super) fn sampled<'a>(
    engines: &[&'a Endpoint],
    request: &PlacementRequest<'_>,
) -> Vec<&'a Endpoint> {
    let Some(seed) = request.sample_seed.filter(|_| engines.len() > COMPARED_MAX) else {
        return engines.to_vec();
    };
    let start = (seed % engines.len() as u64) as usize;
    let (before, after) = engines.split_at(start);
    let (mut own, mut others) = (0, 0);
    let mut sample = Vec::with_capacity(OWN_SAMPLE + OTHER_SAMPLE);
    for engine in after.iter().chain(before) {
        let is_own = engine.data_centre == *request.data_centre;
        let (count, count_max) = if is_own {
            (&mut own, OWN_SAMPLE)
        } else {
            (&mut others, OTHER_SAMPLE)
        };
        if *count < count_max {
            *count += 1;
            sample.push(*engine);
        }
        if own == OWN_SAMPLE && others == OTHER_SAMPLE {
            break;
        }
    }
    sample
}
