//! Metrics of each role as a monitoring system reads them.

mod support;

use std::net::SocketAddrV4;

use onyxstile_system::metrics::{LABEL_VALUES_MAX, Metrics};
use onyxstile_system::process::ResidentMemory;
use onyxstile_system::settings::{MetricsAddress, MetricsAddressError};
use support::metric_value;
use support::tier::{LIMITS, METRICS_PATH, Tier, request_until, run_test, send_request};

/// The metrics text of a role.
async fn read(from: SocketAddrV4) -> String {
    let answer = request_until(200, from, "GET", METRICS_PATH, &[], "").await;
    assert!(
        answer.headers["content-type"].to_str().expect("text").starts_with("application/openmetrics-text")
    );
    String::from_utf8(answer.body.expect("a complete answer").to_vec()).expect("text")
}

/// Value of a metric that has to be present.
fn value(text: &str, name: &str) -> f64 {
    metric_value(text, name).unwrap_or_else(|| panic!("no {name} in\n{text}"))
}

/// Reads until a metric has this value. A metric of a service is present only after an endpoint of the service is known.
async fn read_until(from: SocketAddrV4, name: &str, wanted: f64) -> String {
    loop {
        let text = read(from).await;
        if metric_value(&text, name) == Some(wanted) {
            return text;
        }
        tokio::task::yield_now().await;
    }
}

fn configuration() -> String {
    format!(
        r#"{{"revision":4,"routes":[{{"name":"r","host":"a.example","path_prefix":"/r/","route_type":"idempotent","timeout_ms":500,"target_latency_ms":100,"priority":0,"service":"api","max_attempts":2}}],"services":[{{"name":"api","health_check":"/healthz","max_connections":20,"protocol":"h1","tls":false}}],"limits":{LIMITS}}}"#
    )
}

#[test]
fn each_role_publishes_its_progress() {
    run_test(async {
        let unused = "127.0.0.1:9".parse().expect("an address");
        let tier = Tier::start("figures", &configuration(), &[("i-1", "api", unused)]).await;
        for host in 2..=4 {
            let text = read_until(tier.metrics(host), "onyxstile_endpoints{stage=\"ready\"}", 1.0).await;
            assert!(text.ends_with("# EOF\n"));
            assert_eq!(value(&text, "onyxstile_electors"), 3.0);
            assert_eq!(value(&text, "onyxstile_sure"), 1.0);
            assert!(value(&text, "onyxstile_sure_after_seconds") >= 0.0);
        }
        read_until(tier.metrics(2), "onyxstile_revision", 4.0).await;
        for host in 5..=7 {
            read_until(tier.metrics(host), "onyxstile_storage_epoch", 1.0).await;
            let text = read_until(tier.metrics(host), "onyxstile_repairing", 0.0).await;
            assert_eq!(value(&text, "onyxstile_whole"), 1.0);
        }
        let text = read_until(tier.agent_metrics(), "onyxstile_endpoints_known", 1.0).await;
        assert_eq!(value(&text, "onyxstile_fresh"), 1.0);
        let text = read_until(tier.metrics(1), "onyxstile_endpoints_usable{service=\"api\"}", 1.0).await;
        assert_eq!((value(&text, "onyxstile_ready"), value(&text, "onyxstile_revision")), (1.0, 4.0));
    });
}

#[test]
fn refusals_and_missed_sends_are_counted_by_their_cause() {
    run_test(async {
        let unused = "127.0.0.1:9".parse().expect("an address");
        let tier = Tier::start("counted", &configuration(), &[("i-1", "api", unused)]).await;
        read_until(tier.metrics(1), "onyxstile_endpoints_usable{service=\"api\"}", 1.0).await;
        for _ in 0..3 {
            send_request(tier.front(), "GET", "/other/x", &[("request-id", "r1")], "")
                .await
                .expect("an answer");
        }
        let headers = [("request-id", "r2"), ("deadline-ms", "400")];
        let answer = send_request(tier.front(), "GET", "/r/x", &headers, "").await.expect("an answer");
        assert_eq!(answer.status, 503, "no process listens there");
        let text = read(tier.metrics(1)).await;
        assert_eq!(value(&text, "onyxstile_refusals_total{cause=\"no_route\"}"), 3.0);
        assert_eq!(value(&text, "onyxstile_refusals_total{cause=\"not_taken\"}"), 1.0);
        assert!(value(&text, "onyxstile_sends_missed_total{cause=\"not_sent\"}") >= 1.0);
        assert!(value(&text, "onyxstile_requests_total{from=\"client\"}") >= 4.0);
        assert_eq!(value(&text, "onyxstile_connections_opened_total{to=\"endpoint\"}"), 0.0);
    });
}

#[test]
fn metrics_are_served_only_at_the_configured_path() {
    run_test(async {
        let tier = Tier::start("path", &configuration(), &[]).await;
        let other = send_request(tier.metrics(2), "GET", "/", &[], "").await.expect("an answer");
        assert_eq!(other.status, 404);
        let write = send_request(tier.metrics(2), "POST", METRICS_PATH, &[], "x").await.expect("an answer");
        assert_eq!(write.status, 405);
    });
}

/// Label values come from a configuration, which may name any number of services.
#[test]
fn the_label_values_of_a_metric_are_limited() {
    let values: Vec<(String, f64)> = (0..1000).map(|number| (format!("s{number}"), 1.0)).collect();
    let mut figures = Metrics::default();
    figures.gauges("endpoints_usable", "Endpoints that may be called.", "service", &values);
    let text = figures.text();
    assert_eq!(text.lines().filter(|line| !line.starts_with('#')).count(), LABEL_VALUES_MAX);
}

#[test]
fn a_metrics_address_is_a_port_and_a_path() {
    let read = |text: &str| text.parse::<MetricsAddress>();
    assert_eq!(read("9464/metrics"), Ok(MetricsAddress { port: 9464, path: "/metrics".into() }));
    assert_eq!(read("9464"), Err(MetricsAddressError::NoPath));
    for port in ["", "0", "x", "70000"] {
        assert_eq!(read(&format!("{port}/m")), Err(MetricsAddressError::Port(port.into())));
    }
}

#[test]
fn resident_memory_is_read_from_the_list_of_the_system() {
    let status = "Name:\ta\nVmPeak:\t   900 kB\nVmHWM:\t    12 kB\nVmRSS:\t     8 kB\n";
    let expected = ResidentMemory { current: 8 * 1024, peak: 12 * 1024 };
    assert_eq!(ResidentMemory::parse(status), Some(expected));
    assert_eq!(ResidentMemory::parse("Name:\ta\n"), None);
}
