use ragwortgrade_operator::ini::{Property, Section};
use ragwortgrade_operator::{NAME_RULE, is_name};

use super::Fault;

const NAMES: [&str; 3] = ["id", "data_centre", "region"];

/// Checks the names of the daemon and of the keys: they become parts of the platform's keys, of
/// headers and of declarations such as `takeover = <daemon>:<incarnation>`.
pub(super) fn check(sections: &[Section], faults: &mut Vec<Fault>) {
    for section in sections {
        for property in &section.properties {
            match section.heading.as_str() {
                "daemon" if NAMES.contains(&property.key.as_str()) => {
                    check_name(property, &property.value, faults);
                }
                "keys" => {
                    if let Some((_, id)) = property.key.split_once('.') {
                        check_name(property, id, faults);
                    }
                }
                _ => {}
            }
        }
    }
}

fn check_name(property: &Property, name: &str, faults: &mut Vec<Fault>) {
    if !is_name(name) {
        let message = format!(
            "`{}` contains the name `{}`; expected {NAME_RULE}",
            property.key,
            name.escape_debug()
        );
        faults.push(Fault::at(property.line, message));
    }
}
