//! A small blocking HTTP/1.1 implementation for the stand-ins.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// The head and the body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the connection broke before the end of the body.
    pub is_broken: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Part `index` of the start line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

fn bad(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    if line.pop() != Some(b'\n') {
        return Err(bad("connection ended inside a line"));
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    String::from_utf8(line).map_err(|_| bad("line is not text"))
}

/// Reads the start line and the headers; `None` if the connection has ended before them.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    if reader.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let mut message = Message { start: read_line(reader)?, ..Message::default() };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = line.split_once(':').ok_or_else(|| bad("header without a colon"))?;
        message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads the body. A response without a length ends with its connection.
pub fn read_body(
    reader: &mut impl BufRead,
    message: &mut Message,
    is_response: bool,
) -> io::Result<()> {
    let chunked =
        message.header("transfer-encoding").is_some_and(|value| value.contains("chunked"));
    if chunked {
        loop {
            let line = read_line(reader)?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| bad("chunk size"))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend(chunk);
            read_line(reader)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
    match message.header("content-length").and_then(|value| value.parse::<usize>().ok()) {
        Some(length) => {
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            message.body = body;
        }
        None if is_response => {
            reader.read_to_end(&mut message.body)?;
        }
        None => {}
    }
    Ok(())
}

/// Reads a whole request; `None` if the connection has ended before it.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    read_body(reader, &mut message, false)?;
    Ok(Some(message))
}

/// Encodes a response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes += &format!("{name}: {value}\r\n");
    }
    bytes += "\r\n";
    [bytes.as_bytes(), body].concat()
}

/// Sends one request over a connection of its own and reads the response. `limit` is for each read.
/// Fails if there is no whole head.
pub fn ask(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1).min(limit))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    stream.write_all(&[head.as_bytes(), body].concat())?;
    let mut reader = BufReader::new(stream);
    let mut message = read_head(&mut reader)?.ok_or_else(|| bad("closed without an answer"))?;
    message.is_broken = read_body(&mut reader, &mut message, true).is_err();
    Ok(message)
}
