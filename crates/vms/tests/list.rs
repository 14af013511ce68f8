//! Reading the list of VMs from a service whose list contains entries of other writers.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    rc::Rc,
};

use clock::RuntimeClock;
use transport::Timeouts;
use vms::{HttpVmList, VmList};

/// Starts a service that answers one request with `list`.
fn start_service(list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let Ok((mut stream, _)) = listener.accept() else { return };
        let _ = stream.read(&mut [0; 4096]);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", list.len());
        let _ = stream.write_all(format!("{head}{list}").as_bytes());
    });
    addr
}

/// Guards against a node that no longer follows the list, and so keeps sending requests to leaving
/// VMs, because one entry cannot be decoded.
#[compio::test]
async fn vm_that_cannot_be_decoded_does_not_hide_the_others() {
    let vm = |name: &str, addr: &str| {
        format!(
            r#"{{"name":"{name}","addr":"{addr}","domain":"a","role":"engine","leaving":false}}"#
        )
    };
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    for odd in [
        vm("odd", "10.0.0.2:70000"),
        vm("odd", "10.0.0.2:1e400"),
        vm("odd", "10.0.0.2:80").replace("false", "1e400"),
        vm("odd", "10.0.0.2:80").replace("\"engine\"", "\"planet\""),
        vm("odd", "10.0.0.2:80").replace("\"engine\"", &nested),
        r#"{"name":5}"#.to_owned(),
        "null".to_owned(),
        nested.clone(),
    ] {
        let vms = [vm("e1", "10.0.0.1:80"), odd, vm("e3", "10.0.0.3:80")].join(",");
        let addr = start_service(format!(r#"{{"version":3,"vms":[{vms}]}}"#));
        let client =
            HttpVmList::new(Rc::new(RuntimeClock::new()), addr, Timeouts::from_millis(500, 2000));
        let snapshot = client.list().await.expect("the list is read");
        let names: Vec<&str> = snapshot.vms.iter().map(|vm| vm.name.as_str()).collect();
        assert_eq!((snapshot.version, names), (3, vec!["e1", "e3"]));
    }
}
