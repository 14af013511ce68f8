//! Choice of paths by latency targets, unread prompts and slow links.

mod crossing;
mod explained;
mod replay;
mod replays;
mod support;
mod targets;
mod unread;
