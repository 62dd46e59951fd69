"""Program that allocates objects of one kind and prints their memory use."""

import gc
import os
import sys
import typing

import pynng

from mustardwood import cells
from mustardwood import configuration
from mustardwood.benchmarks.path import process_usage
from mustardwood.routing import classifier

ADDRESS = "tcp://127.94.0.1:7801"
"""Address at which the starting process listens for connections."""

_SEND_BUFFER_MESSAGES = 64


def main() -> None:
    """Prints the growth of the resident memory in bytes.

    The configuration is read from standard input, so that the memory for
    generating it is not counted.
    """
    kind, size = sys.argv[1], int(sys.argv[2])
    text = sys.stdin.read()
    gc.collect()
    before = process_usage.read_rss_bytes(os.getpid())
    objects = _build_objects(kind, size, text)
    gc.collect()
    print(process_usage.read_rss_bytes(os.getpid()) - before, flush=True)
    del objects


def _build_objects(kind: str, size: int, text: str) -> typing.Any:
    if kind == "peers":
        return [_connect() for _ in range(size)]
    document = configuration.load_document(text)
    return document, classifier.Classifier(document), cells.build_cells(
        document)


def _connect() -> pynng.Push0:
    push = pynng.Push0(send_buffer_size=_SEND_BUFFER_MESSAGES)
    push.dial(ADDRESS, block=True)
    push.send(b"hello")
    return push


if __name__ == "__main__":
    main()
