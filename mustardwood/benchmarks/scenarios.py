"""Scenarios of the policy benchmark."""

from mustardwood.benchmarks import scenario

SCENARIOS = (
    scenario.Scenario("steady 0.7"),
    scenario.Scenario("burst of all to 2x", burst_factor=2.0),
    scenario.Scenario("burst of all to 3x", burst_factor=3.0),
    scenario.Scenario("burst of long work to 2x",
                      burst_factor=2.0,
                      burst_class="{long}"),
    scenario.Scenario("burst of short work to 2x",
                      burst_factor=2.0,
                      burst_class="{short}"),
    scenario.Scenario("close of month",
                      utilisation=0.9,
                      burst_factor=1.6,
                      duration=300.0,
                      burst_start=60.0,
                      burst_end=240.0),
    scenario.Scenario("straggler at a third", straggler_factor=3.0),
    scenario.Scenario("crashes", crash_count=4),
    scenario.Scenario("load reports 5 s old", load_lag=5.0, burst_factor=1.2),
    scenario.Scenario("owner killed", owner_lost=True),
    scenario.Scenario("zone lost", utilisation=0.5, zone_lost=True),
    scenario.Scenario("lengths four times the estimate",
                      utilisation=0.2,
                      length_factor=4.0),
)
"""All scenarios.

``{long}`` and ``{short}`` are placeholders for a request class of the workload
with long and short work.
"""
