"""The HTTP interface for operators, which every process serves."""

import collections.abc
import hashlib
import hmac
import http
import json

import prometheus_client
from twisted.web import server

from mustardwood import settings as settings_module

_BEARER_PREFIX = "Bearer "


class OperatorsSite:
    """Serves health, readiness and metrics to operators.

    ``/healthz`` and ``/readyz`` need no token. All other paths need the
    operators' token if the settings contain its digest. A process adds its own
    routes to `app`, and each of them must call `check_token` first.
    """

    def __init__(self, settings: settings_module.Settings,
                 registry: prometheus_client.CollectorRegistry,
                 is_ready: collections.abc.Callable[[], bool]) -> None:
        # Importing klein installs the default reactor, so it must not happen
        # before the launcher has installed another one.
        import klein
        self.app = klein.Klein()
        self._token_hash = settings.operators_token_hash
        self._registry = registry
        self._is_ready = is_ready
        self.app.route("/healthz")(self._show_health)
        self.app.route("/readyz")(self._show_readiness)
        self.app.route("/metrics")(self._show_metrics)

    def check_token(self, request: server.Request) -> bool:
        """Returns whether a request may be served.

        If its token is invalid, the status of the response is set to 401.
        """
        if not self._token_hash:
            return True
        header = request.getHeader("authorization") or ""
        token = header.removeprefix(_BEARER_PREFIX)
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
