use std::collections::HashMap;

use ragwortgrade_schema::Name;

use crate::{Declarations, Problem};

const NAME_CHARACTERS_MAX: usize = 128;
/// Description of valid names for error messages; see [`is_valid_name`].
pub const NAME_RULE: &str =
    "1 to 128 letters, digits, `.`, `_` or `-`, starting with a letter or digit";
const AUTHOR_RULE: &str = "1 to 128 printable characters without white space at either end";

/// Checks that all names are valid and unique among the declarations of their kind.
pub(super) fn check(declarations: &Declarations, problems: &mut Vec<Problem>) {
    check_author(&declarations.author, problems);
    check_names("model", problems, &declarations.models, |model| {
        (&model.name, model.line)
    });
    check_names("adapter", problems, &declarations.adapters, |adapter| {
        (&adapter.name, adapter.line)
    });
    check_names("service", problems, &declarations.services, |service| {
        (&service.name, service.line)
    });
    check_names(
        "workspace",
        problems,
        &declarations.workspaces,
        |workspace| (&workspace.name, workspace.line),
    );
    check_names("endpoint", problems, &declarations.endpoints, |endpoint| {
        (&endpoint.name, endpoint.line)
    });
    for model in &declarations.models {
        for version in model
            .versions
            .iter()
            .filter(|version| !is_valid_name(version))
        {
            problems.push(Problem::new(
                model.line,
                &format!("model `{}`", model.name),
                format!("a version is named `{version}`"),
                NAME_RULE,
            ));
        }
    }
}

/// Returns whether a name is valid.
///
/// Valid names need no escaping in headings, comma-separated lists, keys and URLs.
#[must_use]
pub fn is_valid_name(name: &str) -> bool {
    let is_inner = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    name.len() <= NAME_CHARACTERS_MAX
        && name
            .bytes()
            .next()
            .is_some_and(|byte| byte.is_ascii_alphanumeric())
        && name.bytes().all(is_inner)
}

fn check_author(author: &str, problems: &mut Vec<Problem>) {
    let is_valid = !author.is_empty()
        && author.chars().count() <= NAME_CHARACTERS_MAX
        && author.trim() == author
        && !author.chars().any(char::is_control);
    if !is_valid {
        problems.push(Problem::new(
            0,
            "configuration",
            format!("`author` is `{}`", author.escape_debug()),
            AUTHOR_RULE,
        ));
    }
}

/// Checks the names of all declarations of one kind.
fn check_names<D>(
    kind: &str,
    problems: &mut Vec<Problem>,
    declarations: &[D],
    name_and_line: impl Fn(&D) -> (&Name, usize),
) {
    let mut first_lines = HashMap::new();
    for declaration in declarations {
        let (name, line) = name_and_line(declaration);
        let title = format!("{kind} `{}`", name.escape_debug());
        if !is_valid_name(name) {
            let found = "the name is not usable".to_owned();
            problems.push(Problem::new(line, &title, found, NAME_RULE));
        }
        if first_lines.insert(name.clone(), line).is_some() {
            problems.push(Problem::new(
                line,
                &title,
                "the name is declared more than once".to_owned(),
                &format!("each name once among the {kind} declarations"),
            ));
        }
    }
}
