/// Distributes `amount` over `levels`, lowest first (water-filling), and returns the resulting
/// level.
///
/// This models how daemons with the same report distribute their dispatches. A daemon that ignored
/// the others' dispatches since the report would choose the same engine as all of them.
///
/// For an `amount` of 0, as with a single daemon, the result is NaN if there are any levels;
/// callers combine it by `f64::max`, which ignores it.
pub(super) fn water_level(levels: &[f64], amount: f64, scratch: &mut Vec<f64>) -> f64 {
    scratch.clear();
    scratch.extend_from_slice(levels);
    scratch.sort_by(f64::total_cmp);
    let mut sum = 0.0;
    for (index, level) in scratch.iter().enumerate() {
        let count = index as f64;
        if level * count - sum >= amount {
            return (sum + amount) / count;
        }
        sum += level;
    }
    if scratch.is_empty() {
        return 0.0;
    }
    (sum + amount) / scratch.len() as f64
}
