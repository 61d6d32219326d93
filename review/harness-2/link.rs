//! A machine's own link, as a proxy with a bounded rate.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::sys;

/// Link on which the bytes of the other end arrive at its rate, all connections together.
pub struct Link {
    pub address: SocketAddr,
}

impl Link {
    pub fn start(to: SocketAddr, mbps: f64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("port of the link");
        let address = listener.local_addr().expect("address");
        let free_at = Arc::new(Mutex::new(Instant::now()));
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = sys::connect_small(to, 64 * 1024) else { continue };
                let _ = far.set_nodelay(true);
                let _ = near.set_nodelay(true);
                let (Ok(mut near_in), Ok(mut far_out)) = (near.try_clone(), far.try_clone()) else { continue };
                thread::spawn(move || {
                    let _ = std::io::copy(&mut near_in, &mut far_out);
                    let _ = far_out.shutdown(std::net::Shutdown::Both);
                });
                let free_at = Arc::clone(&free_at);
                thread::spawn(move || pass_on(far, near, &free_at, mbps * 1e6 / 8.0));
            }
        });
        Self { address }
    }
}

fn pass_on(mut from: TcpStream, mut to: TcpStream, free_at: &Mutex<Instant>, bytes_per_second: f64) {
    let mut buffer = [0; 1460];
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 {
            break;
        }
        let time = Duration::from_secs_f64(count as f64 / bytes_per_second);
        let until = {
            let mut free_at = free_at.lock().unwrap();
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        thread::sleep(until.saturating_duration_since(Instant::now()));
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
}
