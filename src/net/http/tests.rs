//! Messages in pieces, bounds and contradictions.

use super::*;
use tokio::io::AsyncRead;

fn run<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(future)
}

/// A connection that brings its bytes one read at a time.
struct Pieces<'a>(Vec<&'a [u8]>);

impl AsyncRead for Pieces<'_> {
    fn poll_read(
        mut self: std::pin::Pin<&mut Self>, _: &mut std::task::Context<'_>, buf: &mut tokio::io::ReadBuf<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        if !self.0.is_empty() {
            buf.put_slice(self.0.remove(0));
        }
        std::task::Poll::Ready(Ok(()))
    }
}

#[test]
fn a_message_split_anywhere_reads_the_same() {
    let text = b"POST /a HTTP/1.1\r\nX-A:  b \r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x\r\n\r\n\r\n0\r\n\r\nGET";
    for cut in 1..text.len() - 3 {
        run(async {
            let mut reader = Reader::new(Pieces(vec![&text[..cut], &text[cut..]]));
            let head = reader.head().await.unwrap();
            assert_eq!((head.first[1].as_str(), head.field("x-a")), ("/a", Some("b")));
            let framing = head.framing(Framing::Length(0)).unwrap();
            assert_eq!(reader.body(framing).await.unwrap(), b"abc\r\n", "cut at {cut}");
            assert!(reader.has_more() || cut < text.len());
        });
    }
}

#[test]
fn what_was_read_of_a_message_that_is_not_whole_can_be_read_again() {
    let text = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    for cut in 0..text.len() {
        run(async {
            let mut reader = Reader::rewinding(Pieces(vec![&text[..cut]]), Vec::new());
            // It ends where the pieces do.
            if let Ok(head) = reader.head().await {
                assert!(reader.body(head.framing(Framing::Length(0)).unwrap()).await.is_err());
            }
            let (_, read) = reader.into_parts();
            assert_eq!(read, &text[..cut]);
            let mut again = Reader::rewinding(Pieces(vec![&text[cut..]]), read);
            let head = again.head().await.unwrap();
            let body = again.body(head.framing(Framing::Length(0)).unwrap()).await.unwrap();
            assert_eq!(body, b"abcde", "cut at {cut}");
            again.forget();
            assert!(again.into_parts().1.is_empty());
        });
    }
}

#[test]
fn bounds_and_contradictions_are_errors() {
    let bad = [
        "GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n",
        "GET / HTTP/1.1\r\n folded\r\n\r\n",
        "GET / HTTP/1.1\r\nA b: c\r\n\r\n",
        "GET\r\n\r\n",
    ];
    for text in bad {
        assert!(matches!(Head::parse(text.as_bytes()), Err(HttpError::Malformed(_))), "{text:?}");
    }
    let framing = |fields: &str| {
        let text = format!("POST / HTTP/1.1\r\n{fields}\r\n\r\n");
        Head::parse(text.as_bytes()).unwrap().unwrap().0.framing(Framing::Length(0))
    };
    assert!(matches!(framing("Content-Length: 65537"), Err(HttpError::BodyTooLarge)));
    assert!(matches!(framing("Content-Length: 99999999999999999999"), Err(HttpError::BodyTooLarge)));
    for text in [
        "Content-Length: +1",
        "Content-Length: -1",
        "Content-Length: 1\r\nContent-Length: 1",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
        "Transfer-Encoding: gzip",
        "Content-Length: 1\r\nTransfer-Encoding: chunked",
    ] {
        assert!(matches!(framing(text), Err(HttpError::Malformed(_))), "{text:?}");
    }
    assert!(matches!(Head::parse(&[b'a'; HEAD_MAX]), Err(HttpError::HeadTooLarge)));
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(FIELDS_MAX + 1));
    assert!(matches!(Head::parse(many.as_bytes()), Err(HttpError::HeadTooLarge)));
    let long = b"10001\r\n".to_vec();
    let read = run(async { Reader::new(Pieces(vec![&long])).body(Framing::Chunked).await });
    assert!(matches!(read, Err(HttpError::BodyTooLarge)));
}

/// Guards against a relay that stands still: with each chunk that is taken, all that has come after it is moved.
#[test]
fn many_small_chunks_in_a_large_buffer_are_read_in_time() {
    const LARGE: usize = 1 << 20;
    const SMALL: usize = 1_000_000;
    let large = [format!("{LARGE:x}\r\n").as_bytes(), &vec![b'x'; LARGE], b"\r\n"].concat();
    let source = [large, b"1\r\nx\r\n".repeat(SMALL)].concat();
    let began = std::time::Instant::now();
    run(async {
        let mut reader = Reader::new(std::io::Cursor::new(source));
        assert_eq!(reader.chunk(LARGE).await.unwrap().unwrap().len(), LARGE);
        for _ in 0..SMALL {
            assert_eq!(reader.chunk(LARGE).await.unwrap().unwrap(), b"x");
            assert!(began.elapsed() < std::time::Duration::from_secs(10), "{:?}", began.elapsed());
        }
    });
}
