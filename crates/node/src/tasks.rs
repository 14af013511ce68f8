//! Background tasks of a node: they follow the platform, the engines and the shutdown.

mod cancel;
mod config;
mod engine;
mod orders;
mod vms;

use std::{future::Future, rc::Rc};

use clock::supervise;

pub(crate) use cancel::CancelCall;

use crate::{Node, members, run::expire_drain};

impl Node {
    /// Starts all background tasks of the node.
    pub fn start_tasks(self: Rc<Self>) {
        self.join_fleet();
        self.start_supervised("configuration watch", config::watch_config);
        self.start_supervised("configuration read", config::read_config);
        compio::runtime::spawn(members::announce_leave(self.clone())).detach();
        if let Some(calls) = self.cancel_receiver.take() {
            compio::runtime::spawn(cancel::send_cancels(self.clock.clone(), calls)).detach();
        }
        compio::runtime::spawn(expire_drain(self.clone())).detach();
        self.start_supervised("list of VMs", vms::poll_vms);
        self.start_supervised("orders", orders::send_orders);
    }

    /// Starts a task that is started again if it panics.
    fn start_supervised<F: Future<Output = ()> + 'static>(
        self: &Rc<Self>,
        name: &'static str,
        start: impl Fn(Rc<Node>) -> F + 'static,
    ) {
        let node = self.clone();
        compio::runtime::spawn(async move {
            supervise(&*node.clock, name, || start(node.clone())).await;
        })
        .detach();
    }
}
