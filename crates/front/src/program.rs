//! Runs the front program from startup to shutdown.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use clem_boot::{Metrics, listen, spawn_vital, stop_signal};
use clem_direct::{Node, NodeSettings, follow, poll_without_hub, release_loop};
use clem_intake::{ConnectionPlace, LinkedBody};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::{GracefulShutdown, Watcher},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use crate::{
    caller::{CallerLink, CallerStream},
    front::Front,
    handle::handle,
    ready,
};

/// How long a stopping process still accepts connections, so that the load balancer can notice that
/// it is not ready.
const LAME_DUCK: Duration = Duration::from_millis(2600);
/// Part of the grace period left unused, so that the process exits before it is killed.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// How much longer connections may be idle than the rules say.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Idle timeout of a connection before any rules are known.
const IDLE_DEFAULT: Duration = Duration::from_secs(15);

/// Validated settings.
pub struct FrontSettings {
    /// Settings of the client side of the direct path.
    pub node: NodeSettings,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check for the load balancer.
    pub ready: SocketAddr,
    /// How long a planned stop may take.
    pub grace: Duration,
    /// Maximum number of requests running at once.
    pub running_max: usize,
    /// Bytes that relayed responses may hold together.
    pub relay_bytes: usize,
    /// Bytes that the bodies of callers' requests may hold together.
    pub body_bytes: usize,
    /// Maximum number of callers' connections.
    pub connections_max: usize,
}

/// Runs the front until a stop signal. `seeds` delivers hub members added to the settings later.
///
/// # Errors
/// A socket can't be used.
pub async fn run(
    settings: FrontSettings,
    seeds: watch::Receiver<Vec<SocketAddr>>,
) -> eyre::Result<()> {
    let metrics = Metrics::start()?;
    let callers = listen(settings.callers)?;
    let balancer = listen(settings.ready)?;
    let node = Arc::new(Node::new(settings.node));
    let front = Arc::new(Front::new(
        Arc::clone(&node),
        settings.running_max,
        settings.relay_bytes,
        settings.body_bytes,
        settings.connections_max,
    ));
    spawn_vital("follow", follow(Arc::clone(&node), seeds));
    spawn_vital("poll_without_hub", poll_without_hub(Arc::clone(&node)));
    spawn_vital("release_loop", release_loop(Arc::clone(&node)));
    spawn_vital("update_readiness", ready::update(Arc::clone(&front)));
    spawn_vital(
        "readiness",
        ready::serve(Arc::clone(&front), metrics, balancer.into_socket()),
    );
    log::info!(vm = node.vm.as_str(), callers:% = settings.callers; "front started");
    let graceful = GracefulShutdown::new();
    let socket = callers.into_socket();
    let stop = stop_signal();
    tokio::pin!(stop);
    tokio::select! {
        () = accept(&front, &socket, &graceful) => {}
        stopped = &mut stop => stopped?,
    }
    log::info!(vm = node.vm.as_str(), running = front.running(); "front stopping");
    let grace = settings.grace.saturating_sub(GRACE_MARGIN);
    let end = tokio::time::Instant::now() + grace;
    front.stop(node.now() + grace);
    let lame_duck = tokio::time::timeout(LAME_DUCK, accept(&front, &socket, &graceful)).await;
    debug_assert!(lame_duck.is_err(), "accept never returns");
    drop(socket);
    if tokio::time::timeout_at(end, graceful.shutdown())
        .await
        .is_err()
    {
        log::warn!(running = front.running(); "connections closed at the end of the grace period");
    }
    log::info!(vm = node.vm.as_str(); "front stopped");
    Ok(())
}

async fn accept(front: &Arc<Front>, socket: &TcpListener, graceful: &GracefulShutdown) {
    loop {
        match socket.accept().await {
            Ok((stream, _)) => {
                let link = CallerLink::default();
                if let Some(place) = front.connections.open(front.node.now(), link.closer()) {
                    serve(front, stream, graceful.watcher(), link, place);
                }
            }
            Err(error) => {
                log::warn!(error:% = error; "connection not accepted");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

fn serve(
    front: &Arc<Front>,
    stream: TcpStream,
    watcher: Watcher,
    link: CallerLink,
    place: ConnectionPlace,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "connection closed immediately");
        return;
    }
    let rules = front.node.view().rules.clone();
    let idle = rules
        .as_ref()
        .map_or(IDLE_DEFAULT, |rules| rules.limits.idle_time);
    let head = rules.as_ref().map_or(0, |rules| rules.limits.head_bytes);
    let front = Arc::clone(front);
    tokio::spawn(async move {
        let place = Arc::new(place);
        let service = service_fn(|request| {
            let front = Arc::clone(&front);
            let link = link.clone();
            let place = Arc::clone(&place);
            async move {
                place.begin_request();
                let response = handle(&front, request, link).await;
                Ok::<_, Infallible>(response.map(|body| LinkedBody::new(body, place)))
            }
        });
        let idle = idle + IDLE_MARGIN;
        let stream = CallerStream::new(stream, link.clone(), Arc::clone(&place), idle);
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(idle)
            .max_buf_size(head.max(HEAD_BYTES_MIN))
            .serve_connection(TokioIo::new(stream), service);
        let served = tokio::select! {
            served = watcher.watch(connection) => served,
            () = link.closed() => Ok(()),
        };
        if let Err(error) = served {
            log::debug!(error:% = error; "caller's connection ended");
        }
    });
}

/// Minimum buffer for a request head, in bytes.
const HEAD_BYTES_MIN: usize = 16 * 1024;
