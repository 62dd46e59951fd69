"""Configuration of the benchmark's fleet."""

import hashlib

from mustardwood import configuration
from mustardwood.benchmarks.path import stream_call

MODEL = "path-7b"
"""Name of the only model."""


def make_document(engine_urls: list[str]) -> configuration.Document:
    """Returns a configuration with one request class, organisation and model.

    Args:
        engine_urls: Base URLs of the engines.
    """
    zone, region = "zone-a", "region-a"
    digest = hashlib.sha256(stream_call.API_KEY.encode()).hexdigest()
    return configuration.Document(
        classes=(configuration.RequestClass("question",
                                            0,
                                            0.66,
                                            queue_limit=1024),),
        default_class="question",
        organisations=(configuration.Organisation("caller", (digest,)),),
        models=(configuration.Model(MODEL),),
        endpoints=tuple(
            configuration.Endpoint(
                f"engine-{number}", MODEL, url, zone, region, concurrency=16)
            for number, url in enumerate(engine_urls, 1)))
