//! Whether this node's links to the upstreams work at all. A node that reaches none of them, while
//! others may, is *cut off*: what it sees of upstreams says nothing about them.
//!
//! A failed or silent call is only a reason to check: the check opens connections to upstreams of all
//! failure domains, so that a lost domain, a failed upstream or one without capacity is not mistaken for
//! the loss of all links. While the node is cut off, probes find out when a link works again.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use catalog::Upstream;
use clock::{Timestamp, timeout};
use compio::runtime::spawn;
use futures_util::{StreamExt, future::join_all, stream::FuturesUnordered};
use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};
use transport::{CallError, StopSignal};
use types::Domain;

use crate::Gateway;

/// Least number of upstreams of each failure domain to which a check opens a connection.
const CHECKED_PER_DOMAIN: usize = 2;
/// Least number of them in all domains together, if there are so many.
const CHECKED_UPSTREAMS: usize = 6;
/// The same for the second round, which confirms the loss: many upstreams may have crashed.
const CONFIRMING_UPSTREAMS: usize = 18;
/// Least number of upstreams that a check must have tried: a single one may have failed.
const MIN_CHECKED: usize = 2;
/// Time within which an upstream has to accept a connection. It is several round trips between failure
/// domains.
const CONNECT_LIMIT: Duration = Duration::from_millis(60);
/// Connection attempts to an upstream in a check. The first packet of one may be lost.
const CONNECT_ATTEMPTS: u32 = 2;
/// Least time between two checks after failed connections.
const FAILURE_CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Least time between two checks after silence, which is often that of busy upstreams.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(1500);
/// Time without a byte from any upstream after which silence is a reason for a check.
const MIN_SILENCE: Duration = Duration::from_millis(150);
/// Time between two probes of a node that is cut off.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Upstreams that it probes at a time.
const PROBED_UPSTREAMS: usize = 2;

/// How upstreams out of reach answer connection attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum LinkLoss {
    /// Some do not answer, so that open connections are likely to be silent as well.
    Silent,
    /// All attempts are refused or reset. Open connections may go on.
    Refused,
}

/// What this node knows about its links.
#[derive(Default)]
pub(crate) struct Links {
    loss: Cell<Option<LinkLoss>>,
    /// Raised when a running check has ended; `None` if none runs.
    check: RefCell<Option<StopSignal>>,
    last_check: Cell<Option<Timestamp>>,
    /// When bytes of an upstream last arrived.
    last_bytes: Cell<Option<Timestamp>>,
    /// Raised when the links are lost.
    lost: RefCell<StopSignal>,
}

impl Gateway {
    /// Whether this node has lost its links to all upstreams.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.links.loss.get().is_some()
    }

    /// Whether it has lost them so that open connections are likely to be silent.
    pub(crate) fn is_cut_off_silently(&self) -> bool {
        self.links.loss.get() == Some(LinkLoss::Silent)
    }

    /// Whether what this node sees of upstreams may be due to its own links: they are lost, or are
    /// being checked.
    pub(crate) fn doubts_links(&self) -> bool {
        self.is_cut_off() || self.links.check.borrow().is_some()
    }

    /// Runs `report` unless this node is found to be cut off, after a check that is running.
    pub(crate) fn unless_cut_off(&self, report: impl FnOnce(&Gateway) + 'static) {
        if !self.doubts_links() {
            return report(self);
        }
        let Some(gateway) = self.own.upgrade() else { return };
        spawn(async move {
            gateway.wait_for_link_check().await;
            if !gateway.is_cut_off() {
                report(&gateway);
            }
        })
        .detach();
    }

    /// Waits until this node is cut off.
    pub(crate) async fn wait_until_cut_off(&self) {
        let lost = self.links.lost.borrow().clone();
        lost.raised().await;
    }

    /// Waits for the result of a check that is running.
    pub(crate) async fn wait_for_link_check(&self) {
        let check = self.links.check.borrow().clone();
        if let Some(check) = check {
            check.raised().await;
        }
    }

    /// Records that bytes of an upstream have arrived.
    pub(crate) fn record_bytes(&self) {
        self.links.last_bytes.set(Some(self.clock.now()));
    }

    /// Checks the links after a call or connection attempt that failed.
    pub(crate) fn check_links_after(&self, error: &CallError) {
        if error.is_connect_failure() || matches!(error, CallError::Broken(_) | CallError::Timeout)
        {
            self.start_link_check(FAILURE_CHECK_INTERVAL);
        }
    }

    /// Checks the links if no upstream has sent anything for a while. Called while a call is silent.
    pub(crate) fn check_links_in_silence(&self) {
        let now = self.clock.now();
        let is_silent =
            self.links.last_bytes.get().is_none_or(|last| now.since(last) >= MIN_SILENCE);
        if is_silent {
            self.start_link_check(SILENCE_CHECK_INTERVAL);
        }
    }

    fn start_link_check(&self, interval: Duration) {
        let now = self.clock.now();
        let is_recent = self.links.last_check.get().is_some_and(|last| now.since(last) < interval);
        let Some(gateway) = self.own.upgrade() else { return };
        if is_recent || self.doubts_links() {
            return;
        }
        self.links.last_check.set(Some(now));
        self.links.check.replace(Some(StopSignal::new()));
        spawn(gateway.check_links()).detach();
    }

    /// Tries one upstream and, if it cannot be reached, two rounds of some of all failure domains.
    async fn check_links(self: Rc<Self>) {
        let _check = CheckGuard { gateway: &self };
        let mut tried = self.sample_upstreams(CHECKED_UPSTREAMS);
        tried.shuffle(&mut rand::rng());
        if tried.len() < MIN_CHECKED || self.try_connect(&tried[0]).await.is_ok() {
            return;
        }
        if self.try_any(&tried).await.is_ok() {
            return;
        }
        let tried = self.sample_upstreams(CONFIRMING_UPSTREAMS);
        let Err(loss) = self.try_any(&tried).await else { return };
        self.links.loss.set(Some(loss));
        self.links.lost.borrow().raise();
        self.metrics.link_losses.inc();
        let loss: &str = loss.into();
        tracing::warn!(loss, tried = tried.len(), "links to all upstreams are lost");
        spawn(self.clone().probe_until_restored()).detach();
    }

    /// Tries several upstreams at a time, until one accepts a connection.
    async fn try_any(&self, upstreams: &[Arc<Upstream>]) -> Result<(), LinkLoss> {
        let mut attempts: FuturesUnordered<_> =
            upstreams.iter().map(|upstream| self.try_connect(upstream)).collect();
        let mut loss = LinkLoss::Refused;
        while let Some(outcome) = attempts.next().await {
            match outcome {
                Ok(()) => return Ok(()),
                Err(LinkLoss::Silent) => loss = LinkLoss::Silent,
                Err(LinkLoss::Refused) => {}
            }
        }
        Err(loss)
    }

    /// Some upstreams of each failure domain, `least` in all, that have not asked for a pause. Those that are not known to
    /// fail come first: when many have crashed, a few of the others tell more.
    fn sample_upstreams(&self, least: usize) -> Vec<Arc<Upstream>> {
        let catalog = self.catalog.borrow();
        let (health, now) = (self.health.borrow(), self.clock.now());
        let is_failing = |upstream: &Upstream| {
            health.failing_for(&upstream.name, upstream.incarnation, now).is_some()
        };
        let mut candidates: Vec<&Arc<Upstream>> =
            catalog.upstreams().filter(|upstream| !self.is_paused(upstream)).collect();
        if candidates.iter().filter(|upstream| !is_failing(upstream)).count() >= MIN_CHECKED {
            candidates.retain(|upstream| !is_failing(upstream));
        }
        let mut domains: Vec<&Domain> =
            candidates.iter().map(|upstream| &upstream.domain).collect();
        domains.sort_unstable();
        domains.dedup();
        let per_domain = CHECKED_PER_DOMAIN.max(least.div_ceil(domains.len().max(1)));
        let sample_of = |domain: &&Domain| {
            let members = candidates.iter().filter(|upstream| upstream.domain == **domain);
            members
                .map(|upstream| Arc::clone(upstream))
                .choose_multiple(&mut rand::rng(), per_domain)
        };
        domains.iter().flat_map(sample_of).collect()
    }

    async fn try_connect(&self, upstream: &Upstream) -> Result<(), LinkLoss> {
        let client = self.client(upstream);
        let mut loss = LinkLoss::Refused;
        for _ in 0..CONNECT_ATTEMPTS {
            match timeout(&*self.clock, CONNECT_LIMIT, client.probe()).await {
                Ok(Ok(())) => return Ok(()),
                Ok(Err(CallError::ConnectTimeout)) | Err(_) => loss = LinkLoss::Silent,
                Ok(Err(_)) => {}
            }
        }
        Err(loss)
    }

    /// Probes upstreams until one accepts a connection. What was seen of upstreams meanwhile is then
    /// forgotten.
    async fn probe_until_restored(self: Rc<Self>) {
        let lost_at = self.clock.now();
        loop {
            self.clock.sleep(PROBE_INTERVAL).await;
            let sample = self.sample_upstreams(CHECKED_UPSTREAMS);
            let probed = sample.choose_multiple(&mut rand::rng(), PROBED_UPSTREAMS);
            let outcomes = join_all(probed.map(|upstream| self.try_connect(upstream))).await;
            if outcomes.iter().any(Result::is_ok) {
                break;
            }
        }
        self.health.borrow_mut().forget_failures();
        self.links.loss.set(None);
        self.links.lost.replace(StopSignal::new());
        let lost_ms = self.clock.now().since(lost_at).as_millis() as u64;
        tracing::warn!(lost_ms, "an upstream can be reached again");
        self.wake_waiting();
    }
}

/// Marks a check as running until it is dropped.
struct CheckGuard<'a> {
    gateway: &'a Gateway,
}

impl Drop for CheckGuard<'_> {
    fn drop(&mut self) {
        if let Some(check) = self.gateway.links.check.take() {
            check.raise();
        }
    }
}
