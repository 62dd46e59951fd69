"""Conversion between streamed and non-streamed completions."""

import typing

Fields = dict[str, typing.Any]

_OVERWRITTEN_FIELDS = ("role", "id", "type", "index", "object", "created",
                       "model")


def merge_events(events: list[Fields], *, is_chat: bool) -> Fields:
    """Merges the events of a streamed completion into a single response.

    Args:
        events: The decoded events, in order.
        is_chat: Whether they belong to a chat completion.

    Returns:
        The response in the format of the OpenAI API, without the usage.

    Examples:
        >>> events = [{"id": "r", "choices": [{"index": 0, "text": "a"}]},
        ...           {"id": "r", "choices": [{"index": 0, "text": "b"}]}]
        >>> merge_events(events, is_chat=False)["choices"][0]["text"]
        'ab'
    """
    response: Fields = {}
    choice: Fields = {}
    for event in events:
        response.update((name, value)
                        for name, value in event.items()
                        if name not in ("choices", "tokens", "usage"))
        for each in event.get("choices") or ():
            _merge_fields(choice, each)
    choice.setdefault("index", 0)
    if is_chat:
        message = choice.pop("delta", {})
        message.setdefault("role", "assistant")
        message.setdefault("content", None)
        choice["message"] = message
        response["object"] = "chat.completion"
    else:
        choice.setdefault("text", "")
        response["object"] = "text_completion"
    response["choices"] = [choice]
    return response


def _merge_fields(target: Fields, source: Fields) -> None:
    for name, value in source.items():
        present = target.get(name)
        if present is None or name in _OVERWRITTEN_FIELDS:
            target[name] = _copy(value)
        elif isinstance(present, str) and isinstance(value, str):
            target[name] = present + value
        elif isinstance(present, dict) and isinstance(value, dict):
            _merge_fields(present, value)
        elif isinstance(present, list) and isinstance(value, list):
            _merge_lists(present, value)
        elif value is not None:
            target[name] = value


def _merge_lists(target: list[typing.Any], source: list[typing.Any]) -> None:
    for value in source:
        index = value.get("index") if isinstance(value, dict) else None
        known = [
            each for each in target if index is not None and
            isinstance(each, dict) and each.get("index") == index
        ]
        if known:
            _merge_fields(known[0], value)
        else:
            target.append(_copy(value))


def _copy(value: typing.Any) -> typing.Any:
    if isinstance(value, dict):
        return {name: _copy(each) for name, each in value.items()}
    if isinstance(value, list):
        return [_copy(each) for each in value]
    return value


def split_response(response: Fields) -> tuple[Fields, Fields]:
    """Converts a response into an event with its text and a usage event.

    Args:
        response: A response in the format of the OpenAI API.

    Returns:
        The two events of a streamed completion with the same content.
    """
    is_chat = response.get("object") == "chat.completion"
    common = {
        name: value
        for name, value in response.items()
        if name not in ("choices", "usage", "object")
    }
    common["object"] = "chat.completion.chunk" if is_chat else "text_completion"
    choices = []
    for choice in response.get("choices", ()):
        event = dict(choice)
        if is_chat:
            event["delta"] = event.pop("message", {})
        choices.append(event)
    usage = {**common, "choices": [], "usage": response.get("usage")}
    return {**common, "choices": choices}, usage
