"""The configuration that operators apply: its document, checks and version."""

from mustardwood.configuration.class_rule import ClassRule
from mustardwood.configuration.document import Document
from mustardwood.configuration.endpoint import Endpoint
from mustardwood.configuration.endpoint_state import EndpointState
from mustardwood.configuration.loader import dump_document
from mustardwood.configuration.loader import list_document_problems
from mustardwood.configuration.loader import load_document
from mustardwood.configuration.locator import find_line
from mustardwood.configuration.locator import find_syntax_line
from mustardwood.configuration.model import Model
from mustardwood.configuration.organisation import Organisation
from mustardwood.configuration.request_class import RequestClass
from mustardwood.configuration.service import Service
from mustardwood.configuration.versioned_document import VersionedDocument

__all__ = [
    "ClassRule",
    "Document",
    "Endpoint",
    "EndpointState",
    "Model",
    "Organisation",
    "RequestClass",
    "Service",
    "VersionedDocument",
    "dump_document",
    "find_line",
    "find_syntax_line",
    "list_document_problems",
    "load_document",
]
