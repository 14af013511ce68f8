//! The bodies of scripted responses.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use clock::{Clock, Timestamp};
use futures_util::{FutureExt, future::LocalBoxFuture};
use transport::CallError;
use upstreams::ResponseBody;

use super::event;

/// A part of a body.
pub(super) enum BodyPart {
    Bytes(Bytes),
    /// The upstream's process stops, and the connection breaks.
    Crash(String, Rc<RefCell<Vec<String>>>),
    Break,
    Endless,
    Silence,
    Pause(Duration),
    PauseUntil(Timestamp),
}

pub(super) struct ScriptedBody {
    pub(super) parts: VecDeque<BodyPart>,
    pub(super) clock: Rc<dyn Clock>,
    pub(super) endless_bytes: Rc<Cell<usize>>,
}

impl ResponseBody for ScriptedBody {
    fn next(&mut self, limit: Duration) -> LocalBoxFuture<'_, Result<Option<Bytes>, CallError>> {
        async move {
            match self.parts.pop_front() {
                None => Ok(None),
                Some(BodyPart::Bytes(bytes)) => Ok(Some(bytes)),
                Some(BodyPart::Endless) => {
                    let chunk = Bytes::from_static(&[b'x'; 4096]);
                    self.endless_bytes.set(self.endless_bytes.get() + chunk.len());
                    self.parts.push_front(BodyPart::Endless);
                    Ok(Some(chunk))
                }
                Some(BodyPart::Crash(name, stopped)) => {
                    stopped.borrow_mut().push(name);
                    Err(CallError::Broken("reset".into()))
                }
                Some(BodyPart::Break) => Err(CallError::Broken("reset".into())),
                Some(BodyPart::Pause(pause)) => {
                    // The rest of the pause is put back first, since this future may be dropped.
                    let end = self.clock.now() + pause;
                    self.parts.push_front(BodyPart::PauseUntil(end));
                    self.next(limit).await
                }
                Some(BodyPart::PauseUntil(end)) => {
                    self.parts.push_front(BodyPart::PauseUntil(end));
                    let left = end.since(self.clock.now());
                    self.clock.sleep(left.min(limit)).await;
                    if left > limit {
                        return Err(CallError::Timeout);
                    }
                    self.parts.pop_front();
                    self.next(limit - left).await
                }
                Some(BodyPart::Silence) => {
                    self.parts.push_front(BodyPart::Silence);
                    self.clock.sleep(limit).await;
                    Err(CallError::Timeout)
                }
            }
        }
        .boxed_local()
    }
}

/// The encoded events with these numbers.
pub(super) fn events(numbers: &[u64]) -> Vec<BodyPart> {
    numbers.iter().map(|number| BodyPart::Bytes(event(*number).into())).collect()
}
