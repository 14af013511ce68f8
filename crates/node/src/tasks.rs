//! The tasks that talk to the platform, the engines and other nodes.

mod cancel;
mod config;
mod engine;
mod orders;
mod vms;

use std::rc::Rc;

pub(crate) use cancel::CancelOrder;

use crate::{Node, members, run::expire_drain};

impl Node {
    /// Starts the tasks that follow the platform and the upstreams.
    pub fn start_tasks(self: Rc<Self>) {
        self.join_fleet();
        compio::runtime::spawn(config::watch_config(self.clone())).detach();
        compio::runtime::spawn(config::read_config(self.clone())).detach();
        compio::runtime::spawn(members::leave_on_stop(self.clone())).detach();
        if let Some(orders) = self.cancel_orders.take() {
            compio::runtime::spawn(cancel::send_cancels(self.clock.clone(), orders)).detach();
        }
        compio::runtime::spawn(expire_drain(self.clone())).detach();
        compio::runtime::spawn(vms::poll_vms(self.clone())).detach();
        compio::runtime::spawn(orders::give_orders(self)).detach();
    }
}
