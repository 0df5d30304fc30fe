//! Cuts of single connections, as on a network that loses packets and sends them again: bytes of
//! one connection arrive late, also after its dialer has left it, while later connections pass.

use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};

use crate::relay::{BUFFER_BYTES, LinkState};

/// How long the listener may take to close a connection that its dialer has left.
const CLOSE_LIMIT: Duration = Duration::from_secs(1);

/// When a cut begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutStart {
    /// So long after the connection was opened.
    After(Duration),
    /// When so many websocket messages of the listener have passed.
    ListenerMessages(u32),
}

/// When a cut ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutEnd {
    /// So long after it began.
    After(Duration),
    /// When it is released, see [`Cuts::release`].
    Released,
}

/// What follows the held bytes, unless the dialer has closed the connection: then it is that end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterCut {
    /// The connection goes on.
    Continue,
    /// Both ends are reset, the listener with the held bytes unread.
    Reset,
    /// The listener reads the end of the dialer, which is not notified.
    HalfClosed,
}

/// A cut of one connection: bytes from its dialer are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut {
    /// When it begins.
    pub start: CutStart,
    /// When it ends.
    pub end: CutEnd,
    /// Whether bytes to the dialer are held as well.
    pub holds_back: bool,
    /// What follows.
    pub after: AfterCut,
}

/// Connections that were cut.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CutCounts {
    /// Cuts that have begun.
    pub begun: u32,
    /// Cut connections that their dialers have left before the cut ended.
    pub left: u32,
    /// Cut connections whose bytes were delivered after their dialers had left.
    pub delivered: u32,
    /// Bytes from dialers that were held.
    pub held: u64,
}

type Plan = Box<dyn FnMut() -> Option<Cut> + Send>;

/// The cuts of a relay's connections; none at first.
#[derive(Clone, Default)]
pub struct Cuts {
    plan: Arc<Mutex<Option<Plan>>>,
    released: watch::Sender<u32>,
    counts: watch::Sender<CutCounts>,
}

impl Cuts {
    /// Cuts as `plan` says, which is called for each connection that is opened from now on.
    pub fn set_plan(&self, plan: impl FnMut() -> Option<Cut> + Send + 'static) {
        *self.plan.lock().unwrap_or_else(PoisonError::into_inner) = Some(Box::new(plan));
    }

    /// Cuts no connection that is opened from now on.
    pub fn clear_plan(&self) {
        *self.plan.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }

    fn next(&self) -> Option<Cut> {
        let mut plan = self.plan.lock().unwrap_or_else(PoisonError::into_inner);
        plan.as_mut().and_then(|plan| plan())
    }

    /// Ends all cuts that wait for it.
    pub fn release(&self) {
        self.released.send_modify(|released| *released += 1);
    }

    /// The connections that were cut.
    pub fn counts(&self) -> watch::Receiver<CutCounts> {
        self.counts.subscribe()
    }

    /// Relays a connection until both ends have closed it.
    pub(crate) async fn relay(
        self,
        stream: TcpStream,
        target: SocketAddr,
        link: watch::Sender<LinkState>,
    ) {
        let cut = self.next();
        let opened = *link.borrow();
        let Ok(onward) = TcpStream::connect(target).await else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let _ = onward.set_nodelay(true);
        let (from_dialer, to_dialer) = stream.into_split();
        let (from_listener, to_listener) = onward.into_split();
        let connection = Connection {
            cut,
            opened,
            link,
            phase: watch::Sender::new(Phase::Before),
            is_left: AtomicBool::new(false),
            counts: self.counts,
        };
        let (chunks, received) = mpsc::unbounded_channel();
        let forward = async {
            tokio::join!(
                connection.read_dialer(from_dialer, chunks),
                connection.write_listener(received, to_listener)
            );
            tokio::time::sleep(CLOSE_LIMIT).await;
        };
        tokio::select! {
            // A cut from the start begins before anything passes.
            biased;
            () = connection.time_cut(self.released.subscribe()) => {}
            () = connection.pass_back(from_listener, to_dialer) => {}
            () = forward => {}
        }
    }
}

impl fmt::Debug for Cuts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Cuts")
            .field("counts", &*self.counts.borrow())
            .finish_non_exhaustive()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Before,
    Cut,
    Over,
    Reset,
}

struct Connection {
    cut: Option<Cut>,
    /// State of the link when the connection was opened.
    opened: LinkState,
    link: watch::Sender<LinkState>,
    phase: watch::Sender<Phase>,
    /// Whether the dialer has left while the connection was cut.
    is_left: AtomicBool,
    counts: watch::Sender<CutCounts>,
}

impl Connection {
    /// Reads from the dialer until it has left, or the connection is severed.
    async fn read_dialer(&self, mut from: OwnedReadHalf, chunks: mpsc::UnboundedSender<Vec<u8>>) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let read = tokio::select! {
                read = from.read(&mut buffer) => read.unwrap_or(0),
                () = self.severed() => 0,
            };
            if read == 0 {
                break;
            }
            let _ = chunks.send(buffer[..read].to_vec());
            if *self.phase.borrow() == Phase::Cut {
                self.counts.send_modify(|counts| counts.held += read as u64);
            }
        }
        if *self.phase.borrow() == Phase::Cut {
            self.is_left.store(true, Ordering::SeqCst);
            self.counts.send_modify(|counts| counts.left += 1);
        }
    }

    /// Writes what the dialer has sent, and its end.
    async fn write_listener(
        &self,
        mut chunks: mpsc::UnboundedReceiver<Vec<u8>>,
        mut to: OwnedWriteHalf,
    ) {
        let mut is_pending = self.cut.is_some_and(|cut| cut.after != AfterCut::Continue);
        loop {
            let chunk = tokio::select! {
                // Held bytes come first.
                biased;
                chunk = chunks.recv() => chunk,
                () = self.over(), if is_pending => match self.cut.map(|cut| cut.after) {
                    Some(AfterCut::Reset) => return self.reset_listener(to),
                    // Dropping it sends the end.
                    Some(AfterCut::HalfClosed) => return,
                    None | Some(AfterCut::Continue) => {
                        is_pending = false;
                        continue;
                    }
                }
            };
            self.passable(|state| state.hold_forward, true).await;
            let Some(chunk) = chunk else {
                let _ = to.shutdown().await;
                if self.is_left.load(Ordering::SeqCst) {
                    self.counts.send_modify(|counts| counts.delivered += 1);
                }
                return;
            };
            if to.write_all(&chunk).await.is_err() {
                return;
            }
        }
    }

    fn reset_listener(&self, to: OwnedWriteHalf) {
        let _ = to.as_ref().set_zero_linger();
        // Dropping it would send an end before the reset.
        to.forget();
        self.phase.send_replace(Phase::Reset);
    }

    /// Passes the listener's bytes back until it has closed the connection.
    async fn pass_back(&self, mut from: OwnedReadHalf, to: OwnedWriteHalf) {
        let mut to = Some(to);
        let mut messages = MessageCounter::default();
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let read = tokio::select! {
                read = from.read(&mut buffer) => read.unwrap_or(0),
                () = self.severed(), if to.is_some() => {
                    to = None;
                    continue;
                }
                () = self.reset() => {
                    if let Some(to) = to {
                        let _ = to.as_ref().set_zero_linger();
                        to.forget();
                    }
                    return;
                }
            };
            if read == 0 {
                return;
            }
            messages.add(&buffer[..read]);
            if let Some(CutStart::ListenerMessages(count)) = self.cut.map(|cut| cut.start)
                && messages.count >= count
                && *self.phase.borrow() == Phase::Before
            {
                self.begin();
            }
            let holds_back = self.cut.is_some_and(|cut| cut.holds_back);
            tokio::select! {
                () = self.passable(|state| state.hold_back, holds_back) => {}
                () = self.severed(), if to.is_some() => to = None,
            }
            if let Some(writer) = &mut to
                && writer.write_all(&buffer[..read]).await.is_err()
            {
                to = None;
            }
        }
    }

    fn begin(&self) {
        self.phase.send_replace(Phase::Cut);
        self.counts.send_modify(|counts| counts.begun += 1);
    }

    /// Begins the cut if time does, and ends it. Never returns.
    async fn time_cut(&self, mut released: watch::Receiver<u32>) {
        let Some(cut) = self.cut else {
            return std::future::pending().await;
        };
        let before = *released.borrow_and_update();
        if let CutStart::After(delay) = cut.start {
            // Even a sleep of no length takes a millisecond.
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            self.begin();
        }
        let mut phase = self.phase.subscribe();
        let _ = phase.wait_for(|phase| *phase == Phase::Cut).await;
        match cut.end {
            CutEnd::After(length) => tokio::time::sleep(length).await,
            CutEnd::Released => {
                let _ = released.wait_for(|released| *released != before).await;
            }
        }
        self.phase.send_replace(Phase::Over);
        std::future::pending().await
    }

    async fn severed(&self) {
        let mut state = self.link.subscribe();
        let severed = self.opened.severed;
        let _ = state.wait_for(|state| state.severed != severed).await;
    }

    async fn over(&self) {
        let mut phase = self.phase.subscribe();
        let _ = phase.wait_for(|phase| *phase == Phase::Over).await;
    }

    async fn reset(&self) {
        let mut phase = self.phase.subscribe();
        let _ = phase.wait_for(|phase| *phase == Phase::Reset).await;
    }

    /// Waits until neither the link nor, if `is_cut`, the connection's cut holds bytes.
    async fn passable(&self, is_held: impl Fn(&LinkState) -> bool, is_cut: bool) {
        let delay = self.link.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let silenced = self.opened.silenced;
        let mut state = self.link.subscribe();
        let may_pass = |state: &LinkState| !is_held(state) && state.silenced == silenced;
        let _ = state.wait_for(may_pass).await;
        if is_cut {
            let mut phase = self.phase.subscribe();
            let _ = phase.wait_for(|phase| *phase != Phase::Cut).await;
        }
    }
}

/// Counts the websocket messages of a listener, which are not masked, after its HTTP response.
#[derive(Debug, Default)]
struct MessageCounter {
    count: u32,
    /// How much of the end of the response's head has been read.
    head: usize,
    header: Vec<u8>,
    payload: u64,
}

const END_OF_HEAD: &[u8] = b"\r\n\r\n";
/// Payload lengths that mean that the length follows, in two or eight bytes.
const TWO_BYTES: u8 = 126;
const EIGHT_BYTES: u8 = 127;

impl MessageCounter {
    fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.add_byte(*byte);
        }
    }

    fn add_byte(&mut self, byte: u8) {
        if self.head < END_OF_HEAD.len() {
            let is_next = byte == END_OF_HEAD[self.head];
            self.head = if is_next {
                self.head + 1
            } else {
                usize::from(byte == END_OF_HEAD[0])
            };
            return;
        }
        if self.payload > 0 {
            self.payload -= 1;
            self.count += u32::from(self.payload == 0);
            return;
        }
        self.header.push(byte);
        let Some(length) = length_in(&self.header) else {
            return;
        };
        self.header.clear();
        self.payload = length;
        self.count += u32::from(length == 0);
    }
}

/// Length of the payload, once its header is complete.
fn length_in(header: &[u8]) -> Option<u64> {
    let short = header.get(1)? & 0x7f;
    let bytes = match short {
        TWO_BYTES => header.get(2..4)?,
        EIGHT_BYTES => header.get(2..10)?,
        length => return Some(length.into()),
    };
    let length = bytes.iter();
    Some(length.fold(0, |length, byte| length << 8 | u64::from(*byte)))
}
