//! A case of the fault matrix, its input and its result.

use std::{future::Future, rc::Rc, time::Duration};

use futures_util::{FutureExt, future::LocalBoxFuture};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// A case of the fault matrix.
#[derive(Clone)]
pub(crate) struct Case {
    /// Name of the group and of the case, separated by a slash. `--only` selects cases by a prefix.
    pub(crate) name: String,
    /// Identifiers of the design's requirements that the case tests, such as `R3 R4`.
    pub(crate) requirement: &'static str,
    /// The fault class that the case injects: identifiers of the design, such as `F9`, or a text.
    pub(crate) fault: &'static str,
    pub(crate) scenario: Rc<dyn Scenario>,
}

/// The steps and checks of a case.
pub(crate) trait Scenario {
    /// Runs the case once.
    fn run(&self, context: Context) -> LocalBoxFuture<'static, CaseReport>;
}

/// The input of a case.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    /// Name of the directory for the case's settings and logs.
    pub(crate) directory: String,
    /// Seed of the random numbers of the case.
    pub(crate) seed: u64,
}

/// The result of a case.
#[derive(Clone, Debug, Default)]
pub(crate) struct CaseReport {
    /// Descriptions of the checks that failed. The case passed if there are none.
    pub(crate) problems: Vec<String>,
    /// Time until requests were served again, measured from the fault or from its end, depending
    /// on the case.
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
    /// Creates a random number generator from the seed. Each call returns the same sequence.
    pub(crate) fn rng(&self) -> StdRng {
        StdRng::seed_from_u64(self.seed)
    }

    /// A random duration that differs from `base_millis` by at most a quarter.
    pub(crate) fn around(&self, base_millis: u64) -> Duration {
        let quarter = base_millis / 4;
        Duration::from_millis(
            self.rng().random_range(base_millis - quarter..=base_millis + quarter),
        )
    }
}
