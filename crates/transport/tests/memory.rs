//! Property test of the account of the memory that callers use.

use std::net::{IpAddr, Ipv4Addr};

use proptest::prelude::*;
use transport::{MemoryAccount, Reservation};

/// Size of the account in the test, in bytes.
const LIMIT: usize = 1000;
/// Largest share of one peer while others hold bytes.
const PEER_LIMIT: usize = 750;

#[derive(Clone, Debug)]
enum Step {
    Reserve { peer: u8, bytes: usize },
    Grow { index: usize, bytes: usize },
    Drop { index: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..4_u8, 0..400_usize).prop_map(|(peer, bytes)| Step::Reserve { peer, bytes }),
        (0..100_usize, prop_oneof![0..400_usize, Just(usize::MAX)])
            .prop_map(|(index, bytes)| Step::Grow { index, bytes }),
        (0..100_usize).prop_map(|index| Step::Drop { index }),
    ]
}

fn peer(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, number).into()
}

proptest! {
    /// Guards against bytes that are never released, and against reservations beyond the limits.
    #[test]
    fn the_account_holds_exactly_what_is_reserved(
        steps in proptest::collection::vec(step(), 0..200),
    ) {
        let account = MemoryAccount::new(LIMIT);
        let mut held: Vec<(u8, Reservation)> = Vec::new();
        for step in steps {
            match step {
                Step::Reserve { peer: number, bytes } => {
                    let own = account.used_by(peer(number));
                    let limit = if own == account.used() { LIMIT } else { PEER_LIMIT };
                    let fits = own + bytes <= limit && account.used() + bytes <= LIMIT;
                    let reservation = account.reserve(peer(number), bytes);
                    prop_assert_eq!(reservation.is_some(), fits || bytes == 0);
                    held.extend(reservation.map(|got| (number, got)));
                }
                Step::Grow { index, bytes } if !held.is_empty() => {
                    let index = index % held.len();
                    let (number, reservation) = &mut held[index];
                    let number = *number;
                    let before = reservation.bytes();
                    let own = account.used_by(peer(number));
                    let limit = if own == account.used() { LIMIT } else { PEER_LIMIT };
                    let fits = own.saturating_add(bytes) <= limit
                        && account.used().saturating_add(bytes) <= LIMIT;
                    let has_grown = reservation.grow(bytes).is_ok();
                    prop_assert_eq!(has_grown, fits || bytes == 0);
                    let expected = if has_grown { before + bytes } else { before };
                    prop_assert_eq!(reservation.bytes(), expected);
                }
                Step::Drop { index } if !held.is_empty() => {
                    held.swap_remove(index % held.len());
                }
                _ => {}
            }
            let sum = |of: Option<u8>| -> usize {
                let of_peer = held.iter().filter(|(number, _)| of.is_none_or(|of| of == *number));
                of_peer.map(|(_, reservation)| reservation.bytes()).sum()
            };
            prop_assert_eq!(account.used(), sum(None));
            prop_assert!(account.used() <= LIMIT);
            for number in 0..4 {
                prop_assert_eq!(account.used_by(peer(number)), sum(Some(number)));
            }
        }
        held.clear();
        prop_assert_eq!(account.used(), 0);
    }
}
