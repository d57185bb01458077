//! The stand-in discovery agent, one for each balancer: HTTP/1.1 with held calls, as the platform
//! has it. It owns its listener, tells what the balancer may see by now, and notes it as told when
//! it writes it. While discovery is down it says nothing.

use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

use super::error::SocketRunError;
use super::shared_run::SharedRun;

/// Holds no call for longer.
const LONGEST: u64 = 60_000;

/// Starts one balancer's agent.
///
/// # Errors
/// Its address can't be had.
pub async fn start(shared: &Arc<SharedRun>, balancer: usize) -> Result<(), SocketRunError> {
    let address = shared.addresses.discovery(balancer);
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| SocketRunError::Listen { address, source })?;
    let shared = shared.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(talk(shared.clone(), balancer, stream));
        }
    });
    Ok(())
}

async fn talk(shared: Arc<SharedRun>, balancer: usize, stream: TcpStream) -> Option<()> {
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
        let (from, hold) = (value("from"), value("hold_ms").unwrap_or(0).min(LONGEST));
        let mut news = shared.news.subscribe();
        let newer = async {
            while from.is_some_and(|from| shared.lock().visible[balancer] <= from) {
                if news.changed().await.is_err() {
                    return;
                }
            }
        };
        let _ = tokio::time::timeout(Duration::from_millis(hold), newer).await;
        if shared.lock().model.discovery().is_none() {
            // Silent: the call is held for good.
            std::future::pending::<()>().await;
        }
        let body = shared.list(balancer, from).to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        out.write_all((head + &body).as_bytes()).await.ok()?;
    }
}
