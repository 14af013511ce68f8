//! Background tasks of a node: they follow the platform, the engines and the shutdown.

mod cancel;
mod config;
mod engine;
mod orders;
mod vms;

use std::rc::Rc;

pub(crate) use cancel::CancelCall;

use crate::{Node, members, run::expire_drain};

impl Node {
    /// Starts all background tasks of the node.
    pub fn start_tasks(self: Rc<Self>) {
        self.join_fleet();
        compio::runtime::spawn(config::watch_config(self.clone())).detach();
        compio::runtime::spawn(config::read_config(self.clone())).detach();
        compio::runtime::spawn(members::announce_leave(self.clone())).detach();
        if let Some(calls) = self.cancel_receiver.take() {
            compio::runtime::spawn(cancel::send_cancels(self.clock.clone(), calls)).detach();
        }
        compio::runtime::spawn(expire_drain(self.clone())).detach();
        compio::runtime::spawn(vms::poll_vms(self.clone())).detach();
        compio::runtime::spawn(orders::send_orders(self)).detach();
    }
}
