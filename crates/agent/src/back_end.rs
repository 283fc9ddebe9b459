//! Connections to the back end: one plain TCP connection or connected UDP socket per flow.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use ppp::v2::{Builder, Command, Protocol as ProxyTransport, Version};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpStream, UdpSocket};
use weirhinge_flow::RefusalReason;
use weirhinge_packet::FlowKey;

use crate::view::OwnTarget;

/// Maximum time for a back end to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Connects to the back end for a TCP flow, before the client's opening packet is answered, so that
/// a flow whose back end refuses can still be opened elsewhere.
pub(crate) async fn connect_tcp(
    own: &OwnTarget,
    key: &FlowKey,
) -> Result<TcpStream, RefusalReason> {
    let connect = async {
        let mut stream = TcpStream::connect(own.back_end).await?;
        stream.set_nodelay(true)?;
        if own.proxy_protocol {
            stream.write_all(&proxy_header(key)?).await?;
        }
        Ok::<_, io::Error>(stream)
    };
    match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(_)) => Err(RefusalReason::BackEndRefused),
        Err(_) => Err(RefusalReason::BackEndTimeout),
    }
}

fn proxy_header(key: &FlowKey) -> io::Result<Vec<u8>> {
    let addresses = (key.source, key.destination);
    Builder::with_addresses(Version::Two | Command::Proxy, ProxyTransport::Stream, addresses)
        .build()
}

/// Opens the connected socket of a UDP flow.
pub(crate) async fn connect_udp(back_end: SocketAddr) -> io::Result<UdpSocket> {
    let any: SocketAddr = match back_end {
        SocketAddr::V4(_) => (std::net::Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (std::net::Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(any).await?;
    socket.connect(back_end).await?;
    Ok(socket)
}
