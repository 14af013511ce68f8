use crate::faults::{Case, Context, Report};
pub(crate) fn case() -> Case {
    Case::new("long", "", "", |_c: Context| async { Report::default() })
}
