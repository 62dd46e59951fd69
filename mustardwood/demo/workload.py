"""The requests that the demo sends."""

from mustardwood.demo import demo_request

_TATRA_API_KEY = "demo-tatra"
_STRIH_API_KEY = "demo-strih"
_LEDGER_MODEL = "ledger-7b"
_SCENE_MODEL = "scene-13b"


def make_workload() -> tuple[demo_request.DemoRequest, ...]:
    """Returns a mixed load, with the long requests first.

    The short requests then arrive while the long ones are running.
    """
    return (*_make_long_requests(), *_make_short_requests(),
            *_make_tag_requests(), _make_service_call())


def _make_long_requests() -> list[demo_request.DemoRequest]:
    reconciliations = [
        demo_request.DemoRequest("reconciliation", True, _TATRA_API_KEY,
                                 _LEDGER_MODEL,
                                 f"Reconcile depreciation schedule {number}.")
        for number in range(4)
    ]
    cut_lists = [
        demo_request.DemoRequest("cut-list", False, _STRIH_API_KEY,
                                 _SCENE_MODEL,
                                 f"Draft a cut list from scene log {number}.")
        for number in range(4)
    ]
    batches = [
        demo_request.DemoRequest("batch",
                                 True,
                                 _STRIH_API_KEY,
                                 _SCENE_MODEL,
                                 f"Summarise reel {number}.",
                                 max_tokens=100,
                                 is_streamed=False) for number in range(2)
    ]
    return [*reconciliations, *cut_lists, *batches]


def _make_short_requests() -> list[demo_request.DemoRequest]:
    questions = [
        demo_request.DemoRequest("question",
                                 False,
                                 _TATRA_API_KEY,
                                 _LEDGER_MODEL,
                                 f"Which asset class has item {number}?",
                                 max_tokens=40,
                                 is_chat=number % 2 == 0) for number in range(6)
    ]
    captions = [
        demo_request.DemoRequest("caption",
                                 False,
                                 _STRIH_API_KEY,
                                 _SCENE_MODEL,
                                 f"Caption for trailer {number}, please.",
                                 max_tokens=30,
                                 is_streamed=number % 2 == 0)
        for number in range(4)
    ]
    return [*questions, *captions]


def _make_tag_requests() -> list[demo_request.DemoRequest]:
    return [
        demo_request.DemoRequest("tag",
                                 False,
                                 _TATRA_API_KEY,
                                 _LEDGER_MODEL,
                                 f"Tag invoice line {number}.",
                                 max_tokens=12,
                                 is_chat=False,
                                 is_streamed=number % 3 != 0)
        for number in range(8)
    ]


def _make_service_call() -> demo_request.DemoRequest:
    return demo_request.DemoRequest("posting",
                                    False,
                                    _TATRA_API_KEY,
                                    "register",
                                    '{"disposal": "asset 17"}',
                                    is_streamed=False,
                                    idempotency_key="disposal-17")
