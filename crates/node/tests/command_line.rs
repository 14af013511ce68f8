//! Tests of the command line: exit codes, and changes of the configuration in the key-value
//! service.

use std::{
    net::{SocketAddr, TcpListener},
    process::{Command, Output},
    rc::Rc,
    time::Duration,
};

use clock::{Clock, RuntimeClock};
use standins::keyvalue::{KeyValueArgs, KeyValueFaults};
use transport::{HttpClient, Timeouts};

const TIMEOUTS: Timeouts = Timeouts::from_millis(500, 2000);

fn run(args: &[&str]) -> (i32, String) {
    let output: Output =
        Command::new(env!("CARGO_BIN_EXE_gypsumrack")).args(args).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap(), String::from_utf8(text).unwrap())
}

/// Starts a key-value service in a thread of its own, which ends with the test process.
fn start_store() -> SocketAddr {
    let listen = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    std::thread::spawn(move || {
        let runtime = compio::runtime::Runtime::new().unwrap();
        let args = KeyValueArgs { listen, call_millis: 1, writes: 400, reads: 2000 };
        runtime.block_on(standins::keyvalue::run(Rc::new(RuntimeClock::new()), args)).unwrap();
    });
    set_faults(listen, &KeyValueFaults::default());
    listen
}

fn set_faults(store: SocketAddr, faults: &KeyValueFaults) {
    let clock = Rc::new(RuntimeClock::new());
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let client = HttpClient::new(clock.clone(), store);
        for _ in 0..100 {
            if client.post_json::<_, ()>("/control", faults, TIMEOUTS).await.is_ok() {
                return;
            }
            clock.sleep(Duration::from_millis(20)).await;
        }
        panic!("key-value service does not answer");
    });
}

/// Guards against exit codes other than the documented ones, which scripts rely on.
#[test]
fn commands_exit_with_the_documented_codes() {
    let directory = std::env::temp_dir().join(format!("gypsumrack-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let file = directory.join("fleet.toml");
    let path = file.to_str().unwrap();
    std::fs::write(&file, "[defaults]\ncrash_limit = 3\n").unwrap();
    assert_eq!(run(&["settings", "check", "--fleet", path]).0, 0);
    std::fs::write(&file, "revisoin = 1\n[defaults]\ncrash_limit = 99\n").unwrap();
    let (code, text) = run(&["settings", "check", "--fleet", path]);
    assert_eq!(code, 1);
    assert!(
        text.contains("defaults.crash_limit = 99: must be a whole number from 1 to 16 crashes")
    );
    assert!(text.contains("did you mean revision?"));
    assert_eq!(run(&["settings", "check", "no-such-file.toml"]).0, 2);
    std::fs::remove_dir_all(&directory).unwrap();
    assert_eq!(run(&["settings", "check"]).0, 2);
    assert_eq!(run(&["drain", "permits-0", "--reason", "cleaning"]).0, 2);
    assert_eq!(run(&["status", "--node", "127.0.0.1:1"]).0, 1);
}

/// Guards against a change that is reported as accepted but not stored, against an exception
/// without a reason, and against a failed write that is not reported as unknown or not accepted.
#[test]
fn config_changes_exit_as_accepted_not_accepted_or_unknown() {
    let store = start_store();
    let addr = store.to_string();
    let run_as_maria = |args: &[&str]| {
        let all = [args, &["--keyvalue", &addr, "--author", "maria"]].concat();
        run(&all)
    };
    assert_eq!(run_as_maria(&["config", "set", "crash_limit", "3"]).0, 0);
    assert_eq!(run_as_maria(&["config", "set", "crash_limit", "99"]).0, 1);
    assert_eq!(run_as_maria(&["config", "except", "add", "upstream", "a"]).0, 2);
    let (code, text) = run_as_maria(&["config", "except", "add", "upstream", "a", "--reason", ""]);
    assert_eq!(code, 1);
    assert!(text.contains("exceptions[0].reason"), "{text}");
    assert_eq!(run_as_maria(&["drain", "permits-0", "--reason", "cleaning"]).0, 0);
    assert!(run(&["config", "show", "--keyvalue", &addr]).1.contains("reason = \"cleaning\""));
    assert_eq!(run_as_maria(&["drain", "permits-0", "--undo"]).0, 0);
    assert_second_edit_is_refused(&addr, &run_as_maria);
    set_faults(store, &KeyValueFaults { lose_answers: 1, ..KeyValueFaults::default() });
    assert_eq!(run_as_maria(&["config", "set", "weight", "2"]).0, 0);
    set_faults(store, &KeyValueFaults { lose_writes: 100, ..KeyValueFaults::default() });
    let (code, text) = run_as_maria(&["config", "set", "weight", "3"]);
    assert_eq!(code, 3, "{text}");
    set_faults(store, &KeyValueFaults { refuse: true, ..KeyValueFaults::default() });
    assert_eq!(run_as_maria(&["config", "set", "weight", "4"]).0, 1);
    set_faults(store, &KeyValueFaults::default());
    let (_, history) = run(&["config", "history", "--keyvalue", &addr]);
    assert!(history.contains("revision 5 by maria"), "{history}");
    assert!(!history.contains("revision 6"), "{history}");
}

/// Guards against an edited file that overwrites changes made after the file was printed.
fn assert_second_edit_is_refused(store: &str, run_as_maria: &dyn Fn(&[&str]) -> (i32, String)) {
    let name = format!("gypsumrack-edit-{}.toml", std::process::id());
    let file = std::env::temp_dir().join(name);
    let text = run(&["config", "show", "--keyvalue", store]).1;
    std::fs::write(&file, text.replace("queue_depth = 256", "queue_depth = 64")).unwrap();
    let edit = ["config", "edit", file.to_str().unwrap()];
    assert_eq!(run_as_maria(&edit).0, 0);
    let (code, text) = run_as_maria(&edit);
    std::fs::remove_file(&file).unwrap();
    assert_eq!(code, 1);
    assert!(text.contains("edited from revision 3, but revision 4 by maria"), "{text}");
}
