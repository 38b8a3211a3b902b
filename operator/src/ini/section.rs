use super::Property;

/// One section, with its properties in the order of the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// Text between the brackets.
    pub heading: String,
    /// Line of the heading, counted from 1.
    pub line: usize,
    /// The `key = value` pairs; keys are unique.
    pub properties: Vec<Property>,
}

impl Section {
    /// Returns the property with the given key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Property> {
        self.properties.iter().find(|property| property.key == key)
    }
}
