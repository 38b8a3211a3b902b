use ragwortgrade_operator::ini::{Property, Section};

use super::Fault;

const SECRET_BYTES_MIN: usize = 32;
const HEX_DIGITS_PER_BYTE: usize = 2;

/// Checks the shared keys; messages name the key and its length, never its secret.
pub(super) fn check(sections: &[Section], faults: &mut Vec<Fault>) {
    let Some(section) = sections.iter().find(|section| section.heading == "keys") else {
        return;
    };
    for property in &section.properties {
        if property.key.starts_with("peer.") || property.key.starts_with("operator.") {
            check_secret(property, faults);
        }
    }
    check_active(section, faults);
}

fn check_secret(property: &Property, faults: &mut Vec<Fault>) {
    let secret = &property.value;
    let is_hex = secret.chars().all(|digit| digit.is_ascii_hexdigit());
    if !is_hex || !secret.len().is_multiple_of(HEX_DIGITS_PER_BYTE) {
        faults.push(Fault::at(
            property.line,
            format!(
                "`{}` is not an even number of hexadecimal digits",
                property.key
            ),
        ));
    } else if secret.len() < SECRET_BYTES_MIN * HEX_DIGITS_PER_BYTE {
        faults.push(Fault::at(
            property.line,
            format!(
                "`{}` has {} bytes; at least {SECRET_BYTES_MIN} are needed",
                property.key,
                secret.len() / HEX_DIGITS_PER_BYTE
            ),
        ));
    }
}

fn check_active(section: &Section, faults: &mut Vec<Fault>) {
    let Some(active) = section.get("peer_active") else {
        return;
    };
    if section.get(&format!("peer.{}", active.value)).is_none() {
        faults.push(Fault::at(
            active.line,
            format!(
                "`peer_active` names `{}`, but there is no key `peer.{}`",
                active.value, active.value
            ),
        ));
    }
}
