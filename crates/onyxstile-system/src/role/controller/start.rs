//! Start of a controller.

use std::convert::Infallible;
use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::sync::oneshot;

use super::recovery::Recovery;
use super::registry_store::{OpenedStore, RegistryStore};
use super::{ControllerServer, api};
use crate::process::Resource;
use crate::role::data_folder::{self, ClaimedFolder};
use crate::role::error::StartError;
use crate::role::essential_tasks::EssentialTasks;
use crate::role::host::Host;
use crate::role::shutdown::Shutdown;
use crate::role::{http, membership, socket};
use crate::swim::Class;

/// A controller that has started.
pub(super) struct Started {
    pub server: Rc<ControllerServer>,
    pub peers: TcpListener,
    pub tasks: EssentialTasks,
    /// Completes when the writer of the registry record has ended.
    pub store_end: oneshot::Receiver<()>,
}

/// Gets what an elector needs.
pub(super) async fn start(host: &Rc<Host<ControllerServer>>) -> Started {
    let (settings, waits) = (&host.settings, &host.waits);
    let ClaimedFolder { path, socket, lock } = data_folder::claim(host).await;
    let mut recovery = Recovery::default();
    let (record, durable) =
        waits.acquire(Resource::Records, || recovery.open_record(&settings.borrow(), &path)).await;
    let opened = waits.acquire(Resource::Records, || RegistryStore::open(path.clone())).await;
    let OpenedStore { store, stored, end: store_end } = opened;
    let peers = data_folder::listen_to_peers(host).await;
    let mut tasks = EssentialTasks::default();
    let member = (Class::Core, durable.disk);
    let swim = membership::start(&settings.borrow(), member, host.clock, socket, &mut tasks);
    let server = ControllerServer::new(settings.clone(), host.clock, durable, swim, record, store);
    let server = host.started(ControllerServer { _lock: Some(lock), ..server });
    server.restore_registry(stored);
    Started { server, peers, tasks, store_end }
}

/// Serves operators and endpoints. Without their address the controller still votes and tells relays what it knows.
pub(super) async fn serve_api(
    host: &Host<ControllerServer>, server: Rc<ControllerServer>, shutdown: Rc<Shutdown>,
) -> Infallible {
    let listen = || {
        let control = host.settings.borrow().listen.control.ok_or(StartError::Missing("listen.control"))?;
        Ok::<_, StartError>(socket::listen(control)?)
    };
    let listener = host.waits.acquire(Resource::Control, listen).await;
    http::serve(listener, host.clock, shutdown, move |request| api::answer(server.clone(), request)).await
}
