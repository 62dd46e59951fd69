"""Benchmark of hedged requests, with the real code of `dispatch`.

One endpoint is slow or stalls while others are free. The tables show the tail
of the times to the first byte without and with hedged requests, and the extra
time of the endpoints.
"""
