//! A small JSON reader, enough for the transactions that an entry writes.

/// A JSON value.
#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// The member `name` of an object.
    pub fn get(&self, name: &str) -> &Json {
        if let Json::Object(members) = self {
            for (key, value) in members {
                if key == name {
                    return value;
                }
            }
        }
        &Json::Null
    }

    /// The text; empty if this is none.
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    /// The number; 0 if this is none.
    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    /// The elements of a list.
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(elements) => elements,
            _ => &[],
        }
    }
}

/// Parses `text`; `None` if it is not JSON.
pub fn parse(text: &str) -> Option<Json> {
    let chars: Vec<char> = text.chars().collect();
    let mut at = 0;
    value(&chars, &mut at)
}

fn skip_space(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn value(chars: &[char], at: &mut usize) -> Option<Json> {
    skip_space(chars, at);
    match chars.get(*at)? {
        '{' => {
            *at += 1;
            let mut members = Vec::new();
            loop {
                skip_space(chars, at);
                match chars.get(*at)? {
                    '}' => {
                        *at += 1;
                        return Some(Json::Object(members));
                    }
                    ',' => *at += 1,
                    _ => {
                        let key = string(chars, at)?;
                        skip_space(chars, at);
                        if *chars.get(*at)? != ':' {
                            return None;
                        }
                        *at += 1;
                        members.push((key, value(chars, at)?));
                    }
                }
            }
        }
        '[' => {
            *at += 1;
            let mut elements = Vec::new();
            loop {
                skip_space(chars, at);
                match chars.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::List(elements));
                    }
                    ',' => *at += 1,
                    _ => elements.push(value(chars, at)?),
                }
            }
        }
        '"' => Some(Json::Text(string(chars, at)?)),
        _ => {
            let begin = *at;
            while chars
                .get(*at)
                .is_some_and(|c| c.is_ascii_alphanumeric() || "+-.".contains(*c))
            {
                *at += 1;
            }
            let word: String = chars[begin..*at].iter().collect();
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" | "false" => Some(Json::Bool),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

fn string(chars: &[char], at: &mut usize) -> Option<String> {
    if *chars.get(*at)? != '"' {
        return None;
    }
    *at += 1;
    let mut text = String::new();
    loop {
        let c = *chars.get(*at)?;
        *at += 1;
        match c {
            '"' => return Some(text),
            '\\' => {
                let escaped = *chars.get(*at)?;
                *at += 1;
                match escaped {
                    'n' => text.push('\n'),
                    't' => text.push('\t'),
                    'r' => text.push('\r'),
                    'u' => {
                        let digits: String = chars.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        let code = u32::from_str_radix(&digits, 16).ok()?;
                        text.push(char::from_u32(code).unwrap_or('?'));
                    }
                    other => text.push(other),
                }
            }
            other => text.push(other),
        }
    }
}
