//! This node's part of the limit on retries, which all nodes share.

use std::{cell::RefMut, time::Duration};

use pipelines::{BudgetUse, SharedRetryBudget};
use types::ServiceName;

use crate::Gateway;

impl Gateway {
    /// Whether this node's part of the retry budget of a service has a retry left.
    pub(crate) fn has_retry_left(&self, service: &ServiceName) -> bool {
        let (now, nodes) = (self.clock.now(), self.sharing_nodes());
        self.retry_budget(service).has_left(now, nodes)
    }

    /// Takes a retry from this node's part of the retry budget of a service. Returns whether there
    /// was one left.
    pub(crate) fn take_retry(&self, service: &ServiceName) -> bool {
        let (now, nodes) = (self.clock.now(), self.sharing_nodes());
        let mut budget = self.retry_budget(service);
        if budget.take(now, nodes) {
            return true;
        }
        if let Some(BudgetUse { requests, retries, allowed }) = budget.report_shortage(now, nodes) {
            tracing::info!(%service, nodes, requests, retries, allowed, "retry budget is used up");
        }
        false
    }

    /// Counts a request to a service, which may lead to retries.
    pub(crate) fn count_request(&self, service: &ServiceName) {
        let now = self.clock.now();
        self.retry_budget(service).count_request(now);
    }

    fn retry_budget(&self, service: &ServiceName) -> RefMut<'_, SharedRetryBudget> {
        RefMut::map(self.retry_budgets.borrow_mut(), |retry_budgets| {
            retry_budgets.entry(service.clone()).or_insert_with(|| {
                let settings = &self.settings;
                let window = Duration::from_secs_f64(settings.retry_window_s);
                let budget =
                    SharedRetryBudget::new(window, settings.retry_ratio, settings.retry_extra);
                if settings.first_start {
                    return budget;
                }
                budget.withhold_extra_until(self.started + window)
            })
        })
    }
}
