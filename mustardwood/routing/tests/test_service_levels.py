"""The counters of service levels."""

from mustardwood import reports
from mustardwood import routing
from mustardwood.routing.tests import world as world_module


def list_rows(world):
    return world.router.recorder.make_record("vm1", None).rows


def test_whole_answer_counts_as_met_within_its_targets():
    world = world_module.World()
    world.ask()
    world.grant()
    world.head()
    world.token("a")
    world.finish("b")
    record = world.router.recorder.make_record("vm1", None)
    (row,), (endpoint_row,) = record.rows, record.endpoint_rows
    assert (row.class_name, row.organisation) == ("tag", "tatra")
    assert endpoint_row.endpoint == "e1"
    for each in (row, endpoint_row):
        assert (each.asked, each.whole, each.met) == (1, 1, 1)
        assert each.useful_tokens == 2
    assert [each.class_name for each in record.histograms] == ["tag"]


def test_late_first_token_is_not_met():
    world = world_module.World()
    world.ask()
    world.wait(0.7)
    world.grant()
    world.head()
    world.finish("b")
    row = list_rows(world)[0]
    assert (row.whole, row.met) == (1, 0)


def test_resumed_answer_counts_all_of_its_tokens():
    world = world_module.World()
    world.ask()
    world.grant()
    world.head()
    world.token("a")
    world.end(routing.AttemptEnd.LOST)
    world.retry()
    world.head()
    world.finish("b")
    assert sum(each.useful_tokens for each in list_rows(world)) == 2


def test_cancelled_work_is_wasted():
    world = world_module.World()
    world.ask()
    world.grant()
    world.head()
    world.token("a")
    world.run(world.router.handle_caller_disconnect("r1"))
    assert list_rows(world)[0].wasted_tokens == {"cancelled": 1}


def test_caller_that_leaves_after_its_target_is_a_miss():
    for waited, asked in ((0.5, 0), (0.7, 1)):
        world = world_module.World()
        world.ask()
        world.grant()
        world.wait(waited)
        world.run(world.router.handle_caller_disconnect("r1"))
        rows = list_rows(world)
        assert sum(each.asked for each in rows) == asked
        assert sum(each.met for each in rows) == 0


def test_first_token_of_a_discarded_attempt_does_not_count():
    world = world_module.World()
    world.ask(stream=False)
    world.grant()
    world.head()
    world.token("a")
    world.wait(0.7)
    world.end(routing.AttemptEnd.LOST)
    world.retry()
    world.head(status=409)
    world.body(b"{}")
    world.end(routing.AttemptEnd.COMPLETE)
    world.retry(endpoint="e3")
    world.head()
    world.finish("b")
    rows = list_rows(world)
    assert sum(each.whole for each in rows) == 1
    assert sum(each.met for each in rows) == 0
    assert sum(each.wasted_tokens.get("retried", 0) for each in rows) == 1


def test_tokens_that_a_resume_generates_again_are_wasted():
    world = world_module.World()
    world.ask()
    world.grant()
    world.head()
    world.token("a")
    world.token("b", reason="stop")
    world.end(routing.AttemptEnd.LOST)
    world.retry()
    world.head()
    world.finish("b")
    rows = list_rows(world)
    assert sum(each.useful_tokens for each in rows) == 2
    assert sum(each.wasted_tokens.get("resumed", 0) for each in rows) == 1


def test_record_holds_only_the_minutes_asked_for():
    world = world_module.World()
    recorder = world.router.recorder
    for minute in range(100, 200):
        recorder.add(reports.LevelRow(minute, "tag", "tatra", "e1", asked=1))
    kept = recorder.make_record("vm1", None)
    assert [each.minute for each in kept.rows] == list(range(140, 200))
    few = recorder.make_record("vm1", reports.MinuteRange(150, 152))
    assert [each.minute for each in few.rows] == [150, 151, 152]
    assert [each.minute for each in few.endpoint_rows] == [150, 151, 152]


def test_engine_error_is_no_whole_answer():
    world = world_module.World()
    world.ask()
    world.grant()
    world.head(status=400)
    world.body(b"{}")
    world.end(routing.AttemptEnd.COMPLETE)
    assert world.answers["r1"].status == 400
    row = list_rows(world)[0]
    assert (row.whole, row.refused) == (0, {"endpoint_refused": 1})


def test_requests_are_explained():
    world = world_module.World()
    world.ask()
    world.grant()
    texts = [each["text"] for each in world.router.explanations.find("r1")]
    assert texts[0] == "class tag, tier 0, organisation tatra, m"
    assert texts[1].startswith("ask 1: cell m/r/0, owner vm")
    assert texts[2].startswith("grant 1: endpoint e1")
