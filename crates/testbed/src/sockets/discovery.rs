//! The stand-in discovery agent, one for each balancer. It speaks HTTP/1.1 with long polling, like
//! the platform's agent. It owns its listener, sends the part of the endpoint list that is visible
//! to the balancer and records each entry as notified when it is sent. During an outage of
//! discovery it does not answer.

use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

use super::error::SocketRunError;
use super::shared_run::SharedRun;

/// Longest time that a request is held.
const HOLD_MAX_MS: u64 = 60_000;

/// Starts one balancer's agent.
///
/// # Errors
/// The agent can't listen at its address.
pub async fn start(shared: &Arc<SharedRun>, balancer: usize) -> Result<(), SocketRunError> {
    let address = shared.addresses.discovery(balancer);
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| SocketRunError::Listen { address, source })?;
    let shared = shared.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(shared.clone(), balancer, stream));
        }
    });
    Ok(())
}

async fn serve_connection(
    shared: Arc<SharedRun>,
    balancer: usize,
    stream: TcpStream,
) -> Option<()> {
    let (read, mut out) = stream.into_split();
    let mut lines = BufReader::new(read).lines();
    loop {
        let request = lines.next_line().await.ok()??;
        while !lines.next_line().await.ok()??.is_empty() {}
        let value = |name: &str| {
            let mut pairs = request
                .split(['?', '&', ' '])
                .filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let (from, hold) = (
            value("from"),
            value("hold_ms").unwrap_or(0).min(HOLD_MAX_MS),
        );
        let mut updates = shared.list_updates.subscribe();
        let newer_version = async {
            while from.is_some_and(|from| shared.lock().visible_versions[balancer] <= from) {
                if updates.changed().await.is_err() {
                    return;
                }
            }
        };
        let _ = tokio::time::timeout(Duration::from_millis(hold), newer_version).await;
        if shared.lock().model.discovery_delay().is_none() {
            // Discovery is down: the request is never answered.
            std::future::pending::<()>().await;
        }
        let body = shared.endpoint_list(balancer, from).to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        out.write_all((head + &body).as_bytes()).await.ok()?;
    }
}
