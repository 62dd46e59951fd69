"""The requests of the demo."""

from mustardwood.demo import demo_request

_TATRA = "demo-tatra"
_STRIH = "demo-strih"
_LEDGER = "ledger-7b"
_SCENE = "scene-13b"


def make_workload() -> tuple[demo_request.DemoRequest, ...]:
    """Returns a mixed load, long work first."""
    return (*_make_long_work(), *_make_short_work(), *_make_tags(),
            _make_posting())


def _make_long_work() -> list[demo_request.DemoRequest]:
    reconciliations = [
        demo_request.DemoRequest("reconciliation", True, _TATRA, _LEDGER,
                                 f"Reconcile depreciation schedule {number}.")
        for number in range(4)
    ]
    cut_lists = [
        demo_request.DemoRequest("cut-list", False, _STRIH, _SCENE,
                                 f"Draft a cut list from scene log {number}.")
        for number in range(4)
    ]
    batches = [
        demo_request.DemoRequest("batch",
                                 True,
                                 _STRIH,
                                 _SCENE,
                                 f"Summarise reel {number}.",
                                 max_tokens=100,
                                 is_streamed=False) for number in range(2)
    ]
    return [*reconciliations, *cut_lists, *batches]


def _make_short_work() -> list[demo_request.DemoRequest]:
    questions = [
        demo_request.DemoRequest("question",
                                 False,
                                 _TATRA,
                                 _LEDGER,
                                 f"Which asset class has item {number}?",
                                 max_tokens=40,
                                 is_chat=number % 2 == 0) for number in range(6)
    ]
    captions = [
        demo_request.DemoRequest("caption",
                                 False,
                                 _STRIH,
                                 _SCENE,
                                 f"Caption for trailer {number}, please.",
                                 max_tokens=30,
                                 is_streamed=number % 2 == 0)
        for number in range(4)
    ]
    return [*questions, *captions]


def _make_tags() -> list[demo_request.DemoRequest]:
    return [
        demo_request.DemoRequest("tag",
                                 False,
                                 _TATRA,
                                 _LEDGER,
                                 f"Tag invoice line {number}.",
                                 max_tokens=12,
                                 is_chat=False,
                                 is_streamed=number % 3 != 0)
        for number in range(8)
    ]


def _make_posting() -> demo_request.DemoRequest:
    return demo_request.DemoRequest("posting",
                                    False,
                                    _TATRA,
                                    "register",
                                    '{"disposal": "asset 17"}',
                                    is_streamed=False,
                                    idempotency_key="disposal-17")
