//! Limits on what a caller may send. They bound the memory that one request can take.

/// Largest request body, in bytes.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// Largest number of header lines in a request.
pub const MAX_HEADERS: usize = 64;
/// Largest value of one header, in bytes.
pub const MAX_HEADER_BYTES: usize = 4096;
/// Largest number of tokens in a prompt.
pub const MAX_PROMPT_TOKENS: usize = 32_768;
/// Largest number of tokens that one completion may generate.
pub const MAX_OUTPUT_TOKENS: u32 = 4096;
/// Largest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;
/// Largest name of an organisation, model, upstream or node, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
