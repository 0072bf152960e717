//! The line protocol of clients and instances, and the little HTTP that the platform needs.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A client's session.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

/// The answer to one query.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The code of the error, if there was one.
    pub error: Option<String>,
    /// The signature of `COMPLETE`, if there was one.
    pub signature: Option<String>,
    /// The rows.
    pub rows: Vec<String>,
    /// The state of `READY`.
    pub state: String,
}

/// Why a query got no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoAnswer {
    /// The connection ended.
    Broken,
    /// Nothing came in time.
    Late,
}

impl Client {
    /// Connects and waits for `READY`; the error is the code of the refusal, or `broken`.
    pub fn connect(addr: SocketAddr, database: &str, key: &str) -> Result<Self, String> {
        let limit = Duration::from_secs(2);
        let stream = TcpStream::connect_timeout(&addr, limit).map_err(|_| "broken".to_owned())?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(limit));
        let reader = BufReader::new(stream.try_clone().map_err(|_| "broken".to_owned())?);
        let mut client = Self { stream, reader };
        client
            .send(&format!("STARTUP {database} {key}\r\n"))
            .map_err(|_| "broken".to_owned())?;
        let mut line = String::new();
        match client.reader.read_line(&mut line) {
            Ok(n) if n > 0 && line.starts_with("READY") => Ok(client),
            Ok(n) if n > 0 => Err(line.split(' ').nth(1).unwrap_or("?").trim().to_owned()),
            _ => Err("broken".to_owned()),
        }
    }

    fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    /// Sends a query and reads its whole answer.
    pub fn query(&mut self, id: &str, text: &str, limit: Duration) -> Result<Reply, NoAnswer> {
        self.send(&format!("QUERY {id} {text}\r\n"))
            .map_err(|_| NoAnswer::Broken)?;
        let until = Instant::now() + limit;
        let mut reply = Reply {
            error: None,
            signature: None,
            rows: Vec::new(),
            state: String::new(),
        };
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(NoAnswer::Late);
            }
            let _ = self.stream.set_read_timeout(Some(left));
            let mut line = String::new();
            match self.reader.read_line(&mut line) {
                Ok(0) => return Err(NoAnswer::Broken),
                Ok(_) if !line.ends_with('\n') => return Err(NoAnswer::Broken),
                Ok(_) => {}
                Err(error)
                    if matches!(
                        error.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) =>
                {
                    return Err(NoAnswer::Late);
                }
                Err(_) => return Err(NoAnswer::Broken),
            }
            let line = line.trim_end();
            let (kind, rest) = line.split_once(' ').unwrap_or((line, ""));
            match kind {
                "DATAROW" => reply.rows.push(rest.to_owned()),
                "COMPLETE" => reply.signature = Some(rest.to_owned()),
                "ERROR" => {
                    reply.error = Some(rest.split(' ').next().unwrap_or("").to_owned());
                }
                "READY" => {
                    reply.state = rest.split(' ').next().unwrap_or("").to_owned();
                    return Ok(reply);
                }
                _ => {}
            }
        }
    }

    /// Ends the session.
    pub fn terminate(mut self) {
        let _ = self.send("TERMINATE\r\n");
    }
}

/// Sends an HTTP request and returns the status and the body.
pub fn http(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&addr, limit)?;
    stream.set_read_timeout(Some(limit))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response)?;
    let text = String::from_utf8_lossy(&response).into_owned();
    let status = text.split(' ').nth(1).and_then(|s| s.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    Ok((status, body.to_owned()))
}

/// A request that an HTTP server has read.
pub struct HttpRequest {
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl HttpRequest {
    /// Returns a header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads one HTTP request.
pub fn read_http(stream: &TcpStream) -> io::Result<HttpRequest> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let mut headers = Vec::new();
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header)? == 0 || header.trim().is_empty() {
            break;
        }
        if let Some((key, value)) = header.split_once(':') {
            headers.push((key.trim().to_lowercase(), value.trim().to_owned()));
        }
    }
    let mut req = HttpRequest {
        headers,
        body: String::new(),
    };
    let len = req
        .header("content-length")
        .and_then(|len| len.parse().ok());
    let mut body = vec![0; len.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    req.body = String::from_utf8_lossy(&body).into_owned();
    Ok(req)
}

/// Returns the text of a field of a flat JSON object.
pub fn json_text(body: &str, field: &str) -> Option<String> {
    let rest = body.split_once(&format!("\"{field}\""))?.1;
    let rest = rest.split_once('"')?.1;
    Some(rest.split_once('"')?.0.to_owned())
}
