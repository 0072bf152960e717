//! Messages of the PostgreSQL protocol: framing, values and responses.

use bytes::{BufMut, Bytes, BytesMut};
use model::TxStatus;
use pgwire::error::PgWireError;
use pgwire::messages::data::{
    DataRow, FORMAT_CODE_BINARY, FORMAT_CODE_TEXT, FieldDescription, RowDescription,
};
use pgwire::messages::response::{
    CommandComplete, ErrorResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, SslNegotiationMetaMessage,
};
use tokio_util::codec::{Decoder, Encoder};

use crate::sql::{Column, ColumnType, Datum, Row, SqlError, sqlstate};

/// The type OIDs of `int8`, `int4` and `text`.
const OID_INT8: u32 = 20;
const OID_INT4: u32 = 23;
const OID_TEXT: u32 = 25;

/// Decodes and encodes the messages of one connection.
#[derive(Debug, Default)]
pub(crate) struct Codec {
    cx: DecodeContext,
}

impl Decoder for Codec {
    type Item = PgWireFrontendMessage;
    type Error = PgWireError;

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Self::Item>, PgWireError> {
        let mut message = PgWireFrontendMessage::decode(buf, &self.cx)?;
        if let Some(PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None)) =
            message
        {
            self.cx.awaiting_frontend_ssl = false;
            message = PgWireFrontendMessage::decode(buf, &self.cx)?;
        }
        if let Some(PgWireFrontendMessage::Startup(_)) = message {
            self.cx.awaiting_frontend_startup = false;
        }
        Ok(message)
    }
}

impl Encoder<PgWireBackendMessage> for Codec {
    type Error = PgWireError;

    fn encode(
        &mut self,
        message: PgWireBackendMessage,
        buf: &mut BytesMut,
    ) -> Result<(), PgWireError> {
        message.encode(buf)
    }
}

/// Returns the OID of a column's type.
pub(crate) fn oid(ty: ColumnType) -> u32 {
    match ty {
        ColumnType::Text => OID_TEXT,
        ColumnType::Int4 => OID_INT4,
        ColumnType::Int8 => OID_INT8,
    }
}

/// Returns the format code of the value at an index.
///
/// An empty list means text for all values; a list of one code applies to all.
pub(crate) fn format_at(formats: &[i16], index: usize) -> i16 {
    match formats {
        [] => FORMAT_CODE_TEXT,
        [all] => *all,
        each => each.get(index).copied().unwrap_or(FORMAT_CODE_TEXT),
    }
}

/// Returns the `RowDescription` of a result's columns.
pub(crate) fn description(columns: &[Column], formats: &[i16]) -> PgWireBackendMessage {
    let fields = columns
        .iter()
        .enumerate()
        .map(|(index, column)| {
            let size = match column.ty {
                ColumnType::Text => -1,
                ColumnType::Int4 => 4,
                ColumnType::Int8 => 8,
            };
            let format = format_at(formats, index);
            let name = column.name.to_string();
            FieldDescription::new(name, 0, 0, oid(column.ty), size, -1, format)
        })
        .collect();
    PgWireBackendMessage::RowDescription(RowDescription::new(fields))
}

/// Returns the `DataRow` of a result's row.
pub(crate) fn data_row(columns: &[Column], formats: &[i16], row: &Row) -> PgWireBackendMessage {
    let mut data = BytesMut::new();
    for (index, (datum, column)) in row.iter().zip(columns).enumerate() {
        put_datum(&mut data, datum, column.ty, format_at(formats, index));
    }
    PgWireBackendMessage::DataRow(DataRow::new(data, row.len() as i16))
}

fn put_datum(buf: &mut BytesMut, datum: &Datum, ty: ColumnType, format: i16) {
    match (datum, ty) {
        (Datum::Int(number), ColumnType::Int8) if format == FORMAT_CODE_BINARY => {
            buf.put_i32(8);
            buf.put_i64(*number);
        }
        (Datum::Int(number), ColumnType::Int4) if format == FORMAT_CODE_BINARY => {
            buf.put_i32(4);
            buf.put_i32(*number as i32);
        }
        _ => match datum.to_text() {
            Some(text) => {
                buf.put_i32(text.len() as i32);
                buf.put_slice(text.as_bytes());
            }
            None => buf.put_i32(-1),
        },
    }
}

/// Decodes a parameter's value; a missing value is `NULL`.
///
/// # Errors
///
/// Fails if the value can't be decoded as its type.
pub(crate) fn param(value: Option<&Bytes>, oid: u32, format: i16) -> Result<Datum, SqlError> {
    let Some(value) = value else {
        return Ok(Datum::Null);
    };
    let bad = || SqlError::new(sqlstate::BAD_VALUE, "a parameter is not of its type");
    if format == FORMAT_CODE_BINARY {
        match (oid, value.len()) {
            (OID_INT8 | OID_INT4 | 0, 8) | (OID_INT8, _) => {
                let bytes = value.as_ref().try_into().map_err(|_| bad())?;
                return Ok(Datum::Int(i64::from_be_bytes(bytes)));
            }
            (OID_INT4, _) => {
                let bytes = value.as_ref().try_into().map_err(|_| bad())?;
                return Ok(Datum::Int(i32::from_be_bytes(bytes).into()));
            }
            _ => {}
        }
    }
    let text = std::str::from_utf8(value).map_err(|_| bad())?;
    let datum = Datum::text(text);
    match oid {
        OID_INT8 => datum.coerce(ColumnType::Int8),
        OID_INT4 => datum.coerce(ColumnType::Int4),
        _ => Ok(datum),
    }
}

/// Returns the `ErrorResponse` of an error.
pub(crate) fn error(error: &SqlError, severity: &str) -> PgWireBackendMessage {
    PgWireBackendMessage::ErrorResponse(ErrorResponse::new(vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', error.code.to_owned()),
        (b'M', error.message.to_string()),
    ]))
}

/// Returns the `CommandComplete` that ends a statement's result.
pub(crate) fn complete(tag: &str) -> PgWireBackendMessage {
    PgWireBackendMessage::CommandComplete(CommandComplete::new(tag.to_owned()))
}

/// Returns the `ReadyForQuery` that tells the client to send the next query.
pub(crate) fn ready(tx: TxStatus) -> PgWireBackendMessage {
    let status = match tx {
        TxStatus::Idle => TransactionStatus::Idle,
        TxStatus::Open => TransactionStatus::Transaction,
        TxStatus::Failed => TransactionStatus::Error,
    };
    PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(status))
}
