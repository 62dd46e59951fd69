"""The configuration document."""

import msgspec

from mustardwood.configuration import class_rule
from mustardwood.configuration import endpoint
from mustardwood.configuration import model
from mustardwood.configuration import organisation
from mustardwood.configuration import request_class
from mustardwood.configuration import service


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The configuration of the fleet, which operators apply as a whole.

    Attributes:
        classes: Request classes.
        default_class: Name of the class of completions for which no rule or
            header determines another one.
        organisations: Callers' organisations.
        models: Language models.
        endpoints: Endpoints of models and services.
        services: HTTP services other than models.
        rules: Rules that assign classes, in the order of evaluation.
    """

    classes: tuple[request_class.RequestClass, ...]
    default_class: str
    organisations: tuple[organisation.Organisation, ...]
    models: tuple[model.Model, ...]
    endpoints: tuple[endpoint.Endpoint, ...]
    services: tuple[service.Service, ...] = ()
    rules: tuple[class_rule.ClassRule, ...] = ()
