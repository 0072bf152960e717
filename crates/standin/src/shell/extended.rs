//! The extended query protocol: prepared statements and portals.

use model::HashMap;
use pgwire::messages::data::{NoData, ParameterDescription};
use pgwire::messages::extendedquery::{
    Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete,
    TARGET_TYPE_BYTE_STATEMENT,
};
use pgwire::messages::response::EmptyQueryResponse;
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};

use super::conn::{Conn, Disconnected};
use super::wire;
use crate::sql::parse::parse;
use crate::sql::{SqlError, Stmt, sqlstate};

/// The prepared statements and portals of a connection.
#[derive(Debug, Default)]
pub(crate) struct Prepared {
    statements: HashMap<String, Statement>,
    portals: HashMap<String, Portal>,
    /// Whether messages are skipped up to the next `Sync`, after an error.
    skip_to_sync: bool,
}

/// A prepared statement.
#[derive(Debug)]
struct Statement {
    /// The parsed statement; `None` for an empty text.
    stmt: Option<Stmt>,
    /// The type OIDs of its parameters.
    oids: Vec<u32>,
}

/// A prepared statement with its parameters bound.
#[derive(Debug)]
struct Portal {
    /// The bound statement; `None` for an empty text.
    stmt: Option<Stmt>,
    /// The format codes of the result columns.
    formats: Vec<i16>,
}

impl Conn {
    /// Handles one message of the extended protocol.
    pub(crate) async fn handle_extended(
        &mut self,
        message: PgWireFrontendMessage,
    ) -> Result<(), Disconnected> {
        let done = match message {
            PgWireFrontendMessage::Sync(_) => {
                self.prepared.skip_to_sync = false;
                return self.ready().await;
            }
            _ if self.prepared.skip_to_sync => return Ok(()),
            PgWireFrontendMessage::Parse(parse) => self.prepared.parse(parse),
            PgWireFrontendMessage::Bind(bind) => self.prepared.bind(&bind),
            PgWireFrontendMessage::Describe(describe) => self.prepared.describe(&describe),
            PgWireFrontendMessage::Close(close) => Ok(self.prepared.close(&close)),
            PgWireFrontendMessage::Execute(execute) => return self.execute(&execute).await,
            PgWireFrontendMessage::Flush(_) => return self.flush().await,
            _ => Err(SqlError::new(sqlstate::PROTOCOL, "unexpected message")),
        };
        match done {
            Ok(messages) => {
                for message in messages {
                    self.send(message).await?;
                }
                Ok(())
            }
            Err(error) => {
                let error = self.fail_tx(error).await?;
                self.send_error_and_skip(&error).await
            }
        }
    }

    async fn execute(&mut self, execute: &Execute) -> Result<(), Disconnected> {
        let name = execute.name.as_deref().unwrap_or_default();
        let Some(portal) = self.prepared.portals.get(name) else {
            let error = SqlError::new(sqlstate::NO_PORTAL, "the portal does not exist");
            let error = self.fail_tx(error).await?;
            return self.send_error_and_skip(&error).await;
        };
        let Some(stmt) = portal.stmt.clone() else {
            let empty = EmptyQueryResponse::new();
            return self
                .send(PgWireBackendMessage::EmptyQueryResponse(empty))
                .await;
        };
        let formats = portal.formats.clone();
        let columns = stmt.columns();
        match self.run_stmt(stmt).await? {
            Ok(output) => {
                for row in &output.rows {
                    self.send(wire::data_row(&columns, &formats, row)).await?;
                }
                self.send(wire::complete(&output.tag)).await
            }
            Err(error) => self.send_error_and_skip(&error).await,
        }
    }

    /// Sends an error, and skips the messages up to the next `Sync`.
    async fn send_error_and_skip(&mut self, error: &SqlError) -> Result<(), Disconnected> {
        self.prepared.skip_to_sync = true;
        self.send(wire::error(error, "ERROR")).await
    }
}

impl Prepared {
    fn parse(&mut self, message: Parse) -> Result<Vec<PgWireBackendMessage>, SqlError> {
        let mut stmts = parse(&message.query)?;
        if stmts.len() > 1 {
            return Err(SqlError::new(
                sqlstate::SYNTAX,
                "cannot insert multiple commands into a prepared statement",
            ));
        }
        let stmt = stmts.pop();
        let mut oids: Vec<u32> = stmt
            .iter()
            .flat_map(Stmt::param_types)
            .map(wire::oid)
            .collect();
        for (oid, declared) in oids.iter_mut().zip(&message.type_oids) {
            if *declared != 0 {
                *oid = *declared;
            }
        }
        let name = message.name.unwrap_or_default();
        self.statements.insert(name, Statement { stmt, oids });
        let done = PgWireBackendMessage::ParseComplete(ParseComplete::new());
        Ok(vec![done])
    }

    fn bind(&mut self, message: &Bind) -> Result<Vec<PgWireBackendMessage>, SqlError> {
        let statement = self.statement(message.statement_name.as_deref())?;
        let params = message
            .parameters
            .iter()
            .enumerate()
            .map(|(index, value)| {
                let oid = statement.oids.get(index).copied().unwrap_or_default();
                let format = wire::format_at(&message.parameter_format_codes, index);
                wire::param(value.as_ref(), oid, format)
            })
            .collect::<Result<Vec<_>, _>>()?;
        let stmt = match &statement.stmt {
            Some(stmt) => Some(stmt.clone().bind(&params)?),
            None => None,
        };
        let portal = Portal {
            stmt,
            formats: message.result_column_format_codes.clone(),
        };
        let name = message.portal_name.clone().unwrap_or_default();
        self.portals.insert(name, portal);
        let done = PgWireBackendMessage::BindComplete(BindComplete::new());
        Ok(vec![done])
    }

    fn describe(&self, message: &Describe) -> Result<Vec<PgWireBackendMessage>, SqlError> {
        let name = message.name.as_deref();
        if message.target_type != TARGET_TYPE_BYTE_STATEMENT {
            let portal = self
                .portals
                .get(name.unwrap_or_default())
                .ok_or_else(|| SqlError::new(sqlstate::NO_PORTAL, "the portal does not exist"))?;
            return Ok(vec![columns(portal.stmt.as_ref(), &portal.formats)]);
        }
        let statement = self.statement(name)?;
        let params = ParameterDescription::new(statement.oids.clone());
        Ok(vec![
            PgWireBackendMessage::ParameterDescription(params),
            columns(statement.stmt.as_ref(), &[]),
        ])
    }

    fn close(&mut self, message: &Close) -> Vec<PgWireBackendMessage> {
        let name = message.name.as_deref().unwrap_or_default();
        match message.target_type {
            TARGET_TYPE_BYTE_STATEMENT => drop(self.statements.remove(name)),
            _ => drop(self.portals.remove(name)),
        }
        vec![PgWireBackendMessage::CloseComplete(CloseComplete::new())]
    }

    fn statement(&self, name: Option<&str>) -> Result<&Statement, SqlError> {
        self.statements
            .get(name.unwrap_or_default())
            .ok_or_else(|| {
                SqlError::new(
                    sqlstate::NO_STATEMENT,
                    "the prepared statement does not exist",
                )
            })
    }
}

fn columns(stmt: Option<&Stmt>, formats: &[i16]) -> PgWireBackendMessage {
    let columns = stmt.map(Stmt::columns).unwrap_or_default();
    match columns.is_empty() {
        true => PgWireBackendMessage::NoData(NoData::new()),
        false => wire::description(&columns, formats),
    }
}
