//! `carawayctl evacuate` and `carawayctl restore`: nothing is sent to the instances of a data centre
//! between the two.

use evac::Order;
use peer::api::ApiClient;

use crate::args::DataCentreOptions;
use crate::client::{Cx, Failure};
use crate::output::print;

/// Evacuates a data centre; succeeds once a quorum has committed the order.
pub(crate) async fn evacuate(cx: &Cx, options: &DataCentreOptions) -> eyre::Result<()> {
    let order = Order::Evacuate(options.data_centre.as_str().into());
    give(cx, order, "evacuated").await
}

/// Restores a data centre; succeeds once a quorum has committed the order.
pub(crate) async fn restore(cx: &Cx, options: &DataCentreOptions) -> eyre::Result<()> {
    let order = Order::Restore(options.data_centre.as_str().into());
    give(cx, order, "restored").await
}

async fn give(cx: &Cx, order: Order, state: &str) -> eyre::Result<()> {
    order
        .check()
        .map_err(|error| Failure::Input(error.to_string()))?;
    let data_centre = order.data_centre().to_string();
    let given = cx.client()?.evacuation(order).await;
    given.map_err(|error| cx.call_error(error))?;
    let value = serde_json::json!({ "data-centre": data_centre, "state": state });
    let row = vec![data_centre, state.to_owned()];
    print(cx.output, &value, &["DATA CENTRE", "STATE"], &[row])
}
