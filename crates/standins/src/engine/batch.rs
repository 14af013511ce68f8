use std::{rc::Rc, sync::Arc, time::Duration};

use engines::api::{Cancel, Event, Fault, Handoff, Receipt, StreamFault, Token};
use futures_channel::mpsc;
use futures_util::StreamExt;
use types::{Class, LayerRange, UpstreamName};

use super::{Engine, links::LinkMessage, session::Session};
use crate::reference;

/// Interval at which a stopped engine checks whether the faults that stop it are cleared.
const STOP_POLL: Duration = Duration::from_millis(20);
/// Largest number of handoffs in one step.
const MAX_BATCH: usize = 64;

/// Runs the queued handoffs in steps. Each step runs up to [`MAX_BATCH`] waiting handoffs,
/// interactive ones first.
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
            engine.clock.sleep(STOP_POLL).await;
        }
        // A stable sort keeps the order of arrival within a class.
        waiting.sort_by_key(|handoff| handoff.class != Class::Interactive);
        let rest = waiting.split_off(waiting.len().min(MAX_BATCH));
        let batch = std::mem::replace(&mut waiting, rest);
        let time = engine.step_time(&batch);
        engine.clock.sleep(time).await;
        for handoff in batch {
            engine.run_stage(handoff);
        }
    }
}

impl Engine {
    /// Whether a fault stops all work.
    fn is_stopped(&self) -> bool {
        let faults = self.faults.borrow();
        faults.hang || faults.stall
    }

    /// Returns the time that a step takes, and adds its prefills to the prefix cache.
    fn step_time(&self, batch: &[Handoff]) -> Duration {
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
            Ok(true) => self.forward(handoff),
            // The attempt was cancelled or superseded, or the handoff is a duplicate.
            Ok(false) => {}
            Err(fault) => self.fail_attempt(&handoff, Some(self.name.clone()), fault),
        }
    }

    /// Runs the layers of this stage. Returns whether there is an output to forward.
    fn run_layers(
        &self,
        session: &mut Session,
        handoff: &mut Handoff,
    ) -> Result<bool, StreamFault> {
        if handoff.attempt != session.attempt || !session.active {
            return Ok(false);
        }
        if handoff.first < session.next_position {
            return Ok(false);
        }
        if handoff.first > session.next_position {
            return Err(StreamFault::PositionGap);
        }
        let faults = self.faults.borrow().clone();
        let layer_count = session.layers.len().saturating_sub(u32::from(faults.skip_layer));
        for activation in &mut handoff.activations {
            for layer in 0..layer_count {
                let cache = &mut session.values[layer as usize];
                *activation =
                    reference::run_layer(session.layers.start + layer, cache, *activation);
            }
        }
        session.next_position += handoff.activations.len() as u32;
        session.last_used = self.clock.now();
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
            end: session.next_position,
        });
        self.count_positions(handoff.activations.len() as u32);
        Ok(true)
    }

    /// Counts positions that have run, and aborts the process if the crash fault is due.
    fn count_positions(&self, positions: u32) {
        self.positions_run.set(self.positions_run.get() + u64::from(positions));
        let mut faults = self.faults.borrow_mut();
        if let Some(left) = &mut faults.crash_after {
            *left = left.saturating_sub(1);
            if *left == 0 {
                std::process::abort();
            }
        }
    }

    /// Sends the output to the next stage, or from the last stage back to the first one.
    fn forward(self: &Rc<Self>, mut handoff: Handoff) {
        handoff.stage += 1;
        let route_done = handoff.stage == handoff.route.len();
        if route_done {
            handoff.activations = handoff.activations.split_off(handoff.activations.len() - 1);
            handoff.prefixes = Arc::from([]);
        }
        let next_stage = if route_done { 0 } else { handoff.stage };
        let Some(addr) = handoff.route.get(next_stage).map(|stage| stage.addr) else { return };
        if next_stage == 0 && handoff.route.len() == 1 {
            self.finish_step(handoff);
            return;
        }
        let faults = self.faults.borrow().clone();
        self.handoff_count.set(self.handoff_count.get() + 1);
        if faults.drop_every > 0 && self.handoff_count.get().is_multiple_of(faults.drop_every) {
            return;
        }
        if faults.duplicate {
            self.links.send(self, addr, LinkMessage::Handoff(handoff.clone()));
        }
        self.links.send(self, addr, LinkMessage::Handoff(handoff));
    }

    /// Handles the output of the last stage at the first stage: sends the token to the router and
    /// starts the next position, or ends the attempt.
    pub(crate) fn finish_step(self: &Rc<Self>, handoff: Handoff) {
        let next = {
            let mut sessions = self.sessions.borrow_mut();
            let Some(session) = sessions.get_mut(&handoff.session) else { return };
            if session.attempt != handoff.attempt || !session.active {
                return;
            }
            let Some(stream) = &mut session.stream else { return };
            let Some(end) = handoff.receipts.first().map(|receipt| receipt.end) else { return };
            if end != stream.positions {
                return;
            }
            let Some(output) = handoff.activations.last() else { return };
            let id = reference::sample(*output);
            let token = Token {
                session: handoff.session.clone(),
                attempt: session.attempt,
                index: stream.generated,
                id,
                text: reference::token_text(id),
                receipts: handoff.receipts,
            };
            stream.generated += 1;
            let sent = stream.events.unbounded_send(Event::Token(token)).is_ok();
            let done = stream.generated >= stream.request.max_tokens;
            if done {
                // The receiver may be gone; the attempt ends in any case.
                let _ = stream.events.unbounded_send(Event::End);
            }
            let paused = stream.pause_requested && !done;
            if paused {
                let _ = stream.events.unbounded_send(Event::Paused);
            }
            if done || paused || !sent {
                None
            } else {
                let position = stream.positions;
                stream.positions += 1;
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
                // The queue is read until the process ends, so sending cannot fail.
                let _ = self.work_queue.unbounded_send(step);
            }
            None => self.end_attempt(&handoff.session, handoff.attempt, true),
        }
    }

    /// Ends an attempt and all older ones of the session here. At the first stage, `cancel_others`
    /// also cancels it at the other stages.
    pub(crate) fn end_attempt(self: &Rc<Self>, id: &Arc<str>, attempt: u32, cancel_others: bool) {
        let route = {
            let mut sessions = self.sessions.borrow_mut();
            let Some(session) = sessions.get_mut(id) else { return };
            if session.attempt > attempt {
                return;
            }
            session.active = false;
            session.stream.take().map(|stream| stream.request.route)
        };
        let Some(route) = route.filter(|_| cancel_others) else { return };
        for stage in route.iter().skip(1) {
            let cancel = Cancel { session: id.clone(), attempt, at_step_end: false };
            self.links.send(self, stage.addr, LinkMessage::Cancel(cancel));
        }
    }

    /// Reports a fault to the first stage, which ends the attempt. `engine` is the engine to blame,
    /// if known.
    pub(crate) fn fail_attempt(
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
            _ => self.receive_fault(fault),
        }
    }

    /// Handles a fault at the first stage: reports it to the router and ends the attempt.
    pub(crate) fn receive_fault(self: &Rc<Self>, fault: Fault) {
        {
            let sessions = self.sessions.borrow();
            let Some(session) = sessions.get(&fault.session) else { return };
            if session.attempt != fault.attempt {
                return;
            }
            if let Some(stream) = &session.stream {
                let event = Event::Failed { engine: fault.engine, reason: fault.reason };
                // The receiver may be gone; the attempt ends in any case.
                let _ = stream.events.unbounded_send(event);
            }
        }
        self.end_attempt(&fault.session, fault.attempt, true);
    }
}
