//! Validation of the paths and methods of routes.

use settings::nearest;

use super::{Report, format_route_key};
use crate::Route;

/// Methods that a route may name.
pub const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Maximum length of a path.
pub const MAX_PATH_BYTES: usize = 1024;

/// Checks that a path is in the form in which paths of calls are compared: absolute, without empty
/// or dot segments, and with only one spelling.
pub(super) fn check_path(path: &str) -> Result<(), String> {
    if path.len() > MAX_PATH_BYTES {
        return Err(format!(
            "path of {} bytes exceeds the limit of {MAX_PATH_BYTES}",
            path.len()
        ));
    }
    let Some(rest) = path.strip_prefix('/') else {
        return Err(format!("path `{path}` does not start with `/`"));
    };
    if let Some(c) = path.chars().find(|c| !is_path_character(*c)) {
        return Err(format!(
            "path `{path}` contains the character {c:?}, which is not allowed"
        ));
    }
    // A trailing slash limits the route to the paths below it.
    let rest = rest.strip_suffix('/').unwrap_or(rest);
    if rest.is_empty() && path.len() == 1 {
        return Ok(());
    }
    for segment in rest.split('/') {
        check_segment(path, segment)?;
    }
    Ok(())
}

fn check_segment(path: &str, segment: &str) -> Result<(), String> {
    match segment {
        "" => Err(format!("path `{path}` contains an empty segment")),
        "." | ".." => Err(format!("path `{path}` contains the segment `{segment}`")),
        _ => Ok(()),
    }
}

/// Whether a path may contain the character: the unreserved characters and sub-delimiters of RFC
/// 3986, `:`, `@` and `/`. Percent signs are not allowed, because the same segment could then be
/// written in several ways.
fn is_path_character(c: char) -> bool {
    c.is_ascii_alphanumeric() || "/-._~!$&'()*+,;=:@".contains(c)
}

/// Checks that methods are known, in upper case and listed once.
pub(super) fn check_methods(route: &Route, report: &mut Report<'_>) {
    for (position, method) in route.methods.iter().enumerate() {
        if !METHODS.contains(&method.as_str()) {
            let message = format!("method `{method}` is not one of: {}", METHODS.join(", "));
            report.add(
                format_route_key(route, "methods"),
                message,
                nearest(method, METHODS),
            );
        } else if route.methods[..position].contains(method) {
            let message = format!("method `{method}` appears twice");
            report.add(format_route_key(route, "methods"), message, None);
        }
    }
}
