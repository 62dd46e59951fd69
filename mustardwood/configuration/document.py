"""The configuration document."""

import msgspec

from mustardwood.configuration import class_rule
from mustardwood.configuration import endpoint
from mustardwood.configuration import model
from mustardwood.configuration import organisation
from mustardwood.configuration import request_class
from mustardwood.configuration import service


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All that operators decide, applied as a whole.

    Attributes:
        classes: Request classes.
        default_class: Class of completions where no rule or header says
            otherwise.
        organisations: Callers' organisations.
        models: Language models.
        endpoints: Endpoints of models and services.
        services: Plain services.
        rules: Rules that assign classes, in order.
    """

    classes: tuple[request_class.RequestClass, ...]
    default_class: str
    organisations: tuple[organisation.Organisation, ...]
    models: tuple[model.Model, ...]
    endpoints: tuple[endpoint.Endpoint, ...]
    services: tuple[service.Service, ...] = ()
    rules: tuple[class_rule.ClassRule, ...] = ()
