//! Runs a stand-in as a process:
//! `standin engine|plain|key-value|weights|vm-list --address 127.0.0.1:0 ...`.

use std::env;

fn main() -> Result<(), ragwortgrade_standins::Error> {
    ragwortgrade_standins::run_standin(env::args_os().skip(1))
}
