//! Macro for table-driven tests in this workspace.

/// Defines a named test for each case of a table, which calls a check function with the case's
/// arguments.
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
