//! Just enough JSON and base64 for the key-value service.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        Some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        if let Json::Map(map) = self { map.get(key) } else { None }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Json::Number(number) = self { *number as u64 } else { 0 }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => {
                self.at += 1;
                let mut map = BTreeMap::new();
                loop {
                    match self.peek()? {
                        b'}' => break,
                        b',' => self.at += 1,
                        _ => {
                            let key = self.string()?;
                            if self.peek()? != b':' {
                                return None;
                            }
                            self.at += 1;
                            map.insert(key, self.value()?);
                        }
                    }
                }
                self.at += 1;
                Some(Json::Map(map))
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                loop {
                    match self.peek()? {
                        b']' => break,
                        b',' => self.at += 1,
                        _ => list.push(self.value()?),
                    }
                }
                self.at += 1;
                Some(Json::List(list))
            }
            b'"' => Some(Json::Text(self.string()?)),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                while self.bytes.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                Some(Json::Number(text.parse().ok()?))
            }
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        found.then_some(value)
    }

    /// A string. Escapes other than quotes, backslashes and slashes are not needed here.
    fn string(&mut self) -> Option<String> {
        if self.peek()? != b'"' {
            return None;
        }
        self.at += 1;
        let mut text = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => break,
                b'\\' => {
                    self.at += 1;
                    text.push(*self.bytes.get(self.at)?);
                }
                byte => text.push(byte),
            }
            self.at += 1;
        }
        self.at += 1;
        String::from_utf8(text).ok()
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().fold(0u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(char::from(DIGITS[(number >> (18 - 6 * place)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut number, mut bits) = (0u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let Some(digit) = DIGITS.iter().position(|other| *other == byte) else { continue };
        number = number << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((number >> bits) as u8);
        }
    }
    bytes
}
