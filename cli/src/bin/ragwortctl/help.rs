/// Text of `--help`.
pub(crate) const HELP: &str = "\
Checks, reviews and applies the configuration of a fleet and looks after its daemons.

Usage: ragwortctl COMMAND [OPTIONS]

Commands:
  check FILE...   Lists every problem of the declarations
  render FILE     Prints the declarations in their canonical form
  plan FILE       Shows what an apply would change; needs --platform
  apply FILE      Puts the declarations in force; needs --platform
  status          Shows the state of daemons; needs --admin
  watch           Shows a daemon's log lines as they come; needs --admin
  drain           Drains a daemon and waits for its end; needs --admin

Options:
      --platform URL      Base URL of the platform's key-value service
      --admin IP:PORT     Operators' address of a daemon; may be repeated
      --key-file FILE     File with the operator's key, `<id>:<hexadecimal>`; without it the
                          environment variable RAGWORTCTL_KEY holds the key
      --base REVISION     apply: only on top of this revision, the one that was reviewed
      --after N           watch: only lines after this one
      --once              watch: prints what there is and ends
      --timeout SECONDS   Time to keep trying (default: 60, drain: 660)
      --json              Prints JSON
  -h, --help              Prints this text
  -V, --version           Prints the version

A FILE of `-` is standard input.

Exit codes:
  0  done
  1  a file cannot be read
  2  wrong command line, or no usable key
  3  the declarations have problems
  4  conflict with another operator, or the daemons did not accept the change
  5  the outcome is unknown, or another revision followed before it was seen in force
  6  the platform or a daemon did not answer in time; nothing was changed
  7  a daemon refused the request
  8  written, but not in force at every given daemon in time, or not drained in time
";
