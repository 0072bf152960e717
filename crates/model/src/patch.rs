//! Applies the changes of a patch to a configuration: all of them, or none if one is invalid.

use std::collections::btree_map::Entry;
use std::sync::Arc;

use crate::config::{BadChange, Change, Workspace};
use crate::{Config, ServiceId, WorkspaceId};

/// The longest name of a workspace, service or key, in bytes.
pub const MAX_NAME_LEN: usize = 63;

impl Config {
    /// Applies changes in order, and returns the new configuration with the next version.
    ///
    /// # Errors
    ///
    /// Returns the error of the first change that can't be applied.
    pub fn apply(&self, changes: &[Change]) -> Result<Config, BadChange> {
        let mut next = self.clone();
        for change in changes {
            next.apply_change(change)?;
        }
        next.version += 1;
        Ok(next)
    }

    fn apply_change(&mut self, change: &Change) -> Result<(), BadChange> {
        match change {
            Change::SetWorkspace {
                name,
                rate,
                burst,
                services,
            } => self.set_workspace(name, *rate, *burst, services),
            Change::RemoveWorkspace { name } => self.remove_workspace(name),
            Change::SetService { name, commit } => {
                check_name(name)?;
                self.services.entry(name.clone()).or_default().commit = *commit;
                Ok(())
            }
            Change::RemoveService { name } => self.remove_service(name),
            Change::GrantKey {
                workspace,
                key,
                digest,
            } => {
                check_name(key)?;
                match self.workspace_mut(workspace)?.keys.entry(key.clone()) {
                    Entry::Occupied(_) => Err(BadChange::KeyExists(key.clone())),
                    Entry::Vacant(slot) => {
                        slot.insert(digest.clone());
                        Ok(())
                    }
                }
            }
            Change::WithdrawKey { workspace, key } => self
                .workspace_mut(workspace)?
                .keys
                .remove(key)
                .map(|_| ())
                .ok_or_else(|| BadChange::NoKey(key.clone())),
            Change::OpenRoute { service, workspace } => self.open_route(service, workspace),
            Change::CloseRoute { service } => self
                .open_routes
                .remove(service)
                .map(|_| ())
                .ok_or_else(|| BadChange::NoService(service.clone())),
        }
    }

    fn set_workspace(
        &mut self,
        name: &WorkspaceId,
        rate: u32,
        burst: u32,
        services: &[ServiceId],
    ) -> Result<(), BadChange> {
        check_name(name)?;
        if rate == 0 {
            return Err(BadChange::BadRate(name.clone()));
        }
        if burst == 0 {
            return Err(BadChange::BadBurst(name.clone()));
        }
        for service in services {
            self.check_service(service)?;
        }
        self.check_open_routes_stay(name, services)?;
        let mut services = services.to_vec();
        services.sort();
        services.dedup();
        let keys = self
            .workspaces
            .remove(name)
            .map(|old| old.keys)
            .unwrap_or_default();
        let workspace = Workspace {
            rate,
            burst,
            services,
            keys,
        };
        self.workspaces.insert(name.clone(), workspace);
        Ok(())
    }

    /// Returns an error if a workspace would lose a service whose open route counts against it.
    fn check_open_routes_stay(
        &self,
        name: &WorkspaceId,
        services: &[ServiceId],
    ) -> Result<(), BadChange> {
        self.open_routes
            .iter()
            .find(|(service, payer)| *payer == name && !services.contains(service))
            .map_or(Ok(()), |(service, payer)| {
                Err(BadChange::InUse(service.clone(), payer.clone()))
            })
    }

    fn remove_workspace(&mut self, name: &WorkspaceId) -> Result<(), BadChange> {
        self.workspace_mut(name)?;
        if let Some((service, _)) = self.open_routes.iter().find(|(_, payer)| *payer == name) {
            return Err(BadChange::InUse(name.clone(), service.clone()));
        }
        self.workspaces.remove(name);
        Ok(())
    }

    fn remove_service(&mut self, name: &ServiceId) -> Result<(), BadChange> {
        self.check_service(name)?;
        let user = self
            .workspaces
            .iter()
            .find(|(_, workspace)| workspace.services.contains(name));
        if let Some((workspace, _)) = user {
            return Err(BadChange::InUse(name.clone(), workspace.clone()));
        }
        if let Some(workspace) = self.open_routes.get(name) {
            return Err(BadChange::InUse(name.clone(), workspace.clone()));
        }
        self.services.remove(name);
        Ok(())
    }

    fn open_route(
        &mut self,
        service: &ServiceId,
        workspace: &WorkspaceId,
    ) -> Result<(), BadChange> {
        self.check_service(service)?;
        if !self.workspace_mut(workspace)?.services.contains(service) {
            return Err(BadChange::NoService(service.clone()));
        }
        self.open_routes.insert(service.clone(), workspace.clone());
        Ok(())
    }

    fn check_service(&self, name: &ServiceId) -> Result<(), BadChange> {
        if self.services.contains_key(name) {
            return Ok(());
        }
        Err(BadChange::NoService(name.clone()))
    }

    fn workspace_mut(&mut self, name: &WorkspaceId) -> Result<&mut Workspace, BadChange> {
        self.workspaces
            .get_mut(name)
            .ok_or_else(|| BadChange::NoWorkspace(name.clone()))
    }
}

fn check_name(name: &Arc<str>) -> Result<(), BadChange> {
    let usable = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_');
    let good = (1..=MAX_NAME_LEN).contains(&name.len()) && name.bytes().all(usable);
    if good {
        return Ok(());
    }
    Err(BadChange::BadName(name.clone()))
}
