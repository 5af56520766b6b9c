//! A kill of either process at every step of a hand-over.

use super::*;

/// Who is killed.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Killed {
    Old,
    New,
}

/// Steps of a hand-over between which a kill can come: each thing said, by the time it has and has not arrived.
const STEPS: usize = 9;

/// Takes the old process' place at its socket. It has to stand there before the new process is started: one that is quicker
/// asks the old process itself, and nobody ever comes here.
fn stand_between(folder: &Folder) -> std::os::unix::net::UnixListener {
    let path = folder.0.join("state/upgrade");
    std::fs::rename(&path, path.with_extension("real")).unwrap();
    std::os::unix::net::UnixListener::bind(&path).unwrap()
}

/// Passes on what both processes say, and kills one of them at a step; true once the new one has been told to go.
async fn between(
    listener: std::os::unix::net::UnixListener, folder: &Folder, step: usize, kill: &mut dyn FnMut(),
) -> std::io::Result<bool> {
    let path = folder.0.join("state/upgrade");
    listener.set_nonblocking(true)?;
    let listener = tokio::net::UnixListener::from_std(listener)?;
    let mut new = Peer::new(listener.accept().await?.0);
    std::fs::remove_file(&path)?;
    std::fs::rename(path.with_extension("real"), &path)?;
    let mut old = Peer::new(tokio::net::UnixStream::connect(&path).await?);
    let mut at = 0;
    let mut reached = || {
        at += 1;
        if at == step + 1 {
            kill();
        }
        at > step
    };
    for (from_new, kind) in
        [(true, Kind::Hello), (false, Kind::State), (true, Kind::Ready), (false, Kind::Go)]
    {
        let heard = if from_new { new.hear().await? } else { old.hear().await? };
        let (said, what) = heard.expect("something is said");
        assert_eq!(said, kind, "{}", String::from_utf8_lossy(&what));
        if reached() {
            return Ok(false);
        }
        let to = if from_new { &mut old } else { &mut new };
        to.say(kind, &what).await?;
        if reached() {
            return Ok(kind == Kind::Go);
        }
        if kind == Kind::State {
            let state: State = read(&what).unwrap();
            let sockets = old.receive_sockets(state.sockets()).await?;
            let sockets: Vec<_> = sockets.iter().map(std::os::fd::AsFd::as_fd).collect();
            new.send_sockets(&sockets).await?;
            if reached() {
                return Ok(false);
            }
        }
    }
    Ok(true)
}

#[test]
fn a_kill_of_either_side_at_any_step_leaves_a_relay_that_keeps_every_promise() {
    for step in 0..STEPS {
        for killed in [Killed::Old, Killed::New] {
            let folder = Folder::new(&format!("step{step}{killed:?}"));
            let (platform, notices) = platform();
            let (address, heard) = slow_server(Duration::from_millis(400));
            let text = with_admin(&config(platform, address, 50));
            let mut old = Relay::platform(&folder, &text);
            says(&old, "exclude nobody", "400");
            assert!(hand_in(&old, "orders", "out").starts_with("202"));
            until("the call", || (heard.lock().unwrap().len() == 1).then_some(()));
            let listener = stand_between(&folder);
            let mut new = Relay::beside(&folder);
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            let done = runtime.block_on(async {
                let mut kill = || match killed {
                    Killed::Old => old.slay(),
                    Killed::New => new.slay(),
                };
                tokio::time::timeout(PATIENCE, between(listener, &folder, step, &mut kill)).await
            });
            drop(runtime);
            let what = format!("{killed:?} killed at step {step}, {done:?}");
            let done = done.unwrap_or_else(|_| panic!("the hand-over stands still: {what}"));
            assert!(done.is_ok(), "nobody was killed: {what}");
            let left = if killed == Killed::Old { &new } else { &old };
            // An old process that had given all away starts again; until then it does not say that it is ready.
            until(&what, || try_call(left, "readyz").filter(|said| said.starts_with("200")).map(|_| ()));
            assert!(hand_in(left, "orders", "after").starts_with("202"), "{what}");
            until(&what, || call(left, "telemetry").contains("svc_in_flight 0\n").then_some(()));
            until(&what, || {
                let told = notices.lock().unwrap().len();
                (heard.lock().unwrap().len() == 2 && (told == 1 || served(left) == 2)).then_some(())
            });
            // Once each. What was out is failed by its notice only where the socket that it was on went down.
            assert_eq!(*heard.lock().unwrap(), ["out", "after"], "{what}");
            let all_came = killed == Killed::Old && step >= 4;
            let kept = killed == Killed::New && step <= 5;
            let told = notices.lock().unwrap().clone();
            assert_eq!(told.is_empty(), all_came || kept, "{what}: {told:?}");
        }
    }
}
