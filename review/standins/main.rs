//! Stand-ins and steps of the cases in `review/`: `standins CASE FOLDER`.

mod http;
mod site;
mod store;
mod wire {
    include!("wire.inc");
}
mod cases;

use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standins CASE FOLDER");
        std::process::exit(2);
    };
    let record = site::Record::new(&PathBuf::from(folder).join("record.txt"));
    match case.as_str() {
        "stray-bytes" => cases::stray_bytes(record),
        "cut-watch" => cases::cut_watch(record),
        "foreign-entry" => cases::foreign_entry(record),
        "foreign-number" => cases::foreign_number(record),
        "deadly-order" => cases::deadly_order(record),
        _ => {
            eprintln!("unknown case `{case}`");
            std::process::exit(2);
        }
    }
}
