//! Parsing and printing of an instance's settings.

use std::time::Duration;

use standin::InstanceConfig;

#[test]
fn missing_settings_take_their_defaults() {
    let cfg: InstanceConfig =
        serde_json::from_str(r#"{"upstream": "a", "statement_time": "2ms"}"#).unwrap();
    assert_eq!(&*cfg.upstream, "a");
    assert_eq!(cfg.statement_time, Duration::from_millis(2));
    assert_eq!((cfg.slots, cfg.connections), (3, 50));
    assert_eq!(cfg.connect_time, Duration::from_millis(10));
}

#[test]
fn unknown_settings_are_refused() {
    let cfg: Result<InstanceConfig, _> = serde_json::from_str(r#"{"slot": 2}"#);
    assert!(cfg.is_err());
}

#[test]
fn the_password_is_not_printed() {
    let cfg = InstanceConfig {
        credentials: standin::Credentials {
            password: "hidden".into(),
            ..Default::default()
        },
        ..InstanceConfig::default()
    };
    assert!(!format!("{cfg:?}").contains("hidden"));
}
