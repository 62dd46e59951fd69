"""Cost of handling a configuration by its number of endpoints."""

import collections.abc
import zlib

import msgspec

from mustardwood import cells
from mustardwood import configuration
from mustardwood.benchmarks.capacity import sized_document
from mustardwood.benchmarks.capacity import slope
from mustardwood.benchmarks.capacity import stopwatch
from mustardwood.routing import classifier

_SIZES = (60, 600, 1800)
_REPETITIONS = 5
_Texts = collections.abc.Mapping[float, str]


def measure() -> list[slope.Slope]:
    """Returns document sizes and processing times by number of endpoints."""
    documents = {
        float(size): sized_document.make_document(size) for size in _SIZES
    }
    texts = {
        size: configuration.dump_document(each)
        for size, each in documents.items()
    }
    rows = [
        ("text", "bytes", _measure_each(texts,
                                        lambda text: [float(len(text))])),
        ("compressed", "bytes",
         _measure_each(texts, lambda text: [float(len(_compress(text)))])),
        ("agent: read and check, one block", "ms",
         _measure_times(texts, configuration.load_document)),
        ("agent: compress, one block", "ms", _measure_times(texts, _compress)),
        ("entry: read and index, one block", "ms",
         _measure_times(texts, _build_entry_index)),
        ("scheduler: read and build cells, one block", "ms",
         _measure_times(texts, _build_cells)),
    ]
    return [
        slope.fit_slope(f"configuration, {name}", unit, "endpoints", samples)
        for name, unit, samples in rows
    ]


def _compress(text: str) -> bytes:
    return zlib.compress(text.encode())


def _build_entry_index(text: str) -> None:
    document = _decode(text)
    classifier.Classifier(document)
    cells.build_cells(document)


def _build_cells(text: str) -> None:
    cells.build_cells(_decode(text))


def _decode(text: str) -> configuration.Document:
    return msgspec.json.decode(text, type=configuration.Document)


def _measure_each(
    texts: _Texts, measure_one: collections.abc.Callable[[str], list[float]]
) -> dict[float, list[float]]:
    return {size: measure_one(text) for size, text in texts.items()}


def _measure_times(
        texts: _Texts,
        work: collections.abc.Callable[[str],
                                       object]) -> dict[float, list[float]]:

    def measure_one(text: str) -> list[float]:
        return stopwatch.measure_repeatedly(lambda: work(text), _REPETITIONS,
                                            1e3)

    return _measure_each(texts, measure_one)
