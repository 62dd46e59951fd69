"""The operators' HTTP that every process serves."""

import collections.abc
import hashlib
import hmac
import http
import json

import prometheus_client
from twisted.web import server

from mustardwood import settings as settings_module

_BEARER = "Bearer "


class OperatorsSite:
    """Health, readiness and metrics.

    ``/healthz`` and ``/readyz`` are open; everything else needs the operators'
    token when the settings name one. A process adds its own routes to `app`
    and calls `check_token` first in each.
    """

    def __init__(self, settings: settings_module.Settings,
                 registry: prometheus_client.CollectorRegistry,
                 is_ready: collections.abc.Callable[[], bool]) -> None:
        # Importing klein installs a reactor, which the launcher must choose.
        import klein
        self.app = klein.Klein()
        self._token_hash = settings.operators_token_hash
        self._registry = registry
        self._is_ready = is_ready
        self.app.route("/healthz")(self._show_health)
        self.app.route("/readyz")(self._show_readiness)
        self.app.route("/metrics")(self._show_metrics)

    def check_token(self, request: server.Request) -> bool:
        """Returns whether the token is right; else sets status 401."""
        if not self._token_hash:
            return True
        header = request.getHeader("authorization") or ""
        token = header.removeprefix(_BEARER)
        digest = hashlib.sha256(token.encode()).hexdigest()
        if hmac.compare_digest(digest, self._token_hash):
            return True
        request.setResponseCode(http.HTTPStatus.UNAUTHORIZED)
        request.setHeader("www-authenticate", "Bearer")
        return False

    def _show_health(self, request: server.Request) -> bytes:
        request.setHeader("content-type", "application/json")
        return json.dumps({"healthy": True}).encode()

    def _show_readiness(self, request: server.Request) -> bytes:
        ready = self._is_ready()
        request.setHeader("content-type", "application/json")
        if not ready:
            request.setResponseCode(http.HTTPStatus.SERVICE_UNAVAILABLE)
        return json.dumps({"ready": ready}).encode()

    def _show_metrics(self, request: server.Request) -> bytes:
        if not self.check_token(request):
            return b""
        request.setHeader("content-type", prometheus_client.CONTENT_TYPE_LATEST)
        return prometheus_client.generate_latest(self._registry)
