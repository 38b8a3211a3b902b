use std::collections::HashMap;
use std::net::SocketAddr;

use ragwortgrade_operator::ini::{Property, Section};

use super::Fault;

/// Addresses on which the daemon listens; port 0 lets the system choose one.
const LISTENING: [&str; 3] = ["callers_address", "peers_address", "admin_address"];

/// Checks the forms of all addresses and that no two listeners share one.
pub(super) fn check(sections: &[Section], faults: &mut Vec<Fault>) {
    let mut listeners = HashMap::new();
    for section in sections {
        for property in &section.properties {
            match (section.heading.as_str(), property.key.as_str()) {
                ("daemon", key) if LISTENING.contains(&key) => {
                    check_listener(property, &mut listeners, faults);
                }
                ("platform", _) => check_url(property, faults),
                ("peers", "seeds") => check_seeds(property, faults),
                ("daemon", "peers_public_address") | ("observe", "metrics_address") => {
                    check_remote(property, &property.value, faults);
                }
                _ => {}
            }
        }
    }
}

fn check_listener<'a>(
    property: &'a Property,
    listeners: &mut HashMap<SocketAddr, &'a str>,
    faults: &mut Vec<Fault>,
) {
    let Ok(address) = property.value.parse::<SocketAddr>() else {
        faults.push(not_an_address(property, &property.value));
        return;
    };
    if address.port() == 0 {
        return;
    }
    if let Some(other) = listeners.insert(address, &property.key) {
        faults.push(Fault::at(
            property.line,
            format!(
                "`{}` is `{address}`, which `{other}` uses; each listener needs its own port",
                property.key
            ),
        ));
    }
}

fn check_seeds(property: &Property, faults: &mut Vec<Fault>) {
    for seed in property.value.split(',').map(str::trim) {
        if !seed.is_empty() {
            check_remote(property, seed, faults);
        }
    }
}

fn check_remote(property: &Property, value: &str, faults: &mut Vec<Fault>) {
    match value.parse::<SocketAddr>() {
        Ok(address) if address.port() != 0 => {}
        Ok(_) => faults.push(Fault::at(
            property.line,
            format!(
                "`{}` contains `{value}`; the port must not be 0",
                property.key
            ),
        )),
        Err(_) => faults.push(not_an_address(property, value)),
    }
}

fn check_url(property: &Property, faults: &mut Vec<Fault>) {
    let address = property
        .value
        .strip_prefix("http://")
        .map(|rest| rest.split('/').next().unwrap_or(rest));
    let is_valid = address
        .and_then(|address| address.parse::<SocketAddr>().ok())
        .is_some_and(|address| address.port() != 0);
    if !is_valid {
        faults.push(Fault::at(
            property.line,
            format!(
                "`{}` is `{}`; expected a URL of the form `http://ip:port`, optionally with a path",
                property.key, property.value
            ),
        ));
    }
}

fn not_an_address(property: &Property, value: &str) -> Fault {
    Fault::at(
        property.line,
        format!(
            "`{}` contains `{value}`; expected `ip:port`, such as `10.0.0.1:8080` or `[fd00::1]:8080`",
            property.key
        ),
    )
}
