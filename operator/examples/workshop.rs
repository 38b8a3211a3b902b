//! Declares a small fleet and prints the rendered configuration.
//!
//! Operators keep a program like this in their repository, together with the text that it prints.

use std::process::ExitCode;

use ragwortgrade_operator::{Declarations, Endpoint, Model, Policy, Service, Workspace, render};

/// Size of the weights of one version of the model `pattern`.
const PATTERN_BYTES: u64 = 140_000_000_000;
const ENGINES: u32 = 12;

fn main() -> ExitCode {
    let mut declarations = Declarations::new("maria")
        .model(
            Model::named("pattern")
                .version("v3")
                .floor(2)
                .weight_bytes(PATTERN_BYTES),
        )
        .service(
            Service::model("stitch", "pattern")
                .share(60.0)
                .priority(8)
                .deadline_ms(400),
        )
        .service(
            Service::model("manual", "pattern")
                .share(40.0)
                .priority(2)
                .deadline_ms(4_000),
        )
        .service(
            Service::plain("stock")
                .share(60.0)
                .priority(5)
                .deadline_ms(800)
                .idempotent(),
        )
        .service(
            Service::plain("order")
                .share(40.0)
                .priority(9)
                .deadline_ms(2_000),
        )
        .workspace(Workspace::named("weavers").requests_per_second(50.0))
        .policy(Policy::with_role_change_weight(20.0));
    for number in 1..=ENGINES {
        let engine = Endpoint::with_checked_fencing(&format!("engine-{number}"));
        declarations = declarations.endpoint(engine);
    }
    match declarations.check() {
        Ok(configuration) => {
            print!("{}", render(&configuration));
            ExitCode::SUCCESS
        }
        Err(problems) => {
            eprintln!("{problems}");
            ExitCode::FAILURE
        }
    }
}
