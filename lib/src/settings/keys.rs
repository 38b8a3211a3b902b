use ragwortgrade_operator::ini::{Property, Section};

use super::Problem;

const SECRET_BYTES_MIN: usize = 32;
const HEX_DIGITS_PER_BYTE: usize = 2;

/// Checks the shared keys. Messages contain the key's name and length, never its secret.
pub(super) fn check(sections: &[Section], problems: &mut Vec<Problem>) {
    let Some(section) = sections.iter().find(|section| section.heading == "keys") else {
        return;
    };
    for property in &section.properties {
        if property.key.starts_with("peer.") || property.key.starts_with("operator.") {
            check_secret(property, problems);
        }
    }
    check_active(section, problems);
}

fn check_secret(property: &Property, problems: &mut Vec<Problem>) {
    let secret = &property.value;
    let is_hex = secret.chars().all(|digit| digit.is_ascii_hexdigit());
    if !is_hex || !secret.len().is_multiple_of(HEX_DIGITS_PER_BYTE) {
        problems.push(Problem::at(
            property.line,
            format!(
                "`{}` is not an even number of hexadecimal digits",
                property.key
            ),
        ));
    } else if secret.len() < SECRET_BYTES_MIN * HEX_DIGITS_PER_BYTE {
        problems.push(Problem::at(
            property.line,
            format!(
                "`{}` has {} bytes; at least {SECRET_BYTES_MIN} are needed",
                property.key,
                secret.len() / HEX_DIGITS_PER_BYTE
            ),
        ));
    }
}

fn check_active(section: &Section, problems: &mut Vec<Problem>) {
    let Some(active) = section.get("peer_active") else {
        return;
    };
    if section.get(&format!("peer.{}", active.value)).is_none() {
        problems.push(Problem::at(
            active.line,
            format!(
                "`peer_active` names `{}`, but there is no key `peer.{}`",
                active.value, active.value
            ),
        ));
    }
}
