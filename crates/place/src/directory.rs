//! Answers to callers that ask which entries to use.

/// Entries of the caller's home region in an answer that is ordered.
const NEAR_ENTRIES: usize = 3;
/// Entries of other regions there, for when the home region fails.
const FAR_ENTRIES: usize = 2;

/// The entries of the caller's `home` region, or all of them if it has none.
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

/// A few entries in the order in which a caller whose home region is `home` should
/// try them: some of its own region, then some of others. `rotation` rotates entries
/// of equal standing, so that callers spread over them.
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
    let most = if chosen.is_empty() {
        wanted
    } else {
        FAR_ENTRIES
    };
    chosen.extend(rotated(&far, rotation.rotate_left(7), most));
    chosen
}

fn rotated<'a, T>(entries: &[&'a T], rotation: u64, most: usize) -> Vec<&'a T> {
    let count = entries.len();
    let places = 0..count.min(most);
    places
        .map(|step| entries[(rotation as usize).wrapping_add(step) % count])
        .collect()
}
