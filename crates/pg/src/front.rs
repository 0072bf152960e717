//! One caller's side of the protocol, as a state machine without I/O.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use model::{Answer, Kind, Position, Refusal, Request, TxStatus, Verdict};
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use pgwire::messages::extendedquery::{BindComplete, CloseComplete, ParseComplete};
use pgwire::messages::startup::{ParameterStatus, Startup};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage, data::NoData};
use tokio_util::codec::Decoder;

use crate::batch::{Added, BadBatch, Statements, is_rowless};
use crate::classify::{Local, classify};
use crate::codec::{BackCodec, CodecError, encode_back, encode_front};
use crate::reply;

/// The setting in which a session's position travels.
pub const SESSION_SETTING: &str = "caraway.session";
/// The setting that states how old the data of reads may be.
pub const MAX_AGE_SETTING: &str = "caraway.max_age";
/// The setting that bounds how long a request may take.
pub const TIMEOUT_SETTING: &str = "caraway.timeout";
/// The user name under which callers without a key use routes open to all.
pub const OPEN_USER: &str = "public";
/// The type of a text column.
const TEXT_OID: u32 = 25;

/// What a caller asks for with its start-up message.
#[derive(Debug, PartialEq, Eq)]
pub struct Hello {
    /// The user name, which is the workspace, or none on an open route.
    pub workspace: Option<String>,
    /// The database name, which is the service.
    pub service: String,
    /// The session's position from an earlier connection.
    pub token: Option<Position>,
    /// How old the data of reads may be.
    pub max_age: Option<Duration>,
    /// How long a request may take.
    pub timeout: Option<Duration>,
}

/// Reads a start-up message.
///
/// # Errors
///
/// Returns what is wrong with it, in words.
pub fn read_hello(startup: &Startup) -> Result<Hello, String> {
    let mut params = startup.parameters.clone();
    let options = params.get("options").cloned().unwrap_or_default();
    params.extend(read_options(&options));
    let user = params.get("user").ok_or("no user is named")?;
    let service = params.get("database").unwrap_or(user).clone();
    let workspace = (user != OPEN_USER).then(|| user.clone());
    let token = params
        .get(SESSION_SETTING)
        .filter(|text| !text.is_empty())
        .map(|text| text.parse())
        .transpose()
        .map_err(|bad| format!("{SESSION_SETTING}: {bad}"))?;
    let duration = |name: &str| {
        let text = params.get(name);
        text.map(|text| read_duration(name, text)).transpose()
    };
    Ok(Hello {
        workspace,
        service,
        token,
        max_age: duration(MAX_AGE_SETTING)?,
        timeout: duration(TIMEOUT_SETTING)?,
    })
}

/// Reads settings of the form `-c name=value` from the options of a start-up message.
fn read_options(options: &str) -> BTreeMap<String, String> {
    let words = options.split_whitespace();
    words
        .map(|word| word.trim_start_matches("--").trim_start_matches("-c"))
        .filter_map(|word| word.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

/// Reads a duration such as `250ms` or `2s`; a bare number counts milliseconds.
fn read_duration(name: &str, text: &str) -> Result<Duration, String> {
    if let Ok(millis) = text.parse() {
        return Ok(Duration::from_millis(millis));
    }
    humantime::parse_duration(text).map_err(|bad| format!("{name}: `{text}`: {bad}"))
}

/// What follows from a caller's message.
#[derive(Debug)]
pub enum Step {
    /// Nothing yet; more messages are needed.
    Wait,
    /// The caller gets this at once.
    Reply(Bytes),
    /// A request is to be run; its workspace and service are filled in by the reducer.
    Submit(Request),
    /// The caller is gone.
    Close,
}

/// One caller's side of the protocol after its login.
#[derive(Debug)]
pub struct Front {
    statements: Statements,
    batch: Vec<PgWireFrontendMessage>,
    added: Added,
    tx: TxStatus,
    position: Option<Position>,
    max_age: Option<Duration>,
    timeout: Duration,
    max_message: usize,
}

impl Front {
    /// Returns the state after a login.
    pub fn new(hello: &Hello, timeout: Duration, max_message: usize) -> Self {
        Self {
            statements: Statements::default(),
            batch: Vec::new(),
            added: Added::default(),
            tx: TxStatus::Idle,
            position: hello.token,
            max_age: hello.max_age,
            timeout: hello.timeout.map_or(timeout, |own| own.min(timeout)),
            max_message,
        }
    }

    /// Takes a caller's message.
    ///
    /// # Errors
    ///
    /// Fails if an answer can't be encoded.
    pub fn on_message(&mut self, msg: PgWireFrontendMessage) -> Result<Step, CodecError> {
        match msg {
            PgWireFrontendMessage::Query(query) => self.simple(query),
            PgWireFrontendMessage::Sync(_) => {
                self.batch.push(msg);
                let batch = std::mem::take(&mut self.batch);
                self.extended(batch)
            }
            PgWireFrontendMessage::Parse(_)
            | PgWireFrontendMessage::Bind(_)
            | PgWireFrontendMessage::Describe(_)
            | PgWireFrontendMessage::Execute(_)
            | PgWireFrontendMessage::Close(_) => {
                self.batch.push(msg);
                Ok(Step::Wait)
            }
            PgWireFrontendMessage::Flush(_) => {
                let error = reply::refused("0A000", "Flush is not supported; send Sync");
                Ok(Step::Reply(encode_back(&[error])?))
            }
            PgWireFrontendMessage::Terminate(_) => Ok(Step::Close),
            _ => {
                let error = reply::refused("08P01", "the message is not expected here");
                Ok(Step::Reply(reply::encode_error(error, self.tx)?))
            }
        }
    }

    /// Takes the answer to the request that was submitted last.
    ///
    /// # Errors
    ///
    /// Fails if the answer can't be read or encoded.
    pub fn on_answer(&mut self, answer: Answer) -> Result<Bytes, CodecError> {
        self.tx = answer.tx_status;
        let mut buf = BytesMut::new();
        if answer.position > self.position {
            self.position = answer.position;
            buf.extend_from_slice(&self.position_status()?);
        }
        if answer.verdict != Verdict::Ran {
            let error = reply::verdict_error(answer.verdict);
            buf.extend_from_slice(&reply::encode_error(error, self.tx)?);
        } else if self.added.any() {
            let msgs = self
                .added
                .filter(read_all(&answer.payload, self.max_message)?);
            buf.extend_from_slice(&encode_back(&msgs)?);
        } else {
            buf.extend_from_slice(&answer.payload);
        }
        Ok(buf.freeze())
    }

    fn position_status(&self) -> Result<Bytes, CodecError> {
        let value = self.position.map(|position| position.to_string());
        let status = ParameterStatus::new(SESSION_SETTING.to_owned(), value.unwrap_or_default());
        encode_back(&[PgWireBackendMessage::ParameterStatus(status)])
    }

    fn simple(&mut self, query: pgwire::messages::simplequery::Query) -> Result<Step, CodecError> {
        let class = match classify(&query.query) {
            Ok(class) => class,
            Err(bad) => return self.refuse(&BadBatch::Unsupported(bad)),
        };
        if let Some(local) = class.local {
            let mut msgs = match self.run_local(&local) {
                Ok(msgs) => msgs,
                Err(text) => vec![reply::refused("22023", &text)],
            };
            msgs.push(reply::ready(self.tx));
            return Ok(Step::Reply(encode_back(&msgs)?));
        }
        self.added = Added::default();
        let payload = encode_front(&[PgWireFrontendMessage::Query(query)])?;
        Ok(Step::Submit(self.request(
            class.kind,
            class.transaction,
            payload,
        )))
    }

    fn extended(&mut self, msgs: Vec<PgWireFrontendMessage>) -> Result<Step, CodecError> {
        let shape: Vec<PgWireBackendMessage> = msgs.iter().filter_map(local_shape).collect();
        let batch = match self.statements.batch(msgs) {
            Ok(batch) => batch,
            Err(BadBatch::Codec(error)) => return Err(error),
            Err(bad) => return self.refuse(&bad),
        };
        match batch.class.local {
            Some(local) if is_rowless(&local) => {
                let mut msgs = shape;
                match self.run_local(&local) {
                    Ok(done) => msgs.extend(done),
                    Err(text) => msgs = vec![reply::refused("22023", &text)],
                }
                msgs.push(reply::ready(self.tx));
                return Ok(Step::Reply(encode_back(&msgs)?));
            }
            Some(_) => {
                let error =
                    reply::refused("0A000", "SHOW of this setting needs the simple protocol");
                return Ok(Step::Reply(reply::encode_error(error, self.tx)?));
            }
            None => {}
        }
        self.added = batch.added;
        let class = batch.class;
        Ok(Step::Submit(self.request(
            class.kind,
            class.transaction,
            batch.payload,
        )))
    }

    fn refuse(&self, bad: &BadBatch) -> Result<Step, CodecError> {
        let state = match bad {
            BadBatch::NoStatement(_) => "26000",
            _ => reply::sqlstate(Refusal::Unsupported),
        };
        let error = reply::refused(state, &bad.to_string());
        Ok(Step::Reply(reply::encode_error(error, self.tx)?))
    }

    fn request(&self, kind: Kind, transaction: bool, payload: Bytes) -> Request {
        let in_transaction = transaction || self.tx != TxStatus::Idle;
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
            timeout: self.timeout,
            max_age: self.max_age,
            floor: None,
            payload,
        }
    }

    /// Runs a statement that concerns only this session.
    fn run_local(&mut self, local: &Local) -> Result<Vec<PgWireBackendMessage>, String> {
        match local {
            Local::Nothing { tag } => Ok(vec![reply::complete(tag)]),
            Local::Show { name } => self.show(name),
            Local::Set { name, value } => {
                self.set(name, value)?;
                Ok(vec![reply::complete("SET")])
            }
        }
    }

    fn set(&mut self, name: &str, value: &str) -> Result<(), String> {
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

    fn show(&self, name: &str) -> Result<Vec<PgWireBackendMessage>, String> {
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
            reply::complete("SHOW"),
        ])
    }
}

/// Returns the message that answers one of a batch that the front end runs itself.
fn local_shape(msg: &PgWireFrontendMessage) -> Option<PgWireBackendMessage> {
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

/// Reads all messages of an encoded answer.
fn read_all(payload: &Bytes, max_message: usize) -> Result<Vec<PgWireBackendMessage>, CodecError> {
    let mut codec = BackCodec::new(max_message);
    let mut buf = BytesMut::from(&payload[..]);
    let mut msgs = Vec::new();
    while let Some(msg) = codec.decode(&mut buf)? {
        msgs.push(msg);
    }
    Ok(msgs)
}
