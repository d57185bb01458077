//! The way of requests to a server's session. A session that ends takes no more of them: each
//! request is read, or its sender knows that another session is needed.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use may::sync::mpsc::{Receiver, Sender, channel};

use crate::messages::Server;

/// Whether the session still reads requests. Held while one is sent, and while the session finds
/// that there is none and ends.
type IsOpen = Arc<Mutex<bool>>;

/// The end at which checks are requested, each with the server as it is listed then.
pub(super) struct RequestSender {
    requests: Sender<Arc<Server>>,
    is_open: IsOpen,
}

/// The session's end.
pub(super) struct RequestReceiver {
    requests: Receiver<Arc<Server>>,
    is_open: IsOpen,
}

/// Returns both ends.
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
    /// Requests a check; false where the session has ended and won't make it.
    pub(super) fn send(&self, server: Arc<Server>) -> bool {
        let is_open = lock(&self.is_open);
        *is_open && self.requests.send(server).is_ok()
    }
}

impl RequestReceiver {
    /// Waits for the next request; none once the sender is gone.
    pub(super) fn next(&self) -> Option<Arc<Server>> {
        self.requests.recv().ok()
    }

    /// Returns the request that has come, or takes no more.
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
