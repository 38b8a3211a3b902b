//! Orders that must run at most once.

use ragwortgrade_standins::Verdict;

use crate::setup::{Setup, call};

const ORDER: &str = "one chair";

/// Guards against one workspace's key that answers or blocks another workspace's order.
#[test]
fn same_key_of_another_workspace_is_another_order() {
    let setup = Setup::open();
    assert_eq!(setup.order(0, ORDER), Verdict::Complete);
    let mut question = call("orders", ORDER, Some("key-1"));
    "buyers".clone_into(&mut question.workspace);
    let answer = setup.call(1, &question);
    assert_eq!(question.judge(&answer), Verdict::Complete);
    assert_eq!(setup.order_effects(ORDER), 2);
}
