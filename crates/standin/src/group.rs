//! Starts all instances of a service in one process: a primary and its replicas.

use model::{DataCentreId, Role, Term};

use crate::config::{InstanceConfig, Primary};
use crate::shell::{Instance, Running, StartError};

/// The term in which the first primary of a new group leads.
const FIRST_TERM: Term = 1;

/// The instances of one service.
#[derive(Debug)]
pub struct Group {
    /// The running instances; at the start, the primary is the first.
    pub members: Vec<Running>,
}

/// Starts a primary and `size - 1` replicas that follow it.
///
/// The instances are named `SERVICE-1` and so on, and are spread over the data
/// centres round robin. All other settings come from the template.
///
/// # Errors
///
/// Fails if an instance can't be started; those started before it are stopped first.
pub async fn group(
    size: u8,
    template: InstanceConfig,
    data_centres: &[DataCentreId],
) -> Result<Group, StartError> {
    let mut group = Group {
        members: Vec::new(),
    };
    for number in 0..size {
        let primary = group.members.first().map(|first| Primary {
            upstream: first.config().upstream.clone(),
            addr: first.addr(),
        });
        let mut cfg = InstanceConfig {
            upstream: format!("{}-{}", template.service, number + 1).into(),
            group_size: size,
            role: match primary {
                None => Role::Primary,
                Some(_) => Role::Replica,
            },
            term: FIRST_TERM,
            primary,
            ..template.clone()
        };
        if !data_centres.is_empty() {
            let turn = usize::from(number) % data_centres.len();
            cfg.data_centre = data_centres[turn].clone();
        }
        match Instance::start(cfg).await {
            Ok(running) => group.members.push(running),
            Err(error) => {
                group.stop().await;
                return Err(error);
            }
        }
    }
    Ok(group)
}

impl Group {
    /// Stops the instances one after the other, each after it has announced that it leaves.
    pub async fn stop(self) {
        for member in self.members {
            member.stop().await;
        }
    }
}
