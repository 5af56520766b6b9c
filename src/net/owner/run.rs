//! Main loop of the owner: receives messages, then runs a step.

use super::*;

impl Owner {
    /// Runs until the program has drained or another process has taken over.
    pub async fn run(mut self) -> Ended {
        self.step();
        loop {
            if self.phase.state() >= State::Draining && self.drained() {
                self.close_journal();
                self.record_phase(Stage::Stopped);
                self.flush_recorder(true);
                return Ended::Drained(self.recorder.map(StepRecorder::into_recorder));
            }
            let now = self.clock.now();
            let kept = self.undelivered.as_ref().map(Keeper::due);
            let due = self
                .wakes
                .next()
                .into_iter()
                .chain(self.drain_due())
                .chain(self.recorder_due())
                .chain(kept)
                .chain(self.fleet_due())
                .chain(self.restart_due())
                .min();
            let due = due.unwrap_or(now + Duration::from_secs(1));
            tokio::select! {
                biased;
                Some(order) = self.orders.recv() => match order {
                    OwnerMessage::HandOver(peer) => {
                        if let Some(peer) = self.hand_over(peer).await {
                            return Ended::Handed(peer);
                        }
                    }
                    order => self.handle_message(order),
                },
                Some((from, bytes)) = self.datagrams.recv() => self.datagram(from, &bytes),
                message = self.queue.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return Ended::Drained(self.recorder.map(StepRecorder::into_recorder)),
                },
                () = sleep_until(self.clock.instant(due)) => {}
                () = self.phase.reached(State::Draining), if self.draining_since.is_none() => {}
            }
            let late = self.clock.now().saturating_sub(due.max(now));
            if late >= STALL {
                tracing::warn!("the owner thread was delayed by {late:?}");
            }
            for _ in 1..BATCH {
                match self.queue.try_recv() {
                    Ok(message) => self.handle_message(message),
                    Err(_) => break,
                }
            }
            self.wake_if_due();
            self.tick_fleet();
            self.step();
            self.check_restart();
        }
    }

    /// Wakes the core if a wake-up is due.
    pub(super) fn wake_if_due(&mut self) {
        if self.wakes.take_due(self.clock.now()) {
            self.core.wake();
        }
    }
}
