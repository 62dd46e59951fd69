"""An HTTP response of an agent."""

import dataclasses
import http
import json
import typing


@dataclasses.dataclass(frozen=True)
class AgentResponse:
    """The status and body of an agent's HTTP response.

    Attributes:
        status: HTTP status.
        content: Response body.
    """

    status: http.HTTPStatus
    content: bytes

    def parse(self) -> typing.Any:
        """Returns the decoded JSON body, or an empty dict if it isn't JSON.

        Examples:
            >>> AgentResponse(http.HTTPStatus.OK, b'{"version": 3}').parse()
            {'version': 3}
        """
        try:
            return json.loads(self.content)
        except ValueError:
            return {}
