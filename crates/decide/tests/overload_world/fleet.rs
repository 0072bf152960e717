//! The fleet that every host sees: its hosts, the instances and the configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use decide::View;
use decide::view::{ServiceView, UpstreamView};
use model::config::{CommitRule, Route, Service, Workspace};
use model::{Announcement, Config, HostInfo, KeyDigest};

use super::callers::{TYPES, WORKSPACES};
use super::instance::SLOTS;
use super::{CONNECTIONS, HOSTS};

pub(super) fn host_info(index: usize) -> HostInfo {
    HostInfo {
        host: format!("h{index}").into(),
        data_centre: format!("dc-{}", index / 2).into(),
        peer_addr: "127.0.0.1:1".parse().unwrap(),
        incarnation: index as u64 + 1,
        traffic_parts: 1,
        is_entry_host: true,
        is_control_host: false,
        leaving: false,
    }
}

/// Returns the fleet, with the number of connections that the owners of the primary may use, and
/// the instance that announces that it drains.
pub(super) fn view(primary_connections: u32, draining: Option<usize>) -> View {
    let workspaces = (0..WORKSPACES).map(|index| {
        let key = KeyDigest::of(format!("k{index}"));
        let workspace = Workspace {
            rate: 100_000,
            burst: 100_000,
            services: vec!["s".into()],
            keys: BTreeMap::from([(key.id(), key)]),
        };
        (format!("w{index}").into(), workspace)
    });
    let routes = TYPES.iter().enumerate().map(|(index, request_type)| {
        let route = Route {
            service: "s".into(),
            reads: request_type.reads,
            timeout: request_type.timeout,
            objective: request_type.objective,
            priority: 1,
            open: false,
        };
        (format!("r{index}").into(), route)
    });
    let service = Service {
        commit: CommitRule::Upstream,
        connections: 0,
        ..Service::default()
    };
    let config = Config {
        version: 1,
        workspaces: workspaces.collect(),
        services: BTreeMap::from([("s".into(), service)]),
        open_routes: BTreeMap::new(),
        routes: routes.collect(),
    };
    let mut view = View {
        config: Arc::new(config),
        config_usable: true,
        ..View::default()
    };
    for index in 0..HOSTS {
        let host = host_info(index);
        view.hosts.insert(host.host.clone(), host);
    }
    for index in 0..HOSTS / 2 {
        let announcement = Announcement {
            upstream: format!("i{index}").into(),
            service: "s".into(),
            addr: "127.0.0.1:2".parse().unwrap(),
            data_centre: format!("dc-{index}").into(),
            group_size: 3,
            slots: SLOTS,
            connections: if index == 0 {
                primary_connections
            } else {
                CONNECTIONS
            },
            incarnation: 1,
            sequence: 1,
            role: None,
            warming: false,
            draining: draining == Some(index),
            leaving: false,
        };
        let up = UpstreamView {
            announcement,
            owners: [2 * index, 2 * index + 1]
                .map(|owner| host_info(owner).host)
                .to_vec(),
            last_ready_at: None,
        };
        view.upstreams.insert(format!("i{index}").into(), up);
    }
    let service = ServiceView {
        primary: Some((1, "i0".into())),
        upstreams: (0..HOSTS / 2)
            .map(|index| format!("i{index}").into())
            .collect(),
        group_size: 3,
    };
    view.services.insert("s".into(), service);
    view
}
