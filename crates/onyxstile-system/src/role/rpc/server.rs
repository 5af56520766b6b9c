//! RPC server.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::BufReader;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use super::frame::{read_frame_body, read_head, write_frames};
use super::server_load::ServerLoad;
use super::{ONE_WAY_CALL, OUTGOING_MAX};
use crate::role::socket;
use crate::wire::{self, Request, Response};

/// Future of the response to one request.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response>>>;
/// Request handler.
pub type Handler = Rc<dyn Fn(Request) -> ResponseFuture>;

/// Answers all requests that arrive at a listener. Those for which `load` has no memory left are refused.
pub async fn serve(listener: TcpListener, load: Rc<ServerLoad>, handler: Handler) -> Infallible {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (handler, load) = (handler.clone(), load.clone());
                tokio::task::spawn_local(async move {
                    if let Err(error) = serve_connection(stream, load, handler).await {
                        log::debug!("peer connection: {error}");
                    }
                });
            }
            Err(error) => {
                log::warn!("cannot accept a peer connection: {error}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, load: Rc<ServerLoad>, handler: Handler) -> io::Result<()> {
    socket::prepare_peer(&stream);
    let (reader, writer) = stream.into_split();
    let (outgoing, queue) = mpsc::channel(OUTGOING_MAX);
    tokio::select! {
        result = write_frames(writer, queue) => result,
        result = read_requests(reader, &load, handler, outgoing) => result,
    }
}

async fn read_requests(
    reader: OwnedReadHalf, load: &Rc<ServerLoad>, handler: Handler, outgoing: mpsc::Sender<(u64, Vec<u8>)>,
) -> io::Result<()> {
    let mut reader = BufReader::new(reader);
    loop {
        let head = read_head(&mut reader).await?;
        let number = head.number;
        let mut open = load.open();
        let admit = |bytes| open.as_mut().is_some_and(|open| open.grow(bytes));
        let (Some(body), Some(open)) = (read_frame_body(&mut reader, &head, admit).await?, open) else {
            refuse(number, &outgoing).await;
            continue;
        };
        let request: Request = wire::decode(&body).map_err(io::Error::other)?;
        let answer = handler(request);
        let outgoing = outgoing.clone();
        tokio::task::spawn_local(async move {
            let response = answer.await;
            if number != ONE_WAY_CALL {
                // The connection may have been closed.
                outgoing.send((number, wire::encode(&response))).await.ok();
            }
            drop(open);
        });
    }
}

/// Refuses a request. While the peer does not read its responses, no further request of it is read.
async fn refuse(number: u64, outgoing: &mpsc::Sender<(u64, Vec<u8>)>) {
    if number != ONE_WAY_CALL {
        // The connection may have been closed.
        outgoing.send((number, wire::encode(&Response::Refused))).await.ok();
    }
}
