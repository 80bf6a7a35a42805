//! A small JSON reader, and quoted texts.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Flag(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        let Json::Map(fields) = self else { return None };
        fields.iter().find(|(key, _)| key == name).map(|(_, value)| value)
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> Option<f64> {
        match self.get(name) {
            Some(Json::Number(number)) => Some(*number),
            _ => None,
        }
    }

    pub fn integer(&self, name: &str) -> i64 {
        self.number(name).unwrap_or(0.0) as i64
    }

    pub fn list(&self, name: &str) -> Vec<Json> {
        match self.get(name) {
            Some(Json::List(list)) => list.clone(),
            _ => Vec::new(),
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader { text: text.as_bytes(), at: 0 };
        reader.value()
    }
}

pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for character in text.chars() {
        match character {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            c if (c as u32) < 32 => quoted.push_str(&format!("\\u{:04x}", c as u32)),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.text.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.take(b'}').is_some() {
                    return Some(Json::Map(fields));
                }
                loop {
                    let Json::Text(key) = self.value()? else { return None };
                    self.take(b':')?;
                    fields.push((key, self.value()?));
                    if self.take(b'}').is_some() {
                        return Some(Json::Map(fields));
                    }
                    self.take(b',')?;
                }
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.take(b']').is_some() {
                        return Some(Json::List(list));
                    }
                    self.take(b',')?;
                }
            }
            b'"' => self.string(),
            b't' => self.word("true", Json::Flag(true)),
            b'f' => self.word("false", Json::Flag(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                let part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
                while self.text.get(self.at).is_some_and(part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.text[start..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.text[self.at..].starts_with(word.as_bytes()).then(|| self.at += word.len())?;
        Some(value)
    }

    fn string(&mut self) -> Option<Json> {
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok().map(Json::Text),
                b'\\' => {
                    let escape = *self.text.get(self.at)?;
                    self.at += 1;
                    let character = match escape {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = self.text.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16);
                            char::from_u32(code.ok()?).unwrap_or('?')
                        }
                        other => other as char,
                    };
                    bytes.extend(character.to_string().bytes());
                }
                byte => bytes.push(byte),
            }
        }
    }
}
