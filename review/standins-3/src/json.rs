//! A small JSON value, parser and writer.
use std::fmt::Write as _;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Obj(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, value)| value),
            _ => None,
        }
    }
    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Str(text)) => text.clone(),
            _ => String::new(),
        }
    }
    pub fn number(&self, name: &str) -> Option<i64> {
        match self.get(name) {
            Some(Json::Num(number)) => Some(*number as i64),
            _ => None,
        }
    }
    pub fn list(&self, name: &str) -> Vec<Json> {
        match self.get(name) {
            Some(Json::Arr(list)) => list.clone(),
            _ => Vec::new(),
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => {
                let _ = write!(out, "\\u{:04x}", c as u32);
            }
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

fn space(b: &[u8], at: &mut usize) {
    while *at < b.len() && b[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn value(b: &[u8], at: &mut usize) -> Option<Json> {
    space(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            space(b, at);
            if b.get(*at) == Some(&b'}') {
                *at += 1;
                return Some(Json::Obj(fields));
            }
            loop {
                space(b, at);
                let key = string(b, at)?;
                space(b, at);
                if b.get(*at) != Some(&b':') {
                    return None;
                }
                *at += 1;
                fields.push((key, value(b, at)?));
                space(b, at);
                match b.get(*at)? {
                    b',' => *at += 1,
                    b'}' => {
                        *at += 1;
                        return Some(Json::Obj(fields));
                    }
                    _ => return None,
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            space(b, at);
            if b.get(*at) == Some(&b']') {
                *at += 1;
                return Some(Json::Arr(list));
            }
            loop {
                list.push(value(b, at)?);
                space(b, at);
                match b.get(*at)? {
                    b',' => *at += 1,
                    b']' => {
                        *at += 1;
                        return Some(Json::Arr(list));
                    }
                    _ => return None,
                }
            }
        }
        b'"' => string(b, at).map(Json::Str),
        b't' => word(b, at, "true", Json::Bool(true)),
        b'f' => word(b, at, "false", Json::Bool(false)),
        b'n' => word(b, at, "null", Json::Null),
        _ => {
            let start = *at;
            while *at < b.len() && matches!(b[*at], b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E') {
                *at += 1;
            }
            std::str::from_utf8(&b[start..*at]).ok()?.parse().ok().map(Json::Num)
        }
    }
}

fn word(b: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    if b[*at..].starts_with(word.as_bytes()) {
        *at += word.len();
        return Some(value);
    }
    None
}

fn string(b: &[u8], at: &mut usize) -> Option<String> {
    if b.get(*at) != Some(&b'"') {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *b.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                *at += 1;
                let c = *b.get(*at)?;
                *at += 1;
                let plain = match c {
                    b'n' => '\n',
                    b't' => '\t',
                    b'r' => '\r',
                    b'b' => '\u{8}',
                    b'f' => '\u{c}',
                    b'u' => {
                        let hex = std::str::from_utf8(b.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        char::from_u32(u32::from_str_radix(hex, 16).ok()?).unwrap_or('?')
                    }
                    other => other as char,
                };
                let mut buffer = [0; 4];
                out.extend_from_slice(plain.encode_utf8(&mut buffer).as_bytes());
            }
            c => {
                out.push(c);
                *at += 1;
            }
        }
    }
}
