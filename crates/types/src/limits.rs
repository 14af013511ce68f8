//! Limits on what a caller may send, so that the memory for one request is limited.

/// Maximum size of a request body, in bytes.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// Maximum number of headers in a request.
pub const MAX_HEADERS: usize = 64;
/// Maximum size of the value of one header, in bytes.
pub const MAX_HEADER_BYTES: usize = 4096;
/// Maximum number of tokens in a prompt.
pub const MAX_PROMPT_TOKENS: usize = 32_768;
/// Maximum number of tokens that one completion may generate.
pub const MAX_OUTPUT_TOKENS: u32 = 4096;
/// Maximum size of an idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;
/// Maximum size of the name of an organisation, model, service, upstream or node, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
