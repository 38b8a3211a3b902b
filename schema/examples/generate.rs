//! Generates the Rust types from the JSON Schema files.
//!
//! With `--check` it writes nothing and fails if the committed files differ from the generated
//! code.

use std::error::Error;
use std::fs;
use std::path::Path;

use typify::{TypeSpace, TypeSpaceSettings};

const MODULES: [&str; 6] = [
    "admin",
    "configuration",
    "engine",
    "peer",
    "platform",
    "settings",
];

fn main() -> Result<(), Box<dyn Error>> {
    let is_check = std::env::args().any(|argument| argument == "--check");
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut stale = Vec::new();
    for module in MODULES {
        let schema = fs::read_to_string(root.join(format!("schema/{module}.json")))?;
        let path = root.join(format!("src/generated/{module}.rs"));
        let code = generate(&schema)?;
        if !is_check {
            fs::create_dir_all(root.join("src/generated"))?;
            fs::write(&path, code)?;
        } else if fs::read_to_string(&path).ok().as_deref() != Some(code.as_str()) {
            stale.push(module);
        }
    }
    if stale.is_empty() {
        return Ok(());
    }
    Err(format!(
        "generated code differs from the schema: {}; run `cargo run -p ragwortgrade-schema --example generate`",
        stale.join(", ")
    )
    .into())
}

/// Generates formatted Rust source from a schema file.
///
/// The definitions `Name` and `Digest` are replaced by the hand-written types of this package.
fn generate(schema: &str) -> Result<String, Box<dyn Error>> {
    let mut settings = TypeSpaceSettings::default();
    settings
        .with_map_type("::std::collections::BTreeMap")
        .with_derive("PartialEq".to_owned())
        .with_replacement("Name", "crate::Name", std::iter::empty())
        .with_replacement("Digest", "crate::Digest", std::iter::empty());
    let mut types = TypeSpace::new(&settings);
    types.add_root_schema(serde_json::from_str(schema)?)?;
    let file = syn::parse2::<syn::File>(types.to_stream())?;
    Ok(format!(
        "// Generated from the JSON Schema by `examples/generate.rs`; do not edit.\n\n{}",
        prettyplease::unparse(&file)
    ))
}
