//! Short fault soak of real balancers; the `soak` example runs longer ones.

use std::{
    path::PathBuf,
    time::Duration, //
};

use mulberrynotch_platform_standin::soak;

/// Guards against violated invariants under overlapping faults: flows that are reset or misdirected,
/// new flows on removed targets, processes that exit or hang, and a site that does not recover.
#[test]
fn invariants_hold_under_overlapping_faults() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    // Seed 12: a balancer kept its configuration after the store had returned from a copy.
    for seed in [1, 10, 12] {
        println!("seed {seed}");
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
        std::fs::create_dir_all(&directory).unwrap();
        let plan = soak::Plan {
            seed,
            length: Duration::from_secs(6),
            balancers: 2,
            targets: 3,
            program: PathBuf::from(env!("CARGO_BIN_EXE_mulberrynotch")),
            directory,
            block: 19,
        };
        let report = runtime.block_on(soak::run(plan)).unwrap();
        println!("{}\n{:?}", report.summary(), report.faults);
        assert!(report.violations.is_empty(), "{}", report.summary());
    }
}
