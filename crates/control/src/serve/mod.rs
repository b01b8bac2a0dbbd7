//! The request handlers of the control process, by area.

mod admin;
mod batch;
mod online;
mod order_check;
mod route_check;
mod sync;

use std::sync::Arc;

use salvo::Router;

use crate::{
    control::Control,
    endpoint::{Serve, route},
};

/// The routes of all calls from entries, agents and operators.
pub fn routes(control: &Arc<Control>) -> Vec<Router> {
    let mut routes = admin::routes(control);
    routes.extend(batch::routes(control));
    routes.extend(online::routes(control));
    routes.extend(sync::routes(control));
    routes
}
