//! The regions that may serve a request.

use std::borrow::Cow;

/// The regions that both a route and a team allow; empty where neither names any.
/// `None` where no region is allowed by both.
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
