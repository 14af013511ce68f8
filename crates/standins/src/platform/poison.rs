//! Requests that crash the workers that run them: prompts with one part, of many, that crashes engines
//! at some point of their answers, and a call that is sent again and again.

use std::{rc::Rc, time::Duration};

use http::{HeaderMap, HeaderValue, Request};
use transport::Body;

use super::{Platform, caller::caller_request, worker};

/// The part of a prompt that crashes engines. Its number of tokens is the number of events that are
/// written before the crash.
const POISON_PART: &str = "dead0001";
/// Path of the call that crashes its replica.
pub const POISON_PATH: &str = "/look/poison";
/// Header with the parts of a prompt.
const PARTS: &str = "prefix-hash";
/// Number of parts that all prompts share.
const SHARED_PARTS: usize = 60;
/// Time from the removal of a crashed worker's entry to its restart.
const DOWN_TIME: Duration = Duration::from_millis(1500);

/// The parts that only the poison prompts and the sound ones of a quiet caller have. They are the last
/// shared ones.
const QUIET_PARTS: [&str; 2] = ["9a1e0001:1", "9a1e0002:1"];

/// The parts of a prompt: those that all prompts share, and `more`. `poison` has its place among them, if
/// there is one.
fn parts(id: &str, more: &[&str], poison: Option<(usize, String)>) -> String {
    let mut parts: Vec<String> =
        (0..SHARED_PARTS).map(|part| format!("5a4ed{part:03x}:1")).collect();
    parts.extend(more.iter().map(|part| (*part).to_owned()));
    if let Some((place, poison)) = poison {
        parts.insert(place.min(SHARED_PARTS), poison);
    }
    let own = id.bytes().fold(1_u64, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into()));
    parts.push(format!("{own:x}:9"));
    parts.join(",")
}

/// Adds the parts of a sound prompt to a request.
pub(super) fn add_sound_parts(headers: &mut HeaderMap, id: &str) {
    if let Ok(value) = HeaderValue::try_from(parts(id, &[], None)) {
        headers.insert(PARTS, value);
    }
}

/// Builds a request of a caller that is quiet while poison prompts come: a sound prompt with all their
/// parts but the poison one.
pub fn quiet_prompt(id: &str, node: &str) -> Request<Body> {
    let mut request = caller_request("/drafts/x", id, node, 60, 8000);
    if let Ok(value) = HeaderValue::try_from(parts(id, &QUIET_PARTS, None)) {
        request.headers_mut().insert(PARTS, value);
    }
    request
}

/// Builds a request with a prompt that crashes its engine after `events` events. The poison part has
/// the given place.
pub fn poison_prompt(id: &str, node: &str, place: usize, events: u32) -> Request<Body> {
    let mut request = caller_request("/drafts/x", id, node, 60, 8000);
    let poison = (place, format!("{POISON_PART}:{events}"));
    if let Ok(value) = HeaderValue::try_from(parts(id, &QUIET_PARTS, Some(poison))) {
        request.headers_mut().insert(PARTS, value);
    }
    request
}

/// Builds the call that crashes its replica. It has the same content each time.
pub fn poison_call(id: &str, node: &str) -> Request<Body> {
    let (head, _) = caller_request(POISON_PATH, id, node, 2, 8000).into_parts();
    Request::from_parts(head, Body::from("always the same".to_owned()))
}

/// Number of events before the crash that the prompt of a request leads to; `None` if it is sound.
pub(super) fn events_before_crash(headers: &HeaderMap) -> Option<u32> {
    let text = headers.get(PARTS)?.to_str().ok()?;
    let poison = text.split(',').find_map(|part| part.strip_prefix(POISON_PART))?;
    poison.strip_prefix(':')?.parse().ok()
}

impl Platform {
    /// Records that a poison request has reached a worker.
    pub(super) fn record_poison(&self, id: &str, is_prompt: bool) {
        let at = self.clock.now().since(self.started).as_millis() as u64;
        let mut seen = self.seen.borrow_mut();
        let arrivals = if is_prompt { &mut seen.poison_prompts } else { &mut seen.poison_calls };
        arrivals.push((id.to_owned(), at));
    }

    /// Crashes a worker that has run a poison request.
    pub(super) fn crash_by_request(self: &Rc<Self>, crashed: &Rc<worker::Worker>) {
        compio::runtime::spawn(worker::crash(self.clone(), crashed.clone(), DOWN_TIME)).detach();
    }
}
