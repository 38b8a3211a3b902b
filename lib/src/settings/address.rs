use std::collections::HashMap;
use std::net::SocketAddr;

use ragwortgrade_operator::ini::{Property, Section};

use super::Problem;

/// Keys of the daemon's listen addresses; with port 0 the system chooses a port.
const LISTENER_KEYS: [&str; 3] = ["callers_address", "peers_address", "admin_address"];

/// Checks the format of all addresses, and that no two listeners share an address.
pub(super) fn check(sections: &[Section], problems: &mut Vec<Problem>) {
    let mut listeners = HashMap::new();
    for section in sections {
        for property in &section.properties {
            match (section.heading.as_str(), property.key.as_str()) {
                ("daemon", key) if LISTENER_KEYS.contains(&key) => {
                    check_listener(property, &mut listeners, problems);
                }
                ("platform", _) => check_url(property, problems),
                ("peers", "seeds") => check_seeds(property, problems),
                ("daemon", "peers_public_address") | ("observe", "metrics_address") => {
                    check_remote(property, &property.value, problems);
                }
                _ => {}
            }
        }
    }
}

fn check_listener<'a>(
    property: &'a Property,
    listeners: &mut HashMap<SocketAddr, &'a str>,
    problems: &mut Vec<Problem>,
) {
    let Ok(address) = property.value.parse::<SocketAddr>() else {
        problems.push(not_an_address(property, &property.value));
        return;
    };
    if address.port() == 0 {
        return;
    }
    if let Some(other) = listeners.insert(address, &property.key) {
        problems.push(Problem::at(
            property.line,
            format!(
                "`{}` is `{address}`, which `{other}` uses; each listener needs its own port",
                property.key
            ),
        ));
    }
}

fn check_seeds(property: &Property, problems: &mut Vec<Problem>) {
    for seed in property.value.split(',').map(str::trim) {
        if !seed.is_empty() {
            check_remote(property, seed, problems);
        }
    }
}

fn check_remote(property: &Property, value: &str, problems: &mut Vec<Problem>) {
    match value.parse::<SocketAddr>() {
        Ok(address) if address.port() != 0 => {}
        Ok(_) => problems.push(Problem::at(
            property.line,
            format!(
                "`{}` contains `{value}`; the port must not be 0",
                property.key
            ),
        )),
        Err(_) => problems.push(not_an_address(property, value)),
    }
}

fn check_url(property: &Property, problems: &mut Vec<Problem>) {
    let address = property
        .value
        .strip_prefix("http://")
        .map(|rest| rest.split('/').next().unwrap_or(rest));
    let is_valid = address
        .and_then(|address| address.parse::<SocketAddr>().ok())
        .is_some_and(|address| address.port() != 0);
    if !is_valid {
        problems.push(Problem::at(
            property.line,
            format!(
                "`{}` is `{}`; expected a URL of the form `http://ip:port`, optionally with a path",
                property.key, property.value
            ),
        ));
    }
}

fn not_an_address(property: &Property, value: &str) -> Problem {
    Problem::at(
        property.line,
        format!(
            "`{}` contains `{value}`; expected `ip:port`, such as `10.0.0.1:8080` or `[fd00::1]:8080`",
            property.key
        ),
    )
}
