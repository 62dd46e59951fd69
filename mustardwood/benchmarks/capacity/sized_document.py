"""Configuration documents of a given size, for benchmarks."""

import hashlib

from mustardwood import configuration

ORGANISATIONS = 220
"""Number of organisations in a fleet of the target size."""

MODELS = 26
"""Number of models in a fleet of the target size."""

ENDPOINTS = 1800
"""Number of endpoints in a fleet of the target size."""

_TIERS = 6
_REGIONS = 4
_ZONES = 9
_EXPECTED_TOKENS = 330


def make_document(endpoints: int = ENDPOINTS,
                  organisations: int = ORGANISATIONS,
                  models: int = MODELS) -> configuration.Document:
    """Returns a document with 6 request classes, one for each tier.

    Args:
        endpoints: Number of endpoints, spread over the models and zones.
        organisations: Number of organisations, with two API keys each.
        models: Number of models.
    """
    classes = tuple(
        configuration.RequestClass(f"class-{tier}",
                                   tier,
                                   0.66 * (tier + 1),
                                   queue_limit=10_000,
                                   expected_output_tokens=_EXPECTED_TOKENS)
        for tier in range(_TIERS))
    return configuration.Document(
        classes=classes,
        default_class=classes[0].name,
        organisations=tuple(
            configuration.Organisation(
                f"organisation-{number}",
                tuple(_hash_key(f"{number}-{key}")
                      for key in range(2)))
            for number in range(organisations)),
        models=tuple(
            configuration.Model(f"model-{number}") for number in range(models)),
        endpoints=tuple(
            _make_endpoint(number, models) for number in range(endpoints)))


def _hash_key(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def _make_endpoint(number: int, models: int) -> configuration.Endpoint:
    ip = f"10.{number // 60_000}.{number // 250 % 240}.{number % 250 + 1}"
    return configuration.Endpoint(f"endpoint-{number}",
                                  f"model-{number % models}",
                                  f"http://{ip}:8000",
                                  f"zone-{number // models % _ZONES}",
                                  f"region-{number // models % _REGIONS}")
