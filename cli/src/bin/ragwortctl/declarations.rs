use std::fs;
use std::io::{self, Read as _};
use std::path::Path;

use ragwortgrade_operator::{Problems, parse};
use ragwortgrade_schema::configuration::Configuration;
use serde_json::json;

use crate::failure::{EXIT_PROBLEMS, EXIT_UNREADABLE_FILE, Failure};
use crate::options::Options;
use crate::output::Output;

/// Validates all files and reports the problems of all of them.
pub(crate) fn check(options: &Options, output: Output) -> Result<(), Failure> {
    let mut messages = Vec::new();
    let mut details = Vec::new();
    for path in &options.files {
        if let Err(problems) = parse(&read(path)?) {
            messages.push(format_problems(path, &problems));
            details.extend(problems_to_json(path, &problems));
        }
    }
    if messages.is_empty() {
        let count = options.files.len();
        let text = format!("{count} checked, no problems\n");
        output.print_result(&text, &json!({ "checked": count, "problems": [] }));
        return Ok(());
    }
    let mut failure = Failure::new(EXIT_PROBLEMS, "problems", messages.join("\n"));
    failure.details = details.into();
    Err(failure)
}

/// Prints the declarations of the file in canonical form.
pub(crate) fn render(options: &Options, output: Output) -> Result<(), Failure> {
    let text = ragwortgrade_operator::render(&load_configuration(options)?);
    output.print_result(&text, &json!({ "text": text }));
    Ok(())
}

/// Reads and validates the single file argument.
pub(crate) fn load_configuration(options: &Options) -> Result<Configuration, Failure> {
    let path = options
        .files
        .first()
        .ok_or_else(|| Failure::usage("missing FILE"))?;
    parse(&read(path)?).map_err(|problems| {
        let mut failure = Failure::new(EXIT_PROBLEMS, "problems", format_problems(path, &problems));
        failure.details = problems_to_json(path, &problems).into();
        failure
    })
}

fn read(path: &Path) -> Result<String, Failure> {
    let text = if path.as_os_str() == "-" {
        let mut text = String::new();
        io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        fs::read_to_string(path)
    };
    text.map_err(|error| {
        let message = format!("{}: cannot be read: {error}", path.display());
        Failure::new(EXIT_UNREADABLE_FILE, "unreadable_file", message)
    })
}

fn format_problems(path: &Path, problems: &Problems) -> String {
    let problems = problems.as_slice().iter();
    let lines: Vec<String> = problems
        .map(|problem| format!("{}: {problem}", path.display()))
        .collect();
    lines.join("\n")
}

fn problems_to_json(path: &Path, problems: &Problems) -> Vec<serde_json::Value> {
    let problems = problems.as_slice().iter();
    problems
        .map(|problem| {
            json!({
                "file": path.display().to_string(),
                "line": problem.line,
                "declaration": problem.declaration,
                "found": problem.found,
                "accepted": problem.accepted,
            })
        })
        .collect()
}
