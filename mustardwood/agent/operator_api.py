"""The agent's HTTP interface for operators."""

import collections.abc
import http
import typing

import msgspec
from twisted.web import server

from mustardwood import configuration
from mustardwood import errors
from mustardwood import messages
from mustardwood import runtime
from mustardwood.agent import applier as applier_module
from mustardwood.agent import apply_request
from mustardwood.agent import burn_reporter
from mustardwood.agent import configuration_synchronizer
from mustardwood.agent import document_codec
from mustardwood.agent import fleet_query
from mustardwood.agent import response_bodies

_RETRY_AFTER_SECONDS = "2"


class OperatorApi:
    """Serves status, explanations, convergence, burn and the configuration.

    Args:
        site: Site on which the paths are registered.
        synchronizer: Holds the configuration in force on this VM.
        applier: Applies documents.
        fleet_querier: Queries the agents of the fleet.
        reporter: Computes the burn report.
        list_members: Returns the known VMs.
        list_leaving: Returns the names of the endpoints that are leaving.
    """

    def __init__(
            self, site: runtime.OperatorsSite,
            synchronizer: configuration_synchronizer.ConfigurationSynchronizer,
            applier: applier_module.Applier,
            fleet_querier: fleet_query.FleetQuerier,
            reporter: burn_reporter.BurnReporter,
            list_members: collections.abc.Callable[[], tuple[messages.Member,
                                                             ...]],
            list_leaving: collections.abc.Callable[[], tuple[str,
                                                             ...]]) -> None:
        self._site = site
        self._synchronizer = synchronizer
        self._applier = applier
        self._fleet_querier = fleet_querier
        self._reporter = reporter
        self._list_members = list_members
        self._list_leaving = list_leaving
        route = site.app.route
        route("/v1/status", methods=["GET"])(self.show_status)
        route("/v1/explain/<request_id>", methods=["GET"])(self.explain)
        route("/v1/convergence", methods=["GET"])(self.show_convergence)
        route("/v1/burn", methods=["GET"])(self.show_burn)
        route("/v1/configuration", methods=["GET"])(self.show_configuration)
        route("/v1/configuration", methods=["PUT"])(self.apply)

    def make_site(self) -> server.Site:
        """Returns the site for an HTTP listener."""
        return server.Site(self._site.app.resource())

    async def show_status(self, request: server.Request) -> bytes:
        """Handles ``GET /v1/status``."""
        if not self._site.check_token(request):
            return b""
        fleet_report = await self._fleet_querier.query_fleet(
            messages.QueryKind.STATUS, "")
        body = response_bodies.build_status(fleet_report, self._list_members(),
                                            self._synchronizer.document,
                                            self._synchronizer.version,
                                            self._list_leaving())
        return _respond(request, http.HTTPStatus.OK, body)

    async def explain(self, request: server.Request, request_id: str) -> bytes:
        """Handles ``GET /v1/explain/{request_id}``."""
        if not self._site.check_token(request):
            return b""
        fleet_report = await self._fleet_querier.query_fleet(
            messages.QueryKind.EXPLAIN, request_id)
        body = response_bodies.build_explanation(request_id, fleet_report)
        return _respond(request, http.HTTPStatus.OK, body)

    async def show_convergence(self, request: server.Request) -> bytes:
        """Handles ``GET /v1/convergence?version=N``."""
        if not self._site.check_token(request):
            return b""
        values = request.args.get(b"version", [b""])
        if not values[0].isdigit():
            return _respond_with_error(request, http.HTTPStatus.BAD_REQUEST,
                                       "bad_version", "Give ?version=N.")
        fleet_report = await self._fleet_querier.query_fleet(
            messages.QueryKind.STATUS, "")
        body = response_bodies.build_convergence(int(values[0]), fleet_report)
        return _respond(request, http.HTTPStatus.OK, body)

    async def show_burn(self, request: server.Request) -> bytes:
        """Handles ``GET /v1/burn``."""
        if not self._site.check_token(request):
            return b""
        document = self._synchronizer.document
        if document is None:
            return _respond_with_error(request, http.HTTPStatus.NOT_FOUND,
                                       "no_configuration",
                                       "Apply a document first.")
        report = await self._reporter.make_report(document)
        return _respond(request, http.HTTPStatus.OK, report)

    def show_configuration(self, request: server.Request) -> bytes:
        """Handles ``GET /v1/configuration``."""
        if not self._site.check_token(request):
            return b""
        versioned = self._synchronizer.in_force
        if versioned is None:
            return _respond_with_error(request, http.HTTPStatus.NOT_FOUND,
                                       "no_configuration",
                                       "Apply a document first.")
        return _respond(request, http.HTTPStatus.OK, versioned)

    async def apply(self, request: server.Request) -> bytes:
        """Handles ``PUT /v1/configuration``."""
        if not self._site.check_token(request):
            return b""
        content: typing.Any = request.content
        data = content.read(2 * document_codec.MAX_TEXT_BYTES)
        try:
            apply_call = msgspec.json.decode(data,
                                             type=apply_request.ApplyRequest)
            result = await self._applier.apply(apply_call)
        except msgspec.MsgspecError as error:
            return _respond_with_error(request, http.HTTPStatus.BAD_REQUEST,
                                       "malformed_body", str(error))
        except errors.ConfigurationError as error:
            return _respond(
                request, http.HTTPStatus.BAD_REQUEST, {
                    "code": error.code,
                    "message": str(error),
                    "line": error.line,
                    "key": error.key
                })
        return _respond_with_result(request, result)


def _respond_with_result(request: server.Request,
                         result: apply_request.ApplyResult) -> bytes:
    if isinstance(result, apply_request.Applied):
        return _respond(request, http.HTTPStatus.OK,
                        {"version": result.version})
    if isinstance(result, apply_request.Conflict):
        return _respond(request, http.HTTPStatus.CONFLICT,
                        _describe_winner(result.winner))
    request.setHeader("retry-after", _RETRY_AFTER_SECONDS)
    if isinstance(result, apply_request.NotWritten):
        return _respond_with_error(request, http.HTTPStatus.SERVICE_UNAVAILABLE,
                                   "not_written", result.reason)
    return _respond_with_error(request, http.HTTPStatus.GATEWAY_TIMEOUT,
                               "outcome_unknown", result.reason)


def _describe_winner(
        winner: configuration.VersionedDocument | None
) -> dict[str, typing.Any]:
    if winner is None:
        return {"version": 0, "author": "", "apply_id": "", "applied_at": ""}
    return {
        "version": winner.version,
        "author": winner.author,
        "apply_id": winner.apply_id,
        "applied_at": winner.applied_at,
    }


def _respond(request: server.Request, status: http.HTTPStatus,
             body: typing.Any) -> bytes:
    request.setResponseCode(status)
    request.setHeader("content-type", "application/json")
    return msgspec.json.encode(body)


def _respond_with_error(request: server.Request, status: http.HTTPStatus,
                        code: str, message: str) -> bytes:
    return _respond(request, status, {"code": code, "message": message})
