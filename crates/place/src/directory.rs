//! Selects the entries that are advertised to a caller.

/// Number of entries from the caller's home region in an ordered answer.
const NEAR_ENTRIES: usize = 3;
/// Number of entries from other regions in an ordered answer, for when the home region fails.
const FAR_ENTRIES: usize = 2;

/// Returns the entries of the region `home`, or all entries if it has none.
pub fn home_region_entries<'a, T>(
    entries: &'a [T],
    home: &str,
    region: impl Fn(&T) -> &str,
) -> Vec<&'a T> {
    let near: Vec<&T> = entries
        .iter()
        .filter(|entry| region(entry) == home)
        .collect();
    if near.is_empty() {
        return entries.iter().collect();
    }
    near
}

/// Returns a few entries in the order in which a caller from the region `home` should try them:
/// first entries of that region, then entries of others. `rotation` rotates equivalent entries,
/// so that callers are spread over them.
pub fn ordered_entries<'a, T>(
    entries: &'a [T],
    home: Option<&str>,
    rotation: u64,
    region: impl Fn(&T) -> &str,
) -> Vec<&'a T> {
    let is_near = |entry: &&T| Some(region(entry)) == home;
    let near: Vec<&T> = entries.iter().filter(is_near).collect();
    let far: Vec<&T> = entries.iter().filter(|entry| !is_near(entry)).collect();
    let wanted = NEAR_ENTRIES + FAR_ENTRIES;
    let mut chosen = rotated(&near, rotation, NEAR_ENTRIES);
    let limit = if chosen.is_empty() {
        wanted
    } else {
        FAR_ENTRIES
    };
    chosen.extend(rotated(&far, rotation.rotate_left(7), limit));
    chosen
}

fn rotated<'a, T>(entries: &[&'a T], rotation: u64, limit: usize) -> Vec<&'a T> {
    let count = entries.len();
    let positions = 0..count.min(limit);
    positions
        .map(|step| entries[(rotation as usize).wrapping_add(step) % count])
        .collect()
}
