"""Authentication of callers and classification of requests."""

import hashlib

from mustardwood import configuration
from mustardwood import errors

MAX_IDEMPOTENCY_KEY_LENGTH = 255
"""Maximum length of an idempotency key, in characters."""

_BEARER_PREFIX = "bearer "


class Classifier:
    """Looks up organisations, models, services and request classes.

    Attributes:
        document: The configuration.
        classes: Request classes by name.
        models: Models by name.
        services: Services by name.
    """

    def __init__(self, document: configuration.Document) -> None:
        self.document = document
        self.classes = {each.name: each for each in document.classes}
        self.models = {each.name: each for each in document.models}
        self.services = {each.name: each for each in document.services}
        self._organisations = {
            digest.lower(): each.name for each in document.organisations
            for digest in each.key_hashes
        }

    def find_organisation(self, authorization: str | None) -> str:
        """Returns the organisation whose key an ``Authorization`` header holds.

        Raises:
            RequestError: The key is missing or unknown.
        """
        header = authorization or ""
        if header[:len(_BEARER_PREFIX)].lower() != _BEARER_PREFIX:
            raise errors.RequestError(
                errors.RequestCode.UNKNOWN_KEY, "no API key was sent.",
                "Send the header 'Authorization: Bearer KEY'.")
        key = header[len(_BEARER_PREFIX):].strip()
        digest = hashlib.sha256(key.encode("utf-8", "replace")).hexdigest()
        name = self._organisations.get(digest)
        if name is None:
            raise errors.RequestError(
                errors.RequestCode.UNKNOWN_KEY, "the API key is unknown.",
                "Use a key that the operators have configured.")
        return name

    def find_model(self, name: str) -> configuration.Model:
        """Returns a model by name.

        Raises:
            RequestError: The model is unknown.
        """
        if name not in self.models:
            raise errors.RequestError(
                errors.RequestCode.UNKNOWN_MODEL,
                f"the model '{name[:100]}' is unknown.",
                "Ask GET /v1/models for the models of this router.")
        return self.models[name]

    def find_service(self, name: str) -> configuration.Service:
        """Returns a service by name.

        Raises:
            RequestError: The service is unknown.
        """
        if name not in self.services:
            raise errors.RequestError(
                errors.RequestCode.UNKNOWN_SERVICE,
                f"the service '{name[:100]}' is unknown.",
                "Use a service that the operators have configured.")
        return self.services[name]

    def find_class(self,
                   header: str | None,
                   default: str,
                   *,
                   model_or_service: str,
                   organisation: str,
                   path: str = "",
                   max_tokens: int | None = None) -> configuration.RequestClass:
        """Returns the class of a request.

        The class named by the header comes first, then that of the first
        matching rule, then the default.

        Args:
            header: Class named by the caller; None without the header.
            default: Name of the default class.
            model_or_service: Name of the requested model or service.
            organisation: Name of the caller's organisation.
            path: Path of a service call.
            max_tokens: Maximum length of the completion as requested; None if
                the request has none.

        Raises:
            RequestError: The header names an unknown class.
        """
        if header is not None:
            return self._find_class_by_name(header.strip())
        for rule in self.document.rules:
            if _matches_rule(rule, model_or_service, organisation, path,
                             max_tokens):
                return self._find_class_by_name(rule.assign)
        return self._find_class_by_name(default)

    def _find_class_by_name(self, name: str) -> configuration.RequestClass:
        if name not in self.classes:
            known = ", ".join(sorted(self.classes))
            raise errors.RequestError(errors.RequestCode.UNKNOWN_CLASS,
                                      f"the class '{name[:100]}' is unknown.",
                                      f"Use one of: {known}.")
        return self.classes[name]


def check_idempotency_key(key: str) -> str:
    """Returns an ``Idempotency-Key`` after checking it.

    Raises:
        RequestError: The key is empty, too long or not printable ASCII.

    Examples:
        >>> check_idempotency_key("disposal-17")
        'disposal-17'
    """
    printable = key.isascii() and key.isprintable()
    if not key or len(key) > MAX_IDEMPOTENCY_KEY_LENGTH or not printable:
        raise errors.RequestError(
            errors.RequestCode.BAD_IDEMPOTENCY_KEY,
            "the idempotency key is not usable.",
            f"Send 1 to {MAX_IDEMPOTENCY_KEY_LENGTH} printable ASCII "
            "characters.")
    return key


def _matches_rule(rule: configuration.ClassRule, model_or_service: str,
                  organisation: str, path: str, max_tokens: int | None) -> bool:
    if rule.serves not in (None, model_or_service):
        return False
    if rule.organisation not in (None, organisation):
        return False
    if rule.path_prefix is not None and not path.startswith(rule.path_prefix):
        return False
    limit = rule.max_tokens_at_most
    return limit is None or (max_tokens is not None and max_tokens <= limit)
