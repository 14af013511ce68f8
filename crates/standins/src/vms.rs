//! The platform's list of VMs. A change becomes visible to readers after a delay.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use clock::{Clock, Timestamp};
use futures_util::{
    FutureExt,
    future::{LocalBoxFuture, pending},
};
use http::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use transport::{Body, Handler, RequestBody};
use vms::api::{Vm, VmSnapshot};

use crate::server::{self, bad_request, reply};

/// Settings of the list of VMs.
#[derive(Clone, Debug, clap::Args)]
pub struct VmsArgs {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Delay until a change is visible, in milliseconds.
    #[arg(long, default_value_t = 500)]
    pub lag_millis: u64,
}

/// A change of the list or of its faults, sent by `POST /control`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmsControl {
    /// Adds or replaces a VM.
    Put(Vm),
    /// Removes a VM.
    Remove(String),
    /// Sets whether the VM of this name is leaving.
    Leaving(String, bool),
    /// Sets whether the list leaves all calls but `POST /control` unanswered.
    Hang(bool),
}

struct VmList {
    args: VmsArgs,
    clock: Rc<dyn Clock>,
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    current: VmSnapshot,
    history: Vec<(Timestamp, VmSnapshot)>,
    hang: bool,
}

/// Runs the list of VMs until the process ends.
pub async fn run(clock: Rc<dyn Clock>, args: VmsArgs) -> std::io::Result<()> {
    let addr = args.listen;
    let list = Rc::new(VmList { args, clock: clock.clone(), state: RefCell::default() });
    server::serve(clock, addr, list).await
}

impl Handler for VmList {
    fn handle(
        self: Rc<Self>,
        request: Request<RequestBody>,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        self.answer(request).boxed_local()
    }
}

impl VmList {
    async fn answer(self: Rc<Self>, request: Request<RequestBody>) -> Response<Body> {
        let (head, body) = request.into_parts();
        match (&head.method, head.uri.path()) {
            (&Method::POST, "/control") => match body.json().await {
                Ok(change) => {
                    self.apply(change);
                    reply(Ok(()))
                }
                Err(message) => reply::<()>(Err(bad_request(message))),
            },
            _ if self.state.borrow().hang => pending().await,
            (&Method::GET, "/v1/vms") => reply(Ok(self.visible())),
            _ => reply::<()>(Err((StatusCode::NOT_FOUND, "no such path".into()))),
        }
    }

    fn apply(&self, change: VmsControl) {
        let mut state = self.state.borrow_mut();
        match change {
            VmsControl::Put(vm) => {
                state.current.vms.retain(|other| other.name != vm.name);
                state.current.vms.push(vm);
            }
            VmsControl::Remove(name) => state.current.vms.retain(|vm| vm.name != name),
            VmsControl::Leaving(name, leaving) => {
                let vms = state.current.vms.iter_mut();
                vms.filter(|vm| vm.name == name).for_each(|vm| vm.leaving = leaving);
            }
            VmsControl::Hang(hang) => state.hang = hang,
        }
        state.current.version += 1;
        let snapshot = state.current.clone();
        state.history.push((self.clock.now(), snapshot));
    }

    /// The newest snapshot that is at least `lag_millis` old.
    fn visible(&self) -> VmSnapshot {
        let latest = self.clock.now() - Duration::from_millis(self.args.lag_millis);
        let state = self.state.borrow();
        let visible = state.history.iter().rev().find(|(time, _)| *time <= latest);
        // The list is empty until the first change is visible.
        visible.map(|(_, snapshot)| snapshot.clone()).unwrap_or_default()
    }
}
