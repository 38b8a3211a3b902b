//! Support for the tests of this workspace.

/// Arranges a table of test cases and gives each its own name in the test report.
///
/// ```
/// use ragwortgrade_testutil::named_cases;
///
/// fn doubles(input: u32, expected: u32) {
///     assert_eq!(input * 2, expected);
/// }
///
/// named_cases! { doubles:
///     zero_stays_zero(0, 0);
///     one_becomes_two(1, 2);
/// }
/// ```
#[macro_export]
macro_rules! named_cases {
    ($check:ident: $($(#[$attribute:meta])* $name:ident($($argument:expr),* $(,)?);)+) => {
        $(
            $(#[$attribute])*
            #[test]
            fn $name() {
                $check($($argument),*);
            }
        )+
    };
}
