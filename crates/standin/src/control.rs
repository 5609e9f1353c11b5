//! HTTP control interface of simulated backend servers.

use std::collections::HashMap;
use std::sync::Arc;

use poem::web::{Data, Json, Path};
use poem::{Endpoint, EndpointExt, IntoResponse, Route, get, handler, put};

use crate::server::{BackendSim, ServerMode, ServerView};

/// Builds the routes to control and inspect a set of servers.
pub fn control_routes(backends: &[BackendSim]) -> impl Endpoint<Output = poem::Response> + use<> {
    let backends: Arc<Vec<BackendSim>> = Arc::new(backends.to_vec());
    Route::new()
        .at("/servers", get(servers))
        .at("/servers/:address/mode", put(set_mode))
        .at("/runs", get(runs))
        .at("/healthz", get(health))
        .data(backends)
        .map_to_response()
}

#[handler]
fn servers(Data(backends): Data<&Arc<Vec<BackendSim>>>) -> Json<Vec<ServerView>> {
    Json(backends.iter().map(BackendSim::view).collect())
}

/// Sets the mode of all servers whose address starts with the given prefix, and returns their
/// number.
#[handler]
fn set_mode(
    Path(address): Path<String>,
    Json(mode): Json<ServerMode>,
    Data(backends): Data<&Arc<Vec<BackendSim>>>,
) -> poem::Response {
    let mut count = 0;
    for backend in backends.iter() {
        if !backend.spec().address.starts_with(&address) {
            continue;
        }
        backend.set_mode(mode);
        count += 1;
    }
    format!("{count}\n").into_response()
}

#[handler]
fn runs(Data(backends): Data<&Arc<Vec<BackendSim>>>) -> Json<HashMap<String, u32>> {
    let mut all = HashMap::new();
    for backend in backends.iter() {
        for (id, count) in backend.runs() {
            *all.entry(id).or_default() += count;
        }
    }
    Json(all)
}

#[handler]
fn health() -> &'static str {
    "ok\n"
}
