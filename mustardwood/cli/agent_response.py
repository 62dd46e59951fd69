"""A reply of an agent."""

import dataclasses
import http
import json
import typing


@dataclasses.dataclass(frozen=True)
class AgentResponse:
    """The status and body of an agent's answer.

    Attributes:
        status: HTTP status.
        content: Body.
    """

    status: http.HTTPStatus
    content: bytes

    def parse(self) -> typing.Any:
        """Returns the body's JSON, or an empty object when it is none.

        Examples:
            >>> AgentResponse(http.HTTPStatus.OK, b'{"version": 3}').parse()
            {'version': 3}
        """
        try:
            return json.loads(self.content)
        except ValueError:
            return {}
