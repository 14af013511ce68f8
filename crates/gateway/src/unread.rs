//! Counts the prompt of a request as unread from the send to the first event of its stream.

use std::{cell::Cell, rc::Rc};

use pipelines::RequestSize;
use types::Stage;

use crate::{Gateway, lifecycle::ActiveRequest};

/// Counts an attempt in the table of unread prompt tokens until it is dropped.
pub(crate) struct UnreadGuard {
    gateway: Rc<Gateway>,
    stages: Vec<Stage>,
    size: RequestSize,
    is_read: Cell<bool>,
}

impl UnreadGuard {
    /// Records that the first event has arrived. Further events have no effect.
    pub(crate) fn record_event(&self) {
        if !self.stages.is_empty() && !self.is_read.replace(true) {
            self.gateway.metrics.unread_prompts.dec();
            self.gateway.unread.borrow_mut().record_first_event(&self.stages, self.size);
        }
    }
}

impl Drop for UnreadGuard {
    fn drop(&mut self) {
        self.record_event();
        self.gateway.unread.borrow_mut().remove(&self.stages, self.size);
    }
}

impl ActiveRequest {
    /// Starts to count the prompt on the engines of an attempt. The answers that are not streams do
    /// not show when the prompt is prefilled, so they are left to the estimate.
    pub(crate) fn start_reading(&self, stages: &[Stage]) -> UnreadGuard {
        let is_counted = self.gateway.settings.overload.is_some() && self.route.retry.is_stream();
        let stages = if is_counted { stages.to_vec() } else { Vec::new() };
        let size = RequestSize { prompt: self.prompt, tokens: self.tokens };
        self.gateway.unread.borrow_mut().add(&stages, size);
        let gateway = self.gateway.clone();
        if !stages.is_empty() {
            gateway.metrics.unread_prompts.inc();
        }
        UnreadGuard { gateway, stages, size, is_read: Cell::new(false) }
    }
}
