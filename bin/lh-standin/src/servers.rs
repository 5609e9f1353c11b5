//! The platform and the backend servers as long-running stand-ins.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use conf::ConfigBundle;
use poem::listener::TcpAcceptor;
use standin::{
    BackendSim, BackendSpec, FakePlatform, control_routes, platform_routes, serve_backend,
};
use tokio::net::TcpListener;

use crate::error::Result;

/// Time after a start in which a backend server is slower.
const COLD_TIME: Duration = Duration::from_secs(2);

/// Runs the platform until SIGTERM.
pub(crate) async fn platform(listen: SocketAddr) -> Result<()> {
    let acceptor = TcpAcceptor::from_tokio(TcpListener::bind(listen).await?)?;
    let routes = platform_routes(&FakePlatform::new());
    let server = poem::Server::new_with_acceptor(acceptor);
    server
        .run_with_graceful_shutdown(routes, stopped(), None)
        .await?;
    Ok(())
}

/// Runs every backend server of a deployment until SIGTERM.
pub(crate) async fn backends(deploy: &Path, control: SocketAddr) -> Result<()> {
    let deployment = ConfigBundle::from_folder(deploy)?.deployment()?;
    let mut backends = Vec::new();
    for pool in &deployment.pools {
        let Some(service) = deployment.services.get(&pool.service) else {
            continue;
        };
        for server in &pool.servers {
            let backend = BackendSim::new(BackendSpec {
                address: server.to_string(),
                slots: pool.slots,
                service_time: service.service_time,
                cold_time: COLD_TIME,
                seed: backends.len() as u64,
            });
            let listener = TcpListener::bind(server.as_str()).await?;
            tokio::spawn(serve_backend(listener, backend.clone()));
            backends.push(backend);
        }
    }
    let acceptor = TcpAcceptor::from_tokio(TcpListener::bind(control).await?)?;
    let server = poem::Server::new_with_acceptor(acceptor);
    server
        .run_with_graceful_shutdown(control_routes(&backends), stopped(), None)
        .await?;
    Ok(())
}

async fn stopped() {
    if let Err(error) = kernel::terminated().await {
        log::error!(error:% = error; "signals can't be heard");
    }
}
