//! A caller's session: turns its messages into requests and the answers into messages, without I/O.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use model::{Answer, Kind, Position, Refusal, Request, TxStatus, Verdict};
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use pgwire::messages::extendedquery::{BindComplete, CloseComplete, ParseComplete};
use pgwire::messages::startup::{ParameterStatus, Startup};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage, data::NoData};
use tokio_util::codec::Decoder;

use crate::classify::{LocalStatement, classify};
use crate::codec::{CodecError, UpstreamCodec, encode_backend, encode_frontend};
use crate::extended_query::{AddedParses, BatchError, PreparedStatements, returns_no_rows};
use crate::reply;

/// The setting that carries a session's position: the log position that its reads must see.
pub const SESSION_SETTING: &str = "caraway.session";
/// The setting for the maximum age of the data that reads return.
pub const MAX_AGE_SETTING: &str = "caraway.max_age";
/// The setting for the time limit of a request.
pub const TIMEOUT_SETTING: &str = "caraway.timeout";
/// The user name of callers without a key, on routes open to all.
pub const OPEN_USER: &str = "public";
/// The PostgreSQL type OID of `text`.
const TEXT_OID: u32 = 25;

/// The parameters of a caller's start-up message.
#[derive(Debug, PartialEq, Eq)]
pub struct StartupRequest {
    /// The workspace, sent as the user name; `None` on a route open to all.
    pub workspace: Option<String>,
    /// The service, sent as the database name; defaults to the user name.
    pub service: String,
    /// The position of an earlier connection of the same session, so that its writes are read.
    pub session_position: Option<Position>,
    /// The maximum age of the data that reads return, if the caller accepts old data.
    pub max_age: Option<Duration>,
    /// The time limit of a request, if the caller sets one.
    pub timeout: Option<Duration>,
}

/// Reads the parameters of a start-up message.
///
/// # Errors
///
/// Fails with a message for the caller if no user is named or a setting has no valid value.
pub fn read_startup(startup: &Startup) -> Result<StartupRequest, String> {
    let mut params = startup.parameters.clone();
    let options = params.get("options").cloned().unwrap_or_default();
    params.extend(read_options(&options));
    let user = params.get("user").ok_or("no user is named")?;
    let service = params.get("database").unwrap_or(user).clone();
    let workspace = (user != OPEN_USER).then(|| user.clone());
    let session_position = params
        .get(SESSION_SETTING)
        .filter(|text| !text.is_empty())
        .map(|text| text.parse())
        .transpose()
        .map_err(|bad| format!("{SESSION_SETTING}: {bad}"))?;
    let duration = |name: &str| {
        let text = params.get(name);
        text.map(|text| read_duration(name, text)).transpose()
    };
    Ok(StartupRequest {
        workspace,
        service,
        session_position,
        max_age: duration(MAX_AGE_SETTING)?,
        timeout: duration(TIMEOUT_SETTING)?,
    })
}

/// Parses `-c name=value` and `--name=value` from the options of a start-up message.
fn read_options(options: &str) -> BTreeMap<String, String> {
    let words = options.split_whitespace();
    words
        .map(|word| word.trim_start_matches("--").trim_start_matches("-c"))
        .filter_map(|word| word.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

/// Parses a duration such as `250ms` or `2s`; a bare number is in milliseconds.
fn read_duration(name: &str, text: &str) -> Result<Duration, String> {
    if let Ok(millis) = text.parse() {
        return Ok(Duration::from_millis(millis));
    }
    humantime::parse_duration(text).map_err(|bad| format!("{name}: `{text}`: {bad}"))
}

/// What the connection does after a caller's message.
#[derive(Debug)]
pub enum CallerAction {
    /// Reads the next message: the batch has no `Sync` yet.
    AwaitMore,
    /// Sends these encoded messages to the caller.
    Reply(Bytes),
    /// Submits a request; the reducer fills in its workspace and service.
    Submit(Request),
    /// Closes the connection: the caller has ended its session.
    Close,
}

/// The protocol state of a caller's session after its login.
#[derive(Debug)]
pub struct CallerSession {
    statements: PreparedStatements,
    /// Messages of the extended query protocol since the last `Sync`.
    pending: Vec<PgWireFrontendMessage>,
    /// Bytes of `pending`, as [`message_bytes`] counts them.
    pending_bytes: usize,
    /// Which `ParseComplete` messages to remove from the answer of the running request.
    added_parses: AddedParses,
    tx_status: TxStatus,
    /// The session's position, as the caller was told it last.
    position: Option<Position>,
    max_age: Option<Duration>,
    timeout: Duration,
    max_message_bytes: usize,
}

impl CallerSession {
    /// Returns the state after a login; `timeout` is the default and the upper bound at login.
    pub fn new(startup: &StartupRequest, timeout: Duration, max_message_bytes: usize) -> Self {
        Self {
            statements: PreparedStatements::default(),
            pending: Vec::new(),
            pending_bytes: 0,
            added_parses: AddedParses::default(),
            tx_status: TxStatus::Idle,
            position: startup.session_position,
            max_age: startup.max_age,
            timeout: startup.timeout.map_or(timeout, |own| own.min(timeout)),
            max_message_bytes,
        }
    }

    /// Returns whether a batch of the extended query protocol has begun and not ended.
    pub fn in_batch(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the bytes that the session keeps: its prepared statements and its open batch.
    pub fn kept_bytes(&self) -> usize {
        self.pending_bytes + self.statements.kept_bytes()
    }

    fn add_to_batch(&mut self, msg: PgWireFrontendMessage) {
        self.pending_bytes += message_bytes(&msg);
        self.pending.push(msg);
    }

    /// Handles a caller's message.
    ///
    /// # Errors
    ///
    /// Fails if an answer can't be encoded.
    pub fn on_message(&mut self, msg: PgWireFrontendMessage) -> Result<CallerAction, CodecError> {
        match msg {
            PgWireFrontendMessage::Query(query) => self.on_simple_query(query),
            PgWireFrontendMessage::Sync(_) => {
                self.add_to_batch(msg);
                let batch = std::mem::take(&mut self.pending);
                self.pending_bytes = 0;
                self.on_sync(batch)
            }
            PgWireFrontendMessage::Parse(_)
            | PgWireFrontendMessage::Bind(_)
            | PgWireFrontendMessage::Describe(_)
            | PgWireFrontendMessage::Execute(_)
            | PgWireFrontendMessage::Close(_) => {
                self.add_to_batch(msg);
                Ok(CallerAction::AwaitMore)
            }
            PgWireFrontendMessage::Flush(_) => {
                let error = reply::not_run_error("0A000", "Flush is not supported; send Sync");
                Ok(CallerAction::Reply(encode_backend(&[error])?))
            }
            PgWireFrontendMessage::Terminate(_) => Ok(CallerAction::Close),
            _ => {
                let error = reply::not_run_error("08P01", "the message is not expected here");
                Ok(CallerAction::Reply(reply::encode_error(
                    error,
                    self.tx_status,
                )?))
            }
        }
    }

    /// Encodes the answer to the request that was submitted last, and updates the session.
    ///
    /// # Errors
    ///
    /// Fails if the answer can't be read or encoded.
    pub fn on_answer(&mut self, answer: Answer) -> Result<Bytes, CodecError> {
        self.tx_status = answer.tx_status;
        let mut buf = BytesMut::new();
        if answer.position > self.position {
            self.position = answer.position;
            buf.extend_from_slice(&self.session_parameter()?);
        }
        if answer.verdict != Verdict::Ran {
            let error = reply::verdict_error(answer.verdict);
            buf.extend_from_slice(&reply::encode_error(error, self.tx_status)?);
        } else if self.added_parses.any() {
            let msgs = self
                .added_parses
                .remove_added(decode_answer(&answer.payload, self.max_message_bytes)?);
            buf.extend_from_slice(&encode_backend(&msgs)?);
        } else {
            buf.extend_from_slice(&answer.payload);
        }
        Ok(buf.freeze())
    }

    /// Encodes the `ParameterStatus` message that tells the caller its session's position.
    fn session_parameter(&self) -> Result<Bytes, CodecError> {
        let value = self.position.map(|position| position.to_string());
        let status = ParameterStatus::new(SESSION_SETTING.to_owned(), value.unwrap_or_default());
        encode_backend(&[PgWireBackendMessage::ParameterStatus(status)])
    }

    fn on_simple_query(
        &mut self,
        query: pgwire::messages::simplequery::Query,
    ) -> Result<CallerAction, CodecError> {
        let class = match classify(&query.query) {
            Ok(class) => class,
            Err(bad) => return self.reject(&BatchError::Unsupported(bad)),
        };
        if let Some(local) = class.local {
            let mut msgs = match self.run_local(&local) {
                Ok(msgs) => msgs,
                Err(text) => vec![reply::not_run_error("22023", &text)],
            };
            msgs.push(reply::ready_for_query(self.tx_status));
            return Ok(CallerAction::Reply(encode_backend(&msgs)?));
        }
        self.added_parses = AddedParses::default();
        let payload = encode_frontend(&[PgWireFrontendMessage::Query(query)])?;
        Ok(CallerAction::Submit(self.new_request(
            class.kind,
            class.transaction_control,
            payload,
        )))
    }

    fn on_sync(&mut self, msgs: Vec<PgWireFrontendMessage>) -> Result<CallerAction, CodecError> {
        let local_replies: Vec<PgWireBackendMessage> =
            msgs.iter().filter_map(local_reply).collect();
        let batch = match self.statements.rewrite(msgs) {
            Ok(batch) => batch,
            Err(BatchError::Codec(error)) => return Err(error),
            Err(bad) => return self.reject(&bad),
        };
        match batch.class.local {
            Some(local) if returns_no_rows(&local) => {
                let mut msgs = local_replies;
                match self.run_local(&local) {
                    Ok(done) => msgs.extend(done),
                    Err(text) => msgs = vec![reply::not_run_error("22023", &text)],
                }
                msgs.push(reply::ready_for_query(self.tx_status));
                return Ok(CallerAction::Reply(encode_backend(&msgs)?));
            }
            Some(_) => {
                let error =
                    reply::not_run_error("0A000", "SHOW of this setting needs the simple protocol");
                return Ok(CallerAction::Reply(reply::encode_error(
                    error,
                    self.tx_status,
                )?));
            }
            None => {}
        }
        self.added_parses = batch.added_parses;
        let class = batch.class;
        Ok(CallerAction::Submit(self.new_request(
            class.kind,
            class.transaction_control,
            batch.payload,
        )))
    }

    fn reject(&self, bad: &BatchError) -> Result<CallerAction, CodecError> {
        let state = match bad {
            BatchError::UnknownStatement(_) => "26000",
            _ => reply::sqlstate(Refusal::Unsupported),
        };
        let error = reply::not_run_error(state, &bad.to_string());
        Ok(CallerAction::Reply(reply::encode_error(
            error,
            self.tx_status,
        )?))
    }

    fn new_request(&self, kind: Kind, transaction: bool, payload: Bytes) -> Request {
        let in_transaction = transaction || self.tx_status != TxStatus::Idle;
        Request {
            access: None,
            label: "-".into(),
            workspace: "".into(),
            service: "".into(),
            kind,
            in_transaction,
            continues_transaction: false,
            rolls_back: false,
            read_only_transaction: false,
            priority: 0,
            repeatable: kind == Kind::Read && !in_transaction,
            may_be_given_up: false,
            timeout: self.timeout,
            max_age: self.max_age,
            floor: None,
            payload,
        }
    }

    /// Answers a statement that concerns only this session, without an upstream.
    fn run_local(&mut self, local: &LocalStatement) -> Result<Vec<PgWireBackendMessage>, String> {
        match local {
            LocalStatement::NoOp { tag } => Ok(vec![reply::command_complete(tag)]),
            LocalStatement::Show { name } => self.show_setting(name),
            LocalStatement::Set { name, value } => {
                self.set_setting(name, value)?;
                Ok(vec![reply::command_complete("SET")])
            }
        }
    }

    fn set_setting(&mut self, name: &str, value: &str) -> Result<(), String> {
        match name {
            MAX_AGE_SETTING if value.is_empty() || value == "0" => self.max_age = None,
            MAX_AGE_SETTING => self.max_age = Some(read_duration(name, value)?),
            TIMEOUT_SETTING => self.timeout = read_duration(name, value)?,
            SESSION_SETTING => {
                return Err(format!("{SESSION_SETTING} is taken only at start-up"));
            }
            _ if name.starts_with("caraway.") => {
                return Err(format!("there is no setting `{name}`"));
            }
            _ => {}
        }
        Ok(())
    }

    fn show_setting(&self, name: &str) -> Result<Vec<PgWireBackendMessage>, String> {
        let in_millis = |age: Duration| format!("{}ms", age.as_millis());
        let value = match name {
            SESSION_SETTING => self.position.map(|position| position.to_string()),
            MAX_AGE_SETTING => self.max_age.map(in_millis),
            TIMEOUT_SETTING => Some(in_millis(self.timeout)),
            _ => return Err(format!("there is no setting `{name}`")),
        };
        let field = FieldDescription::new(name.to_owned(), 0, 0, TEXT_OID, -1, -1, 0);
        let mut data = BytesMut::new();
        let value = value.unwrap_or_default();
        let length = i32::try_from(value.len()).unwrap_or_default();
        data.extend_from_slice(&length.to_be_bytes());
        data.extend_from_slice(value.as_bytes());
        Ok(vec![
            PgWireBackendMessage::RowDescription(RowDescription::new(vec![field])),
            PgWireBackendMessage::DataRow(DataRow::new(data, 1)),
            reply::command_complete("SHOW"),
        ])
    }
}

/// Returns about how many bytes a message of a batch takes in memory.
fn message_bytes(msg: &PgWireFrontendMessage) -> usize {
    let contents = match msg {
        PgWireFrontendMessage::Parse(parse) => {
            parse.query.len() + parse.type_oids.len() * size_of::<u32>()
        }
        PgWireFrontendMessage::Bind(bind) => {
            let values = bind.parameters.iter().flatten();
            values.map(Bytes::len).sum::<usize>()
                + bind.parameters.len() * size_of::<Option<Bytes>>()
        }
        _ => 0,
    };
    contents + size_of::<PgWireFrontendMessage>()
}

/// Returns the answer to a message of a batch that is answered without an upstream.
fn local_reply(msg: &PgWireFrontendMessage) -> Option<PgWireBackendMessage> {
    match msg {
        PgWireFrontendMessage::Parse(_) => {
            Some(PgWireBackendMessage::ParseComplete(ParseComplete::new()))
        }
        PgWireFrontendMessage::Bind(_) => {
            Some(PgWireBackendMessage::BindComplete(BindComplete::new()))
        }
        PgWireFrontendMessage::Describe(_) => Some(PgWireBackendMessage::NoData(NoData::new())),
        PgWireFrontendMessage::Close(_) => {
            Some(PgWireBackendMessage::CloseComplete(CloseComplete::new()))
        }
        _ => None,
    }
}

/// Decodes all messages of an encoded answer.
fn decode_answer(
    payload: &Bytes,
    max_message_bytes: usize,
) -> Result<Vec<PgWireBackendMessage>, CodecError> {
    let mut codec = UpstreamCodec::new(max_message_bytes);
    let mut buf = BytesMut::from(&payload[..]);
    let mut msgs = Vec::new();
    while let Some(msg) = codec.decode(&mut buf)? {
        msgs.push(msg);
    }
    Ok(msgs)
}
