use std::{future::Future, rc::Rc, time::Duration};

use futures_util::{FutureExt, future::LocalBoxFuture};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// A case of the fault matrix.
#[derive(Clone)]
pub(crate) struct Case {
    /// Group and name; `--only` selects by prefix.
    pub(crate) name: String,
    /// Requirements of the design that the case tests.
    pub(crate) requirement: &'static str,
    /// Faults of the design that the case injects.
    pub(crate) fault: &'static str,
    pub(crate) scenario: Rc<dyn Scenario>,
}

/// The steps and checks of a case.
pub(crate) trait Scenario {
    /// Runs the case once.
    fn run(&self, context: Context) -> LocalBoxFuture<'static, CaseReport>;
}

/// What a case is given.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    /// Name of the directory for the case's settings and logs.
    pub(crate) directory: String,
    pub(crate) seed: u64,
}

/// What a case found.
#[derive(Clone, Debug, Default)]
pub(crate) struct CaseReport {
    /// Checks that failed; none means that the case passed.
    pub(crate) problems: Vec<String>,
    /// Time from the fault to the first whole answer that needed the failed part.
    pub(crate) recovery: Option<Duration>,
    /// A measurement to print beside the verdict.
    pub(crate) note: Option<String>,
}

impl Case {
    pub(crate) fn new(
        name: impl Into<String>,
        requirement: &'static str,
        fault: &'static str,
        scenario: impl Scenario + 'static,
    ) -> Case {
        Case { name: name.into(), requirement, fault, scenario: Rc::new(scenario) }
    }
}

impl<F, R> Scenario for F
where
    F: Fn(Context) -> R,
    R: Future<Output = CaseReport> + 'static,
{
    fn run(&self, context: Context) -> LocalBoxFuture<'static, CaseReport> {
        self(context).boxed_local()
    }
}

impl Context {
    /// Random numbers of this case.
    pub(crate) fn rng(&self) -> StdRng {
        StdRng::seed_from_u64(self.seed)
    }

    /// A time of `base` milliseconds, changed by up to a quarter in either direction.
    pub(crate) fn around(&self, base: u64) -> Duration {
        let part = base / 4;
        Duration::from_millis(self.rng().random_range(base - part..=base + part))
    }
}
