use ragwortgrade_operator::ini::{Property, Section};
use ragwortgrade_schema::SETTINGS_SCHEMA;
use serde_json::{Map, Value};

use super::Problem;

/// Sections and keys that the JSON Schema of the settings allows.
pub(super) struct Schema {
    definitions: Value,
}

impl Schema {
    pub(super) fn open() -> Self {
        let mut schema: Value = serde_json::from_str(SETTINGS_SCHEMA).unwrap_or_default();
        Self {
            definitions: schema["definitions"].take(),
        }
    }

    /// Converts the sections to a document of the schema, and adds a problem for each violation.
    pub(super) fn read(&self, sections: &[Section], problems: &mut Vec<Problem>) -> Value {
        let mut document = Map::new();
        for (heading, schema) in properties(&self.definitions["Settings"]) {
            let schema = self.resolve(schema);
            let found = sections.iter().find(|section| section.heading == *heading);
            match found {
                Some(section) => {
                    document.insert(
                        heading.clone(),
                        self.read_section(schema, section, problems),
                    );
                }
                None if schema["required"].is_array() => problems.push(Problem::without_line(
                    format!("section `[{heading}]` is missing"),
                )),
                None => {
                    document.insert(heading.clone(), Value::Object(Map::new()));
                }
            }
        }
        self.report_unknown_sections(sections, problems);
        Value::Object(document)
    }

    fn report_unknown_sections(&self, sections: &[Section], problems: &mut Vec<Problem>) {
        let known = &self.definitions["Settings"];
        for section in sections {
            if known["properties"].get(&section.heading).is_none() {
                let message = format!(
                    "unknown section `[{}]`; known are {}",
                    section.heading,
                    format_keys(known)
                );
                problems.push(Problem::at(section.line, message));
            }
        }
    }

    fn read_section(
        &self,
        schema: &Value,
        section: &Section,
        problems: &mut Vec<Problem>,
    ) -> Value {
        let mut values = Map::new();
        for (key, property) in properties(schema) {
            if property["type"] == "object" {
                values.insert(key.clone(), Value::Object(Map::new()));
            }
        }
        for property in &section.properties {
            self.read_property(schema, section, property, &mut values, problems);
        }
        report_missing_keys(schema, section, &values, problems);
        Value::Object(values)
    }

    fn read_property(
        &self,
        schema: &Value,
        section: &Section,
        property: &Property,
        values: &mut Map<String, Value>,
        problems: &mut Vec<Problem>,
    ) {
        let (key, member) = match property.key.split_once('.') {
            Some((key, member)) => (key, Some(member)),
            None => (property.key.as_str(), None),
        };
        let known = schema["properties"].get(key).map(|key| self.resolve(key));
        match (known, member) {
            (Some(known), Some(member)) if known["type"] == "object" && !member.is_empty() => {
                if let Some(Value::Object(members)) = values.get_mut(key) {
                    members.insert(member.to_owned(), Value::from(property.value.as_str()));
                }
            }
            (Some(known), None) if known["type"] != "object" => {
                match read_value(known, &property.value) {
                    Ok(value) => {
                        values.insert(key.to_owned(), value);
                    }
                    Err(expected) => {
                        // The placeholder keeps the key from being reported as missing, too.
                        values.insert(key.to_owned(), Value::Null);
                        let message =
                            format!("`{key}` is `{}`; expected {expected}", property.value);
                        problems.push(Problem::at(property.line, message));
                    }
                }
            }
            _ => {
                let message = format!(
                    "unknown key `{}` in section `[{}]`; known are {}",
                    property.key,
                    section.heading,
                    format_keys(schema)
                );
                problems.push(Problem::at(property.line, message));
            }
        }
    }

    fn resolve<'a>(&'a self, schema: &'a Value) -> &'a Value {
        let name = schema["$ref"]
            .as_str()
            .and_then(|path| path.rsplit('/').next());
        name.map_or(schema, |name| &self.definitions[name])
    }
}

fn properties(schema: &Value) -> impl Iterator<Item = (&String, &Value)> {
    schema["properties"].as_object().into_iter().flatten()
}

fn report_missing_keys(
    schema: &Value,
    section: &Section,
    values: &Map<String, Value>,
    problems: &mut Vec<Problem>,
) {
    for key in schema["required"].as_array().into_iter().flatten() {
        let Some(key) = key.as_str() else { continue };
        let is_empty_group = values
            .get(key)
            .and_then(Value::as_object)
            .is_some_and(Map::is_empty);
        if values.get(key).is_none() || is_empty_group {
            let shown = if is_empty_group {
                format!("{key}.<id>")
            } else {
                key.to_owned()
            };
            problems.push(Problem::at(
                section.line,
                format!("section `[{}]` lacks key `{shown}`", section.heading),
            ));
        }
    }
}

/// Parses a value according to its schema; the error describes the accepted values.
fn read_value(schema: &Value, text: &str) -> Result<Value, String> {
    match schema["type"].as_str() {
        Some("integer") => read_integer(schema, text),
        Some("array") => Ok(text
            .split(',')
            .map(str::trim)
            .filter(|element| !element.is_empty())
            .map(Value::from)
            .collect()),
        _ => read_string(schema, text),
    }
}

fn read_integer(schema: &Value, text: &str) -> Result<Value, String> {
    let smallest = schema["minimum"].as_u64().unwrap_or(0);
    let largest = schema["maximum"].as_u64().unwrap_or(u64::MAX);
    match text.parse::<u64>() {
        Ok(number) if (smallest..=largest).contains(&number) => Ok(Value::from(number)),
        _ => Err(format!("a whole number from {smallest} to {largest}")),
    }
}

fn read_string(schema: &Value, text: &str) -> Result<Value, String> {
    let choices: Vec<&str> = schema["enum"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(Value::as_str)
        .collect();
    if text.is_empty() {
        return Err("a value".to_owned());
    }
    if !choices.is_empty() && !choices.contains(&text) {
        return Err(format!("one of {}", choices.join(", ")));
    }
    Ok(Value::from(text))
}

fn format_keys(schema: &Value) -> String {
    let keys: Vec<String> = properties(schema)
        .map(|(key, property)| match property["type"].as_str() {
            Some("object") => format!("`{key}.<id>`"),
            _ => format!("`{key}`"),
        })
        .collect();
    keys.join(", ")
}
