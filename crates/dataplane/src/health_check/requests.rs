//! The request channel of a server's session. A session that ends closes the channel first. So the
//! session reads every request that was sent, or the sender learns that a new session is needed.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use may::sync::mpsc::{Receiver, Sender, channel};

use crate::messages::Server;

/// Whether the session still reads requests. Locked while a request is sent, and while the session
/// checks for a request and closes the channel if there is none.
type IsOpen = Arc<Mutex<bool>>;

/// The sending end. Each request carries the server as it is listed at that time.
pub(super) struct RequestSender {
    requests: Sender<Arc<Server>>,
    is_open: IsOpen,
}

/// The receiving end, which belongs to the session.
pub(super) struct RequestReceiver {
    requests: Receiver<Arc<Server>>,
    is_open: IsOpen,
}

/// Creates a request channel.
pub(super) fn request_channel() -> (RequestSender, RequestReceiver) {
    let (sender, receiver) = channel();
    let is_open = Arc::new(Mutex::new(true));
    let sender = RequestSender {
        requests: sender,
        is_open: is_open.clone(),
    };
    let receiver = RequestReceiver {
        requests: receiver,
        is_open,
    };
    (sender, receiver)
}

impl RequestSender {
    /// Requests a check; returns false if the session has ended and won't make the check.
    pub(super) fn send(&self, server: Arc<Server>) -> bool {
        let is_open = lock(&self.is_open);
        *is_open && self.requests.send(server).is_ok()
    }
}

impl RequestReceiver {
    /// Waits for the next request; `None` if the sender has been dropped.
    pub(super) fn next(&self) -> Option<Arc<Server>> {
        self.requests.recv().ok()
    }

    /// Returns the next request without waiting. If there is none, closes the channel.
    pub(super) fn next_or_close(&self) -> Option<Arc<Server>> {
        let mut is_open = lock(&self.is_open);
        let request = self.requests.try_recv().ok();
        *is_open = request.is_some();
        request
    }
}

fn lock(is_open: &Mutex<bool>) -> MutexGuard<'_, bool> {
    is_open.lock().unwrap_or_else(PoisonError::into_inner)
}
