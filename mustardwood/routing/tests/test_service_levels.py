"""The counters of service levels."""

from mustardwood import routing
from mustardwood.routing.tests import world as world_module


def list_buckets(world):
    return world.router.recorder.list_buckets()


def test_whole_answer_counts_as_met_within_its_targets():
    world = world_module.World()
    world.ask()
    world.grant()
    world.head()
    world.token("a")
    world.finish("b")
    (key, bucket), = list_buckets(world)
    assert (key.class_name, key.organisation, key.endpoint) == ("tag", "tatra",
                                                                "e1")
    assert (bucket.asked, bucket.whole, bucket.met) == (1, 1, 1)
    assert bucket.tokens_useful == 2


def test_late_first_token_is_not_met():
    world = world_module.World()
    world.ask()
    world.wait(0.7)
    world.grant()
    world.head()
    world.finish("b")
    bucket = list_buckets(world)[0][1]
    assert (bucket.whole, bucket.met) == (1, 0)


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
    assert sum(each.tokens_useful for _, each in list_buckets(world)) == 2


def test_cancelled_work_is_wasted():
    world = world_module.World()
    world.ask()
    world.grant()
    world.head()
    world.token("a")
    world.run(world.router.drop_caller("r1"))
    assert list_buckets(world)[0][1].tokens_wasted == {"cancelled": 1}


def test_engine_error_is_no_whole_answer():
    world = world_module.World()
    world.ask()
    world.grant()
    world.head(status=400)
    world.body(b"{}")
    world.end(routing.AttemptEnd.COMPLETE)
    assert world.answers["r1"].status == 400
    bucket = list_buckets(world)[0][1]
    assert (bucket.whole, dict(bucket.refused)) == (0, {"endpoint_refused": 1})


def test_requests_are_explained():
    world = world_module.World()
    world.ask()
    world.grant()
    texts = [each["text"] for each in world.router.explanations.find("r1")]
    assert texts[0] == "class tag, tier 0, organisation tatra, m"
    assert texts[1].startswith("ask 1: cell m/r/0, owner vm")
    assert texts[2].startswith("grant 1: endpoint e1")
