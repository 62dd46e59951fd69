"""Tests of streams that a second endpoint takes over from a silent one."""

from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms
_STALL_TIMEOUT = ms(1200)


class _OrderedClient(harness_module.FakeClient):
    """Records which attempts are open when a request is written."""

    def __init__(self):
        super().__init__()
        self.open_at_write = []

    def send(self, *arguments, **options):
        """Records an attempt and the number of those that are open."""
        attempt = super().send(*arguments, **options)
        self.open_at_write.append(
            sum(not each.is_aborted for each in self.sent[:-1]))
        return attempt


def _start_silent_stream(harness):
    _, caller = harness.start(harness_module.make_stream_request(harness))
    first = harness.client.sent[0]
    first.begin()
    first.listener.receive_data(b"id: 1\ndata: a\n\n")
    return first, caller


def test_stream_does_not_run_twice_while_its_vm_stands_still():
    """No timer runs after the second endpoint has got the request."""
    harness = harness_module.Harness()
    first, _ = _start_silent_stream(harness)
    harness.scheduler.advance(_STALL_TIMEOUT)
    assert len(harness.client.sent) == 2
    assert first.is_aborted
