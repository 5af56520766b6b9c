//! Paths and regexes as a configuration means them.

pub(super) fn plain_path(raw: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = raw.bytes();
    while let Some(b) = rest.next() {
        if b == b'%' {
            let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
            let digits = String::from_utf8_lossy(&digits).into_owned();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(b);
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let mut parts: Vec<&str> = Vec::new();
    let all: Vec<&str> = text.split('/').collect();
    for part in &all {
        match *part {
            "" | "." => {}
            ".." => drop(parts.pop()),
            other => parts.push(other),
        }
    }
    let open = all.last().is_some_and(|l| ["", ".", ".."].contains(l)) && !parts.is_empty();
    format!("/{}{}", parts.join("/"), if open { "/" } else { "" })
}

pub(super) fn escaped(path: &str) -> String {
    path.bytes()
        .map(|b| {
            if b == b' ' || b == b'%' || b == b'?' || b > 126 {
                format!("%{b:02X}")
            } else {
                char::from(b).to_string()
            }
        })
        .collect()
}

/// The few regexes of the samples: anchors, classes, `\d`, `\.`, groups of words, `+`, `*` and counts. Matched
/// by going back, so for samples only.
pub(super) fn regex(pattern: &str, text: &str) -> bool {
    let p: Vec<char> = pattern.trim_start_matches('^').chars().collect();
    let t: Vec<char> = text.chars().collect();
    let starts = if pattern.starts_with('^') { 0..=0 } else { 0..=t.len() };
    starts.into_iter().any(|at| matches(&p, &t[at..]))
}

pub(super) fn matches(p: &[char], t: &[char]) -> bool {
    let Some(first) = p.first() else { return true };
    if *first == '$' && p.len() == 1 {
        return t.is_empty();
    }
    if *first == '(' {
        let end = p.iter().position(|c| *c == ')').unwrap_or(p.len() - 1);
        let words: String = p[1..end].iter().collect();
        return words.split('|').any(|w| {
            let mut whole: Vec<char> = w.chars().collect();
            whole.extend_from_slice(&p[end + 1..]);
            matches(&whole, t)
        });
    }
    let (size, set): (usize, Box<dyn Fn(char) -> bool>) = match first {
        '\\' if p[1] == 'd' => (2, Box::new(|c| c.is_ascii_digit())),
        '\\' => {
            let it = p[1];
            (2, Box::new(move |c| c == it))
        }
        '[' => {
            let end = p.iter().position(|c| *c == ']').unwrap_or(p.len() - 1);
            let (low, high) = (p[1], p[end - 1]);
            (end + 1, Box::new(move |c| (low..=high).contains(&c)))
        }
        '.' => (1, Box::new(|_| true)),
        c => {
            let it = *c;
            (1, Box::new(move |c| c == it))
        }
    };
    let rest = &p[size..];
    let (least, most, rest) = match rest.first() {
        Some('+') => (1, usize::MAX, &rest[1..]),
        Some('*') => (0, usize::MAX, &rest[1..]),
        Some('{') => {
            let end = rest.iter().position(|c| *c == '}').unwrap_or(rest.len() - 1);
            let counts: String = rest[1..end].iter().collect();
            let (low, high) = counts.split_once(',').unwrap_or((&counts, &counts));
            (low.parse().unwrap_or(0), high.parse().unwrap_or(usize::MAX), &rest[end + 1..])
        }
        _ => (1, 1, rest),
    };
    let run = t.iter().take_while(|c| set(**c)).count().min(most);
    run >= least && (least..=run).rev().any(|n| matches(rest, &t[n..]))
}
