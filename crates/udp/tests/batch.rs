//! Datagrams of a batch arrive complete, once, and in order per address.

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use weirhinge_udp::{ReceiveBatch, SendBatch};

fn socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bound");
    socket.set_read_timeout(Some(Duration::from_millis(200))).expect("timeout");
    socket
}

fn address(socket: &UdpSocket) -> SocketAddr {
    socket.local_addr().expect("address")
}

fn receive_all(socket: &UdpSocket) -> Vec<Vec<u8>> {
    let mut batch = ReceiveBatch::new(16);
    let mut received = Vec::new();
    loop {
        batch.receive(socket).expect("receives");
        if batch.datagrams().next().is_none() {
            return received;
        }
        received.extend(batch.datagrams().map(<[u8]>::to_vec));
    }
}

#[test]
fn datagrams_of_mixed_lengths_arrive_in_order() {
    let sender = socket();
    let receivers = [socket(), socket()];
    let mut batch = SendBatch::new(64);
    let mut expected = [Vec::new(), Vec::new()];
    for number in 0..64_u8 {
        let receiver_index = usize::from(number % 3 == 0);
        // Runs of equal lengths, each followed by shorter or longer ones.
        let length = [100, 100, 100, 40, 200, 200, 1_400, 1][usize::from(number / 8)];
        let datagram = vec![number; length];
        batch.next_buffer().clear();
        batch.next_buffer().extend_from_slice(&datagram);
        batch.commit(address(&receivers[receiver_index]));
        expected[receiver_index].push(datagram);
    }
    assert!(batch.is_full());
    assert_eq!(batch.flush(&sender), 64);
    for (receiver, expected) in receivers.iter().zip(expected) {
        assert_eq!(receive_all(receiver), expected);
    }
    assert_eq!(batch.flush(&sender), 0, "a flushed batch is empty");
}

#[test]
fn unsendable_datagram_is_skipped() {
    let sender = socket();
    let receiver = socket();
    let mut batch = SendBatch::new(4);
    for (number, destination) in [(1, address(&receiver)), (2, "[::1]:9".parse().expect("address"))]
    {
        batch.next_buffer().clear();
        batch.next_buffer().push(number);
        batch.commit(destination);
    }
    assert_eq!(batch.flush(&sender), 1);
    assert_eq!(receive_all(&receiver), [vec![1]]);
}
