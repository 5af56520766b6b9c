//! The stand-in's own parts, against published vectors.

use std::time::Duration;

use super::text::regex;
use super::upstream::{Server, Upstream, crc32};

#[test]
fn published_vectors() {
    // The sequence of nginx's commit 52327e0627f4, and the check value of CRC-32.
    let server = |(n, weight): (usize, i64)| Server {
        address: format!("127.0.0.1:{}", 7000 + n).parse().unwrap(),
        text: String::new(),
        weight,
        backup: false,
        down: false,
        current: 0,
        out: 0,
        max_fails: 1,
        fail_timeout: Duration::from_secs(10),
        fails: 0,
        failed: None,
    };
    let servers = [5, 1, 1].into_iter().enumerate().map(server).collect();
    let mut group = Upstream { method: vec![], servers, dice: 1 };
    let client = "127.0.0.1".parse().unwrap();
    let seen: Vec<_> = (0..7).map(|_| group.choose(client, b"").unwrap()).collect();
    assert_eq!(seen, [0, 0, 1, 0, 2, 0, 0]);
    assert_eq!(crc32(b"123456789"), 0xcbf4_3926);
}

#[test]
fn its_own_regexes_do_what_the_samples_need() {
    for (pattern, text, fits) in [
        (r"\.php$", "/a.php", true),
        (r"\.php$", "/a.phpx", false),
        (r"\.(gif|jpg)$", "/a.jpg", true),
        (r"^plant\d+\.example$", "plant12.example", true),
        (r"^plant\d+\.example$", "plant.example", false),
        (r"^/id/[0-9]{3,5}$", "/id/1234", true),
        (r"^/id/[0-9]{3,5}$", "/id/123456", false),
    ] {
        assert_eq!(regex(pattern, text), fits, "{pattern} {text}");
    }
}
