//! A relay that stands in a link and can hold its bytes back, in either
//! direction, delay them, or sever or silence its connections.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::cut::Cuts;
use crate::error::LabError;

pub(crate) const BUFFER_BYTES: usize = 64 * 1024;

/// State of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkState {
    /// Bytes from the dialer wait.
    pub hold_forward: bool,
    /// Bytes to the dialer wait.
    pub hold_back: bool,
    /// Every chunk of bytes waits this long.
    pub delay: Duration,
    /// Grows when connections are to be severed.
    pub severed: u32,
    /// Grows when the connections that are open are to go silent for good, without an
    /// end; new ones work.
    pub silenced: u32,
}

impl LinkState {
    /// Ends every fault of the link.
    pub fn heal(&mut self) {
        *self = Self {
            severed: self.severed,
            silenced: self.silenced,
            ..Self::default()
        };
    }
}

/// A relay in front of one address.
#[derive(Clone, Debug)]
pub struct Relay {
    links: Arc<Mutex<HashMap<IpAddr, watch::Sender<LinkState>>>>,
    accepted: Arc<AtomicUsize>,
    cuts: Option<Cuts>,
}

impl Relay {
    /// Starts a relay from `listen` to `target`.
    ///
    /// # Errors
    /// [`LabError::Address`].
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> Result<Self, LabError> {
        Self::start_with_cuts(listen, target, None).await
    }

    /// Starts a relay from `listen` to `target` that cuts single connections.
    ///
    /// # Errors
    /// [`LabError::Address`].
    pub async fn start_with_cuts(
        listen: SocketAddr,
        target: SocketAddr,
        cuts: Option<Cuts>,
    ) -> Result<Self, LabError> {
        let listener = TcpListener::bind(listen).await.map_err(LabError::Address)?;
        let relay = Self {
            links: Arc::default(),
            accepted: Arc::default(),
            cuts,
        };
        tokio::spawn(relay.clone().accept(listener, target));
        Ok(relay)
    }

    /// Changes the link of one dialer, known by its address.
    pub fn change(&self, dialer: IpAddr, change: impl FnOnce(&mut LinkState)) {
        self.link(dialer).send_modify(change);
    }

    /// Connections that were taken in.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }

    fn link(&self, dialer: IpAddr) -> watch::Sender<LinkState> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links
            .entry(dialer)
            .or_insert_with(|| watch::Sender::new(LinkState::default()))
            .clone()
    }

    async fn accept(self, listener: TcpListener, target: SocketAddr) {
        while let Ok((stream, dialer)) = listener.accept().await {
            self.accepted.fetch_add(1, Ordering::SeqCst);
            let link = self.link(dialer.ip());
            match &self.cuts {
                None => tokio::spawn(relay_one(stream, target, link)),
                Some(cuts) => tokio::spawn(cuts.clone().relay(stream, target, link)),
            };
        }
    }
}

async fn relay_one(stream: TcpStream, target: SocketAddr, link: watch::Sender<LinkState>) {
    let mut state = link.subscribe();
    let LinkState {
        severed, silenced, ..
    } = *state.borrow();
    let Ok(onward) = TcpStream::connect(target).await else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let _ = onward.set_nodelay(true);
    let (from_dialer, to_dialer) = stream.into_split();
    let (from_target, to_target) = onward.into_split();
    let forward = pump(from_dialer, to_target, link.subscribe(), |state| {
        state.hold_forward || state.silenced != silenced
    });
    let back = pump(from_target, to_dialer, link.subscribe(), |state| {
        state.hold_back || state.silenced != silenced
    });
    tokio::select! {
        () = forward => {}
        () = back => {}
        _ = state.wait_for(|state| state.severed != severed) => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
    is_held: impl Fn(&LinkState) -> bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(read) = from.read(&mut buffer).await else {
            return;
        };
        let delay = state.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if state.wait_for(|state| !is_held(state)).await.is_err() {
            return;
        }
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
