//! A small JSON reader and writer, so that the stand-ins need no library.

use std::fmt::Write;

/// A JSON value. Numbers of the protocol are whole; others keep their text.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Int(i128),
    Other(String),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn text(value: &str) -> Self {
        Self::Text(value.to_owned())
    }

    pub fn int(value: u64) -> Self {
        Self::Int(i128::from(value))
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Object(fields) => fields
                .iter()
                .find(|(field, _)| field == name)
                .map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Self::List(list)) => list,
            _ => &[],
        }
    }

    pub fn str(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Self::Text(text)) => text,
            _ => "",
        }
    }

    pub fn u64(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Self::Int(value)) => u64::try_from(*value).ok(),
            _ => None,
        }
    }

    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser {
            rest: text.as_bytes(),
        };
        let value = parser.value()?;
        parser.skip_blanks();
        parser.rest.is_empty().then_some(value)
    }
}

/// Builds an object.
pub fn object(fields: Vec<(&str, Json)>) -> Json {
    let fields = fields.into_iter();
    Json::Object(
        fields
            .map(|(name, value)| (name.to_owned(), value))
            .collect(),
    )
}

impl std::fmt::Display for Json {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Null => out.write_str("null"),
            Self::Bool(value) => write!(out, "{value}"),
            Self::Int(value) => write!(out, "{value}"),
            Self::Other(text) => out.write_str(text),
            Self::Text(text) => write_text(out, text),
            Self::List(list) => {
                out.write_char('[')?;
                for (index, value) in list.iter().enumerate() {
                    if index > 0 {
                        out.write_char(',')?;
                    }
                    write!(out, "{value}")?;
                }
                out.write_char(']')
            }
            Self::Object(fields) => {
                out.write_char('{')?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    if index > 0 {
                        out.write_char(',')?;
                    }
                    write_text(out, name)?;
                    write!(out, ":{value}")?;
                }
                out.write_char('}')
            }
        }
    }
}

fn write_text(out: &mut std::fmt::Formatter<'_>, text: &str) -> std::fmt::Result {
    out.write_char('"')?;
    for letter in text.chars() {
        match letter {
            '"' => out.write_str("\\\"")?,
            '\\' => out.write_str("\\\\")?,
            letter if u32::from(letter) < 0x20 => write!(out, "\\u{:04x}", u32::from(letter))?,
            letter => out.write_char(letter)?,
        }
    }
    out.write_char('"')
}

struct Parser<'a> {
    rest: &'a [u8],
}

impl Parser<'_> {
    fn skip_blanks(&mut self) {
        while let Some((first, rest)) = self.rest.split_first()
            && first.is_ascii_whitespace()
        {
            self.rest = rest;
        }
    }

    fn next(&mut self) -> Option<u8> {
        let (first, rest) = self.rest.split_first()?;
        self.rest = rest;
        Some(*first)
    }

    fn peek(&mut self) -> Option<u8> {
        self.skip_blanks();
        self.rest.first().copied()
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.rest = self.rest.strip_prefix(word.as_bytes())?;
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => self.items(b']').map(Json::List),
            b'{' => self.object(),
            _ => self.number(),
        }
    }

    fn items(&mut self, end: u8) -> Option<Vec<Json>> {
        self.next()?;
        let mut items = Vec::new();
        if self.peek()? == end {
            self.next()?;
            return Some(items);
        }
        loop {
            items.push(self.value()?);
            match self.peek()? {
                b',' => self.next()?,
                other if other == end => {
                    self.next()?;
                    return Some(items);
                }
                _ => return None,
            };
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.next()?;
        let mut fields = Vec::new();
        if self.peek()? == b'}' {
            self.next()?;
            return Some(Json::Object(fields));
        }
        loop {
            if self.peek()? != b'"' {
                return None;
            }
            let name = self.string()?;
            if self.peek()? != b':' {
                return None;
            }
            self.next()?;
            fields.push((name, self.value()?));
            match self.peek()? {
                b',' => self.next()?,
                b'}' => {
                    self.next()?;
                    return Some(Json::Object(fields));
                }
                _ => return None,
            };
        }
    }

    fn string(&mut self) -> Option<String> {
        self.next()?;
        let mut bytes = Vec::new();
        loop {
            match self.next()? {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => match self.next()? {
                    b'n' => bytes.push(b'\n'),
                    b't' => bytes.push(b'\t'),
                    b'r' => bytes.push(b'\r'),
                    b'b' => bytes.push(8),
                    b'f' => bytes.push(12),
                    b'u' => {
                        let digits = self.rest.get(..4)?;
                        let code =
                            u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
                        self.rest = &self.rest[4..];
                        let mut buffer = [0; 4];
                        let letter = char::from_u32(code).unwrap_or('?');
                        bytes.extend_from_slice(letter.encode_utf8(&mut buffer).as_bytes());
                    }
                    other => bytes.push(other),
                },
                byte => bytes.push(byte),
            }
        }
    }

    fn number(&mut self) -> Option<Json> {
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        let length = self.rest.iter().take_while(|byte| is_part(byte)).count();
        let text = std::str::from_utf8(&self.rest[..length]).ok()?.to_owned();
        self.rest = &self.rest[length..];
        if let Ok(value) = text.parse() {
            return Some(Json::Int(value));
        }
        text.parse::<f64>().ok().map(|_| Json::Other(text))
    }
}
