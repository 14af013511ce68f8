use std::{rc::Rc, sync::Arc, time::Duration};

use engines::api::{Cancel, Event, Fault, Handoff, Receipt, StreamFault, Token};
use futures_channel::mpsc;
use futures_util::StreamExt;
use types::{Class, LayerRange, UpstreamName};

use super::{Engine, links::LinkMessage, session::Session};
use crate::reference;

/// Interval at which a hanging engine looks whether it may go on.
const HANG_POLL: Duration = Duration::from_millis(20);
/// Sessions in one step.
const MAX_BATCH: usize = 64;

/// Runs the queued work in steps; each step takes all waiting sessions up to a bound.
pub(crate) async fn run(engine: Rc<Engine>, mut queue: mpsc::UnboundedReceiver<Handoff>) {
    let mut waiting: Vec<Handoff> = Vec::new();
    loop {
        if waiting.is_empty() {
            match queue.next().await {
                Some(handoff) => waiting.push(handoff),
                None => return,
            }
        }
        while let Ok(handoff) = queue.try_recv() {
            waiting.push(handoff);
        }
        while engine.is_stopped() {
            engine.clock.sleep(HANG_POLL).await;
        }
        // A stable sort keeps the order of arrival within a class.
        waiting.sort_by_key(|handoff| handoff.class != Class::Interactive);
        let rest = waiting.split_off(waiting.len().min(MAX_BATCH));
        let batch = std::mem::replace(&mut waiting, rest);
        let cost = engine.step_cost(&batch);
        engine.clock.sleep(cost).await;
        for handoff in batch {
            engine.run_stage(handoff);
        }
    }
}

impl Engine {
    fn is_stopped(&self) -> bool {
        let faults = self.faults.borrow();
        faults.hang || faults.stall
    }

    fn step_cost(&self, batch: &[Handoff]) -> Duration {
        let mut prefill = 0;
        for handoff in batch {
            if handoff.activations.len() > 1 {
                let mut cache = self.cache.borrow_mut();
                let cached = cache.lookup_and_store(&handoff.activations);
                prefill += (handoff.activations.len() - cached) as u64;
            }
        }
        let micros = self.args.step_micros
            + self.args.item_micros * batch.len() as u64
            + self.args.prefill_micros * prefill;
        let slowdown = u64::from(self.faults.borrow().slowdown.max(1));
        Duration::from_micros(micros * slowdown)
    }

    fn run_stage(self: &Rc<Self>, mut handoff: Handoff) {
        let outcome = {
            let mut sessions = self.sessions.borrow_mut();
            match sessions.get_mut(&handoff.session) {
                Some(session) => self.run_layers(session, &mut handoff),
                None => Ok(false),
            }
        };
        match outcome {
            Ok(true) => self.pass_on(handoff),
            // The attempt was cancelled or replaced, or the handoff is a duplicate.
            Ok(false) => {}
            Err(fault) => self.fail(&handoff, Some(self.name.clone()), fault),
        }
    }

    /// Runs the layers of this stage. Returns whether there is an output to pass on.
    fn run_layers(
        &self,
        session: &mut Session,
        handoff: &mut Handoff,
    ) -> Result<bool, StreamFault> {
        if handoff.attempt != session.attempt || !session.active {
            return Ok(false);
        }
        if handoff.first < session.next {
            return Ok(false);
        }
        if handoff.first > session.next {
            return Err(StreamFault::PositionGap);
        }
        let faults = self.faults.borrow().clone();
        let last = session.layers.len().saturating_sub(u32::from(faults.skip_layer));
        for activation in &mut handoff.activations {
            for layer in 0..last {
                let cache = &mut session.values[layer as usize];
                *activation =
                    reference::run_layer(session.layers.start + layer, cache, *activation);
            }
        }
        session.next += handoff.activations.len() as u32;
        session.used = self.clock.now();
        let layers = if faults.wrong_receipt {
            LayerRange { start: session.layers.start, end: session.layers.end + 1 }
        } else {
            session.layers
        };
        handoff.receipts.push(Receipt {
            engine: self.name.clone(),
            version: session.version.clone(),
            layers,
            attempt: session.attempt,
            first: handoff.first,
            end: session.next,
        });
        self.count_run(handoff.activations.len() as u32);
        Ok(true)
    }

    fn count_run(&self, positions: u32) {
        self.tokens_run.set(self.tokens_run.get() + u64::from(positions));
        let mut faults = self.faults.borrow_mut();
        if let Some(left) = &mut faults.crash_after {
            *left = left.saturating_sub(1);
            if *left == 0 {
                std::process::abort();
            }
        }
    }

    /// Hands the output to the next stage, or back to the first one as a token.
    fn pass_on(self: &Rc<Self>, mut handoff: Handoff) {
        handoff.stage += 1;
        let returns = handoff.stage == handoff.route.len();
        if returns {
            handoff.activations = handoff.activations.split_off(handoff.activations.len() - 1);
            handoff.prefixes = Arc::from([]);
        }
        let target = if returns { 0 } else { handoff.stage };
        let Some(addr) = handoff.route.get(target).map(|stage| stage.addr) else { return };
        if target == 0 && handoff.route.len() == 1 {
            self.finish_step(handoff);
            return;
        }
        let faults = self.faults.borrow().clone();
        self.handoffs.set(self.handoffs.get() + 1);
        if faults.drop_every > 0 && self.handoffs.get().is_multiple_of(faults.drop_every) {
            return;
        }
        if faults.duplicate {
            self.links.send(self, addr, LinkMessage::Handoff(handoff.clone()));
        }
        self.links.send(self, addr, LinkMessage::Handoff(handoff));
    }

    /// Takes the output of the last stage: sends the token and starts the next position.
    pub(crate) fn finish_step(self: &Rc<Self>, handoff: Handoff) {
        let next = {
            let mut sessions = self.sessions.borrow_mut();
            let Some(session) = sessions.get_mut(&handoff.session) else { return };
            if session.attempt != handoff.attempt || !session.active {
                return;
            }
            let Some(head) = &mut session.head else { return };
            let Some(end) = handoff.receipts.first().map(|receipt| receipt.end) else { return };
            if end != head.positions {
                return;
            }
            let Some(output) = handoff.activations.last() else { return };
            let id = reference::sample(*output);
            let token = Token {
                session: handoff.session.clone(),
                attempt: session.attempt,
                index: head.generated,
                id,
                text: reference::token_text(id),
                receipts: handoff.receipts,
            };
            head.generated += 1;
            let sent = head.events.unbounded_send(Event::Token(token)).is_ok();
            let done = head.generated >= head.request.max_tokens;
            if done {
                // The receiver may be gone; the session ends in any case.
                let _ = head.events.unbounded_send(Event::End);
            }
            let paused = head.pausing && !done;
            if paused {
                let _ = head.events.unbounded_send(Event::Paused);
            }
            if done || paused || !sent {
                None
            } else {
                let position = head.positions;
                head.positions += 1;
                Some((position, reference::embed(&session.model, id, position)))
            }
        };
        match next {
            Some((first, activation)) => {
                let step = Handoff {
                    stage: 0,
                    first,
                    activations: vec![activation],
                    receipts: Vec::new(),
                    ..handoff
                };
                // The queue is read until the process ends.
                let _ = self.work.unbounded_send(step);
            }
            None => self.end_session(&handoff.session, handoff.attempt, true),
        }
    }

    /// Ends an attempt here and, from the first stage, at the other stages.
    pub(crate) fn end_session(self: &Rc<Self>, id: &Arc<str>, attempt: u32, spread: bool) {
        let route = {
            let mut sessions = self.sessions.borrow_mut();
            let Some(session) = sessions.get_mut(id) else { return };
            if session.attempt > attempt {
                return;
            }
            session.active = false;
            session.head.take().map(|head| head.request.route)
        };
        let Some(route) = route.filter(|_| spread) else { return };
        for stage in route.iter().skip(1) {
            let cancel = Cancel { session: id.clone(), attempt, at_step_end: false };
            self.links.send(self, stage.addr, LinkMessage::Cancel(cancel));
        }
    }

    /// Ends an attempt with a fault and tells the first stage.
    pub(crate) fn fail(
        self: &Rc<Self>,
        handoff: &Handoff,
        engine: Option<UpstreamName>,
        reason: StreamFault,
    ) {
        let fault =
            Fault { session: handoff.session.clone(), attempt: handoff.attempt, engine, reason };
        match handoff.route.first() {
            Some(first) if first.engine != self.name => {
                self.links.send(self, first.addr, LinkMessage::Fault(fault));
            }
            _ => self.take_fault(fault),
        }
    }

    /// Passes a fault on to the router.
    pub(crate) fn take_fault(self: &Rc<Self>, fault: Fault) {
        {
            let sessions = self.sessions.borrow();
            let Some(session) = sessions.get(&fault.session) else { return };
            if session.attempt != fault.attempt {
                return;
            }
            if let Some(head) = &session.head {
                let event = Event::Failed { engine: fault.engine, reason: fault.reason };
                // The receiver may be gone; the session ends in any case.
                let _ = head.events.unbounded_send(event);
            }
        }
        self.end_session(&fault.session, fault.attempt, true);
    }
}
