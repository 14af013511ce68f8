//! Parses and checks the request headers that the router uses.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, HeaderName, header};
use types::{Class, MAX_HEADER_BYTES, MAX_KEY_BYTES, MAX_NAME_BYTES, RequestId};

use crate::RequestContext;

/// Maximum deadline that a caller may set.
const MAX_DEADLINE_MS: u64 = 600_000;

const ORGANISATION: &str = "x-organisation";
const CLASS: &str = "x-class";
const DEADLINE: &str = "x-deadline-ms";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const FIRST_SEND: &str = "x-first-send";

/// Reads the headers that describe the caller and its request. The error message is returned to the
/// caller.
pub(crate) fn read_caller(headers: &HeaderMap, id: RequestId) -> Result<RequestContext, String> {
    check_value_sizes(headers)?;
    let organisation = single_value(headers, ORGANISATION)?
        .ok_or_else(|| format!("header {ORGANISATION} is missing"))?;
    check_name(ORGANISATION, organisation, MAX_NAME_BYTES)?;
    let class = match single_value(headers, CLASS)? {
        Some(class) => class
            .parse::<Class>()
            .map_err(|_| format!("header {CLASS} must be interactive or batch, not {class:?}"))?,
        None => Class::default(),
    };
    let deadline = match single_value(headers, DEADLINE)? {
        Some(millis) => Some(parse_deadline(millis)?),
        None => None,
    };
    Ok(RequestContext { id, organisation: organisation.into(), class, deadline })
}

/// Reads the request identifier, which a caller may choose.
pub(crate) fn read_request_id(headers: &HeaderMap) -> Result<Option<RequestId>, String> {
    let Some(id) = single_value(headers, transport::REQUEST_ID_HEADER)? else { return Ok(None) };
    check_name(transport::REQUEST_ID_HEADER, id, MAX_NAME_BYTES)?;
    Ok(Some(id.into()))
}

/// Reads the idempotency key.
pub(crate) fn read_idempotency_key(headers: &HeaderMap) -> Result<Option<Arc<str>>, String> {
    let Some(key) = single_value(headers, IDEMPOTENCY_KEY)? else { return Ok(None) };
    check_name(IDEMPOTENCY_KEY, key, MAX_KEY_BYTES)?;
    Ok(Some(key.into()))
}

/// Reads whether the caller states that it has never sent this idempotency key before.
pub(crate) fn read_first_send(headers: &HeaderMap) -> Result<bool, String> {
    match single_value(headers, FIRST_SEND)? {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(other) => Err(format!("header {FIRST_SEND} must be true or false, not {other:?}")),
    }
}

/// Whether the caller may have sent this request before: it has an idempotency key, and the caller
/// does not state that this is the first send.
pub(crate) fn may_be_resend(headers: &HeaderMap) -> bool {
    headers.contains_key(IDEMPOTENCY_KEY) && read_first_send(headers) != Ok(true)
}

/// The headers to forward to a plain service.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let forwarded_names = [
        header::ACCEPT,
        header::ACCEPT_LANGUAGE,
        header::AUTHORIZATION,
        header::CONTENT_TYPE,
        HeaderName::from_static(IDEMPOTENCY_KEY),
        HeaderName::from_static(ORGANISATION),
        HeaderName::from_static(transport::REQUEST_ID_HEADER),
    ];
    let mut result = HeaderMap::new();
    for name in forwarded_names {
        if let Some(value) = headers.get(&name) {
            result.insert(name, value.clone());
        }
    }
    result
}

fn check_value_sizes(headers: &HeaderMap) -> Result<(), String> {
    for (name, value) in headers {
        if value.len() > MAX_HEADER_BYTES {
            return Err(format!("header {name} is longer than {MAX_HEADER_BYTES} bytes"));
        }
    }
    Ok(())
}

fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, String> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(format!("header {name} is given more than once"));
    }
    value.to_str().map(Some).map_err(|_| format!("header {name} is not plain text"))
}

fn check_name(header: &str, name: &str, max: usize) -> Result<(), String> {
    if name.is_empty() || name.len() > max {
        return Err(format!("header {header} must have 1 to {max} bytes"));
    }
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    if !name.bytes().all(is_allowed) {
        return Err(format!(
            "header {header} may hold only letters, digits, '-', '_', '.' and ':'"
        ));
    }
    Ok(())
}

fn parse_deadline(millis: &str) -> Result<Duration, String> {
    match millis.parse::<u64>() {
        Ok(value) if (1..=MAX_DEADLINE_MS).contains(&value) => Ok(Duration::from_millis(value)),
        _ => Err(format!(
            "header {DEADLINE} must be a number of milliseconds from 1 to {MAX_DEADLINE_MS}, not {millis:?}"
        )),
    }
}
