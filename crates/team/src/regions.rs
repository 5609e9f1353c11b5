//! The regions that may serve a request.

use std::borrow::Cow;

/// Returns the regions that both the route and the team allow; empty if neither restricts them.
/// `None` if no region is allowed by both.
pub fn allowed_regions<'a>(route: &'a [String], team: &'a [String]) -> Option<Cow<'a, [String]>> {
    if team.is_empty() {
        return Some(Cow::Borrowed(route));
    }
    if route.is_empty() {
        return Some(Cow::Borrowed(team));
    }
    let both = route.iter().filter(|region| team.contains(region));
    let both: Vec<String> = both.cloned().collect();
    (!both.is_empty()).then_some(Cow::Owned(both))
}
