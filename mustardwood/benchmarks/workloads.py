"""Workloads of the two users for which the router is designed."""

from mustardwood import configuration
from mustardwood.benchmarks import class_mix
from mustardwood.benchmarks import engine_settings
from mustardwood.benchmarks import workload

_MODEL = "large"
_VM_COUNT = 9
_ORGANISATION_SHARES = (0.3, 0.2, 0.15, 0.1, 0.06, 0.05, 0.05, 0.04, 0.03, 0.02)


def make_tatra() -> workload.Workload:
    """Returns the workload of an asset register at the end of a month."""
    classes = (
        _make_class("signoff", 0, 0.66, tokens=120),
        _make_class("question", 1, 0.66, tokens=150),
        _make_class("check", 2, 2.0, tokens=250),
        _make_class("reconciliation", 3, 5.0, tokens=900, deadline=600.0),
        _make_class("review", 4, 10.0, tokens=600, deadline=600.0),
        _make_class("tag", 5, 2.0, tokens=12),
    )
    mixes = (
        class_mix.ClassMix("signoff", 0.08, 700, 120, prefix_count=20),
        class_mix.ClassMix("question", 0.12, 500, 150, prefix_count=30),
        class_mix.ClassMix("check", 0.15, 1500, 250, prefix_count=30),
        class_mix.ClassMix("reconciliation", 0.45, 5000, 900, prefix_count=40),
        class_mix.ClassMix("review", 0.12, 3000, 600, prefix_count=20),
        class_mix.ClassMix("tag", 0.08, 250, 12, prefix_count=5, max_tokens=64),
    )
    return _make_workload("tatra",
                          classes,
                          mixes,
                          replicas=6,
                          zone_delay=0.0015)


def make_strih() -> workload.Workload:
    """Returns the workload of a film trailer studio before a premiere."""
    classes = (
        _make_class("rating", 0, 0.66, tokens=40),
        _make_class("caption", 1, 0.66, tokens=80),
        _make_class("cutlist", 2, 4.0, tokens=1200, deadline=600.0),
        _make_class("note", 3, 3.0, tokens=200),
        _make_class("draft", 4, 8.0, tokens=700, deadline=600.0),
        _make_class("shot_tag", 5, 2.0, tokens=12),
    )
    mixes = (
        class_mix.ClassMix("rating", 0.05, 400, 40, prefix_count=10),
        class_mix.ClassMix("caption", 0.12, 600, 80, prefix_count=40),
        class_mix.ClassMix("cutlist", 0.5, 8000, 1200, prefix_count=60),
        class_mix.ClassMix("note", 0.1, 1000, 200, prefix_count=20),
        class_mix.ClassMix("draft", 0.15, 3000, 700, prefix_count=30),
        class_mix.ClassMix("shot_tag",
                           0.08,
                           300,
                           12,
                           prefix_count=5,
                           max_tokens=64),
    )
    return _make_workload("strih",
                          classes,
                          mixes,
                          replicas=9,
                          zone_delay=0.0005)


def _make_class(name: str,
                tier: int,
                first_token: float,
                tokens: int,
                deadline: float = 120.0) -> configuration.RequestClass:
    return configuration.RequestClass(name=name,
                                      tier=tier,
                                      first_token_seconds=first_token,
                                      expected_output_tokens=tokens,
                                      deadline_seconds=deadline,
                                      max_wait_seconds=60.0,
                                      queue_limit=200)


def _make_workload(name: str, classes: tuple[configuration.RequestClass, ...],
                   mixes: tuple[class_mix.ClassMix, ...], replicas: int,
                   zone_delay: float) -> workload.Workload:
    organisations = {
        f"org-{index}": share
        for index, share in enumerate(_ORGANISATION_SHARES)
    }
    zones = ("a", "b", "c")
    document = configuration.Document(
        classes=classes,
        default_class=classes[0].name,
        organisations=tuple(
            configuration.Organisation(each) for each in organisations),
        models=(configuration.Model(_MODEL),),
        endpoints=tuple(
            configuration.Endpoint(name=f"{name}-{index}",
                                   serves=_MODEL,
                                   url=f"http://127.0.0.1:{9000 + index}",
                                   zone=zones[index % len(zones)],
                                   region="r",
                                   concurrency=24)
            for index in range(replicas)))
    vms = {f"vm-{index}": zones[index % 3] for index in range(_VM_COUNT)}
    return workload.Workload(name=name,
                             document=document,
                             mixes=mixes,
                             organisation_weights=organisations,
                             vms=vms,
                             zone_delay=zone_delay,
                             caller_delay=0.001,
                             engine=engine_settings.EngineSettings())
