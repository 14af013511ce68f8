//! A small JSON parser, and base64, for the calls to the store.

use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Json {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        parser.value().unwrap_or(Json::Null)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
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

    fn eat(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                while self.peek()? != b'}' {
                    let name = self.string()?;
                    self.eat(b':')?;
                    fields.insert(name, self.value()?);
                    let _ = self.eat(b',');
                }
                self.at += 1;
                Some(Json::Object(fields))
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                while self.peek()? != b']' {
                    items.push(self.value()?);
                    let _ = self.eat(b',');
                }
                self.at += 1;
                Some(Json::List(items))
            }
            b'"' => self.string().map(Json::Text),
            byte if byte == b'-' || byte.is_ascii_digit() => {
                let start = self.at;
                while self.bytes.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte))
                {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
            _ => {
                while self.bytes.get(self.at).is_some_and(u8::is_ascii_alphabetic) {
                    self.at += 1;
                }
                Some(Json::Bool)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.eat(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    bytes.push(*self.bytes.get(self.at)?);
                    self.at += 1;
                }
                _ => bytes.push(byte),
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let word = group.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - group.len()));
        for index in 0..4 {
            if index <= group.len() {
                text.push(char::from(ALPHABET[(word >> (18 - 6 * index)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut word, mut bits) = (0_u32, 0);
    for letter in text.bytes() {
        let Some(value) = ALPHABET.iter().position(|known| *known == letter) else { break };
        word = word << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
        }
    }
    bytes
}
