"""Validation of a configuration document beyond the types of its fields."""

import collections.abc
import re
import typing
import urllib.parse

from mustardwood import errors
from mustardwood.configuration import document as document_module

MAX_TIER = 5
"""Number of the least urgent tier; 0 is the most urgent."""
MAX_FLOOR_SUM = 0.5
"""Maximum sum of the floors of all classes, as a share of grants."""

_KEY_HASH = re.compile(r"[0-9a-f]{64}")
_VALID_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@-]{0,127}")
_COMMON_URL = re.compile(r"https?://[A-Za-z0-9][A-Za-z0-9.-]*(:[1-9]\d{0,3})?",
                         re.ASCII)
"""Matches the common form of an endpoint's URL, which then isn't parsed."""
_Problems = collections.abc.Iterator[errors.ConfigurationError]


def list_problems(
    document: document_module.Document
) -> tuple[errors.ConfigurationError, ...]:
    """Lists the invalid values and references, without their lines."""
    checkers = (_check_names, _check_classes, _check_organisations,
                _check_models, _check_endpoints, _check_references)
    return tuple(
        problem for checker in checkers for problem in checker(document))


def _make_problem(key: str, message: str,
                  remedy: str) -> errors.ConfigurationError:
    return errors.ConfigurationError(f"{key}: {message}.", remedy, key=key)


def _check_names(document: document_module.Document) -> _Problems:
    groups: dict[str, collections.abc.Sequence[typing.Any]] = {
        "classes": document.classes,
        "organisations": document.organisations,
        "models": document.models,
        "services": document.services,
        "endpoints": document.endpoints,
    }
    for group, items in groups.items():
        seen: set[str] = set()
        for index, item in enumerate(items):
            if not _VALID_NAME.fullmatch(item.name) and group != "models":
                yield _make_problem(f"$.{group}[{index}].name",
                                    f"the name {item.name!r} is not usable",
                                    "Use letters, digits and . _ : @ - only.")
            if item.name in seen:
                yield _make_problem(f"$.{group}[{index}].name",
                                    f"the name {item.name!r} stands twice",
                                    "Give each its own name.")
            seen.add(item.name)


def _check_classes(document: document_module.Document) -> _Problems:
    if not document.classes:
        yield _make_problem("$.classes", "there is no class",
                            "Describe at least one request class.")
    for index, each in enumerate(document.classes):
        key = f"$.classes[{index}]"
        if not 0 <= each.tier <= MAX_TIER:
            yield _make_problem(f"{key}.tier",
                                f"tier {each.tier} does not exist",
                                f"Use 0, the most urgent, to {MAX_TIER}.")
        for name in ("first_token_seconds", "inter_token_seconds",
                     "max_wait_seconds", "queue_limit", "deadline_seconds",
                     "expected_output_tokens"):
            if not 0 < getattr(each, name) < float("inf"):
                yield _make_problem(f"{key}.{name}",
                                    "the value is not positive",
                                    "Give a finite number above zero.")
        if not 0 < each.objective < 1:
            yield _make_problem(f"{key}.objective",
                                f"the objective {each.objective} is no share",
                                "Give a number between 0 and 1, as in 0.95.")
        if not 0 <= each.floor <= MAX_FLOOR_SUM:
            yield _make_problem(f"{key}.floor",
                                f"the floor {each.floor} is no share",
                                f"Give a number from 0 to {MAX_FLOOR_SUM}.")
    if sum(each.floor for each in document.classes) > MAX_FLOOR_SUM:
        yield _make_problem("$.classes",
                            "the floors of all classes are too large",
                            f"Keep their sum at or under {MAX_FLOOR_SUM}.")


def _check_organisations(document: document_module.Document) -> _Problems:
    owners: dict[str, str] = {}
    for index, each in enumerate(document.organisations):
        key = f"$.organisations[{index}]"
        if not 0 < each.weight < float("inf"):
            yield _make_problem(f"{key}.weight", "the weight is not positive",
                                "Give a finite number above zero.")
        for index_of_hash, digest in enumerate(each.key_hashes):
            path = f"{key}.key_hashes[{index_of_hash}]"
            if not _KEY_HASH.fullmatch(digest):
                yield _make_problem(path, "this is no SHA-256 digest",
                                    "Make one with `mustardwood hash-key`.")
            if owners.setdefault(digest, each.name) != each.name:
                yield _make_problem(
                    path, f"organisation {owners[digest]!r} has the same key",
                    "Give each organisation keys of its own.")


def _check_models(document: document_module.Document) -> _Problems:
    services = {each.name for each in document.services}
    for index, each in enumerate(document.models):
        key = f"$.models[{index}]"
        if each.name in services:
            yield _make_problem(f"{key}.name",
                                f"{each.name!r} is also the name of a service",
                                "Give models and services different names.")
        if each.max_output_tokens <= 0:
            yield _make_problem(f"{key}.max_output_tokens",
                                "the value is not positive",
                                "Give a number above zero.")


def _check_endpoints(document: document_module.Document) -> _Problems:
    served = {each.name for each in document.models}
    served |= {each.name for each in document.services}
    for index, each in enumerate(document.endpoints):
        if each.serves not in served:
            yield _make_problem(
                f"$.endpoints[{index}].serves",
                f"no model or service is named {each.serves!r}",
                "Describe it under models or services.")
        if not _is_http_url(each.url):
            yield _make_problem(f"$.endpoints[{index}].url",
                                f"{each.url!r} is no HTTP URL",
                                "Give one as in http://192.0.2.1:8000.")
        if each.concurrency < 1:
            yield _make_problem(f"$.endpoints[{index}].concurrency",
                                "the value is not positive", "Give at least 1.")


def _check_references(document: document_module.Document) -> _Problems:
    classes = {each.name for each in document.classes}
    organisations = {each.name for each in document.organisations}
    served = {each.name for each in document.models}
    served |= {each.name for each in document.services}
    named = [("$.default_class", document.default_class)]
    named += [(f"$.services[{index}].default_class", each.default_class)
              for index, each in enumerate(document.services)]
    named += [(f"$.rules[{index}].assign", each.assign)
              for index, each in enumerate(document.rules)]
    for key, name in named:
        if name not in classes:
            yield _make_problem(key, f"no class is named {name!r}",
                                "Describe it under classes.")
    for index, each in enumerate(document.rules):
        key = f"$.rules[{index}]"
        if each.serves is not None and each.serves not in served:
            yield _make_problem(
                f"{key}.serves",
                f"no model or service is named {each.serves!r}",
                "Describe it under models or services.")
        if (each.organisation is not None and
                each.organisation not in organisations):
            yield _make_problem(
                f"{key}.organisation",
                f"no organisation is named {each.organisation!r}",
                "Describe it under organisations.")


def _is_http_url(url: str) -> bool:
    if _COMMON_URL.fullmatch(url):
        return True
    try:
        parts = urllib.parse.urlsplit(url)
        port = parts.port
    except ValueError:
        return False
    usable_port = port is None or port > 0
    return (parts.scheme in ("http", "https") and bool(parts.hostname) and
            usable_port)
