//! Loopback addresses for a cell: a block of its own, so that cells on one
//! machine never meet, with ports from the operating system.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use laurelstile_lab::error::LabError;
use tokio::net::TcpSocket;

/// A random `127.a.b.0/24`.
#[derive(Clone, Copy, Debug)]
pub struct LoopbackBlock {
    second: u8,
    third: u8,
}

impl LoopbackBlock {
    /// Draws a block.
    pub fn draw() -> Self {
        Self {
            second: rand::random_range(1..=250),
            third: rand::random_range(1..=250),
        }
    }

    /// The address of a host of the block.
    pub fn ip(self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, host))
    }

    /// An address of a host with a port that is free now. The socket that finds it does not listen:
    /// a process that is being started may inherit it, and no server could listen beside it then.
    ///
    /// # Errors
    /// [`LabError::Address`].
    pub fn free_address(self, host: u8) -> Result<SocketAddr, LabError> {
        let socket = TcpSocket::new_v4().map_err(LabError::Address)?;
        socket.set_reuseaddr(true).map_err(LabError::Address)?;
        let any_port = SocketAddr::new(self.ip(host), 0);
        socket.bind(any_port).map_err(LabError::Address)?;
        socket.local_addr().map_err(LabError::Address)
    }
}
