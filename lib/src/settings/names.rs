use ragwortgrade_operator::ini::{Property, Section};
use ragwortgrade_operator::{NAME_RULE, is_valid_name};

use super::Problem;

const NAME_KEYS: [&str; 3] = ["id", "data_centre", "region"];

/// Checks the names of the daemon and of the keys, because they become parts of keys on the
/// platform, of headers and of declarations such as `takeover = <daemon>:<incarnation>`.
pub(super) fn check(sections: &[Section], problems: &mut Vec<Problem>) {
    for section in sections {
        for property in &section.properties {
            match section.heading.as_str() {
                "daemon" if NAME_KEYS.contains(&property.key.as_str()) => {
                    check_name(property, &property.value, problems);
                }
                "keys" => {
                    if let Some((_, id)) = property.key.split_once('.') {
                        check_name(property, id, problems);
                    }
                }
                _ => {}
            }
        }
    }
}

fn check_name(property: &Property, name: &str, problems: &mut Vec<Problem>) {
    if !is_valid_name(name) {
        let message = format!(
            "`{}` contains the name `{}`; expected {NAME_RULE}",
            property.key,
            name.escape_debug()
        );
        problems.push(Problem::at(property.line, message));
    }
}
