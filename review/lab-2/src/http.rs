//! HTTP/1.1 on blocking sockets: requests as a server reads them, answers as a caller reads them.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// The head of a message: its first line and its headers, with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    /// A word of the first line: method, target and version, or version, status and reason.
    pub fn word(&self, number: usize) -> &str {
        self.line.split(' ').nth(number).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

fn broken(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return if head.line.is_empty() { Ok(None) } else { Err(broken("head is cut off")) };
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if head.line.is_empty() {
            head.line = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that a head announces. An answer without a length ends with its connection.
pub fn read_body(reader: &mut impl BufRead, head: &Head, until_close: bool) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
    } else if let Some(length) = head.get("content-length") {
        body.resize(length.parse().map_err(|_| broken("length"))?, 0);
        reader.read_exact(&mut body)?;
    } else if until_close {
        reader.read_to_end(&mut body)?;
    }
    Ok(body)
}

/// Reads one chunk; `None` for the last one.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(broken("body is cut off"));
    }
    let length = usize::from_str_radix(line.trim(), 16).map_err(|_| broken("size of a chunk"))?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(length);
    Ok((length > 0).then_some(chunk))
}

/// Writes a whole answer with a length.
pub fn answer(
    stream: &mut impl Write,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// An answer as a caller gets it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if there was none.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the whole body arrived.
    pub complete: bool,
    /// Why the call ended early.
    pub error: String,
    /// Time to the head.
    pub head_after: Duration,
    /// Time to the end.
    pub taken: Duration,
}

/// Opens a connection to a node.
pub fn connect(addr: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&addr, limit)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends a request on a new connection and reads its answer, for at most `limit`.
pub fn call(addr: SocketAddr, request: &[u8], limit: Duration) -> Answer {
    let started = Instant::now();
    let mut found = Answer::default();
    let result = (|| {
        let mut stream = connect(addr, Duration::from_secs(1).min(limit))?;
        stream.set_read_timeout(Some(limit))?;
        stream.write_all(request)?;
        read_answer(&mut BufReader::new(stream), started, &mut found)
    })();
    found.taken = started.elapsed();
    if let Err(error) = result {
        found.error = error.to_string();
    }
    found
}

/// Reads an answer into `found`, as far as it arrives.
pub fn read_answer(
    reader: &mut impl BufRead,
    started: Instant,
    found: &mut Answer,
) -> io::Result<()> {
    let head = read_head(reader)?.ok_or_else(|| broken("closed without an answer"))?;
    found.head_after = started.elapsed();
    found.status = head.status();
    found.head = head.clone();
    if head.get("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            found.body.extend(chunk);
        }
    } else {
        found.body = read_body(reader, &head, true)?;
    }
    found.complete = true;
    found.taken = started.elapsed();
    Ok(())
}

/// The text of a request with a body.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
