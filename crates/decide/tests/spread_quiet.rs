//! Prints the messages and bytes that the spread protocol sends in an idle fleet, while the
//! configuration changes, and while upstreams renew their announcements. Nothing is checked.

mod spread_net;

use std::time::Duration;

use spread_net::Net;
use spread_net::fleet::announcement;

const SECOND: Duration = Duration::from_secs(1);
/// The time between changes at 5,000 a day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(17_280);

fn print_traffic(net: &mut Net, what: &str, duration: Duration) {
    let traffic = net.traffic();
    let hosts = net.hosts().len() as f64;
    let seconds = duration.as_secs_f64();
    println!(
        "{what}: hosts={hosts} messages/host/s={:.1} bytes/host/s={:.0} most={:.0}",
        traffic.messages as f64 / hosts / seconds,
        traffic.bytes as f64 / hosts / seconds,
        traffic.most_bytes_of_a_host as f64 / seconds,
    );
    net.sent_by_host.clear();
}

#[test]
fn counts_of_messages_and_bytes() {
    for (hosts, data_centres, seconds) in [(13, 4, 120), (19, 4, 120), (200, 4, 10)] {
        let mut net = Net::new(hosts, data_centres, 1);
        net.count_bytes = true;
        net.commit_next();
        net.run(5 * SECOND);
        print_traffic(&mut net, "start", 5 * SECOND);
        let duration = SECOND * seconds;
        net.run(duration);
        print_traffic(&mut net, "quiet", duration);
        for _ in 0..6 {
            net.commit_next();
            net.run(CHANGE_INTERVAL / 4);
        }
        print_traffic(
            &mut net,
            "four times 5,000 changes a day",
            CHANGE_INTERVAL * 6 / 4,
        );
        for number in 0..data_centres * 3 {
            let name = format!("u{number}");
            net.add_upstream(announcement(&name, number % data_centres, 1));
        }
        net.run(2 * SECOND);
        net.sent_by_host.clear();
        net.run(duration);
        print_traffic(&mut net, "upstreams renewed twice a second", duration);
    }
}
